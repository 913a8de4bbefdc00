#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleet/fleetregistry.h"
#include "persimmonlb/fleettree/attachments.h"

using namespace persimmonlb;

namespace
{

struct Bench {
    Clock clock()
    {
        return Clock{.monotonic = [this] { return now; },
                     .wall =
                         [] {
                             return WallTime();
                         }};
    }

    static HostReport report(const std::string &host, bool draining = false)
    {
        HostReport made;
        made.address = host + ":80";
        made.draining = draining;
        return made;
    }

    /// Hands what is new at a parent to the leader.
    void tell(Attachments &parent, const std::string &name)
    {
        if (parent.hasNews()) {
            leader.attach(HostId{name}, parent.takeNews());
        }
    }

    MonotonicTime now;
    Attachments first{AttachmentsOptions{}, clock()};
    Attachments second{AttachmentsOptions{}, clock()};
    FleetRegistry leader{FleetRegistryOptions{}, clock()};
};

} // namespace

BOOST_AUTO_TEST_SUITE(AttachmentsTest)

BOOST_AUTO_TEST_CASE(TheLeaderIsToldOfChangesAlone)
{
    Bench bench;
    bench.first.report(HostId{"a"}, Bench::report("a"));
    bench.first.report(HostId{"b"}, Bench::report("b"));
    const AttachedHosts all = bench.first.takeNews();
    BOOST_TEST(all.whole);
    BOOST_TEST(all.entries.size() == 2U);
    bench.first.report(HostId{"a"}, Bench::report("a"));
    BOOST_TEST(!bench.first.hasNews());
    bench.first.report(HostId{"b"}, Bench::report("b", true));
    BOOST_TEST(bench.first.isUrgent());
    const AttachedHosts change = bench.first.takeNews();
    BOOST_TEST(!change.whole);
    BOOST_REQUIRE_EQUAL(change.entries.size(), 1U);
    BOOST_TEST(change.entries[0].draining);
}

BOOST_AUTO_TEST_CASE(ASilentOrDisconnectedEntryHostIsGone)
{
    Bench bench;
    bench.first.report(HostId{"a"}, Bench::report("a"));
    bench.first.report(HostId{"b"}, Bench::report("b"));
    bench.tell(bench.first, "p1");
    bench.first.hostLost(HostId{"a"});
    bench.tell(bench.first, "p1");
    BOOST_TEST(bench.leader.entries().size() == 1U);
    bench.now += Milliseconds(1600);
    bench.first.tick();
    bench.tell(bench.first, "p1");
    BOOST_TEST(bench.leader.entries().empty());
}

BOOST_AUTO_TEST_CASE(AnEntryHostThatMovesIsNamedThroughout)
{
    Bench bench;
    bench.first.report(HostId{"a"}, Bench::report("a"));
    bench.tell(bench.first, "p1");
    bench.second.report(HostId{"a"}, Bench::report("a"));
    bench.tell(bench.second, "p2");
    // The former parent, connected anew, names it once more before it takes it for silent.
    bench.first.forgetTold();
    bench.tell(bench.first, "p1");
    bench.now += Milliseconds(1600);
    bench.second.report(HostId{"a"}, Bench::report("a"));
    bench.first.tick();
    bench.tell(bench.first, "p1");
    BOOST_TEST(bench.leader.entries().size() == 1U);
}

BOOST_AUTO_TEST_CASE(EntryHostsOfALostParentAreKeptUntilAnotherNamesThem)
{
    Bench bench;
    bench.first.report(HostId{"a"}, Bench::report("a"));
    bench.first.report(HostId{"b"}, Bench::report("b"));
    bench.tell(bench.first, "p1");
    bench.leader.hostLost(HostId{"p1"});
    bench.now += Milliseconds(1000);
    bench.second.report(HostId{"a"}, Bench::report("a"));
    bench.tell(bench.second, "p2");
    bench.leader.tick();
    BOOST_TEST(bench.leader.entries().size() == 2U);
    bench.now += Milliseconds(600);
    bench.leader.tick();
    BOOST_REQUIRE_EQUAL(bench.leader.entries().size(), 1U);
    BOOST_TEST(bench.leader.entries()[0].host.value == "a");
}

BOOST_AUTO_TEST_CASE(AWholeListDropsWhatItDoesNotName)
{
    Bench bench;
    bench.first.report(HostId{"a"}, Bench::report("a"));
    bench.first.report(HostId{"b"}, Bench::report("b"));
    bench.tell(bench.first, "p1");
    bench.first.hostLost(HostId{"b"});
    bench.first.forgetTold();
    bench.tell(bench.first, "p1");
    BOOST_REQUIRE_EQUAL(bench.leader.entries().size(), 1U);
    BOOST_TEST(bench.leader.entries()[0].host.value == "a");
}

BOOST_AUTO_TEST_CASE(TheSameHostThatLeadsAgainIsToldAgain)
{
    Bench bench;
    bench.first.setLeader(HostId{"l"}, 2);
    bench.first.report(HostId{"a"}, Bench::report("a"));
    bench.tell(bench.first, "p1");
    FleetView view;
    view.term = 2;
    view.entries = bench.leader.entries();
    bench.leader.adopt(view);
    bench.first.setLeader(HostId{"l"}, 3);
    bench.tell(bench.first, "p1");
    bench.now += Milliseconds(1600);
    bench.leader.tick();
    BOOST_TEST(bench.leader.entries().size() == 1U);
    bench.first.setLeader(HostId{"l"}, 3);
    BOOST_TEST(!bench.first.hasNews());
}

BOOST_AUTO_TEST_CASE(ANewLeaderNamesTheEntryHostsThatItAdopted)
{
    Bench bench;
    FleetView view;
    view.term = 3;
    view.entries = {{.host = {"a"}, .address = "a:80"}, {.host = {"b"}, .address = "b:80"}};
    bench.leader.adopt(view);
    BOOST_TEST(bench.leader.entries().size() == 2U);
    bench.first.report(HostId{"a"}, Bench::report("a"));
    bench.tell(bench.first, "p1");
    bench.now += Milliseconds(1600);
    bench.leader.tick();
    BOOST_TEST(bench.leader.entries().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
