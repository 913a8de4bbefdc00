#include <random>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleet/fleetchange.h"

using namespace persimmonlb;

namespace
{

/// A view with some of a hundred servers, hosts and stores, each with one of two states.
FleetView randomView(std::mt19937 &random, std::uint64_t version)
{
    FleetView view;
    view.term = 1;
    view.version = version;
    view.leader = HostId{"l"};
    for (int number = 100; number < 200; ++number) {
        const std::string name = std::to_string(number);
        if (random() % 3 != 0) {
            view.servers.push_back({.id = {name}, .draining = random() % 2 == 0});
        }
        if (random() % 3 != 0) {
            view.entries.push_back({.host = {name}, .draining = random() % 2 == 0});
        }
        if (random() % 3 != 0) {
            view.stores.push_back({.host = {name}, .votes = random() % 2 == 0});
        }
    }
    return view;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetChangeTest)

BOOST_AUTO_TEST_CASE(ChangesInARowLeadToTheLastView)
{
    std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same run each time
    FleetView leader = randomView(random, 1);
    FleetView follower = leader;
    for (std::uint64_t version = 2; version < 60; ++version) {
        const FleetView next = randomView(random, version);
        const auto change = changeBetween(leader, next);
        BOOST_REQUIRE(change.has_value());
        BOOST_TEST(applyChange(follower, *change));
        BOOST_TEST((follower == next));
        leader = next;
    }
}

BOOST_AUTO_TEST_CASE(AnnouncementsThatChangeNothingMakeNoChange)
{
    FleetView before{.term = 1, .version = 1, .leader = {"l"}};
    before.servers = {{.id = {"s"}, .sequence = 1}};
    FleetView after = before;
    after.version = 2;
    after.servers[0].sequence = 9;
    BOOST_TEST(!changeBetween(before, after).has_value());
}

BOOST_AUTO_TEST_CASE(AChangeForAnotherViewIsRefusedAndChangesNothing)
{
    const FleetView first{.term = 1, .version = 1};
    FleetView second{.term = 1, .version = 2};
    second.servers = {{.id = {"s"}}};
    const auto change = changeBetween(first, second);
    FleetView missedOne{.term = 1, .version = 0};
    FleetView ofOtherLeader{.term = 2, .version = 1};
    FleetView newer = second;
    BOOST_TEST(!applyChange(missedOne, *change));
    BOOST_TEST(missedOne.servers.empty());
    BOOST_TEST(!applyChange(ofOtherLeader, *change));
    BOOST_TEST(!applyChange(newer, *change));
    FleetChange backwards = *change;
    backwards.version = 0;
    FleetView held = first;
    BOOST_TEST(!applyChange(held, backwards));
}

BOOST_AUTO_TEST_CASE(AnotherLeaderIsAChange)
{
    const FleetView before{.term = 1, .version = 5, .leader = {"a"}};
    const FleetView after{.term = 2, .version = 1, .leader = {"b"}};
    FleetView follower = before;
    const auto change = changeBetween(before, after);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(applyChange(follower, *change));
    BOOST_TEST(follower.leader.value == "b");
}

BOOST_AUTO_TEST_SUITE_END()
