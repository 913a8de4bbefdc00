#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleet/fleetregistry.h"
#include "persimmonlb/fleet/leavingservers.h"

using namespace persimmonlb;

namespace
{

const ServerId id{"s1"};

struct Bench {
    static FleetServer server(std::uint64_t bornMs, std::uint64_t sequence)
    {
        FleetServer made;
        made.id = id;
        made.bornMs = bornMs;
        made.sequence = sequence;
        made.service = ServiceName{"lm"};
        made.address = "10.0.0.9:80";
        made.slots = 8;
        return made;
    }
    [[nodiscard]] bool drains() const
    {
        const auto servers = registry.servers();
        BOOST_REQUIRE_EQUAL(servers.size(), 1U);
        return servers.front().draining;
    }

    MonotonicTime now;
    Clock clock{.monotonic = [this] { return now; },
                .wall =
                    [] {
                        return WallTime();
                    }};
    FleetRegistry registry{FleetRegistryOptions{}, clock};
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingServersTest)

BOOST_AUTO_TEST_CASE(OneStartIsNotAnother)
{
    LeavingServers leaving;
    BOOST_TEST(leaving.note(id, 7));
    BOOST_TEST(!leaving.note(id, 7));
    BOOST_TEST(leaving.contains(id, 7));
    BOOST_TEST(!leaving.contains(id, 8));
}

BOOST_AUTO_TEST_CASE(TheOldestIsForgottenFirst)
{
    LeavingServers leaving(2);
    for (std::uint64_t born = 1; born <= 3; ++born) {
        leaving.note(id, born);
    }
    BOOST_TEST(!leaving.contains(id, 1));
    BOOST_TEST(leaving.contains(id, 2));
    BOOST_TEST(leaving.contains(id, 3));
}

BOOST_AUTO_TEST_CASE(AnAnswerOutweighsAnnouncementsOfTheSameStart)
{
    Bench bench;
    bench.registry.announce(Bench::server(1, 1));
    const std::uint64_t before = bench.registry.version();
    BOOST_TEST(bench.registry.serverLeaves({id, 1}));
    BOOST_TEST(bench.registry.version() > before);
    BOOST_TEST(!bench.registry.serverLeaves({id, 1}));
    bench.registry.announce(Bench::server(1, 2));
    BOOST_TEST(bench.drains());
}

BOOST_AUTO_TEST_CASE(ALaterStartBeginsAnew)
{
    Bench bench;
    bench.registry.announce(Bench::server(1, 9));
    bench.registry.serverLeaves({id, 1});
    bench.registry.announce(Bench::server(2, 1));
    BOOST_TEST(!bench.drains());
    // An answer of the former start that comes late says nothing of this one.
    bench.registry.serverLeaves({id, 1});
    BOOST_TEST(!bench.drains());
}

BOOST_AUTO_TEST_CASE(AnAnswerThatComesBeforeTheAnnouncementHolds)
{
    Bench bench;
    bench.registry.serverLeaves({id, 1});
    bench.registry.announce(Bench::server(1, 1));
    BOOST_TEST(bench.drains());
}

BOOST_AUTO_TEST_CASE(ANewLeaderGoesOnFromTheView)
{
    Bench bench;
    FleetView view;
    view.servers.push_back(Bench::server(1, 1));
    view.servers.front().draining = true;
    bench.registry.adopt(view);
    bench.registry.announce(Bench::server(1, 2));
    BOOST_TEST(bench.drains());
}

BOOST_AUTO_TEST_SUITE_END()
