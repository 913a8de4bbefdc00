#include <algorithm>
#include <set>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleettree/parentcandidates.h"

using namespace persimmonlb;

namespace
{

const HostId self{"10.0.0.1"};
const std::vector<HostId> seeds{HostId{"seed-1"}, HostId{"seed-2"}, HostId{"seed-3"}};
constexpr Milliseconds tick{20};
constexpr Milliseconds reportInterval{300};

FleetStore store(const std::string &host, const std::string &zone = "near", bool votes = false)
{
    FleetStore result;
    result.host = HostId{host};
    result.availabilityZone = AvailabilityZone{zone};
    result.votes = votes;
    return result;
}

FleetView view(const std::string &leader, std::vector<FleetStore> stores, std::uint64_t term = 1)
{
    FleetView result;
    result.term = term;
    result.version = 1;
    result.leader = HostId{leader};
    result.stores = std::move(stores);
    return result;
}

ParentCandidates candidatesOf(bool stores, std::size_t maxFormerStores = 32)
{
    return ParentCandidates({.self = self,
                             .availabilityZone = AvailabilityZone{"near"},
                             .stores = stores,
                             .seeds = seeds,
                             .maxFormerStores = maxFormerStores});
}

std::set<HostId> hostsOf(const std::vector<ParentCandidate> &candidates)
{
    std::set<HostId> hosts;
    for (const ParentCandidate &candidate : candidates) {
        hosts.insert(candidate.host);
    }
    return hosts;
}

bool hasSeeds(const std::vector<ParentCandidate> &candidates)
{
    const std::set<HostId> hosts = hostsOf(candidates);
    return std::ranges::all_of(seeds, [&](const HostId &seed) { return hosts.contains(seed); });
}

/// Views that leaders may make at any moment: before any storage host has reported, with some of
/// them, with gone ones alone, with none that votes.
std::vector<FleetView> poorViews()
{
    return {view("leader", {}),
            view("", {}),
            view("leader", {store("leader")}),
            view("leader", {store(self.value)}),
            view(self.value, {store(self.value, "near", true)}),
            view("leader", {store("gone-1"), store("gone-2", "far")}),
            view("leader", {store("gone-1", "far", true)}),
            view("seed-1", {store("seed-1", "near", true)})};
}

/// A host that chooses parents among hosts of which some are gone. Those that are alive answer
/// reports, have word of the leader and send its view.
struct Bench {
    explicit Bench(bool stores)
        : candidates(candidatesOf(stores))
        , choice(ParentChoiceOptions{}, self,
                 Clock{.monotonic = [this] { return now; },
                       .wall =
                           [] {
                               return WallTime();
                           }})
    {
    }

    void take(const FleetView &next)
    {
        held = next;
        candidates.viewChanged(next);
        choice.setCandidates(candidates.of(held, {}));
    }
    /// Returns true if the host has a parent that is alive at the end.
    bool pass(Milliseconds time, const std::set<HostId> &alive)
    {
        const MonotonicTime end = now + time;
        MonotonicTime nextReport = now;
        while (now < end) {
            if (now >= nextReport) {
                nextReport = now + reportInterval;
                if (alive.contains(choice.parent())) {
                    choice.heard(choice.parent(), Milliseconds(0));
                    if (held.term < newest.term) {
                        take(newest);
                    }
                }
                choice.setCandidates(candidates.of(held, {}));
            }
            now += tick;
            choice.tick();
        }
        return alive.contains(choice.parent());
    }

    MonotonicTime now{Milliseconds(1000)};
    ParentCandidates candidates;
    ParentChoice choice;
    FleetView held;
    FleetView newest; ///< What hosts that are alive send; none if its term is 0.
};

} // namespace

BOOST_AUTO_TEST_SUITE(ParentCandidatesTest)

/// Guards against hosts that follow no leader any more: after a restart of all storage hosts the
/// first view named none of them, and hosts took parents from the view alone.
BOOST_AUTO_TEST_CASE(keepsSeedsAndLeaderUnderAnyView)
{
    for (const bool stores : {false, true}) {
        for (const FleetView &poor : poorViews()) {
            ParentCandidates candidates = candidatesOf(stores);
            candidates.viewChanged(poor);
            const auto found = candidates.of(poor, {});
            BOOST_TEST(hasSeeds(found));
            const bool needsLeader = !poor.leader.empty() && poor.leader != self;
            BOOST_TEST((!needsLeader || hostsOf(found).contains(poor.leader)));
            BOOST_TEST(!hostsOf(found).contains(self));
            BOOST_TEST(hostsOf(found).size() == found.size());
        }
    }
}

