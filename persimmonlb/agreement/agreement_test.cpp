#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/agreement/fakegroup.h"

namespace persimmonlb
{

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr std::uint64_t repetitions = 10; ///< With one seed each.
const HostId a{"a"};
const HostId b{"b"};
const HostId c{"c"};
const HostId d{"d"};

AgreementOptions smallLimits()
{
    AgreementOptions options;
    options.limits.compactAfterEntries = 50;
    options.limits.retainedEntries = 20;
    options.limits.maxBytesPerSnapshotChunk = 256;
    options.limits.maxEntriesPerAppend = 16;
    return options;
}

ResultCode codeOf(const Outcome<Done> &outcome)
{
    return outcome.ok() ? ResultCode::Ok : outcome.error().code;
}

struct ThreeMembers : FakeGroup {
    explicit ThreeMembers(std::uint64_t number = seed)
        : FakeGroup(number, smallLimits())
    {
        for (const HostId &host : {a, b, c}) {
            add(host);
        }
        BOOST_TEST_REQUIRE(capture([&] { return agreement(a).initialise({a, b, c}); }).ok());
        scheduler.runFor(Milliseconds(3000));
        BOOST_TEST_REQUIRE(leader().has_value());
    }

    HostId leading()
    {
        BOOST_TEST_REQUIRE(leader().has_value());
        return *leader();
    }

    HostId following()
    {
        return leading() == a ? b : a;
    }

    static HostId thirdOf(const HostId &first, const HostId &second)
    {
        for (const HostId &host : {a, b}) {
            if (host != first && host != second) {
                return host;
            }
        }
        return c;
    }

    void settle()
    {
        scheduler.runFor(Milliseconds(3000));
    }

    Outcome<Done> replace(const HostId &lost, const HostId &fresh)
    {
        Outcome<Done> result = makeError(ResultCode::Internal, "never answered");
        agreement(leading()).replaceMember(lost, fresh,
                                           [&](const Outcome<Done> &outcome) { result = outcome; });
        scheduler.runFor(Milliseconds(12000));
        return result;
    }

