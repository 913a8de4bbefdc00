#include <algorithm>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/orders/reconciler.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(ReconcilerTest)

namespace
{

const MonotonicTime start{Microseconds(1'000'000'000)};
constexpr Milliseconds second{1000};

struct Fixture {
    Fixture()
    {
        SheetService service;
        service.name = {"lettering-lm"};
        service.model = {"lettering-7b"};
        service.minReady = 2;
        sheet.services.push_back(service);
        sheet.models.push_back({.name = {"lettering-7b"}, .version = "2", .adapters = {}});
        options.loadBurst = 10;
        state = initialReconcileState(options, start);
    }

    ServerAnnouncement &addServer(const std::string &name, const std::string &version,
                                  bool checksFencing = true)
    {
        ServerAnnouncement server;
        server.server = {name};
        server.service = {"lettering-lm"};
        server.model = {"lettering-7b"};
        server.version = version;
        server.role = "serve";
        server.checksFencing = checksFencing;
        server.incarnation = 1;
        servers.push_back(server);
        return servers.back();
    }

    /// Plans a round at `after` from the start and returns the names of the servers that get
    /// orders.
    std::vector<std::string> plan(Milliseconds after, Milliseconds lease = 3600 * second)
    {
        const MonotonicTime now = start + after;
        ReconcilePlan next = reconcile(sheet, servers, state, options, now, now + lease);
        state = next.state;
        std::vector<std::string> names;
        for (const ServerOrder &order : next.orders) {
            names.push_back(order.server.value);
        }
        lastOrders = next.orders;
        return names;
    }

    Sheet sheet;
    std::vector<ServerAnnouncement> servers;
    ReconcileOptions options;
    ReconcileState state;
    std::vector<ServerOrder> lastOrders;
};

using Names = std::vector<std::string>;

} // namespace

BOOST_FIXTURE_TEST_CASE(sendsNoOrdersToFleetThatMatchesSheet, Fixture)
{
    addServer("s1", "2");
    addServer("s2", "2");
    addServer("leaving", "1").state = ServerState::Leaving;
    BOOST_TEST(plan(second).empty());
}

BOOST_FIXTURE_TEST_CASE(loadsNewVersionWhileKeepingMinReady, Fixture)
{
    for (const char *name : {"s1", "s2", "s3", "s4"}) {
        addServer(name, "1");
    }
    BOOST_TEST(plan(second) == (Names{"s1", "s2"}), boost::test_tools::per_element());
    BOOST_TEST(plan(2 * second).empty()); // two of four are loading, which leaves minReady (2)
    servers[0].version = "2";
    BOOST_TEST(plan(3 * second) == (Names{"s3"}), boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(loadsOneServerAtATimeWhenServiceIsAtMinReady, Fixture)
{
    addServer("s1", "1");
    addServer("s2", "1");
    BOOST_TEST(plan(second) == Names{"s1"}, boost::test_tools::per_element());
    BOOST_TEST(plan(2 * second).empty());
    servers[0].version = "2";
    BOOST_TEST(plan(3 * second) == Names{"s2"}, boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(keepsServerWithWantedVersionWhenOthersAreBelowMinReady, Fixture)
{
    addServer("s1", "2");
    addServer("s2", "2");
    sheet.roles.push_back({.server = {"s1"}, .service = {"lettering-lm"}, .role = "prefill"});
    BOOST_TEST(plan(second).empty());
    addServer("s3", "2");
    BOOST_TEST(plan(2 * second) == Names{"s1"}, boost::test_tools::per_element());
    BOOST_TEST((lastOrders.at(0).kind == OrderKind::SetRole && lastOrders.at(0).role == "prefill"));
}

BOOST_FIXTURE_TEST_CASE(limitsLoadsToRateOfWeightStore, Fixture)
{
    options.loadBurst = 1;
    options.loadsPerMinute = 6;
    state = initialReconcileState(options, start);
    for (const char *name : {"s1", "s2", "s3", "s4", "s5"}) {
        addServer(name, "1");
    }
    BOOST_TEST(plan(Milliseconds(0)).size() == 1U);
    BOOST_TEST(plan(9 * second).empty());
    BOOST_TEST(plan(10 * second).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(delaysOrderToServerIgnoringFencingUntilEarlierLeaseEnds, Fixture)
{
    addServer("checks", "1", true);
    addServer("ignores", "1", false);
    addServer("s3", "2");
    addServer("s4", "2");
    BOOST_TEST(plan(second) == Names{"checks"}, boost::test_tools::per_element());
    BOOST_TEST(plan(options.leaderLease - Milliseconds(1)).empty());
    // An order of the earlier leader has loaded the version in the meantime, so none is needed.
    servers[1].version = "2";
    BOOST_TEST(plan(options.leaderLease).empty());
    servers[1].version = "1";
    BOOST_TEST(plan(options.leaderLease + second) == Names{"ignores"},
               boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(sendsNoOrdersAfterLeaseEnd, Fixture)
{
    addServer("s1", "1");
    BOOST_TEST(plan(second, Milliseconds(0)).empty());
    BOOST_TEST(plan(second).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(repeatsOrderAfterServerRestartOrTimeout, Fixture)
{
    addServer("s1", "1");
    BOOST_TEST(plan(second).size() == 1U);
    BOOST_TEST(plan(2 * second).empty());
    servers[0].incarnation = 2;
    BOOST_TEST(plan(3 * second).size() == 1U);
    BOOST_TEST(plan(3 * second + options.orderTimeout - Milliseconds(1)).empty());
    BOOST_TEST(plan(3 * second + options.orderTimeout).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(loadsModelOfOtherServiceAfterRoleMovesServer, Fixture)
{
    SheetService other;
    other.name = {"drafts-lm"};
    other.model = {"drafts-3b"};
    sheet.services.push_back(other);
    sheet.models.push_back({.name = {"drafts-3b"}, .version = "9", .adapters = {"rows"}});
    sheet.roles.push_back({.server = {"s1"}, .service = {"drafts-lm"}, .role = "serve"});
    addServer("s1", "2");
    addServer("s2", "2");
    BOOST_TEST(plan(second).empty()); // only one other server is ready, fewer than minReady (2)
    addServer("s3", "2");
    BOOST_TEST(plan(2 * second) == Names{"s1"}, boost::test_tools::per_element());
    BOOST_TEST((lastOrders.at(0).model == ModelName{"drafts-3b"}));
    servers[0].service = {"drafts-lm"};
    servers[0].model = {"drafts-3b"};
    servers[0].version = "9";
    BOOST_TEST(plan(3 * second).size() == 1U);
    BOOST_TEST(
        (lastOrders.at(0).kind == OrderKind::LoadAdapter && lastOrders.at(0).adapter == "rows"));
    BOOST_TEST(withFencing(lastOrders, 41).at(0).fencing == 41U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
