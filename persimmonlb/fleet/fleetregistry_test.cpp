#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleet/fleetregistry.h"

using namespace persimmonlb;

namespace
{

FleetServer makeServer(const std::string &id, std::uint64_t born, std::uint64_t sequence)
{
    return FleetServer{.id = {id},
                       .bornMs = born,
                       .sequence = sequence,
                       .service = {"lm"},
                       .address = "10.0.0.1:80",
                       .availabilityZone = {"a"},
                       .slots = 8};
}

struct Bench {
    Clock clock()
    {
        return Clock{.monotonic = [this] { return now; },
                     .wall =
                         [] {
                             return WallTime();
                         }};
    }

    MonotonicTime now;
    FleetRegistry registry{FleetRegistryOptions{}, clock()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetRegistryTest)

BOOST_AUTO_TEST_CASE(LateAnnouncementOfOneLifeChangesNothing)
{
    Bench bench;
    FleetServer draining = makeServer("s", 100, 5);
    draining.draining = true;
    BOOST_TEST(bench.registry.announce(draining));
    BOOST_TEST(!bench.registry.announce(makeServer("s", 100, 4)));
    BOOST_TEST(bench.registry.servers().at(0).draining);
}

BOOST_AUTO_TEST_CASE(LaterLifeUnderTheSameIdCountsAnew)
{
    Bench bench;
    bench.registry.announce(makeServer("s", 100, 9));
    BOOST_TEST(bench.registry.announce(makeServer("s", 200, 1)));
    BOOST_TEST(!bench.registry.announce(makeServer("s", 100, 10)));
    BOOST_TEST(bench.registry.servers().at(0).bornMs == 200U);
}

/// Guards against a limit that is forgotten when its server announces itself or another host leads.
BOOST_AUTO_TEST_CASE(LimitHoldsForOneLifeThroughAnnouncementsAndLeaders)
{
    Bench bench;
    bench.registry.announce(makeServer("s", 100, 5));
    const std::uint64_t version = bench.registry.version();
    BOOST_TEST(bench.registry.setLimit({ServerId{"s"}, 100, 2400}));
    BOOST_TEST(!bench.registry.setLimit({ServerId{"s"}, 100, 2400}));
    BOOST_TEST(!bench.registry.setLimit({ServerId{"s"}, 99, 1}));
    BOOST_TEST(!bench.registry.setLimit({ServerId{"other"}, 1, 1}));
    BOOST_TEST(bench.registry.version() > version);
    bench.registry.announce(makeServer("s", 100, 6));
    BOOST_TEST(bench.registry.servers().at(0).requestsPerKs == 2400U);
    Bench next;
    next.registry.announce(makeServer("s", 100, 7));
    FleetView view;
    view.servers = bench.registry.servers();
    next.registry.adopt(view);
    BOOST_TEST(next.registry.servers().at(0).requestsPerKs == 2400U);
    next.registry.announce(makeServer("s", 200, 1));
    BOOST_TEST(next.registry.servers().at(0).requestsPerKs == 0U);
}

BOOST_AUTO_TEST_CASE(EndedLifeIsNotRevived)
{
    Bench bench;
    bench.registry.announce(makeServer("s", 100, 1));
    bench.registry.serverGone(ServerId{"s"});
    BOOST_TEST(!bench.registry.announce(makeServer("s", 100, 2)));
    BOOST_TEST(bench.registry.servers().empty());
    BOOST_TEST(bench.registry.announce(makeServer("s", 101, 1)));
}

BOOST_AUTO_TEST_CASE(AddressBelongsToTheLatestLife)
{
    Bench bench;
    bench.registry.announce(makeServer("old", 100, 1));
    BOOST_TEST(bench.registry.announce(makeServer("new", 200, 1)));
    BOOST_TEST(!bench.registry.announce(makeServer("old", 100, 2)));
    BOOST_REQUIRE_EQUAL(bench.registry.servers().size(), 1U);
    BOOST_TEST(bench.registry.servers().at(0).id.value == "new");
}

BOOST_AUTO_TEST_CASE(SilentServersAndEntryHostsOfALostParentAreDropped)
{
    Bench bench;
    bench.registry.announce(makeServer("s", 100, 1));
    bench.registry.attach(HostId{"p"}, {.whole = true, .entries = {{.host = {"e"}}}, .gone = {}});
    bench.registry.hostLost(HostId{"p"});
    BOOST_TEST(bench.registry.entries().size() == 1U);
    bench.now += Milliseconds(1600);
    bench.registry.tick();
    BOOST_TEST(bench.registry.entries().empty());
    BOOST_TEST(bench.registry.servers().size() == 1U);
    bench.now += Milliseconds(6000);
    bench.registry.tick();
    BOOST_TEST(bench.registry.servers().empty());
}

BOOST_AUTO_TEST_CASE(OnlyWhatOthersActOnRaisesTheVersion)
{
    Bench bench;
    bench.registry.announce(makeServer("s", 100, 1));
    const std::uint64_t version = bench.registry.version();
    bench.registry.announce(makeServer("s", 100, 2));
    BOOST_TEST(bench.registry.version() == version);
    FleetServer draining = makeServer("s", 100, 3);
    draining.draining = true;
    bench.registry.announce(draining);
    BOOST_TEST(bench.registry.version() > version);
}

BOOST_AUTO_TEST_SUITE_END()
