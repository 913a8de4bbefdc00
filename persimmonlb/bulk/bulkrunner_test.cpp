#include <boost/test/unit_test.hpp>

#include "persimmonlb/bulk/bulkrunner.h"
#include "persimmonlb/bulk/testing/fakebulkstate.h"
#include "persimmonlb/http/testing/fakesending.h"

using namespace persimmonlb;
using persimmonlb::testing::batchRoutes;
using persimmonlb::testing::FakeBulkState;
using persimmonlb::testing::FakeExchange;
using persimmonlb::testing::FakeSending;

namespace
{

const ServiceName engine{"lm"};
const WallTime noon{Milliseconds(1'796'299'200'000)};

struct Sending : FakeSending {
    std::optional<std::uint64_t> behind; ///< The event that it goes on behind.
};

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

std::string eventsUpTo(int last)
{
    std::string bytes;
    for (int id = 1; id <= last; ++id) {
        bytes += event(id);
    }
    return bytes;
}

/// A runner over one engine of two slots; commands are applied at once.
struct Bench {
    Bench()
    {
        FleetServer server;
        server.id = ServerId{"s1"};
        server.bornMs = 1;
        server.service = engine;
        server.address = "s1:80";
        server.slots = 2;
        broker.setServers({server}, [](const ServiceName &) { return SlotCapacity{2, 0}; });
    }

    void accept(const std::string &id, int items, int dueAfterMs = 18000)
    {
        AcceptBulk command{.id = JobId{id},
                           .route = "r",
                           .host = "a.example",
                           .items = {},
                           .maxAttempts = 2,
                           .dueAfter = Milliseconds(dueAfterMs),
                           .abandonAfter = Milliseconds(60000),
                           .keepFor = Milliseconds(120000),
                           .at = wall};
        for (int i = 0; i < items; ++i) {
            command.items.push_back({.id = id + std::to_string(i),
                                     .path = "/x",
                                     .headers = {},
                                     .body = "b",
                                     .tokens = 9});
        }
        state.apply(command);
    }
    void pass(int ms)
    {
        now += Milliseconds(ms);
        wall += Milliseconds(ms);
        runner.tick();
        broker.tick();
    }
    Sending &sending(std::size_t number)
    {
        return *sendings.at(number);
    }
    void answer(std::size_t number, std::uint16_t status, const std::string &bytes)
    {
        const auto to = sendings.at(number);
        to->hooks.head(HttpResponseHead{status, {}});
        to->hooks.chunk(bytes);
    }
    void end(std::size_t number, ResultCode code)
    {
        const auto to = sendings.at(number);
        to->hooks.end(HttpExchangeEnd{SendState::Sent, code, "test"});
    }
    std::vector<BulkResult> results(const std::string &id) const
    {
        return state.table().page({.id = JobId{id}}).results;
    }

    MonotonicTime now;
    WallTime wall = noon;
    FakeBulkState state;
    std::shared_ptr<const RouteTable> routes = batchRoutes(engine);
    std::vector<std::shared_ptr<Sending>> sendings;
    Metrics metrics;
    std::uint64_t clockReads = 0;
    Clock clock{.monotonic =
                    [this] {
                        ++clockReads;
                        return now;
                    },
                .wall =
                    [this] {
                        ++clockReads;
                        return wall;
                    }};
    SlotBroker broker{
        SlotBrokerOptions{.availabilityZone = {}, .batchReserve = 0}, clock, seededRandom(1),
        SlotBrokerHooks{.grant = [](const HostId &, const SlotGrant &) {},
                        .refuse = [](const HostId &, const SlotRefusal &) {},
                        .yieldBatch
                        = [this](const ServiceName &service) { return runner.yield(service); },
                        .batchMayStart =
                            [this](const ServiceName &service) {
                                runner.startItems(service);
                            }}};
    CrashLedger crashes{CrashLedgerOptions{}, clock};
    BulkRunner runner{
        BulkRunnerOptions{},
        clock,
        broker,
        crashes,
        metrics,
        BulkRunnerHooks{
            .table = [this]() -> const BulkTable * { return &state.table(); },
            .routes = [this] { return routes; },
            .propose =
                [this](const Command &command, const std::function<void(Outcome<Reply>)> &done) {
                    state.apply(command);
                    done(Reply(PlainReply{}));
                },
            .itemRequest =
                [](const std::string &, const BulkItemSpec &item) {
                    HttpRequest request;
                    request.target = item.id;
                    return request;
                },
            .codec
            = {.encode =
                   [this](const HttpRequest &request, const RelayAttempt &attempt) {
                       behind = attempt.lastEventId;
                       return request;
                   },
               .classify =
                   [](const std::string &, const HttpResponseHead &head) {
                       return head.status == 200 ? ResponseClass::Success : ResponseClass::Failure;
                   },
               .reportsLeaving
               = [](const HttpResponseHead &head) { return head.headers.contains("Leaving"); },
               .encodeError = nullptr},
            .send = [this](const std::string &, HttpRequest request, Milliseconds,
                           HttpExchangeHooks hooks) -> std::unique_ptr<HttpExchange> {
                auto made = std::make_shared<Sending>();
                made->request = std::move(request);
                made->behind = behind;
                made->hooks = std::move(hooks);
                sendings.push_back(made);
                return std::make_unique<FakeExchange>([made] { made->closed = true; });
            },
            .serverLeaves =
                [this](const ServerLeaving &told) {
                    leaving.push_back(told);
                }}};
    std::vector<ServerLeaving> leaving;
    std::optional<std::uint64_t> behind;
};

} // namespace

