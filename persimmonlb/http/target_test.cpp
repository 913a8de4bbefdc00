#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/target.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(TargetTest)

BOOST_AUTO_TEST_CASE(escapedSlashStaysInsideItsSegment)
{
    const auto outcome = parseTarget("/v1/batches/a%2Fb/results/?from=10&q=a+b%26c&flag#x");
    BOOST_REQUIRE(outcome.ok());
    const HttpTarget &target = outcome.value();
    const std::vector<std::string> segments = {"v1", "batches", "a/b", "results"};
    BOOST_TEST(target.segments == segments, boost::test_tools::per_element());
    BOOST_TEST(target.parameter("from").value() == "10");
    BOOST_TEST(target.parameter("q").value() == "a b&c");
    BOOST_TEST(target.parameter("flag").value().empty());
    BOOST_TEST(!target.parameter("none").has_value());
    BOOST_TEST(target.path == "/v1/batches/a%2Fb/results/");
    BOOST_TEST(target.query == "from=10&q=a+b%26c&flag");
}

BOOST_AUTO_TEST_CASE(rootAndAbsoluteForm)
{
    BOOST_TEST(parseTarget("/").value().segments.empty());
    BOOST_TEST(parseTarget("http://host:1/a?b=c").value().path == "/a");
    BOOST_TEST(parseTarget("http://host").value().path == "/");
}

BOOST_DATA_TEST_CASE(brokenTargetIsRefused,
                     boost::unit_test::data::make({"", "*", "a/b", "/%", "/%4", "/%4g", "/a%00b",
                                                   "/a?x=%zz", "/a?%=1"}),
                     target)
{
    const auto outcome = parseTarget(target);
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error().code == ResultCode::MalformedRequest));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
