#include <deque>
#include <functional>
#include <memory>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/fleettree/viewfeed.h"
#include "persimmonlb/wire/message.h"

using namespace persimmonlb;

namespace
{

/// A tree of hosts in virtual time: one leader, parents that follow it, and their children.
/// Messages arrive in order, one by one; bytes are those of the wire.
struct Tree {
    struct Node {
        FleetView view;
        std::uint64_t routesVersion = 0;
        HostId parent;
        bool cutOff = false; ///< Nothing reaches it.
        bool wantsWhole = false;
        std::unique_ptr<ViewFeed> feed;
    };

    Clock clock()
    {
        return Clock{.monotonic = [this] { return now; },
                     .wall =
                         [] {
                             return WallTime();
                         }};
    }

    Node &add(const std::string &name, const std::string &parent)
    {
        Node &node = nodes[HostId{name}];
        node.parent = HostId{parent};
        node.feed = std::make_unique<ViewFeed>(
            ViewFeedOptions{}, clock(),
            ViewFeedHooks{.view = [&node]() -> const FleetView & { return node.view; },
                          .sendView
                          = [this](const auto &to, const FleetView &view) { send(to, view); },
                          .sendChange
                          = [this](const auto &to, const FleetChange &change) { send(to, change); },
                          .sendRoutes =
                              [this](const auto &to, const RoutesPush &routes) {
                                  send(to, routes);
                              }});
        return node;
    }

    /// One leader, `parents` storage hosts and `children` entry hosts of each.
    void grow(int parents, int children)
    {
        add("leader", "");
        for (int number = 0; number < parents; ++number) {
            const std::string parent = "p" + std::to_string(number);
            add(parent, "leader");
            for (int child = 0; child < children; ++child) {
                add(parent + "c" + std::to_string(child), parent);
            }
        }
    }

    /// Grows, and every host follows the first view.
    void settle(int parents, int children)
    {
        grow(parents, children);
        publish();
        pass(Milliseconds(1200));
    }

    void send(const std::vector<HostId> &to, const PeerBody &body)
    {
        const std::size_t size = encodeMessage(PeerMessage{defaultGroup, body, {}, {}}).size();
        for (const HostId &host : to) {
            ++messages;
            bytes += size;
            queue.emplace_back(host, body);
        }
    }

    void deliver()
    {
        while (!queue.empty()) {
            const auto [host, body] = std::move(queue.front());
            queue.pop_front();
            Node &node = nodes.at(host);
            if (node.cutOff) {
                continue;
            }
            if (const auto *view = std::get_if<FleetView>(&body)) {
                if (positionOf(node.view) < positionOf(*view)) {
                    node.view = *view;
                    node.wantsWhole = false;
                }
            } else if (const auto *change = std::get_if<FleetChange>(&body)) {
                if (applyChange(node.view, *change)) {
                    node.feed->viewChanged(*change);
                } else {
                    node.wantsWhole = node.wantsWhole
                        || positionOf(node.view) < ViewPosition{change->term, change->version};
                }
            } else if (const auto *routes = std::get_if<RoutesPush>(&body)) {
                node.routesVersion = routes->version;
                node.feed->routesChanged(*routes);
            }
        }
    }

    /// Lets time pass with a report of each host every 300 ms.
    void pass(Milliseconds time)
    {
        const MonotonicTime end = now + time;
        while (now < end) {
            for (auto &[host, node] : nodes) {
                if (node.parent.empty() || node.cutOff || nodes.at(node.parent).cutOff) {
                    continue;
                }
                HostReport report;
                report.routesVersion = node.routesVersion;
                if (!node.wantsWhole) {
                    report.viewTerm = node.view.term;
                    report.viewVersion = node.view.version;
                }
                nodes.at(node.parent).feed->reported(host, report);
            }
            for (int tick = 0; tick < 15; ++tick) {
                now += Milliseconds(20);
                for (auto &[host, node] : nodes) {
                    node.feed->tick();
                }
                deliver();
            }
        }
    }

    /// The leader's view gets one more record.
    void publish(std::uint64_t term = 1)
    {
        Node &leader = nodes.at(HostId{"leader"});
        FleetView next = leader.view;
        next.version = term == next.term ? next.version + 1 : 1;
        next.term = term;
        next.leader = HostId{"leader"};
        next.entries.push_back({.host = {std::to_string(100000 + ++records)},
                                .address = "10.1.0.35:8144",
                                .availabilityZone = {"ife-a"},
                                .region = {"sw-ng"}});
        const auto change = changeBetween(leader.view, next);
        BOOST_REQUIRE(change.has_value());
        leader.view = next;
        leader.feed->viewChanged(*change);
        deliver();
    }

    [[nodiscard]] int behind() const
    {
        const FleetView &newest = nodes.at(HostId{"leader"}).view;
        int count = 0;
        for (const auto &[host, node] : nodes) {
            count += node.view == newest ? 0 : 1;
        }
        return count;
    }