BOOST_AUTO_TEST_SUITE(BulkRunnerTest)

BOOST_AUTO_TEST_CASE(ItemsFillFreeSlotsAndTheirOutputIsListed)
{
    Bench bench;
    bench.accept("a", 3);
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    bench.answer(0, 200, event(1) + event(2));
    bench.end(0, ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(bench.results("a").size(), 1U);
    BOOST_TEST(bench.results("a")[0].output == "d1\nd2");
    BOOST_TEST(bench.sendings.size() == 3U);
}

BOOST_AUTO_TEST_CASE(TheServerOfARunMayTellThatItLeaves)
{
    for (const std::uint16_t status : {200, 500}) {
        Bench bench;
        bench.accept("a", 1);
        bench.pass(20);
        HttpResponseHead head{status, {}};
        head.headers.fields.push_back({"Leaving", "1"});
        bench.sending(0).hooks.head(head);
        BOOST_REQUIRE_EQUAL(bench.leaving.size(), 1U);
        BOOST_TEST(bench.leaving[0].server.value == "s1");
    }
}

BOOST_AUTO_TEST_CASE(AnItemThatGivesWayGoesOnBehindItsLastEvent)
{
    Bench bench;
    bench.accept("a", 1);
    bench.pass(20);
    bench.answer(0, 200, event(1) + event(2) + "id: 3\nda");
    BOOST_TEST(bench.runner.yield(engine).has_value());
    BOOST_TEST(bench.sending(0).closed);
    // The broker counts the slot as free from here on.
    bench.broker.batchEnded({ServerId{"s1"}, 9}, SlotOutcome::Abandoned);
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(bench.sending(1).behind.value_or(0) == 2U);
    bench.answer(1, 200, event(3));
    bench.end(1, ResultCode::Ok);
    BOOST_TEST(bench.results("a").at(0).output == "d1\nd2\nd3");
}

BOOST_AUTO_TEST_CASE(TheRunWithMostTimeToSpareGivesWay)
{
    Bench bench;
    bench.accept("soon", 1, 8000);
    bench.accept("late", 1, 40000);
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(bench.sending(0).request.target == "soon0");
    bench.runner.yield(engine);
    BOOST_TEST(!bench.sending(0).closed);
    BOOST_TEST(bench.sending(1).closed);
}

BOOST_AUTO_TEST_CASE(ARunThatWouldBeLateByItIsKept)
{
    Bench bench;
    bench.accept("tight", 1, 6400);
    bench.pass(20);
    BOOST_TEST(!bench.runner.yield(engine).has_value());
}

BOOST_AUTO_TEST_CASE(ARunThatEndsSoonIsKept)
{
    Bench bench;
    bench.accept("a", 1);
    bench.pass(20);
    bench.answer(0, 200, eventsUpTo(240));
    BOOST_TEST(!bench.runner.yield(engine).has_value());
}

BOOST_AUTO_TEST_CASE(ALongItemIsNotKeptForEver)
{
    // Half of all items are longer than the average: kept past it, they hold slots in bursts.
    Bench bench;
    bench.accept("a", 1);
    bench.pass(20);
    bench.answer(0, 200, eventsUpTo(260));
    BOOST_TEST(bench.runner.yield(engine).has_value());
}

BOOST_AUTO_TEST_CASE(WithTooManyItemsThoseNearlyDoneGoFirst)
{
    Bench bench;
    bench.accept("begun", 1, 14000);
    bench.pass(20);
    bench.answer(0, 200, eventsUpTo(200));
    BOOST_REQUIRE(bench.runner.yield(engine).has_value());
    // Due earlier, but with all of their work before them.
    bench.accept("fresh", 4, 12000);
    bench.broker.batchEnded({ServerId{"s1"}, 9}, SlotOutcome::Abandoned);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 3U);
    BOOST_TEST(bench.sending(1).request.target == "begun0");
}

