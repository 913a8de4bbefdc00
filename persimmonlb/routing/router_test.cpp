#include <algorithm>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/routing/retrybudget.h"
#include "persimmonlb/routing/router.h"

namespace persimmonlb
{

std::ostream &operator<<(std::ostream &stream, RouteEnd end)
{
    return stream << "end " << static_cast<int>(end);
}

namespace
{

namespace data = boost::unit_test::data;

const ServiceName service{"lettering-lm"};

/// A router over a table of ready servers in virtual time.
struct RouterFixture {
    Milliseconds now{1000};
    Clock clock{[this] { return MonotonicTime(now); },
                [this] {
                    return WallTime(now);
                }};
    std::vector<ServerId> yieldRequests;
    ServerTable table{{.self = HostId{"entry-0"}}, clock};
    Router router{
        RouterOptions{}, clock, seededRandom(1), table,
        RouterHooks{.policy = {}, .requestYield = [this](const ServerId &server, std::uint32_t) {
                        yieldRequests.push_back(server);
                    }}};
    std::uint64_t sequence = 0;

    void announce(const std::string &server, std::uint32_t slots, const std::string &version = "1")
    {
        ServerAnnouncement announcement;
        announcement.server = ServerId{server};
        announcement.address = server;
        announcement.service = service;
        announcement.model = ModelName{"lm"};
        announcement.version = version;
        announcement.slots = slots;
        announcement.incarnation = 1;
        announcement.sequence = ++sequence;
        table.announce(announcement);
    }
    void announceAll(int servers, std::uint32_t slots)
    {
        for (int i = 0; i < servers; ++i) {
            announce("s" + std::to_string(i), slots);
        }
    }
    [[nodiscard]] RouteQuery query(std::uint64_t prefix = 7,
                                   Milliseconds timeout = Milliseconds(1000))
    {
        return {.service = service,
                .model = ModelName{"lm"},
                .version = "1",
                .prefixHash = prefix,
                .exclude = {},
                .preferred = {},
                .suspect = false,
                .deadline = MonotonicTime(now + timeout)};
    }
    ServerChoice mustChoose(std::uint64_t prefix = 7)
    {
        const auto choice = router.choose(query(prefix));
        BOOST_REQUIRE(choice.ok());
        return choice.value();
    }
    /// Runs one request for `duration`, so that the router has a mean hold time.
    void completeRequest(Milliseconds duration)
    {
        const ServerChoice choice = mustChoose();
        now += duration;
        router.release(choice, RouteEnd::Succeeded);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RouterTest)

BOOST_AUTO_TEST_CASE(choosesOnlyServersOfVersionInForce)
{
    RouterFixture fixture;
    fixture.announce("old", 8, "0");
    BOOST_TEST(
        (fixture.router.choose(fixture.query()).error().code == ResultCode::NoBackendServer));
    fixture.announce("new", 8, "1");
    BOOST_TEST(fixture.mustChoose().server.value == "new");
}

BOOST_AUTO_TEST_CASE(choosesSameServerForEqualPromptsUntilItIsLoaded)
{
    RouterFixture fixture;
    fixture.announceAll(10, 8);
    const ServerId first = fixture.mustChoose().server;
    BOOST_TEST((fixture.mustChoose().server == first));
    std::map<ServerId, int> counts;
    for (int i = 0; i < 70; ++i) {
        ++counts[fixture.mustChoose().server];
    }
    BOOST_TEST(counts.size() == 10U);
    for (const auto &[server, count] : counts) {
        BOOST_TEST(count <= 8);
    }
}

BOOST_DATA_TEST_CASE(ejectsFailedServerBrieflyUnlessNoOtherIsLeft,
                     data::make({RouteEnd::ConnectFailed, RouteEnd::Lost}), end)
{
    RouterFixture fixture;
    fixture.announceAll(2, 8);
    const ServerChoice first = fixture.mustChoose();
    fixture.router.release(first, end);
    const ServerChoice second = fixture.mustChoose();
    BOOST_TEST((second.server != first.server));
    fixture.router.release(second, end);
    fixture.mustChoose();
    fixture.now += Milliseconds(2000);
    fixture.announceAll(2, 8);
    BOOST_TEST((fixture.mustChoose().server == first.server));
}

BOOST_AUTO_TEST_CASE(refusesRequestThatCannotStartBeforeItsDeadline)
{
    RouterFixture fixture;
    fixture.announceAll(1, 1);
    fixture.completeRequest(Milliseconds(400));
    const ServerChoice running = fixture.mustChoose();
    int refused = 0;
    int waiting = 0;
    for (int i = 0; i < 5; ++i) {
        const std::uint64_t waiter
            = fixture.router.acquire(fixture.query(), [&](const Outcome<ServerChoice> &choice) {
                  BOOST_TEST((choice.error().code == ResultCode::Overloaded));
                  BOOST_TEST((choice.error().runState() == RunState::NotRun));
                  BOOST_TEST(choice.error().retryAfter->count() >= 1000);
                  ++refused;
              });
        waiting += waiter != 0 ? 1 : 0;
    }
    BOOST_TEST(waiting == 2);
    BOOST_TEST(refused == 3);
    (void)running;
}

BOOST_AUTO_TEST_CASE(servesWaiterWhenServerHasRoomAndExpiresItAtItsDeadline)
{
    RouterFixture fixture;
    fixture.announceAll(1, 1);
    const ServerChoice running = fixture.mustChoose();
    std::vector<Outcome<ServerChoice>> outcomes;
    const auto recordOutcome = [&](const Outcome<ServerChoice> &choice) {
        outcomes.push_back(choice);
    };
    fixture.router.acquire(fixture.query(), recordOutcome);
    fixture.router.acquire(fixture.query(), recordOutcome);
    BOOST_TEST(outcomes.empty());
    fixture.router.release(running, RouteEnd::Succeeded);
    BOOST_REQUIRE(outcomes.size() == 1);
    BOOST_TEST(outcomes.front().ok());
    fixture.now += Milliseconds(1000);
    fixture.router.tick();
    BOOST_REQUIRE(outcomes.size() == 2);
    BOOST_TEST((outcomes.back().error().runState() == RunState::NotRun));
    BOOST_TEST(fixture.router.queued() == 0U);
}

BOOST_AUTO_TEST_CASE(doesNotQueueOnlineRequestBehindBatchWork)
{
    RouterFixture fixture;
    fixture.announceAll(1, 4);
    for (int i = 0; i < 4; ++i) {
        fixture.router.changeBatchInFlight(ServerId{"s0"}, 1);
    }
    BOOST_TEST(fixture.mustChoose().server.value == "s0");
    BOOST_TEST(fixture.yieldRequests.size() == 1U);
    fixture.announce("s1", 4);
    BOOST_TEST(fixture.mustChoose().server.value == "s1");
    BOOST_TEST(fixture.yieldRequests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(runsAtMostOneSuspectPerServer)
{
    RouterFixture fixture;
    fixture.announceAll(2, 8);
    RouteQuery query = fixture.query();
    query.suspect = true;
    const auto first = fixture.router.choose(query);
    const auto second = fixture.router.choose(query);
    BOOST_REQUIRE((first.ok() && second.ok()));
    BOOST_TEST((first.value().server != second.value().server));
    BOOST_TEST(!fixture.router.choose(query).ok());
}

BOOST_AUTO_TEST_CASE(reportsOnlinePeakUntilPeakWindowPasses)
{
    RouterFixture fixture;
    fixture.announceAll(1, 8);
    const ServerChoice one = fixture.mustChoose();
    const ServerChoice two = fixture.mustChoose();
    fixture.router.release(one, RouteEnd::Succeeded);
    fixture.router.release(two, RouteEnd::Succeeded);
    BOOST_TEST(fixture.router.onlineInFlight(ServerId{"s0"}) == 0U);
    BOOST_TEST(fixture.router.onlinePeak(ServerId{"s0"}) == 2U);
    fixture.now += Milliseconds(10001);
    fixture.router.tick();
    BOOST_TEST(fixture.router.onlinePeak(ServerId{"s0"}) == 0U);
}

BOOST_AUTO_TEST_CASE(adaptsConcurrencyLimitToServerLatency)
{
    // A server with a latency of 10 ms up to 10 concurrent requests; above that, latency grows with
    // the square of their number.
    ConcurrencyLimit limit(ConcurrencyOptions{}, 0);
    const auto latency = [](std::uint32_t inFlight) {
        return Milliseconds(inFlight <= 10 ? 10 : inFlight * inFlight / 10);
    };
    for (int i = 0; i < 3000; ++i) {
        limit.recordFirstByte(latency(limit.limit()), limit.limit());
    }
    BOOST_TEST(limit.limit() >= 10U);
    BOOST_TEST(limit.limit() <= 40U);
    ConcurrencyLimit slots(ConcurrencyOptions{}, 4);
    for (int i = 0; i < 100; ++i) {
        slots.recordFirstByte(Milliseconds(10), 4);
    }
    BOOST_TEST(slots.limit() == 4U);
    for (int i = 0; i < 40; ++i) {
        slots.recordRefusal();
    }
    BOOST_TEST(slots.limit() < 4U);
}

BOOST_AUTO_TEST_CASE(limitsRetriesToTenthOfSuccesses)
{
    RetryBudget budget(RetryBudgetOptions{});
    while (budget.tryTake()) { }
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordSuccess();
        retries += budget.tryTake() ? 1 : 0;
    }
    BOOST_TEST(retries >= 98);
    BOOST_TEST(retries <= 100);
}

/// Guards against servers that name a limit of requests and get more, from all hosts together.
BOOST_AUTO_TEST_CASE(hostsTogetherKeepTheLimitThatAServerNames)
{
    constexpr std::uint32_t hosts = 4;
    constexpr double limit = 5;
    constexpr Milliseconds runTime{8000};
    constexpr Milliseconds countedTime{4000};
    constexpr Milliseconds announceInterval{1000};
    std::vector<std::unique_ptr<RouterFixture>> fleet;
    fleet.reserve(hosts);
    for (std::uint32_t host = 0; host < hosts; ++host) {
        fleet.push_back(std::make_unique<RouterFixture>());
        fleet.back()->announceAll(1, 8);
        fleet.back()->router.setHostCount(hosts);
        const auto first = fleet.back()->router.choose(fleet.back()->query());
        BOOST_REQUIRE(first.ok());
        fleet.back()->router.noteLimit(ServerId{"s0"}, 1, static_cast<std::uint64_t>(limit * 1000));
        fleet.back()->router.release(first.value(), RouteEnd::Succeeded);
    }
    std::vector<Milliseconds> sent;
    for (Milliseconds at(0); at < runTime; at += Milliseconds(10)) {
        for (const auto &host : fleet) {
            host->now += Milliseconds(10);
            if (at % announceInterval == Milliseconds(0)) {
                host->table.tick();
                host->announceAll(1, 8);
            }
            const auto choice = host->router.choose(host->query());
            if (choice.ok()) {
                sent.push_back(at);
                host->router.release(choice.value(), RouteEnd::Succeeded);
            }
        }
    }
    std::size_t most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
        const auto last = std::upper_bound(sent.begin(), sent.end(), sent[first] + countedTime);
        most = std::max(most, static_cast<std::size_t>(last - sent.begin()) - first);
    }
    // The users' bound: one and a half times what the limit allows, and five more.
    BOOST_TEST(static_cast<double>(most) <= 1.5 * 4 * limit + 5);
    BOOST_TEST(static_cast<double>(sent.size()) >= 0.6 * limit * 8);
}

BOOST_FIXTURE_TEST_CASE(aLimitEndsWhenTheServerNamesItNoMoreOrRestarts, RouterFixture)
{
    announceAll(1, 8);
    const ServerId server{"s0"};
    BOOST_REQUIRE(router.choose(query()).ok());
    router.noteLimit(server, 1, 1);
    BOOST_TEST(!router.allowsRequest(server));
    BOOST_TEST(!router.choose(query()).ok());
    router.noteLimit(server, 2, 0); // A response of another start of the server.
    BOOST_TEST(!router.allowsRequest(server));
    router.noteLimit(server, 1, 0);
    BOOST_TEST(router.allowsRequest(server));
    BOOST_TEST(router.choose(query()).ok());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
