#include <array>
#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/serving/testing/servingbench.h"

namespace persimmonlb
{

namespace
{

namespace data = boost::unit_test::data;

constexpr Milliseconds longEnough{20000};

/// Tokens 0 to `count` - 1 in order, each once, in the text of a stream.
bool hasExactlyTokens(const std::string &text, std::uint32_t count)
{
    std::size_t position = 0;
    for (std::uint32_t index = 0; index < count; ++index) {
        const std::string token = "\"text\":\"t" + std::to_string(index) + "\"";
        const std::size_t found = text.find("\"text\":", position);
        if (found == std::string::npos || text.compare(found, token.size(), token) != 0) {
            return false;
        }
        position = found + token.size();
    }
    return text.find("\"text\":", position) == std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OnlineServiceTest)

BOOST_AUTO_TEST_CASE(aChatIsAnsweredWhole)
{
    ServingBench bench(1, 3);
    const auto caller = bench.chat(0, "hello");
    bench.run(Milliseconds(200));
    BOOST_TEST(caller->whole);
    BOOST_TEST(caller->status == 200);
    BOOST_TEST(bench.fleet.runs.size() == 1U);
    BOOST_TEST(bench.entries[0]->service.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(aStreamIsAnsweredWhole)
{
    ServingBench bench(1, 3);
    const auto caller = bench.chat(0, "hello", true);
    bench.run(Milliseconds(200));
    BOOST_TEST(caller->finished);
    BOOST_TEST(hasExactlyTokens(caller->text, 5));
    BOOST_TEST(caller->text.ends_with("data: [DONE]\n\n"));
}

BOOST_AUTO_TEST_CASE(aOnceOnlyRequestRunsOnceAndAResendGetsItsAnswer)
{
    ServingBench bench(2, 3);
    const auto first = bench.once(0, "k1");
    const auto second = bench.once(1, "k1");
    bench.run(Milliseconds(1000));
    const auto third = bench.once(1, "k1");
    bench.run(Milliseconds(1000));
    BOOST_TEST(first->status == 200);
    BOOST_TEST(second->text == first->text);
    BOOST_TEST(third->text == first->text);
    BOOST_TEST(bench.fleet.runs.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
