#include <algorithm>

#include "persimmonlb/agreement/threemembers.h"

namespace persimmonlb
{

using namespace testing;

BOOST_FIXTURE_TEST_SUITE(MemberChangeTest, ThreeMembers)

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

/// Guards against a change that waits for ever on a host which answers and takes nothing.
BOOST_AUTO_TEST_CASE(joiningHostThatTakesNoEntriesIsGivenUp)
{
    add(d);
    add(HostId{"e"});
    const HostId leads = leading();
    const HostId lost = following();
    ResultCode first = ResultCode::Internal;
    agreement(leads).replaceMember(lost, d,
                                   [&](const Outcome<Done> &outcome) { first = codeOf(outcome); });
    while (agreement(leads).status().members.size() < 4) {
        scheduler.runFor(Milliseconds(1));
    }
    network.cutOneWay(d, leads);
    scheduler.runFor(Milliseconds(12000));
    BOOST_TEST(!agreement(leads).status().changeInProgress);
    BOOST_TEST((first == ResultCode::PeerUnreachable));
    BOOST_TEST((codeOf(replace(lost, HostId{"e"})) == ResultCode::Ok));
}

/// Guards against an invited host that is lost and keeps all other changes waiting for 10 s.
BOOST_AUTO_TEST_CASE(invitationOfHostThatDoesNotAnswerCanBeTakenBack)
{
    add(d);
    add(HostId{"e"});
    crash(d);
    const HostId lost = following();
    agreement(leading()).replaceMember(lost, d, [](const Outcome<Done> & /*outcome*/) {});
    BOOST_TEST(agreement(leading()).status().changeInProgress);
    BOOST_TEST((agreement(leading()).status().joining == d));
    agreement(leading()).giveUpFresh();
    BOOST_TEST(!agreement(leading()).status().changeInProgress);
    BOOST_TEST((codeOf(replace(lost, HostId{"e"})) == ResultCode::Ok));
}

/// Lets d join for a member that answers until both of them vote.
struct BothVote : ThreeMembers {
    BothVote()
    {
        add(d);
        lost = following();
        leads = leading();
        agreement(leads).replaceMember(lost, d, [](const Outcome<Done> & /*outcome*/) {});
        const auto isVoter = [this] {
            const auto members = agreement(leads).status().members;
            return std::ranges::any_of(members, [](const MemberStatus &member) {
                return member.host == d && member.voter;
            });
        };
        while (!isVoter()) {
            scheduler.runFor(Microseconds(100));
        }
    }

    HostId lost;
    HostId leads;
};

/// Guards against a sound new voter that is removed because the leader has not heard its reports.
BOOST_FIXTURE_TEST_CASE(joiningHostThatVotesAndAnswersIsKept, BothVote)
{
    for (int tried = 0; tried < 100; ++tried) {
        agreement(leads).giveUpFresh();
        scheduler.runFor(Milliseconds(1));
    }
    settle();
    const GroupStatus status = agreement(leading()).status();
    BOOST_TEST(!status.changeInProgress);
    BOOST_TEST(status.members.size() == 3U);
    BOOST_TEST(std::ranges::any_of(status.members, [](const MemberStatus &member) {
        return member.host == d && member.voter;
    }));
}

/// Safety before progress: two of four voters are no majority, whoever is to be given up.
BOOST_FIXTURE_TEST_CASE(groupDecidesNothingWithoutMajorityOfItsDisks, BothVote)
{
    // Its vote is committed by the others, and the lost member stays until it holds that too.
    slowSync[d] = Milliseconds(150);
    scheduler.runFor(Milliseconds(10));
    const GroupStatus status = agreement(leads).status();
    BOOST_TEST_REQUIRE(status.members.size() == 4U);
    BOOST_TEST_REQUIRE(status.commitIndex == status.lastIndex);
    loseDisk(lost);
    loseDisk(d);
    startCallers();
    for (int tried = 0; tried < 200; ++tried) {
        agreement(leads).giveUpFresh();
        scheduler.runFor(Milliseconds(50));
    }
    BOOST_TEST(acknowledgedCount() == 0U);
    BOOST_TEST(agreement(leads).status().members.size() == 4U);
}

/// Safety before progress: one of two voters is no majority, and does not remove the other one.
BOOST_AUTO_TEST_CASE(oneOfTwoVotersDoesNotRemoveTheOther)
{
    FakeGroup group(seed, smallLimits());
    for (const HostId &host : {a, b, d}) {
        group.add(host);
    }
    BOOST_TEST_REQUIRE(capture([&] { return group.agreement(a).initialise({a, b}); }).ok());
    group.scheduler.runFor(Milliseconds(3000));
    BOOST_TEST_REQUIRE(group.leader().has_value());
    const HostId leads = *group.leader();
    const HostId lost = leads == a ? b : a;
    group.slowSync[d] = Milliseconds(700); // It catches up after the other one is taken for gone.
    group.agreement(leads).replaceMember(lost, d, [](const Outcome<Done> & /*outcome*/) {});
    while (group.agreement(leads).status().members.size() < 3) {
        group.scheduler.runFor(Microseconds(100));
    }
    group.scheduler.runFor(Milliseconds(6));
    group.loseDisk(lost);
    const auto hasOneVoter = [&] {
        const auto members = group.agreement(leads).status().members;
        return std::ranges::count_if(members, &MemberStatus::voter) == 1;
    };
    bool wasAlone = false;
    for (int step = 0; step < 20000; ++step) {
        group.scheduler.runFor(Microseconds(250));
        wasAlone = wasAlone || hasOneVoter();
    }
    BOOST_TEST(!wasAlone);
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