BOOST_AUTO_TEST_CASE(ASilentRunMayGiveWayToARequestThatAnotherOneLetIn)
{
    // Both runs are kept while they can be in time; later one may yield because the other ended.
    Bench bench;
    bench.accept("tight", 2, 6400);
    bench.pass(20);
    for (std::uint64_t ticket = 1; ticket <= 2; ++ticket) {
        SlotRequest request;
        request.ticket = ticket;
        request.service = engine;
        request.startWithinMs = 3000;
        request.giveUpAfterMs = 5000;
        bench.broker.request(HostId{"e"}, request);
    }
    BOOST_TEST(bench.broker.waiting(engine) == 2U);
    bench.now += Milliseconds(1600);
    bench.wall += Milliseconds(1600);
    bench.runner.tick();
    BOOST_TEST(bench.broker.waiting(engine) == 0U);
    BOOST_TEST(bench.runner.running() == 0U);
}

BOOST_AUTO_TEST_CASE(AnotherLeaderGoesOnWhereTheRunWasSaved)
{
    Bench bench;
    bench.accept("a", 1);
    bench.pass(20);
    std::string events;
    for (int id = 1; id <= 30; ++id) {
        events += event(id);
    }
    bench.answer(0, 200, events);
    bench.pass(1100);
    bench.runner.stop();
    bench.broker.reset();
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(bench.sending(1).behind.value_or(0) == 30U);
    bench.answer(1, 200, event(31));
    bench.end(1, ResultCode::Ok);
    const std::string output = bench.results("a").at(0).output;
    BOOST_TEST(output.starts_with("d1\nd2\n"));
    BOOST_TEST(output.ends_with("d30\nd31"));
}

BOOST_AUTO_TEST_CASE(FailuresCountAndAnItemThatCannotBeDoneEnds)
{
    Bench bench;
    bench.accept("a", 2);
    bench.pass(20);
    bench.answer(0, 422, "");
    bench.end(0, ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(bench.results("a").size(), 1U);
    BOOST_TEST((bench.results("a")[0].phase == BulkItemPhase::DeadLettered));
    for (std::size_t attempt = 1; attempt <= 2; ++attempt) {
        bench.pass(600);
        BOOST_REQUIRE_EQUAL(bench.sendings.size(), attempt + 1);
        bench.answer(attempt, 500, "");
        bench.end(attempt, ResultCode::Ok);
    }
    BOOST_REQUIRE_EQUAL(bench.results("a").size(), 2U);
    bench.pass(2000);
    BOOST_TEST(bench.sendings.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ABrokenRunIsNoAttempt)
{
    Bench bench;
    bench.accept("a", 1);
    bench.pass(20);
    for (std::size_t number = 0; number < 5; ++number) {
        bench.end(number, ResultCode::StreamBroken);
        bench.pass(5000);
        BOOST_REQUIRE_EQUAL(bench.sendings.size(), number + 2);
    }
    BOOST_TEST(bench.results("a").empty());
}

BOOST_AUTO_TEST_CASE(RunsOfAnEndedJobEnd)
{
    Bench bench;
    bench.accept("a", 2);
    bench.pass(20);
    bench.state.apply(EndBulk{JobId{"a"}, bench.wall});
    bench.pass(20);
    BOOST_TEST(bench.sending(0).closed);
    BOOST_TEST(bench.runner.running() == 0U);
    bench.pass(2000);
    BOOST_TEST(bench.sendings.size() == 2U);
}

/// The load of a fleet on the crest of its wave: thousands of items wait, some hundred of them with
/// events, and each answer that ends frees a slot. Choosing among them must not cost as much as
/// there are items; reads of the clock stand for the work.
BOOST_AUTO_TEST_CASE(AFreedSlotAmongThousandsOfItemsReadsTheClockAFewTimes)
{
    Bench bench;
    for (int job = 0; job < 200; ++job) {
        bench.accept("job-with-a-long-name-" + std::to_string(1000 + job), 10);
    }
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.runner.running(), 2U);
    const std::uint64_t before = bench.clockReads;
    bench.answer(0, 200, eventsUpTo(3));
    bench.end(0, ResultCode::Ok);
    BOOST_TEST(bench.runner.running() == 2U);
    BOOST_TEST(bench.clockReads - before < 60U);
}

BOOST_AUTO_TEST_CASE(AnItemThatGaveWayIsChosenAgainAmongFreshOnes)
{
    Bench bench;
    bench.accept("a", 1, 9000);
    bench.accept("b", 5, 18000);
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    bench.answer(0, 200, eventsUpTo(100));
    bench.answer(1, 200, eventsUpTo(100));
    SlotRequest request;
    request.ticket = 1;
    request.service = engine;
    request.startWithinMs = 300;
    request.giveUpAfterMs = 5000;
    bench.broker.request(HostId{"e"}, request);
    BOOST_TEST(bench.runner.running() == 1U);
    bench.pass(20);
    bench.broker.end(HostId{"e"}, SlotEnd{.ticket = 1, .heldMs = 500});
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 3U);
    BOOST_TEST(bench.sendings[2]->behind.has_value());
}