    void checkAll(const std::vector<HostId> &hosts)
    {
        checkPromises(hosts);
        BOOST_TEST(violations.text() == "");
    }
};

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

BOOST_AUTO_TEST_CASE(aLostMemberIsReplacedAndTheNextLossIsSurvived)
{
    add(d);
    startCallers();
    scheduler.runFor(Milliseconds(3000));
    const HostId lost = following();
    loseDisk(lost);
    BOOST_TEST((codeOf(replace(lost, d)) == ResultCode::Ok));
    BOOST_TEST(!agreement(leading()).status().changeInProgress);
    loseDisk(leading());
    scheduler.runFor(Milliseconds(4000));
    stopCallers();
    settle();
    const HostId leads = leading();
    BOOST_TEST(agreement(leads).status().members.size() == 3U);
    checkAll({leads, d});
}

BOOST_AUTO_TEST_CASE(aSecondMemberChangeIsRefusedWhileOneIsInProgress)
{
    add(d);
    add(HostId{"e"});
    const HostId lost = following();
    crash(lost);
    agreement(leading()).replaceMember(lost, d, [](const Outcome<Done> & /*outcome*/) {});
    ResultCode second = ResultCode::Internal;
    agreement(leading()).replaceMember(
        lost, HostId{"e"}, [&](const Outcome<Done> &outcome) { second = codeOf(outcome); });
    BOOST_TEST((second == ResultCode::MemberChangeInProgress));
}

BOOST_AUTO_TEST_CASE(aMemberIsNotReplacedUnderItsOwnName)
{
    const HostId lost = following();
    loseDisk(lost);
    restart(lost);
    BOOST_TEST((codeOf(replace(lost, lost)) == ResultCode::MalformedRequest));
}

BOOST_AUTO_TEST_CASE(anotherLeaderCarriesAReplacementOn)
{
    add(d);
    const HostId lost = following();
    loseDisk(lost);
    const HostId first = leading();
    agreement(first).replaceMember(lost, d, [](const Outcome<Done> & /*outcome*/) {});
    while (agreement(first).status().members.size() < 4) {
        scheduler.runFor(Milliseconds(1));
    }
    crash(first);
    scheduler.runFor(Milliseconds(100));
    restart(first);
    scheduler.runFor(Milliseconds(8000));
    const GroupStatus status = agreement(leading()).status();
    BOOST_TEST(!status.changeInProgress);
    BOOST_TEST(status.members.size() == 3U);
}

BOOST_AUTO_TEST_CASE(aMemberThatWasCutOffDoesNotDeposeTheLeader)
{
    const HostId leads = leading();
    const HostId away = following();
    const std::uint64_t term = agreement(leads).status().term;
    for (const HostId &host : hosts()) {
        network.cutOneWay(away, host);
        network.cutOneWay(host, away);
    }
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
        for (const HostId &host : group.hosts()) {
            group.network.cutOneWay(leads, host);
            group.network.cutOneWay(host, leads);
        }
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
    for (const HostId &host : hosts()) {
        network.cutOneWay(leads, host);
        network.cutOneWay(host, leads);
    }
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

BOOST_AUTO_TEST_CASE(aNewMemberThatHasNotCaughtUpIsNotPromoted)
{
    add(d);
    startCallers();
    scheduler.runFor(Milliseconds(2000));
    const HostId lost = following();
    loseDisk(lost);
    const HostId leads = leading();
    bool complete = false;
    agreement(leads).replaceMember(lost, d,
                                   [&](const Outcome<Done> &outcome) { complete = outcome.ok(); });
    while (agreement(leads).status().members.size() < 4) {
        scheduler.runFor(Milliseconds(1));
    }
    network.cutOneWay(d, leads);
    settle();
    BOOST_TEST(!complete);
    for (const MemberStatus &member : agreement(leads).status().members) {
        BOOST_TEST(member.voter == (member.host != d));
    }
    network.heal();
    settle();
    BOOST_TEST(complete);
}

BOOST_AUTO_TEST_CASE(membersAreAddedSoThatMoreLossesAreBorne)
{
    add(d);
    add(HostId{"e"});
    BOOST_TEST((codeOf(replace(HostId{}, d)) == ResultCode::Ok));
    BOOST_TEST((codeOf(replace(HostId{}, HostId{"e"})) == ResultCode::Ok));
    const GroupStatus status = agreement(leading()).status();
    BOOST_TEST(status.members.size() == 5U);
    for (const MemberStatus &member : status.members) {
        BOOST_TEST(member.voter);
    }
    const HostId first = following();
    crash(first);
    crash(thirdOf(first, leading()));
    startCallers();
    scheduler.runFor(Milliseconds(3000));
    stopCallers();
    settle();
    BOOST_TEST(leader().has_value());
}

BOOST_AUTO_TEST_CASE(aNewMemberThatIsLostBeforeItVotesIsGivenUp)
{
    add(d);
    add(HostId{"e"});
    const HostId lost = following();
    loseDisk(lost);
    const HostId leads = leading();
    ResultCode first = ResultCode::Internal;
    network.cutOneWay(d, leads);
    agreement(leads).replaceMember(lost, d,
                                   [&](const Outcome<Done> &outcome) { first = codeOf(outcome); });
    network.heal();
    while (agreement(leads).status().members.size() < 4) {
        scheduler.runFor(Milliseconds(1));
    }
    loseDisk(d);
    settle();
    BOOST_TEST((agreement(leads).status().joining == d));
    agreement(leads).giveUpFresh();
    settle();
    BOOST_TEST(!agreement(leads).status().changeInProgress);
    BOOST_TEST((first == ResultCode::PeerUnreachable));
    BOOST_TEST((codeOf(replace(lost, HostId{"e"})) == ResultCode::Ok));
    BOOST_TEST(agreement(leads).status().members.size() == 3U);
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

BOOST_AUTO_TEST_SUITE(FormationTest)

BOOST_AUTO_TEST_CASE(aStartWaitsForEveryMemberAndIsResumed)
{
    FakeGroup group(seed, smallLimits());
    for (const HostId &host : {a, b, c}) {
        group.add(host);
    }
    BOOST_TEST_REQUIRE(capture([&] { return group.agreement(a).initialise({a, b, c}); }).ok());
    while (group.agreement(b).status().members.empty()) {
        group.scheduler.runFor(Milliseconds(1)); // Until the first entry has been handed out.
    }
    group.crash(c);
    group.scheduler.runFor(Milliseconds(3000));
    group.crash(a);
    group.restart(a);
    group.scheduler.runFor(Milliseconds(3000));
    BOOST_TEST(!group.leader().has_value());
    group.restart(c);
    BOOST_TEST_REQUIRE(capture([&] { return group.agreement(a).initialise({a, b, c}); }).ok());
    group.scheduler.runFor(Milliseconds(3000));
    BOOST_TEST(group.leader().has_value());
}

BOOST_AUTO_TEST_CASE(ofTwoStartsWithAHostInCommonOneAtMostSucceeds)
{
    for (std::uint64_t number = 0; number < 20; ++number) {
        FakeGroup group(seed + number, smallLimits());
        for (const HostId &host : {a, b, c, d}) {
            group.add(host);
        }
        static_cast<void>(capture([&] { return group.agreement(a).initialise({a, b, c}); }));
        static_cast<void>(capture([&] { return group.agreement(d).initialise({b, c, d}); }));
        group.scheduler.runFor(Milliseconds(5000));
        int leaders = 0;
        for (const HostId &host : group.hosts()) {
            leaders += group.agreement(host).isLeader() ? 1 : 0;
        }
        BOOST_TEST(leaders <= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