/// Guards against a host that starts without a view and asks members which know of no leader
/// either.
BOOST_AUTO_TEST_CASE(namesSeedsFirstWithoutView)
{
    for (const bool stores : {false, true}) {
        const auto found = candidatesOf(stores).of(FleetView(), {HostId{"member"}});
        BOOST_TEST(hasSeeds(found));
        const auto best = std::ranges::min(found, {}, &ParentCandidate::tier);
        BOOST_TEST(best.host.value.starts_with("seed"));
        BOOST_TEST(hostsOf(found).contains(HostId{"member"}));
    }
}

/// Guards against reports that leave the zone, or burden the leader, although a near host would do.
BOOST_AUTO_TEST_CASE(prefersNearStoresAndLeavesLeaderToOthers)
{
    const FleetView full
        = view("leader", {store("far", "far"), store("leader", "near"), store("near", "near")});
    auto found = candidatesOf(false).of(full, {});
    std::ranges::stable_sort(found, {}, &ParentCandidate::tier);
    BOOST_REQUIRE(found.size() >= 3U);
    BOOST_TEST(found[0].host.value == "near");
    BOOST_TEST(found[1].host.value == "leader");
    BOOST_TEST(found[2].host.value == "far");
    BOOST_TEST(found[3].host.value.starts_with("seed"));
}

/// Guards against hosts that know neither seed nor leader: all seeds were replaced long ago, and
/// the view is the first one of a leader that is gone as well.
BOOST_AUTO_TEST_CASE(remembersStoresOfEarlierViews)
{
    for (const bool stores : {false, true}) {
        ParentCandidates candidates = candidatesOf(stores, 2);
        candidates.viewChanged(view("old", {store("old"), store("older")}));
        candidates.viewChanged(view("a", {store("a", "near", true), store("b", "far", true)}));
        const FleetView first = view("c", {}, 2);
        candidates.viewChanged(first);
        const std::set<HostId> found = hostsOf(candidates.of(first, {}));
        for (const char *host : {"a", "b", "c"}) {
            BOOST_TEST(found.contains(HostId{host}));
        }
        BOOST_TEST(!found.contains(HostId{"old"}));
    }
}

/// Guards against a search that goes on among few hosts for good: those that were tried first were
/// free again before the others had been tried, and seeds were never tried.
BOOST_AUTO_TEST_CASE(findsOneLivingHostUnderAnyViewAndOrder)
{
    constexpr int goneHosts = 12;
    std::vector<FleetStore> gone;
    gone.reserve(goneHosts);
    for (int number = 0; number < goneHosts; ++number) {
        gone.push_back(
            store("gone-" + std::to_string(number), number % 2 == 0 ? "near" : "far", number < 5));
    }
    for (const bool stores : {false, true}) {
        std::vector<FleetView> views = poorViews();
        views.push_back(view("gone-0", gone));
        for (const HostId &seed : seeds) {
            for (std::size_t first = 0; first < views.size(); ++first) {
                for (std::size_t second = 0; second < views.size(); ++second) {
                    Bench bench(stores);
                    bench.take(views[first]);
                    bench.pass(Milliseconds(500), {});
                    bench.take(views[second]);
                    bench.pass(Milliseconds(700), {});
                    bench.newest = view(seed.value, {store(seed.value, "far", true)}, 9);
                    BOOST_TEST(bench.pass(Milliseconds(40000), {seed}),
                               "views " << first << ", " << second << ", stores " << stores);
                }
            }
        }
    }
}

/// Guards against the load of a whole fleet on a new leader whose first view names itself alone.
BOOST_AUTO_TEST_CASE(entryHostKeepsParentThatFirstViewDoesNotName)
{
    Bench bench(false);
    bench.take(view("old", {store("near-1"), store("far-1", "far")}));
    BOOST_TEST(bench.pass(Milliseconds(2000), {HostId{"near-1"}}));
    bench.take(view("leader", {store("leader", "near", true)}, 2));
    bench.pass(Milliseconds(1000), {HostId{"near-1"}, HostId{"leader"}});
    BOOST_TEST(bench.choice.parent().value == "near-1");
    // The parent is gone.
    BOOST_TEST(bench.pass(Milliseconds(5000), {HostId{"leader"}}));
}

/// Guards against a new leader that does not hear of storage hosts, which stay with their parents.
BOOST_AUTO_TEST_CASE(storageHostGoesToNewLeaderAtOnce)
{
    Bench bench(true);
    bench.take(view("old", {store("old", "near", true), store("voter", "near", true)}));
    BOOST_TEST(bench.pass(Milliseconds(2000), {HostId{"old"}, HostId{"voter"}}));
    bench.take(view("leader", {store("leader", "near", true)}, 2));
    BOOST_TEST(bench.choice.parent().value == "leader");
}

BOOST_AUTO_TEST_SUITE_END()