BOOST_AUTO_TEST_CASE(AnOutputWithoutEndIsLeftAndTheItemIsDoneElsewhere)
{
    Bench bench;
    bench.accept("a", 1);
    bench.pass(20);
    const auto first = bench.sendings.at(0);
    first->hooks.head(HttpResponseHead{200, {}});
    const std::string data(64UL * 1024, 'x');
    int id = 0;
    while (!first->closed && id < 1000) {
        ++id;
        first->hooks.chunk("id: " + std::to_string(id) + "\ndata: " + data + "\n\n");
    }
    BOOST_TEST(id < 70);
    bench.pass(600);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(!bench.sendings[1]->behind.has_value());
    bench.answer(1, 200, eventsUpTo(2));
    bench.end(1, ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(bench.results("a").size(), 1U);
    BOOST_TEST(bench.results("a")[0].output == "d1\nd2");
}

BOOST_AUTO_TEST_CASE(AnEventWithoutEndOfAnItemIsLeft)
{
    Bench bench;
    bench.accept("a", 1);
    bench.pass(20);
    const auto first = bench.sendings.at(0);
    first->hooks.head(HttpResponseHead{200, {}});
    first->hooks.chunk(eventsUpTo(1));
    int pieces = 0;
    while (!first->closed && pieces < 1000) {
        ++pieces;
        first->hooks.chunk(std::string(64UL * 1024, 'x'));
    }
    BOOST_TEST(pieces < 6);
    bench.pass(200);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(*bench.sendings[1]->behind == 1U);
}

BOOST_AUTO_TEST_CASE(WhatIsNotDoneInTimeIsGivenUp)
{
    Bench bench;
    bench.accept("a", 1);
    bench.pass(60400);
    // The clock of the host that accepted the job may have been 2 s off.
    BOOST_TEST(bench.results("a").empty());
    bench.pass(2200);
    BOOST_REQUIRE_EQUAL(bench.results("a").size(), 1U);
    BOOST_TEST((bench.results("a")[0].phase == BulkItemPhase::DeadLettered));
}

BOOST_AUTO_TEST_CASE(AnItemThatCrashesServersRestsUntilItIsTooOld)
{
    Bench bench;
    bench.accept("j", 1);
    bench.runner.startItems(engine);
    bench.end(0, ResultCode::BackendFailed);
    BOOST_TEST(bench.sendings.size() == 2U);
    for (const char *server : {"s2", "s3"}) {
        bench.crashes.noteBroken(requestFingerprint("/x", "b"), ServerId{server});
    }
    bench.end(1, ResultCode::BackendFailed);
    bench.pass(30000);
    bench.runner.startItems(engine);
    BOOST_TEST(bench.sendings.size() == 2U);
    bench.pass(33000);
    BOOST_REQUIRE(bench.results("j").size() == 1U);
    BOOST_TEST((bench.results("j")[0].phase == BulkItemPhase::DeadLettered));
}

BOOST_AUTO_TEST_CASE(AnItemThatLosesAServerMidwayIsNoSuspect)
{
    Bench bench;
    bench.accept("j", 1);
    bench.runner.startItems(engine);
    bench.answer(0, 200, event(1));
    bench.end(0, ResultCode::BackendFailed);
    BOOST_TEST(bench.crashes.suspects().suspects.empty());
}

BOOST_AUTO_TEST_CASE(RunsOfItemsThatAnotherLeaderSentAreOrphans)
{
    Bench bench;
    bench.accept("a", 3);
    bench.pass(20);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    const ServerId here{"s1"};
    const ServerId elsewhere{"s2"};
    // a0 and a1 run here for this host, a2 nowhere; x is no item.
    const std::vector<std::string> runs{"a0", "a2", "x"};
    BOOST_TEST((bench.runner.orphansOf(here, runs) == std::vector<std::string>{"a2"}));
    BOOST_TEST((bench.runner.orphansOf(elsewhere, runs) == std::vector<std::string>{"a0", "a2"}));
    // What a server says is old: a run of ours that gave way just now is none.
    bench.runner.yield(engine);
    bench.runner.yield(engine);
    BOOST_TEST(bench.runner.orphansOf(here, {"a0", "a1"}).empty());
    bench.now += Milliseconds(1100);
    BOOST_TEST(bench.runner.orphansOf(here, {"a0", "a1"}).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
