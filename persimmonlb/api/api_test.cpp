#include <ostream>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/api/batchlines.h"
#include "persimmonlb/api/refusalbuffer.h"

namespace persimmonlb
{

namespace
{

struct BadLines {
    std::string text;
    ResultCode code;
    std::string message; ///< Must be part of the error.
};

std::ostream &operator<<(std::ostream &out, const BadLines &bad)
{
    return out << bad.text;
}

const std::vector<BadLines> badLines = {
    {"", ResultCode::MalformedRequest, "no item"},
    {"{\"custom_id\":\"a\",\"body\":{}}\nnot json\n", ResultCode::BadItem, "line 2"},
    {"{\"custom_id\":\"a\"}", ResultCode::BadItem, "body is missing"},
    {"{\"body\":{}}", ResultCode::BadItem, "custom_id is missing"},
    {"{\"custom_id\":\"a\",\"body\":{},\"x\":1}", ResultCode::BadItem, "\"x\""},
    {"{\"custom_id\":\"a\",\"body\":{}}\n\n{\"custom_id\":\"a\",\"body\":{}}", ResultCode::BadItem,
     "line 3: custom_id \"a\" twice"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(ApiTest)

BOOST_DATA_TEST_CASE(badBatchLinesAreNamed, badLines, bad)
{
    const auto outcome = capture([&] { return parseBatchLines(bad.text); });
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error().code == bad.code));
    BOOST_TEST(outcome.error().message.find(bad.message) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(dueTimesAreReadAndImpossibleDatesRefused)
{
    const auto due = capture([] { return parseDueTime("2026-12-05T06:00:00Z"); });
    BOOST_REQUIRE(due.ok());
    BOOST_TEST(due.value().time_since_epoch().count() == 1796450400000);
    for (const char *text :
         {"2026-02-30T00:00:00Z", "2026-12-05", "soon", "-5", "+026-12-05T06:00:00Z"}) {
        BOOST_TEST(!capture([&] { return parseDueTime(text); }).ok(), text);
    }
}

BOOST_AUTO_TEST_CASE(refusalsBeyondTheBoundAreCountedAndALostAppendIsShippedAgain)
{
    std::vector<AppendAudit> shipped;
    std::vector<std::function<void(Outcome<Reply>)>> answers;
    RefusalBuffer buffer(Owner{HostId{"e"}, 1}, 2,
                         Clock{[] { return MonotonicTime(); },
                               [] {
                                   return WallTime();
                               }},
                         [&](const AppendAudit &command, auto done) {
                             shipped.push_back(command);
                             answers.push_back(std::move(done));
                         });
    for (int i = 0; i < 7; ++i) {
        buffer.note("shop", "/v1/batches", makeError(ResultCode::QuotaExceeded, "full"));
    }
    buffer.flush();
    buffer.flush();
    BOOST_REQUIRE(shipped.size() == 1U);
    BOOST_REQUIRE(shipped[0].records.size() == 3U);
    BOOST_TEST(shipped[0].records[2].count == 5U);
    answers[0](makeError(ResultCode::NoQuorum, "lost"));
    buffer.note("shop", "/v1/batches", makeError(ResultCode::QuotaExceeded, "full"));
    buffer.flush();
    BOOST_REQUIRE(shipped.size() == 2U);
    BOOST_TEST((shipped[0] == shipped[1]));
    answers[1](Outcome<Reply>(Reply(PlainReply{})));
    BOOST_TEST(buffer.unshipped() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
