#include <algorithm>
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

enum class Kind { Chat, Stream, Once };
constexpr std::array kinds = {Kind::Chat, Kind::Stream, Kind::Once};

constexpr std::array failures
    = {ServerAct::RefusesConnection,    ServerAct::BreaksBeforeHead, ServerAct::BreaksAfterHead,
       ServerAct::BreaksInBody,         ServerAct::RefusesNotRun,    ServerAct::Refuses,
       ServerAct::StaysSilent,          ServerAct::SkipsToken,       ServerAct::DoublesTokens,
       ServerAct::MixesInForeignTokens, ServerAct::SendsTokensLate,  ServerAct::EndsWithoutDone,
       ServerAct::AnswersOtherRequest};

std::ostream &operator<<(std::ostream &stream, Kind kind)
{
    return stream << "kind " << static_cast<int>(kind);
}

std::shared_ptr<FakeResponder> start(ServingBench &bench, Kind kind)
{
    if (kind == Kind::Once) {
        return bench.once(0, "k1");
    }
    HttpHeaders headers;
    headers.fields = {{"Persimmonlb-Deadline-Ms", "5000"}};
    return bench.chat(0, "hello", kind == Kind::Stream, headers);
}

/// What holds for every request, however it went.
void checkPromises(const ServingBench &bench, const FakeResponder &caller, Kind kind)
{
    const std::size_t runs = bench.fleet.runs.size();
    if (caller.run() == "not_run") {
        BOOST_TEST(runs == 0U);
    }
    if (kind == Kind::Once) {
        BOOST_TEST(runs <= 1U);
    }
    const bool isError = caller.errorCode().has_value() || caller.aborted || caller.status == 503;
    if (kind == Kind::Stream && !isError) {
        BOOST_TEST(hasExactlyTokens(caller.text, bench.fleet.tokens), caller.text);
        BOOST_TEST(caller.text.ends_with("data: [DONE]\n\n"));
    }
    if (kind != Kind::Stream && !isError) {
        BOOST_TEST(caller.text.ends_with("}"), caller.text);
    }
    if (isError) {
        BOOST_TEST(caller.text.find("[DONE]") == std::string::npos);
    }
    const FakeEntry &entry = *bench.entries.front();
    BOOST_TEST(entry.service.openRequests() == 0U);
    BOOST_TEST(entry.suspects.permits() == 0U);
    BOOST_TEST(entry.router.queued() == 0U);
    for (const KnownServer &known : entry.table.all()) {
        BOOST_TEST((known.own == InFlight{}));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(OnlineServiceTest)

BOOST_DATA_TEST_CASE(aWholeAnswerOrAnExplicitError,
                     data::make(failures) * data::make(kinds) * data::make({1, 2, 9}), act, kind,
                     times)
{
    ServingBench bench(1, 4);
    bench.fleet.acts.assign(static_cast<std::size_t>(times), act);
    const auto caller = start(bench, kind);
    bench.run(longEnough * 4);
    BOOST_TEST(caller->ends == 1U);
    BOOST_TEST((caller->isWhole() || caller->aborted));
    checkPromises(bench, *caller, kind);
}

BOOST_DATA_TEST_CASE(oneFailureOfAnIdempotentRequestIsNotSeen,
                     data::make({ServerAct::RefusesConnection, ServerAct::BreaksBeforeHead,
                                 ServerAct::BreaksAfterHead, ServerAct::BreaksInBody,
                                 ServerAct::RefusesNotRun, ServerAct::SkipsToken,
                                 ServerAct::EndsWithoutDone, ServerAct::AnswersOtherRequest})
                         * data::make({Kind::Chat, Kind::Stream}) * data::make({0, 1, 2, 4}),
                     act, kind, atToken)
{
    ServingBench bench(1, 4);
    bench.fleet.acts = {act};
    bench.fleet.breakAtToken = static_cast<std::uint32_t>(atToken);
    const auto caller = start(bench, kind);
    bench.run(Milliseconds(2000));
    BOOST_TEST(!caller->errorCode().has_value(), caller->text);
    checkPromises(bench, *caller, kind);
}

BOOST_DATA_TEST_CASE(aCallerThatGoesAwayLeavesNothingBehind,
                     data::make(kinds) * data::xrange(0, 80, 3), kind, afterMs)
{
    ServingBench bench(1, 4);
    const auto caller = start(bench, kind);
    bench.run(Milliseconds(afterMs));
    const bool wasOpen = !caller->isWhole();
    caller->close();
    const std::size_t runsThen = bench.fleet.runs.size();
    bench.run(longEnough * 4);
    BOOST_TEST(bench.fleet.runs.size() <= std::max<std::size_t>(runsThen, 1));
    const FakeEntry &entry = *bench.entries.front();
    BOOST_TEST(entry.service.openRequests() == 0U);
    if (wasOpen && runsThen > 0 && kind != Kind::Once) {
        BOOST_TEST(bench.fleet.cancelled.size() == 1U);
    }
    for (const KnownServer &known : entry.table.all()) {
        BOOST_TEST((known.own == InFlight{}));
    }
}

BOOST_DATA_TEST_CASE(theDeadlineBringsATrueAnswerAtOnce, data::make(kinds) * data::xrange(1, 80, 3),
                     kind, deadlineMs)
{
    ServingBench bench(1, 4);
    HttpHeaders headers;
    headers.fields = {{"Persimmonlb-Deadline-Ms", std::to_string(deadlineMs)}};
    const auto caller = kind == Kind::Once ? bench.once(0, "k1", "{}", std::to_string(deadlineMs))
                                           : bench.chat(0, "hello", kind == Kind::Stream, headers);
    bench.run(Milliseconds(deadlineMs));
    BOOST_TEST(caller->ends == 1U);
    bench.run(longEnough * 4);
    BOOST_TEST(caller->ends == 1U);
    checkPromises(bench, *caller, kind);
}

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