    MonotonicTime now{Milliseconds(1000)};
    std::map<HostId, Node> nodes;
    std::deque<std::pair<HostId, PeerBody>> queue;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    int records = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ViewFeedTest)

BOOST_AUTO_TEST_CASE(EachChangeCrossesEachConnectionOnceAndNothingIsSentAtRest)
{
    Tree tree;
    tree.settle(10, 5);
    BOOST_TEST(tree.behind() == 0);
    tree.messages = 0;
    tree.publish();
    BOOST_TEST(tree.behind() == 0);
    BOOST_TEST(tree.messages == 60U);
    tree.pass(Milliseconds(3000));
    BOOST_TEST(tree.messages == 60U);
}

BOOST_AUTO_TEST_CASE(AStartOfThreeHundredHostsCostsChangesNotViews)
{
    Tree tree;
    tree.grow(45, 6);
    tree.pass(Milliseconds(600));
    for (int joined = 0; joined < 315; joined += 5) {
        for (int number = 0; number < 5; ++number) {
            tree.publish();
        }
        tree.pass(Milliseconds(60));
    }
    tree.pass(Milliseconds(1200));
    BOOST_TEST(tree.behind() == 0);
    BOOST_TEST(tree.bytes < 60'000'000U);
}

BOOST_AUTO_TEST_CASE(AHostThatMissedAChangeAsksForTheWholeView)
{
    Tree tree;
    tree.settle(3, 3);
    Tree::Node &parent = tree.nodes.at(HostId{"p1"});
    parent.cutOff = true;
    tree.publish();
    parent.cutOff = false;
    BOOST_TEST(tree.behind() == 4);
    tree.publish();
    tree.pass(Milliseconds(900));
    BOOST_TEST(tree.behind() == 0);
}

BOOST_AUTO_TEST_CASE(ABusyFollowerIsNotSentOneViewAfterTheOther)
{
    Tree tree;
    tree.grow(1, 0);
    tree.publish();
    tree.pass(Milliseconds(300));
    tree.messages = 0;
    HostReport late;
    for (int step = 0; step < 10; ++step) {
        tree.publish();
        tree.nodes.at(HostId{"leader"}).feed->reported(HostId{"p0"}, late);
        tree.now += Milliseconds(200);
        tree.nodes.at(HostId{"leader"}).feed->tick();
        tree.deliver();
    }
    BOOST_TEST(tree.messages == 10U);
}

BOOST_AUTO_TEST_CASE(AFollowerThatLeavesGetsNothingMore)
{
    Tree tree;
    tree.grow(1, 1);
    tree.publish();
    tree.pass(Milliseconds(600));
    HostReport last;
    last.leaving = true;
    tree.nodes.at(HostId{"p0"}).feed->reported(HostId{"p0c0"}, last);
    BOOST_TEST(tree.nodes.at(HostId{"p0"}).feed->followers().empty());
}

BOOST_AUTO_TEST_CASE(ANewLeaderGoesOnFromTheViewThatItHolds)
{
    Tree tree;
    tree.settle(4, 4);
    tree.messages = 0;
    tree.publish(2);
    BOOST_TEST(tree.behind() == 0);
    BOOST_TEST(tree.messages == 20U);
}

BOOST_AUTO_TEST_CASE(AHostThatMovesGetsWhatItMissedFromItsNextParent)
{
    Tree tree;
    tree.settle(3, 2);
    tree.nodes.at(HostId{"p0"}).cutOff = true;
    tree.publish();
    BOOST_TEST(tree.behind() == 3);
    tree.nodes.at(HostId{"p0c0"}).parent = HostId{"p1"};
    tree.nodes.at(HostId{"p0c1"}).parent = HostId{"p2"};
    tree.pass(Milliseconds(600));
    BOOST_TEST(tree.behind() == 1);
}

BOOST_AUTO_TEST_CASE(RoutesReachEveryHostAndAreSentAgainToOneThatLostThem)
{
    Tree tree;
    tree.settle(3, 3);
    tree.nodes.at(HostId{"p2c1"}).cutOff = true;
    const RoutesPush push{.version = 7, .text = "routes"};
    tree.nodes.at(HostId{"leader"}).routesVersion = 7;
    tree.nodes.at(HostId{"leader"}).feed->routesChanged(push);
    tree.deliver();
    int without = 0;
    for (const auto &[host, node] : tree.nodes) {
        without += node.routesVersion == 7 ? 0 : 1;
    }
    BOOST_TEST(without == 1);
    tree.nodes.at(HostId{"p2c1"}).cutOff = false;
    tree.pass(Milliseconds(3600));
    BOOST_TEST(tree.nodes.at(HostId{"p2c1"}).routesVersion == 7U);
}

BOOST_AUTO_TEST_CASE(AFollowerThatReportsNoMoreGetsNothing)
{
    Tree tree;
    tree.grow(1, 1);
    tree.publish();
    tree.pass(Milliseconds(600));
    tree.nodes.at(HostId{"p0c0"}).cutOff = true;
    tree.pass(Milliseconds(3600));
    BOOST_TEST(tree.nodes.at(HostId{"p0"}).feed->followers().empty());
}

BOOST_AUTO_TEST_SUITE_END()
