#include <boost/test/unit_test.hpp>

#include "persimmonlb/control/controlclient.h"
#include "persimmonlb/state/testing/stateharness.h"

namespace persimmonlb
{

namespace
{

const HostId leader{"leader"};
const HostId follower{"follower"};
constexpr Milliseconds attemptTimeout{300};
constexpr std::uint64_t maxWaitingTokens = 1000;

/// A client before a replicated state. Messages are delivered by the test.
struct Fixture {
    MonotonicTime now{};
    std::vector<ProposeRequest> sent;
    std::vector<ResultCode> outcomes;
    testing::StateHarness state;
    ControlClient client{ControlClientOptions{.controlHosts = {leader, follower},
                                              .attemptTimeout = attemptTimeout,
                                              .retryPause = Milliseconds(50),
                                              .deadline = Milliseconds(2500)},
                         Clock{[this] { return now; },
                               [] {
                                   return WallTime();
                               }},
                         [] { return std::uint64_t{0}; },
                         [this](const HostId & /*to*/, const PeerBody &body) {
                             sent.push_back(std::get<ProposeRequest>(body));
                             return true;
                         }};

    static AcceptBulk job(const std::string &id)
    {
        return AcceptBulk{
            .id = JobId{id},
            .route = "drafts",
            .host = "drafts.example",
            .items = {BulkItemSpec{
                .id = id + "-item", .path = "/", .headers = {}, .body = {}, .tokens = 900}},
            .maxWaitingTokens = maxWaitingTokens,
            .keepFor = std::chrono::hours(1),
            .at = {}};
    }
    void propose(const Command &command)
    {
        client.propose(command, [this](const Outcome<Reply> &reply) {
            outcomes.push_back(reply.ok() ? std::get<PlainReply>(reply.value()).code
                                          : reply.error().code);
        });
    }
    void waitForRepeat()
    {
        now += attemptTimeout;
        client.tick();
    }
    /// The log commits a copy of a command; the answer is on its way.
    ControlReply commit(const ProposeRequest &copy)
    {
        return ControlReply{.requestId = copy.requestId,
                            .code = ResultCode::Ok,
                            .message = {},
                            .leader = leader,
                            .payload = state.applyEncoded(copy.command)};
    }
    [[nodiscard]] bool isKept(const std::string &id) const
    {
        return state.state().bulk().jobs().contains(JobId{id});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CommandCopiesTest)

// Guards against a refused job that runs: the second copy of its submission finds room that the
// first one did not.
BOOST_FIXTURE_TEST_CASE(refusesEveryCopyOfARefusedSubmission, Fixture)
{
    state.applyAny(Fixture::job("first"));
    propose(Fixture::job("second"));
    waitForRepeat();
    BOOST_REQUIRE(sent.size() == 2U);
    client.receive(leader, commit(sent[0]));
    BOOST_REQUIRE(outcomes == std::vector{ResultCode::QuotaExceeded});
    state.applyAny(EndBulk{.id = JobId{"first"}, .at = {}});
    client.receive(leader, commit(sent[1]));
    BOOST_TEST(!isKept("second"));
}

// Guards against a job that its caller was told to be unknown and that a late copy of that call
// ends.
BOOST_FIXTURE_TEST_CASE(keepsAJobThatWasSubmittedAfterItsEndWasRefused, Fixture)
{
    propose(EndBulk{.id = JobId{"first"}, .at = {}});
    waitForRepeat();
    client.receive(leader, commit(sent[0]));
    BOOST_REQUIRE(outcomes == std::vector{ResultCode::NotFound});
    state.applyAny(Fixture::job("first"));
    commit(sent[1]);
    BOOST_TEST(!state.state().bulk().jobs().at(JobId{"first"}).ended);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
