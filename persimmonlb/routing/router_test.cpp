#include <map>
#include <memory>
#include <ostream>
#include <string>

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
struct Bench {
    Milliseconds now{1000};
    Clock clock{[this] { return MonotonicTime(now); },
                [this] {
                    return WallTime(now);
                }};
    std::vector<ServerId> yields;
    ServerTable table{{.self = HostId{"entry-0"}}, clock};
    Router router{
        RouterOptions{}, clock, seededRandom(1), table,
        RouterHooks{.policy = {}, .wantYield = [this](const ServerId &server, std::uint32_t) {
                        yields.push_back(server);
                    }}};
    std::uint64_t sequence = 0;

    void announce(const std::string &server, std::uint32_t slots, const std::string &version = "1")
    {
        ServerAnnouncement said;
        said.server = ServerId{server};
        said.address = server;
        said.service = service;
        said.model = ModelName{"lm"};
        said.version = version;
        said.slots = slots;
        said.incarnation = 1;
        said.sequence = ++sequence;
        table.announce(said);
    }
    void announceAll(int servers, std::uint32_t slots)
    {
        for (int i = 0; i < servers; ++i) {
            announce("s" + std::to_string(i), slots);
        }
    }
    [[nodiscard]] RouteQuery query(std::uint64_t prefix = 7,
                                   Milliseconds patience = Milliseconds(1000))
    {
        return {.service = service,
                .model = ModelName{"lm"},
                .version = "1",
                .prefixHash = prefix,
                .exclude = {},
                .preferred = {},
                .suspect = false,
                .deadline = MonotonicTime(now + patience)};
    }
    Choice mustChoose(std::uint64_t prefix = 7)
    {
        const auto choice = router.choose(query(prefix));
        BOOST_REQUIRE(choice.ok());
        return choice.value();
    }
    /// Lets one request run for `held` on a server, so that the router knows how long they take.
    void learn(Milliseconds held)
    {
        const Choice choice = mustChoose();
        now += held;
        router.finished(choice, RouteEnd::Succeeded);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RouterTest)

BOOST_AUTO_TEST_CASE(onlyTheVersionInForceIsChosen)
{
    Bench bench;
    bench.announce("old", 8, "0");
    BOOST_TEST((bench.router.choose(bench.query()).error().code == ResultCode::NoBackendServer));
    bench.announce("new", 8, "1");
    BOOST_TEST(bench.mustChoose().server.value == "new");
}

BOOST_AUTO_TEST_CASE(equalPromptsMeetTheSameServerUntilItIsLoaded)
{
    Bench bench;
    bench.announceAll(10, 8);
    const ServerId first = bench.mustChoose().server;
    BOOST_TEST((bench.mustChoose().server == first));
    std::map<ServerId, int> counts;
    for (int i = 0; i < 70; ++i) {
        ++counts[bench.mustChoose().server];
    }
    BOOST_TEST(counts.size() == 10U);
    for (const auto &[server, count] : counts) {
        BOOST_TEST(count <= 8);
    }
}

BOOST_DATA_TEST_CASE(aFailedServerIsEjectedBrieflyButNeverTheLast,
                     data::make({RouteEnd::ConnectFailed, RouteEnd::Lost}), end)
{
    Bench bench;
    bench.announceAll(2, 8);
    const Choice first = bench.mustChoose();
    bench.router.finished(first, end);
    const Choice second = bench.mustChoose();
    BOOST_TEST((second.server != first.server));
    bench.router.finished(second, end);
    bench.mustChoose();
    bench.now += Milliseconds(2000);
    bench.announceAll(2, 8);
    BOOST_TEST((bench.mustChoose().server == first.server));
}

BOOST_AUTO_TEST_CASE(aRequestThatCannotMakeItsDeadlineIsRefusedAtOnce)
{
    Bench bench;
    bench.announceAll(1, 1);
    bench.learn(Milliseconds(400));
    const Choice running = bench.mustChoose();
    int refused = 0;
    int waiting = 0;
    for (int i = 0; i < 5; ++i) {
        const std::uint64_t waiter
            = bench.router.acquire(bench.query(), [&](const Outcome<Choice> &choice) {
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

BOOST_AUTO_TEST_CASE(aWaiterIsServedWhenAPlaceIsFreeAndExpiresAtItsDeadline)
{
    Bench bench;
    bench.announceAll(1, 1);
    const Choice running = bench.mustChoose();
    std::vector<Outcome<Choice>> answers;
    const auto keep = [&](const Outcome<Choice> &choice) {
        answers.push_back(choice);
    };
    bench.router.acquire(bench.query(), keep);
    bench.router.acquire(bench.query(), keep);
    BOOST_TEST(answers.empty());
    bench.router.finished(running, RouteEnd::Succeeded);
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(answers.front().ok());
    bench.now += Milliseconds(1000);
    bench.router.tick();
    BOOST_REQUIRE(answers.size() == 2);
    BOOST_TEST((answers.back().error().runState() == RunState::NotRun));
    BOOST_TEST(bench.router.queued() == 0U);
}

BOOST_AUTO_TEST_CASE(anOnlineRequestNeverWaitsBehindBatchWork)
{
    Bench bench;
    bench.announceAll(1, 4);
    for (int i = 0; i < 4; ++i) {
        bench.router.batchChanged(ServerId{"s0"}, 1);
    }
    BOOST_TEST(bench.mustChoose().server.value == "s0");
    BOOST_TEST(bench.yields.size() == 1U);
    bench.announce("s1", 4);
    BOOST_TEST(bench.mustChoose().server.value == "s1");
    BOOST_TEST(bench.yields.size() == 1U);
}

BOOST_AUTO_TEST_CASE(aSuspectMeetsNoOtherSuspect)
{
    Bench bench;
    bench.announceAll(2, 8);
    RouteQuery query = bench.query();
    query.suspect = true;
    const auto first = bench.router.choose(query);
    const auto second = bench.router.choose(query);
    BOOST_REQUIRE((first.ok() && second.ok()));
    BOOST_TEST((first.value().server != second.value().server));
    BOOST_TEST(!bench.router.choose(query).ok());
}

BOOST_AUTO_TEST_CASE(thePeakOfOnlineWorkIsRememberedForAWhile)
{
    Bench bench;
    bench.announceAll(1, 8);
    const Choice one = bench.mustChoose();
    const Choice two = bench.mustChoose();
    bench.router.finished(one, RouteEnd::Succeeded);
    bench.router.finished(two, RouteEnd::Succeeded);
    BOOST_TEST(bench.router.onlineInFlight(ServerId{"s0"}) == 0U);
    BOOST_TEST(bench.router.onlinePeak(ServerId{"s0"}) == 2U);
    bench.now += Milliseconds(10001);
    bench.router.tick();
    BOOST_TEST(bench.router.onlinePeak(ServerId{"s0"}) == 0U);
}

BOOST_AUTO_TEST_CASE(theBoundFollowsTheLatencyOfAServer)
{
    // A server that takes 10 ms a request up to 10 at once, and slows down in proportion beyond.
    ConcurrencyLimit limit(ConcurrencyOptions{}, 0);
    const auto latency = [](std::uint32_t inFlight) {
        return Milliseconds(inFlight <= 10 ? 10 : inFlight * inFlight / 10);
    };
    for (int i = 0; i < 3000; ++i) {
        limit.answered(latency(limit.limit()), limit.limit());
    }
    BOOST_TEST(limit.limit() >= 10U);
    BOOST_TEST(limit.limit() <= 40U);
    ConcurrencyLimit slots(ConcurrencyOptions{}, 4);
    for (int i = 0; i < 100; ++i) {
        slots.answered(Milliseconds(10), 4);
    }
    BOOST_TEST(slots.limit() == 4U);
    for (int i = 0; i < 40; ++i) {
        slots.refused();
    }
    BOOST_TEST(slots.limit() < 4U);
}

BOOST_AUTO_TEST_CASE(retriesAreATenthOfTheSuccesses)
{
    RetryBudget budget(RetryBudgetOptions{});
    while (budget.take()) { }
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.succeeded();
        taken += budget.take() ? 1 : 0;
    }
    BOOST_TEST(taken >= 98);
    BOOST_TEST(taken <= 100);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
