#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/agreement/threemembers.h"

namespace persimmonlb
{

using namespace testing;

namespace
{

constexpr std::uint64_t repetitions = 10; ///< With one seed each.

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgreementTest, ThreeMembers)

BOOST_AUTO_TEST_CASE(acknowledgedCommandsAreAppliedOnceOnEveryMember)
{
    startCallers();
    scheduler.runFor(Milliseconds(2000));
    stopCallers();
    settle();
    BOOST_TEST(acknowledgedCount() > 100U);
    BOOST_TEST(readCount() > 100U);
    checkAll({a, b, c});
}

BOOST_AUTO_TEST_CASE(aGroupStartsOnlyOnce)
{
    for (const HostId &host : {a, b}) {
        const auto again = capture([&] { return agreement(host).initialise({a, b, c}); });
        BOOST_TEST((codeOf(again) == ResultCode::GroupAlreadyInitialised));
    }
}

BOOST_AUTO_TEST_CASE(anEmptyFolderStartsNoGroup)
{
    add(d);
    settle();
    BOOST_TEST((agreement(d).status().role == Role::Learner));
    BOOST_TEST(agreement(d).status().members.empty());
}

BOOST_AUTO_TEST_CASE(aStartWithMembersOfAnotherGroupIsRefusedByThem)
{
    add(d);
    BOOST_TEST_REQUIRE(capture([&] { return agreement(d).initialise({a, b, d}); }).ok());
    startCallers();
    settle();
    stopCallers();
    settle();
    BOOST_TEST(!agreement(d).leader().has_value());
    BOOST_TEST((leading() != d));
    checkAll({a, b, c});
}

BOOST_AUTO_TEST_CASE(messagesOfAnotherGroupAreIgnored)
{
    const GroupStatus before = agreement(a).status();
    const std::uint64_t foreignTerm = store(a).logStore().hardState().term + (1ULL << 40U);
    agreement(a).receive(
        d,
        AppendRequest{
            .term = foreignTerm,
            .previousIndex = 0,
            .previousTerm = 0,
            .commitIndex = 1,
            .round = 1,
            .entries
            = {{.index = 1, .term = foreignTerm, .kind = EntryKind::NoOperation, .data = {}}}});
    agreement(a).receive(d, VoteReply{.term = foreignTerm, .preVote = false, .granted = false});
    BOOST_TEST((agreement(a).status() == before));
}

BOOST_AUTO_TEST_CASE(restartAfterHundredsOfCommandsKeepsSnapshotAndLog)
{
    startCallers();
    scheduler.runFor(Milliseconds(4000));
    stopCallers();
    BOOST_TEST(acknowledgedCount() > 300U);
    for (const HostId &host : {a, b, c}) {
        crash(host);
    }
    for (const HostId &host : {a, b, c}) {
        restart(host);
        BOOST_TEST(store(host).logStore().compacted().index > 0U);
    }
    startCallers();
    settle();
    stopCallers();
    settle();
    checkAll({a, b, c});
}

BOOST_AUTO_TEST_CASE(aMemberFarBehindGetsASnapshot)
{
    const HostId behind = following();
    crash(behind);
    startCallers();
    scheduler.runFor(Milliseconds(4000));
    restart(behind);
    settle();
    stopCallers();
    settle();
    BOOST_TEST(store(behind).logStore().compacted().index > 0U);
    checkAll({a, b, c});
}

BOOST_AUTO_TEST_CASE(aHostWithAnEmptyFolderNeverVotesUnderItsOldName)
{
    const HostId leads = leading();
    const HostId lost = following();
    const HostId third = thirdOf(leads, lost);
    crash(third);
    startCallers();
    scheduler.runFor(Milliseconds(500));
    loseDisk(lost);
    restart(lost);
    crash(leads); // Only the empty one and the one that missed everything are left.
    restart(third);
    scheduler.runFor(Milliseconds(8000));
    stopCallers();
    BOOST_TEST(!leader().has_value());
    BOOST_TEST((agreement(lost).status().role == Role::Learner));
    restart(leads);
    settle();
    checkAll({leads, third});
}

BOOST_AUTO_TEST_CASE(aHostWithAnEmptyFolderIsNotCounted)
{
    const HostId leads = leading();
    const HostId lost = following();
    const HostId third = thirdOf(leads, lost);
    loseDisk(lost);
    restart(lost);
    settle();
    crash(third);
    const std::size_t before = acknowledgedCount();
    propose(leads);
    settle();
    BOOST_TEST(acknowledgedCount() == before);
    BOOST_TEST(!agreement(leads).isLeader());
}

BOOST_AUTO_TEST_CASE(aMemberThatWasCutOffDoesNotDeposeTheLeader)
{
    const HostId leads = leading();
    const HostId away = following();
    const std::uint64_t term = agreement(leads).status().term;
    isolate(away);
    settle();
    network.heal();
    settle();
    BOOST_TEST((leading() == leads));
    BOOST_TEST(agreement(leads).status().term == term);
    BOOST_TEST(agreement(away).status().term == term);
}

BOOST_AUTO_TEST_CASE(aLeaderThatCannotBeHeardBackStepsDown)
{
    const HostId leads = leading();
    for (const HostId &host : hosts()) {
        network.cutOneWay(host, leads); // Its heartbeats still arrive everywhere.
    }
    settle();
    BOOST_TEST((agreement(leads).status().role != Role::Leader));
    BOOST_TEST((leading() != leads));
}

BOOST_AUTO_TEST_CASE(aMemberThatHearsTheLeaderHelpsNoOtherToDeposeIt)
{
    const HostId leads = leading();
    const HostId away = following();
    const std::uint64_t term = agreement(leads).status().term;
    network.cutOneWay(leads, away);
    network.cutOneWay(away, leads); // The third member hears both.
    settle();
    BOOST_TEST((leading() == leads));
    BOOST_TEST(agreement(leads).status().term == term);
}

BOOST_AUTO_TEST_CASE(aRestartedMemberWithholdsItsVoteWhileTheOldLeaderMayHoldItsLease)
{
    for (std::uint64_t number = 0; number < repetitions; ++number) {
        ThreeMembers group(seed + number);
        const HostId leads = group.leading();
        const HostId away = group.following();
        const HostId third = thirdOf(leads, away);
        group.network.cutOneWay(leads, away);
        group.network.cutOneWay(away, leads);
        group.settle();
        group.crash(third);
        group.network.cutOneWay(leads, third);
        group.scheduler.runFor(Milliseconds(5)); // Heartbeats under way are lost.
        group.restart(third);
        group.startCallers();
        group.settle();
        group.stopCallers();
        BOOST_TEST((group.leading() != leads));
        group.network.heal();
        group.settle();
        group.checkAll({a, b, c});
    }
}

BOOST_AUTO_TEST_CASE(aLeaderThatIsCutOffServesNothingStale)
{
    for (std::uint64_t number = 0; number < repetitions; ++number) {
        ThreeMembers group(seed + number);
        const HostId leads = group.leading();
        group.startCallers();
        group.scheduler.runFor(Milliseconds(200));
        group.isolate(leads);
        group.settle();
        BOOST_TEST((group.leading() != leads));
        group.network.heal();
        group.stopCallers();
        group.settle();
        group.checkAll({a, b, c});
    }
}

BOOST_AUTO_TEST_CASE(aFrozenAndResumedLeaderServesNothingStale)
{
    startCallers();
    scheduler.runFor(Milliseconds(500));
    const HostId leads = leading();
    freeze(leads);
    settle();
    BOOST_TEST((leading() != leads));
    const std::size_t acknowledged = acknowledgedCount();
    BOOST_TEST(acknowledged > 50U);
    resume(leads);
    settle();
    stopCallers();
    settle();
    checkAll({a, b, c});
}

BOOST_AUTO_TEST_CASE(nothingIsAcknowledgedBeforeAQuorumHasSyncedIt)
{
    const HostId leads = leading();
    crash(following());
    slowSync[leads] = std::chrono::seconds(30); // Only one member syncs it.
    const std::uint64_t number = propose(leads);
    scheduler.runFor(Milliseconds(900));
    BOOST_TEST(!isAcknowledged(number));
    BOOST_TEST(timesApplied(leads, number) == 0U);
}

BOOST_DATA_TEST_CASE_F(ThreeMembers, aVoteIsToldOnlyOnceItIsSynced,
                       boost::unit_test::data::make({false, true}), synced)
{
    const HostId leads = leading();
    const HostId voter = following();
    const HostId candidate = thirdOf(leads, voter);
    crash(leads);
    crash(candidate);
    slowSync[voter] = synced ? Milliseconds(0) : Milliseconds(30000);
    scheduler.runFor(Milliseconds(605)); // It withholds its vote no longer.
    BOOST_TEST_REQUIRE((agreement(voter).status().role == Role::Follower));
    bool told = false;
    sent = [&](const HostId & /*from*/, const HostId & /*to*/, const PeerBody &body) {
        const auto *reply = std::get_if<VoteReply>(&body);
        told = told || (reply != nullptr && reply->granted && !reply->preVote);
    };
    const LogStore log = store(voter).logStore();
    agreement(voter).receive(candidate,
                             VoteRequest{.term = log.hardState().term + 1,
                                         .preVote = false,
                                         .lastLogIndex = log.lastIndex(),
                                         .lastLogTerm = log.termAt(log.lastIndex()).value_or(0)});
    scheduler.runFor(Milliseconds(50));
    BOOST_TEST(told == synced);
}

BOOST_AUTO_TEST_CASE(entriesOfAnEarlierTermAreCommittedOnlyWithOneOfTheOwnTerm)
{
    const HostId leads = leading();
    const HostId other = following();
    isolate(leads);
    propose(leads);
    const std::uint64_t earlier = agreement(leads).status().lastIndex;
    while (agreement(leads).status().role != Role::PreCandidate) {
        scheduler.runFor(Milliseconds(20));
    }
    const std::uint64_t term = store(leads).logStore().hardState().term + 1;
    agreement(leads).receive(other, VoteReply{.term = term, .preVote = true, .granted = true});
    scheduler.runFor(Milliseconds(20));
    agreement(leads).receive(other, VoteReply{.term = term, .preVote = false, .granted = true});
    scheduler.runFor(Milliseconds(20));
    BOOST_TEST_REQUIRE((agreement(leads).status().role == Role::Leader));
    AppendReply reply{.term = term,
                      .success = true,
                      .matchIndex = earlier,
                      .hintIndex = 0,
                      .round = 0,
                      .disk = store(other).logStore().diskId()};
    agreement(leads).receive(other, reply);
    BOOST_TEST(agreement(leads).status().commitIndex < earlier);
    reply.matchIndex = earlier + 1;
    agreement(leads).receive(other, reply);
    BOOST_TEST(agreement(leads).status().commitIndex == earlier + 1);
}

BOOST_AUTO_TEST_CASE(aProposalWithoutQuorumEndsAsNotKnown)
{
    const HostId leads = leading();
    for (const HostId &host : hosts()) {
        if (host != leads) {
            crash(host);
        }
    }
    std::optional<ResultCode> code;
    agreement(leads).propose("7", [&](const Outcome<std::string> &outcome) {
        code = outcome.ok() ? ResultCode::Ok : outcome.error().code;
    });
    settle();
    BOOST_TEST((code == ResultCode::NoQuorum));
    BOOST_TEST(!agreement(leads).isLeader());
}

BOOST_AUTO_TEST_CASE(aProposalWhoseSyncFailsIsAnsweredAsNotKnown)
{
    const HostId leads = leading();
    std::optional<ResultCode> code;
    agreement(leads).propose("7", [&](const Outcome<std::string> &outcome) {
        code = outcome.ok() ? ResultCode::Ok : outcome.error().code;
    });
    store(leads).breakDown();
    scheduler.runFor(Milliseconds(10));
    BOOST_TEST((code == ResultCode::NoQuorum));
}

BOOST_AUTO_TEST_CASE(aMemberWhoseStoreFailsAcknowledgesNothingMore)
{
    const HostId leads = leading();
    store(leads).breakDown();
    const std::uint64_t number = propose(leads);
    startCallers();
    settle();
    stopCallers();
    BOOST_TEST(!isAcknowledged(number));
    BOOST_TEST((leading() != leads));
    settle();
    for (const HostId &host : hosts()) {
        if (host != leads) {
            checkAll({host});
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
