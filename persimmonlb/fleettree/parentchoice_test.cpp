#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleettree/parentchoice.h"

using namespace persimmonlb;

namespace
{

constexpr Milliseconds reportInterval{300};

struct Bench {
    explicit Bench(std::string self = "10.0.0.1")
        : choice(ParentChoiceOptions{}, HostId{std::move(self)}, clock())
    {
    }

    Clock clock()
    {
        return Clock{.monotonic = [this] { return now; },
                     .wall =
                         [] {
                             return WallTime();
                         }};
    }

    /// Lets time pass; those that answer do so at each report.
    void pass(Milliseconds time, const std::set<HostId> &answering, Milliseconds age = {})
    {
        const MonotonicTime end = now + time;
        while (now < end) {
            if (answering.contains(choice.parent())) {
                choice.heard(choice.parent(), age);
            }
            now += reportInterval;
            choice.tick();
        }
    }

    MonotonicTime now{Milliseconds(1000)};
    ParentChoice choice;
};

std::vector<ParentCandidate> stores(int count, std::uint32_t tier = 0)
{
    std::vector<ParentCandidate> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        result.push_back({HostId{"s" + std::to_string(tier) + "-" + std::to_string(number)}, tier});
    }
    return result;
}

std::vector<ParentCandidate> storesOfFourTiers()
{
    std::vector<ParentCandidate> candidates = stores(12);
    for (const std::uint32_t tier : {1U, 2U, 5U}) {
        const auto more = stores(6, tier);
        candidates.insert(candidates.end(), more.begin(), more.end());
    }
    return candidates;
}

std::set<HostId> hostsOf(const std::vector<ParentCandidate> &candidates)
{
    std::set<HostId> hosts;
    for (const ParentCandidate &candidate : candidates) {
        hosts.insert(candidate.host);
    }
    return hosts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ParentChoiceTest)

BOOST_AUTO_TEST_CASE(TwoHundredEntryHostsSpreadOverTheStorageHostsOfTheirZone)
{
    std::map<HostId, int> children;
    for (int number = 0; number < 200; ++number) {
        Bench bench("10.0.1." + std::to_string(number));
        std::vector<ParentCandidate> candidates = stores(8);
        const auto far = stores(40, 1);
        candidates.insert(candidates.end(), far.begin(), far.end());
        bench.choice.setCandidates(candidates);
        ++children[bench.choice.parent()];
    }
    BOOST_TEST(children.size() == 8U);
    for (const auto &[host, count] : children) {
        BOOST_TEST(host.value.starts_with("s0-"));
        BOOST_TEST(count < 50);
    }
}

BOOST_AUTO_TEST_CASE(ASilentParentIsLeftWithinTwoSecondsAndComesBackLater)
{
    Bench bench;
    const auto candidates = stores(3);
    bench.choice.setCandidates(candidates);
    const HostId first = bench.choice.parent();
    std::set<HostId> answering = hostsOf(candidates);
    bench.pass(Milliseconds(3000), answering);
    BOOST_TEST(bench.choice.parent().value == first.value);
    answering.erase(first);
    bench.pass(Milliseconds(1500), answering);
    BOOST_TEST(bench.choice.parent().value != first.value);
    answering.insert(first);
    bench.pass(Milliseconds(12000), answering);
    BOOST_TEST(bench.choice.parent().value == first.value);
}

BOOST_AUTO_TEST_CASE(ADisconnectedParentIsLeftAtOnce)
{
    Bench bench;
    bench.choice.setCandidates(stores(3));
    const HostId first = bench.choice.parent();
    bench.choice.lost(first);
    BOOST_TEST(bench.choice.parent().value != first.value);
    bench.choice.lost(first);
    BOOST_TEST(bench.choice.parent().value != first.value);
}

BOOST_AUTO_TEST_CASE(AParentThatHearsOfNoLeaderIsLeftButNotForAnElection)
{
    Bench bench;
    const auto candidates = stores(3);
    bench.choice.setCandidates(candidates);
    const HostId first = bench.choice.parent();
    bench.pass(Milliseconds(3000), hostsOf(candidates), Milliseconds(1200));
    BOOST_TEST(bench.choice.parent().value == first.value);
    // Two reports; in more time all three candidates are tried and the first one comes again.
    bench.pass(2 * reportInterval, hostsOf(candidates), Milliseconds(1600));
    BOOST_TEST(bench.choice.parent().value != first.value);
}

