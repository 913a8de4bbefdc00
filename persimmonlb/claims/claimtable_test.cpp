#include <boost/test/unit_test.hpp>

#include "persimmonlb/state/testing/stateharness.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(ClaimTableTest)

namespace
{

using testing::StateHarness;

const WallTime noon{Milliseconds(1'796'299'200'000)};
constexpr Milliseconds hour{3'600'000};
const ClaimKey key{.caller = {"shop"}, .idempotencyKey = "k"};
const Owner owner{.host = {"entry-1"}, .incarnation = 1};
const Owner otherOwner{.host = {"entry-2"}, .incarnation = 1};

struct Fixture {
    StateHarness harness;

    ClaimState claim(const Owner &claimant, const std::string &request,
                     const std::string &digest = "d")
    {
        return harness
            .apply<ClaimReply>(ClaimRequest{.key = key,
                                            .service = {"booking-app"},
                                            .bodyDigest = digest,
                                            .owner = claimant,
                                            .requestId = request,
                                            .at = noon})
            .state;
    }

    ClaimReply record(const Owner &sender, const std::string &request, ClaimState state,
                      WallTime at = noon)
    {
        return harness.apply<ClaimReply>(
            RecordOutcome{.key = key,
                          .owner = sender,
                          .requestId = request,
                          .state = state,
                          .answer = {.status = 201, .contentType = "text/plain", .body = request},
                          .at = at});
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(returnsRecordedAnswerToRepeatedRequest, Fixture)
{
    BOOST_TEST((claim(owner, "r1") == ClaimState::Granted));
    BOOST_TEST((claim(owner, "r1") == ClaimState::Granted)); // repeated after a lost reply
    BOOST_TEST((claim(owner, "r2") == ClaimState::Running));
    BOOST_TEST((claim(otherOwner, "r1") == ClaimState::Running));
    BOOST_TEST((claim(otherOwner, "r3", "other body") == ClaimState::Conflict));
    record(owner, "r1", ClaimState::Answered);
    BOOST_TEST((claim(owner, "r1") == ClaimState::Answered));
    const auto reply = harness.ask<ClaimReply>(ClaimQuery{.key = key});
    BOOST_TEST(reply.answer.body == "r1");
    BOOST_TEST(reply.answer.status == 201);
}

BOOST_FIXTURE_TEST_CASE(recordsOnlyFirstOutcomeOfOwner, Fixture)
{
    claim(owner, "r1");
    BOOST_TEST((record(otherOwner, "r1", ClaimState::Answered).state == ClaimState::Running));
    BOOST_TEST((record(owner, "r2", ClaimState::NotSent).state == ClaimState::Running));
    BOOST_TEST((record(owner, "r1", ClaimState::Answered).state == ClaimState::Answered));
    BOOST_TEST((record(owner, "r1", ClaimState::NotSent).state == ClaimState::Answered));
    BOOST_TEST((claim(otherOwner, "r3") == ClaimState::Answered));
}

BOOST_FIXTURE_TEST_CASE(grantsKeyAgainAfterNotSentExceptToDuplicateClaim, Fixture)
{
    claim(owner, "r1");
    record(owner, "r1", ClaimState::NotSent);
    BOOST_TEST((claim(owner, "r1") == ClaimState::NotSent)); // a delayed duplicate claim
    BOOST_TEST((claim(otherOwner, "r2") == ClaimState::Granted));
    BOOST_TEST((record(owner, "r1", ClaimState::NotSent).state == ClaimState::Running));
    BOOST_TEST((claim(owner, "r1") == ClaimState::Running));
}

BOOST_FIXTURE_TEST_CASE(refusesKeyOfLostOwnerForever, Fixture)
{
    claim(owner, "r1");
    BOOST_TEST(harness.state().runningClaims(owner) == 1U);
    harness.restart();
    harness.applyAny(ReleaseOwner{.owner = owner, .at = noon});
    BOOST_TEST(harness.state().runningClaims(owner) == 0U);
    BOOST_TEST((claim(owner, "r1") == ClaimState::Unknown));
    BOOST_TEST((claim(otherOwner, "r2") == ClaimState::Unknown));
    BOOST_TEST((record(owner, "r1", ClaimState::NotSent).state == ClaimState::Unknown));
    BOOST_TEST((record(owner, "r1", ClaimState::Answered).state == ClaimState::Answered));
}

BOOST_FIXTURE_TEST_CASE(keepsAnswerForOneDayAndClaimForever, Fixture)
{
    claim(owner, "r1");
    record(owner, "r1", ClaimState::Answered);
    harness.applyAny(ReleaseOwner{.owner = otherOwner, .at = noon + 24 * hour});
    BOOST_TEST(harness.ask<ClaimReply>(ClaimQuery{.key = key}).answer.body == "r1");
    harness.restart();
    harness.applyAny(ReleaseOwner{.owner = otherOwner, .at = noon + 24 * hour + Milliseconds(1)});
    const auto reply = harness.ask<ClaimReply>(ClaimQuery{.key = key});
    BOOST_TEST((reply.state == ClaimState::Answered));
    BOOST_TEST(reply.answer.status == 0);
    BOOST_TEST((claim(otherOwner, "r2") == ClaimState::Answered));
}

BOOST_FIXTURE_TEST_CASE(refusesClaimOfOlderIncarnation, Fixture)
{
    harness.applyAny(RegisterHost{.owner = {.host = owner.host, .incarnation = 2},
                                  .address = "10.0.0.1:1",
                                  .availabilityZone = {"z"},
                                  .region = {"r"},
                                  .at = noon});
    BOOST_TEST((claim(owner, "r1") == ClaimState::Running));
    BOOST_TEST((claim(otherOwner, "r2") == ClaimState::Granted));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
