#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleetnode/groupcare.h"

using namespace persimmonlb;

namespace
{

struct Bench {
    Bench()
    {
        for (const char *host : {"h1", "h2", "h3"}) {
            status.members.push_back({.host = {host}, .voter = true, .matchIndex = 0});
            hear(host, host, false);
        }
        care.leadershipBegan(status);
    }

    void hear(const std::string &host, const std::string &member, bool unused)
    {
        ReportedStore &store = stores[HostId{host}];
        store.store.host = HostId{host};
        store.store.name = "store-" + host;
        store.member = HostId{member};
        store.unused = unused;
        store.heardAt = now;
    }
    /// Time passes while these hosts go on to report.
    void pass(int ms, const std::vector<std::string> &heard)
    {
        now += Milliseconds(ms);
        for (const std::string &host : heard) {
            stores[HostId{host}].heardAt = now;
        }
    }
    Clock clock()
    {
        return Clock{.monotonic = [this] { return now; },
                     .wall =
                         [] {
                             return WallTime();
                         }};
    }
    GroupAdvice advise()
    {
        return care.advise(status, stores, retired);
    }

    MonotonicTime now = MonotonicTime(Milliseconds(100000));
    GroupStatus status;
    std::map<HostId, ReportedStore> stores;
    std::set<std::string> retired;
    GroupCare care{GroupCareOptions{},
                   Clock{.monotonic = [this] { return now; },
                         .wall =
                             [] {
                                 return WallTime();
                             }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(GroupCareTest)

BOOST_AUTO_TEST_CASE(ACompleteGroupIsLeftAlone)
{
    Bench bench;
    bench.hear("h4", "h4#1", true);
    BOOST_TEST((bench.advise() == GroupAdvice{}));
}

BOOST_AUTO_TEST_CASE(AReplacedDiskTakesThePlaceOfTheLostOneAtOnce)
{
    Bench bench;
    bench.hear("h4", "h4#1", true);
    bench.hear("h2", "h2#9", true);
    const GroupAdvice advice = bench.advise();
    BOOST_REQUIRE(advice.swap.has_value());
    BOOST_TEST(advice.swap->lost.value == "h2");
    BOOST_TEST(advice.swap->fresh.value == "h2#9");
    BOOST_TEST(advice.removed.empty());
}

BOOST_AUTO_TEST_CASE(ASilentVoterIsReplacedOnlyByAnUnusedStore)
{
    Bench bench;
    bench.pass(2600, {"h1", "h3"});
    BOOST_TEST(!bench.advise().swap.has_value());
    bench.hear("h4", "h4#1", true);
    const GroupAdvice advice = bench.advise();
    BOOST_REQUIRE(advice.swap.has_value());
    BOOST_TEST(advice.swap->lost.value == "h2");
    BOOST_TEST(advice.swap->fresh.value == "h4#1");
}

BOOST_AUTO_TEST_CASE(OneChangeAtATime)
{
    Bench bench;
    bench.hear("h2", "h2#9", true);
    bench.hear("h4", "h4#1", true);
    bench.status.changeInProgress = true;
    bench.status.joining = HostId{"h4#1"};
    BOOST_TEST((bench.advise() == GroupAdvice{}));
}

BOOST_AUTO_TEST_CASE(AStoreThatIsLostWhileItJoinsIsGivenUp)
{
    Bench bench;
    bench.hear("h4", "h4#1", true);
    bench.status.changeInProgress = true;
    bench.status.joining = HostId{"h4#1"};
    BOOST_TEST(!bench.advise().giveUpJoining);
    bench.hear("h4", "h4#2", true);
    BOOST_TEST(bench.advise().giveUpJoining);
}

/// Guards against a change of members that blocks all others while it waits for a host that it has
/// only invited: the host is lost and not in the list of members yet.
BOOST_AUTO_TEST_CASE(givesUpInvitedStoreThatFallsSilentOrComesBackAsAnother)
{
    for (const bool isSilent : {true, false}) {
        Bench bench;
        bench.hear("h4", "h4#1", true);
        bench.advise();
        bench.status.changeInProgress = true;
        bench.status.joining = HostId{"h4#1"};
        bench.pass(2000, {"h1", "h2", "h3"});
        BOOST_TEST(!bench.advise().giveUpJoining);
        if (isSilent) {
            bench.pass(600, {"h1", "h2", "h3"});
        } else {
            bench.hear("h4", "h4#2", true);
        }
        BOOST_TEST(bench.advise().giveUpJoining);
    }
}

/// Guards against a group that waits for ever on one host: the same store was chosen again each
/// time, though it had never joined and others were unused.
BOOST_AUTO_TEST_CASE(prefersOtherStoresToOneThatDidNotJoin)
{
    Bench bench;
    bench.hear("h2", "h2#9", true);
    bench.hear("h4", "h4#1", true);
    BOOST_REQUIRE(bench.advise().swap.has_value());
    const HostId first = bench.advise().swap->fresh;
    bench.care.swapFailed(first);
    BOOST_REQUIRE(bench.advise().swap.has_value());
    BOOST_TEST(bench.advise().swap->fresh.value != first.value);
    // Also under its next identity; alone it is better than none.
    bench.hear("h2", "h2#10", true);
    BOOST_TEST(bench.advise().swap->fresh.value == "h4#1");
    bench.stores.erase(HostId{"h4"});
    BOOST_TEST(bench.advise().swap->fresh.value == "h2#10");
}

/// Guards against a leader that replaces a sound voter by what it heard when it led before: the
/// host has another store since then, which is the voter now.
BOOST_AUTO_TEST_CASE(ignoresReportsFromBeforeItLed)
{
    Bench bench;
    bench.hear("h4", "h4#1", true);
    bench.status.members[1].host = HostId{"h2#9"};
    bench.pass(5000, {"h1", "h3", "h4"});
    bench.care.leadershipBegan(bench.status);
    BOOST_TEST(!bench.advise().swap.has_value());
    bench.hear("h2", "h2#9", false);
    bench.pass(2000, {"h1", "h2", "h3", "h4"});
    BOOST_TEST(!bench.advise().swap.has_value());
    // One that it never heard of is lost after the silence, not at once.
    bench.status.members[2].host = HostId{"h5#1"};
    BOOST_TEST(!bench.advise().swap.has_value());
    bench.pass(2600, {"h1", "h2", "h4"});
    BOOST_REQUIRE(bench.advise().swap.has_value());
    BOOST_TEST(bench.advise().swap->lost.value == "h5#1");
}

BOOST_AUTO_TEST_CASE(TheGroupGrowsUntilItBearsItsLosses)
{
    Bench bench;
    bench.hear("h4", "h4#1", true);
    GroupCare two(GroupCareOptions{.lossesBorne = 2}, bench.clock());
    two.leadershipBegan(bench.status);
    const GroupAdvice advice = two.advise(bench.status, bench.stores, bench.retired);
    BOOST_REQUIRE(advice.swap.has_value());
    BOOST_TEST(advice.swap->lost.empty());
    BOOST_TEST(advice.swap->fresh.value == "h4#1");
    BOOST_TEST(!bench.advise().swap.has_value());
}

BOOST_AUTO_TEST_CASE(AStoreThatWasReplacedIsToldSo)
{
    Bench bench;
    bench.hear("h4", "h4", false);
    const GroupAdvice advice = bench.advise();
    BOOST_REQUIRE_EQUAL(advice.removed.size(), 1U);
    BOOST_TEST(advice.removed[0].second.value == "h4");
}

BOOST_AUTO_TEST_CASE(ARetiredVoterLeavesAndIsNoCandidateAgain)
{
    Bench bench;
    bench.retired.insert("store-h3");
    BOOST_TEST(!bench.advise().swap.has_value());
    bench.hear("h4", "h4#1", true);
    const GroupAdvice advice = bench.advise();
    BOOST_REQUIRE(advice.swap.has_value());
    BOOST_TEST(advice.swap->lost.value == "h3");
    bench.retired.insert("store-h4");
    BOOST_TEST(!bench.advise().swap.has_value());
}

BOOST_AUTO_TEST_CASE(ANewLeaderWaitsBeforeItCallsAVoterSilent)
{
    Bench bench;
    bench.pass(10000, {"h1"});
    bench.care.leadershipBegan(bench.status);
    bench.hear("h4", "h4#1", true);
    BOOST_TEST(!bench.advise().swap.has_value());
}

/// Guards against a group that a single zone can take away: the first unused store of the list was
/// taken, and hosts of one zone stand next to each other there.
BOOST_AUTO_TEST_CASE(newVoterComesFromZoneWithFewestVoters)
{
    Bench bench;
    const auto hear = [&bench](const std::string &host, const std::string &zone, bool unused) {
        bench.hear(host, host, unused);
        bench.stores[HostId{host}].store.availabilityZone = AvailabilityZone{zone};
    };
    hear("h1", "a", false);
    hear("h2", "b", false);
    hear("h3", "c", false);
    hear("h4", "a", true);
    hear("h5", "b", true);
    hear("h6", "c", true);
    // Instead of one of zone c.
    bench.retired.insert("store-h3");
    BOOST_REQUIRE(bench.advise().swap.has_value());
    BOOST_TEST(bench.advise().swap->fresh.value == "h6");
    bench.retired.clear();
    // As one more: d has none.
    hear("h7", "d", true);
    GroupCare two(GroupCareOptions{.lossesBorne = 2}, bench.clock());
    two.leadershipBegan(bench.status);
    const GroupAdvice advice = two.advise(bench.status, bench.stores, bench.retired);
    BOOST_REQUIRE(advice.swap.has_value());
    BOOST_TEST(advice.swap->fresh.value == "h7");
}

/// Cold start with one store wiped: the others need not wait for a leader that it could have been.
BOOST_AUTO_TEST_CASE(AHostSaysThatItsFormerMemberLeadsNoMore)
{
    const HostId host{"10.0.0.1"};
    const HostId former{"10.0.0.1#5f3a"};
    const VoteRequest question{.term = 9, .preVote = true, .afterStart = true};
    const auto reply = replyOfFormerMember(host, former, question);
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST((*reply == VoteReply{.term = 9, .preVote = true, .granted = true}));
    // It never votes in the name of that member, nor answers for members of other hosts.
    BOOST_TEST(!replyOfFormerMember(host, former, VoteRequest{.term = 9, .preVote = true}));
    BOOST_TEST(!replyOfFormerMember(host, former, VoteRequest{.term = 9, .afterStart = true}));
    BOOST_TEST(!replyOfFormerMember(host, HostId{"10.0.0.2"}, question));
    BOOST_TEST(!replyOfFormerMember(host, former, AppendRequest{}));
}

/// Guards against a retirement that is reported as completed after a restart of all stores, since
/// the new leader has not heard the name of the member that is to leave.
BOOST_AUTO_TEST_CASE(memberWithUnknownNameHasNotLeftGroup)
{
    Bench bench;
    BOOST_TEST(!hasLeftGroup(bench.status, bench.stores, "store-h3"));
    BOOST_TEST(hasLeftGroup(bench.status, bench.stores, "store-h4"));
    bench.stores.erase(HostId{"h3"});
    BOOST_TEST(!hasLeftGroup(bench.status, bench.stores, "store-h3"));
    bench.hear("h3", "h3", false);
    bench.stores[HostId{"h3"}].store.name.clear();
    BOOST_TEST(!hasLeftGroup(bench.status, bench.stores, "store-h3"));
}

BOOST_AUTO_TEST_SUITE_END()