// Guards against a fleet that keeps its leader from being heard: while no host has word of one,
// each went on to the next storage host after 0.35 s, 800 connections a second for 300 hosts, and
// the leader among those storage hosts had no processor time left.
BOOST_AUTO_TEST_CASE(triesFewParentsWhileNoneHasWordOfALeader)
{
    constexpr Milliseconds outage{30000};
    for (const bool areAnswering : {true, false}) {
        Bench bench;
        const auto candidates = stores(50);
        const std::set<HostId> answering = areAnswering ? hostsOf(candidates) : std::set<HostId>();
        bench.choice.setCandidates(candidates);
        bench.pass(Milliseconds(3000), hostsOf(candidates));
        int moves = 0;
        HostId parent = bench.choice.parent();
        const MonotonicTime begin = bench.now;
        while (bench.now - begin < outage) {
            const auto age = std::chrono::duration_cast<Milliseconds>(bench.now - begin);
            bench.pass(reportInterval, answering, age);
            moves += bench.choice.parent() != parent ? 1 : 0;
            parent = bench.choice.parent();
        }
        // Quick ones, then the time of an election for each.
        BOOST_TEST(moves <= 4 + outage / Milliseconds(1200), "answering " << areAnswering);
        BOOST_TEST(moves >= 4);
        if (areAnswering) {
            BOOST_TEST(moves <= 12);
        }
        // Word of a leader ends the search: at most the first choice comes back later.
        bench.pass(Milliseconds(300), hostsOf(candidates));
        std::set<HostId> parents;
        for (int report = 0; report < 50; ++report) {
            bench.pass(reportInterval, hostsOf(candidates));
            parents.insert(bench.choice.parent());
        }
        BOOST_TEST(parents.size() <= 2U);
    }
}

// Guards against an entry host that follows changes too late when all storage hosts of its zone are
// cut off from the leader: 1.5 s for the first, one reply for each of two others, then another
// zone. With 2.7 s for the first and 1.2 s for the others, changes were in force after 4.7 s.
BOOST_AUTO_TEST_CASE(findsParentInAnotherZoneWhenItsOwnZoneIsCutOff)
{
    for (int self = 0; self < 40; ++self) {
        Bench bench("10.0.0." + std::to_string(self));
        std::vector<ParentCandidate> candidates = stores(self < 20 ? 3 : 8);
        const std::set<HostId> cutOff = hostsOf(candidates);
        for (const ParentCandidate &far : stores(8, 2)) {
            candidates.push_back(far);
        }
        bench.choice.setCandidates(candidates);
        bench.pass(Milliseconds(3000), cutOff);
        const MonotonicTime cutAt = bench.now;
        constexpr Milliseconds tick{20};
        MonotonicTime nextReply = cutAt;
        HostId asked = bench.choice.parent();
        while (cutOff.contains(bench.choice.parent()) && bench.now - cutAt < Milliseconds(10000)) {
            // A host reports at once to another parent.
            if (bench.now >= nextReply || bench.choice.parent() != asked) {
                asked = bench.choice.parent();
                nextReply = bench.now + reportInterval;
                bench.choice.heard(asked,
                                   std::chrono::duration_cast<Milliseconds>(bench.now - cutAt));
            }
            bench.now += tick;
            bench.choice.tick();
        }
        BOOST_TEST((bench.now - cutAt <= Milliseconds(2700)), "host " << self);
    }
}

BOOST_AUTO_TEST_CASE(OneOfALowerTierIsTakenAsSoonAsItIsKnown)
{
    Bench bench;
    bench.choice.setCandidates(stores(4, 1));
    std::vector<ParentCandidate> candidates = stores(4, 1);
    candidates.front().tier = 0;
    BOOST_TEST(bench.choice.setCandidates(candidates));
    BOOST_TEST(bench.choice.parent().value == candidates.front().host.value);
}

