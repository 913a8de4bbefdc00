#include <deque>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/ctl/failover.h"

namespace persimmonlb
{

namespace
{

const std::vector<std::string> twoHosts = {"a:1", "b:1"};

Attempt notSent()
{
    return {};
}

Attempt noAnswer()
{
    Attempt attempt;
    attempt.reach = Attempt::Reach::NoAnswer;
    return attempt;
}

Attempt success()
{
    Attempt attempt;
    attempt.reach = Attempt::Reach::Answered;
    attempt.status = 200;
    return attempt;
}

Attempt refused(ResultCode code, std::vector<std::string> hosts = {})
{
    Attempt attempt = success();
    attempt.status = describe(code).httpStatus;
    attempt.refusal
        = Refusal{static_cast<std::uint16_t>(code), "", "", describe(code).run, std::move(hosts)};
    return attempt;
}

ApiRequest changeRequest(bool idempotent)
{
    ApiRequest request;
    request.idempotent = idempotent;
    request.changesState = true;
    return request;
}

/// Answers the attempts in order and notes which hosts were asked.
struct FakeHosts {
    std::deque<Attempt> attempts;
    std::vector<std::string> asked;

    ApiAnswer call(const ApiRequest &request)
    {
        return callWithFailover(twoHosts, request,
                                [this](const std::string &host, const ApiRequest &) {
                                    asked.push_back(host);
                                    BOOST_REQUIRE(!attempts.empty());
                                    Attempt attempt = attempts.front();
                                    attempts.pop_front();
                                    return attempt;
                                });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(FailoverTest)

BOOST_AUTO_TEST_CASE(anUnreachableHostIsPassedOverEvenForARequestThatMayRunOnce)
{
    FakeHosts hosts{{notSent(), success()}, {}};
    BOOST_TEST((hosts.call(changeRequest(false)).exit == ExitCode::Ok));
    BOOST_TEST(hosts.asked == twoHosts);
}

BOOST_AUTO_TEST_CASE(aRequestThatMayRunOnceIsNeverSentAgainAfterALostAnswer)
{
    FakeHosts hosts{{noAnswer(), success()}, {}};
    BOOST_TEST((hosts.call(changeRequest(false)).exit == ExitCode::OutcomeUnknown));
    BOOST_TEST(hosts.asked == std::vector<std::string>{"a:1"});
}

BOOST_AUTO_TEST_CASE(anIdempotentChangeIsSentAgainAfterALostAnswer)
{
    FakeHosts hosts{{noAnswer(), success()}, {}};
    BOOST_TEST((hosts.call(changeRequest(true)).exit == ExitCode::Ok));
    BOOST_TEST(hosts.asked == twoHosts);
}

BOOST_AUTO_TEST_CASE(aLostAnswerStaysUnknownWhenTheOtherHostsRefuseOrAreDown)
{
    FakeHosts down{{noAnswer(), notSent()}, {}};
    BOOST_TEST((down.call(changeRequest(true)).exit == ExitCode::OutcomeUnknown));
    FakeHosts draining{{noAnswer(), refused(ResultCode::Draining)}, {}};
    BOOST_TEST((draining.call(changeRequest(true)).exit == ExitCode::OutcomeUnknown));
}

BOOST_AUTO_TEST_CASE(aHostThatRefusesForItselfSendsTheRequestToTheHostsItNames)
{
    FakeHosts hosts{{refused(ResultCode::Draining, {"c:1", "a:1"}), notSent(), success()}, {}};
    BOOST_TEST((hosts.call(changeRequest(false)).exit == ExitCode::Ok));
    BOOST_TEST(hosts.asked == (std::vector<std::string>{"a:1", "b:1", "c:1"}));
}

BOOST_AUTO_TEST_CASE(aRefusalOfTheSystemEndsTheMatter)
{
    FakeHosts hosts{{refused(ResultCode::SheetNumberTaken)}, {}};
    const ApiAnswer answer = hosts.call(changeRequest(true));
    BOOST_TEST((answer.exit == ExitCode::Refused));
    BOOST_TEST(answer.refusal->code == 503);
}

BOOST_AUTO_TEST_CASE(aRefusalThatDoesNotKnowTheOutcomeIsUnknown)
{
    FakeHosts noQuorum{{refused(ResultCode::NoQuorum)}, {}};
    BOOST_TEST((noQuorum.call(changeRequest(true)).exit == ExitCode::OutcomeUnknown));
    FakeHosts cancelled{{refused(ResultCode::AlreadyCancelled)}, {}};
    BOOST_TEST((cancelled.call(changeRequest(true)).exit == ExitCode::Refused));
}

BOOST_AUTO_TEST_CASE(withoutAnyConnectionNothingWasChanged)
{
    FakeHosts hosts{{notSent(), notSent()}, {}};
    BOOST_TEST((hosts.call(changeRequest(true)).exit == ExitCode::NoHost));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
