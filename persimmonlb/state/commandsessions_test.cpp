#include <boost/test/unit_test.hpp>

#include "persimmonlb/state/testing/stateharness.h"

namespace persimmonlb
{

namespace
{

/// A replicated state and clients that send copies of commands.
struct Fixture {
    testing::StateHarness state;

    ResultCode apply(const Command &command, const CommandOrigin &origin)
    {
        const std::string reply = state.applyEncoded(encodeCommand(command, origin));
        return std::get<PlainReply>(decodeReply(reply).value()).code;
    }
    /// Ends a job that may be unknown.
    ResultCode endJob(const CommandOrigin &origin)
    {
        return apply(EndBulk{.id = JobId{"j"}, .at = {}}, origin);
    }
    void submitJob()
    {
        state.applyAny(AcceptBulk{
            .id = JobId{"j"},
            .route = "r",
            .host = "h",
            .items = {BulkItemSpec{.id = "i", .path = "/", .headers = {}, .body = {}, .tokens = 1}},
            .keepFor = std::chrono::hours(1),
            .at = {}});
    }
    [[nodiscard]] bool isOpen() const
    {
        return state.state().bulk().jobs().at(JobId{"j"}).isOpen();
    }
    [[nodiscard]] std::size_t keysBelow(std::string_view prefix) const
    {
        std::size_t count = 0;
        for (const auto &[key, value] : state.store.content) {
            count += key.starts_with(prefix) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CommandSessionsTest)

BOOST_FIXTURE_TEST_CASE(answersACopyAsTheFirstWasAnswered, Fixture)
{
    const CommandOrigin origin{.session = 7, .sequence = 1, .oldestPending = 1};
    BOOST_TEST((endJob(origin) == ResultCode::NotFound));
    submitJob();
    BOOST_TEST((endJob(origin) == ResultCode::NotFound));
    BOOST_TEST(isOpen());
    BOOST_TEST((endJob({.session = 7, .sequence = 2, .oldestPending = 1}) == ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(remembersRepliesOverARestart, Fixture)
{
    const CommandOrigin origin{.session = 7, .sequence = 1, .oldestPending = 1};
    endJob(origin);
    state.restart();
    BOOST_REQUIRE(state.reloaded);
    submitJob();
    BOOST_TEST((endJob(origin) == ResultCode::NotFound));
    BOOST_TEST(isOpen());
}

// Guards against a command that takes effect long after its client gave it up.
BOOST_FIXTURE_TEST_CASE(refusesACopyThatItsClientNoLongerWaitsFor, Fixture)
{
    submitJob();
    apply(RetireStore{.name = "s", .at = {}}, {.session = 7, .sequence = 2, .oldestPending = 2});
    BOOST_TEST(
        (endJob({.session = 7, .sequence = 1, .oldestPending = 1}) == ResultCode::OutcomeUnknown));
    state.restart();
    BOOST_TEST(
        (endJob({.session = 7, .sequence = 1, .oldestPending = 1}) == ResultCode::OutcomeUnknown));
    BOOST_TEST(isOpen());
}

BOOST_FIXTURE_TEST_CASE(keepsSessionsApart, Fixture)
{
    endJob({.session = 7, .sequence = 1, .oldestPending = 1});
    submitJob();
    BOOST_TEST((endJob({.session = 8, .sequence = 1, .oldestPending = 1}) == ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(forgetsRepliesThatNobodyWaitsFor, Fixture)
{
    for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
        endJob({.session = 7, .sequence = sequence, .oldestPending = sequence});
    }
    BOOST_TEST(keysBelow("decision/") == 1U);
    BOOST_TEST(keysBelow("session/") == 1U);
}

BOOST_FIXTURE_TEST_CASE(forgetsTheLeastRecentlyUsedSessionBeyondItsLimit, Fixture)
{
    const CommandOrigin first{.session = 1, .sequence = 1, .oldestPending = 1};
    const CommandOrigin second{.session = 2, .sequence = 1, .oldestPending = 1};
    endJob(first);
    endJob(second);
    endJob({.session = 1, .sequence = 2, .oldestPending = 1});
    state.restart();
    for (std::uint64_t session = 3; session <= CommandSessions::maxSessions + 1; ++session) {
        endJob({.session = session, .sequence = 1, .oldestPending = 1});
    }
    BOOST_TEST(keysBelow("session/") == CommandSessions::maxSessions);
    submitJob();
    BOOST_TEST((endJob(first) == ResultCode::NotFound));
    BOOST_TEST((endJob(second) == ResultCode::Ok));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