BOOST_AUTO_TEST_CASE(WhenNobodyAnswersEveryCandidateIsTriedInTurn)
{
    Bench bench;
    const auto candidates = stores(3);
    bench.choice.setCandidates(candidates);
    std::set<HostId> tried;
    for (int step = 0; step < 18; ++step) {
        tried.insert(bench.choice.parent());
        bench.pass(reportInterval, {});
    }
    BOOST_TEST(tried.size() == 3U);
}

// Guards against a search that tries the same few hosts again and again: those that were left first
// were free again before the later ones had their turn.
BOOST_AUTO_TEST_CASE(triesEachCandidateOnceBeforeAnyIsTriedAgain)
{
    Bench bench;
    const auto candidates = storesOfFourTiers();
    bench.choice.setCandidates(candidates);
    std::set<HostId> tried{bench.choice.parent()};
    std::size_t moves = 0;
    for (int step = 0; step < 1000 && tried.size() < candidates.size(); ++step) {
        bench.pass(reportInterval, {});
        bench.choice.setCandidates(candidates);
        moves += tried.insert(bench.choice.parent()).second ? 1 : 0;
    }
    BOOST_TEST(tried.size() == candidates.size());
    BOOST_TEST(moves == candidates.size() - 1);
}

// Guards against seconds in vain among the hosts of one tier, for example a zone that is gone.
BOOST_AUTO_TEST_CASE(triesEachTierEarlyWhenTheFirstIsGone)
{
    Bench bench;
    const auto candidates = storesOfFourTiers();
    bench.choice.setCandidates(candidates);
    std::set<std::uint32_t> tiers;
    // Two trials of the first tier and one of each other.
    HostId parent;
    for (int moves = 0; moves < 5;) {
        if (bench.choice.parent() != parent) {
            parent = bench.choice.parent();
            ++moves;
            tiers.insert(std::ranges::find(candidates, parent, &ParentCandidate::host)->tier);
        }
        bench.pass(reportInterval, {});
    }
    BOOST_TEST(tiers.size() == 4U);
}

// Guards against a leader that does not hear of a storage host for four seconds: the host had left
// it before they were connected, or before it led, and reported to another one meanwhile. The
// leader refused retirements for want of storage hosts, and replaced no lost one by it.
BOOST_AUTO_TEST_CASE(returnsToHostOfBetterTierWhenItsRestEnds)
{
    Bench bench;
    std::vector<ParentCandidate> candidates = stores(2, 1);
    const HostId leader{"s0-0"};
    candidates.push_back({leader, 0});
    bench.choice.setCandidates(candidates);
    BOOST_TEST(bench.choice.parent().value == leader.value);
    bench.pass(2 * reportInterval, {});
    const HostId other = bench.choice.parent();
    BOOST_TEST(other.value != leader.value);
    bench.pass(2 * reportInterval, {other});
    BOOST_TEST(!bench.choice.setCandidates(candidates));
    bench.choice.giveNewTrial(leader);
    BOOST_TEST(bench.choice.setCandidates(candidates));
    BOOST_TEST(bench.choice.parent().value == leader.value);
}

// Guards against the same for a host whose trial began long before it led: a storage host that took
// a second to open its store left the leader 9 ms after it had learned who leads.
BOOST_AUTO_TEST_CASE(beginsTrialOfParentAnewWhenItIsKnownToLead)
{
    Bench bench;
    std::vector<ParentCandidate> candidates = stores(2, 1);
    const HostId leader{"s0-0"};
    candidates.push_back({leader, 0});
    bench.choice.setCandidates(candidates);
    bench.now += Milliseconds(1700);
    bench.choice.giveNewTrial(leader);
    BOOST_TEST(!bench.choice.tick());
    BOOST_TEST(bench.choice.parent().value == leader.value);
    // It does not wait for ever.
    bench.pass(2 * reportInterval, {});
    BOOST_TEST(bench.choice.parent().value != leader.value);
}

BOOST_AUTO_TEST_CASE(AHostIsNotItsOwnParent)
{
    Bench bench("s0-0");
    bench.choice.setCandidates(stores(1));
    BOOST_TEST(bench.choice.parent().empty());
    BOOST_TEST(!bench.choice.setCandidates({}));
}

BOOST_AUTO_TEST_SUITE_END()
