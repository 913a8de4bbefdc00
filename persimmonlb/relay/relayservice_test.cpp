#include <memory>
#include <set>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/testing/fakesending.h"
#include "persimmonlb/relay/eventreader.h"
#include "persimmonlb/relay/relayservice.h"
#include "persimmonlb/testing/laterqueue.h"

using namespace persimmonlb;
using persimmonlb::testing::FakeSending;
using persimmonlb::testing::LaterQueue;
using persimmonlb::testing::recordInto;

namespace
{

const ServiceName service{"lm"};

/// Remembers what a caller gets.
class FakeResponder : public HttpResponder
{
public:
    void respond(HttpResponse response) override
    {
        status = response.status;
        body = response.body;
        ended = true;
    }
    void start(HttpResponseHead head) override
    {
        status = head.status;
    }
    void write(std::string chunk, std::function<void()> /*written*/) override
    {
        body += chunk;
    }
    void finish() override
    {
        ended = true;
    }
    void abort() override
    {
        aborted = true;
    }
    void onClosed(std::function<void()> closed) override
    {
        leave = std::move(closed);
    }

    std::uint16_t status = 0;
    std::string body;
    bool ended = false;
    bool aborted = false;
    std::function<void()> leave;
};

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d\n\n";
}

struct Bench {
    Bench()
    {
        FleetView view;
        for (const char *id : {"s1", "s2", "s3"}) {
            FleetServer server;
            server.id = ServerId{id};
            server.bornMs = 1;
            server.service = service;
            server.address = std::string(id) + ":80";
            server.slots = 4;
            view.servers.push_back(server);
        }
        slots.setView(view);
    }

    Route route(RouteKind kind, bool resumable)
    {
        Route made;
        made.name = "r";
        made.kind = kind;
        made.timeout = Milliseconds(5000);
        made.objective = Milliseconds(300);
        made.maxAttempts = 2;
        made.resumable = resumable;
        made.services = {{service, 1}};
        return made;
    }
    void relay(RouteKind kind, bool resumable = false)
    {
        RelayRequest request;
        request.id = "q";
        request.route = route(kind, resumable);
        request.callerWaits = Milliseconds(5000);
        request.request.method = "POST";
        relays.relay(request, caller);
        later.run();
    }
    void pass(int ms)
    {
        now += Milliseconds(ms);
        slots.tick();
        relays.tick();
        later.run();
    }
    FakeSending &last()
    {
        return *sendings.back();
    }
    void head(std::uint16_t status)
    {
        last().hooks.head(HttpResponseHead{status, {}});
        later.run();
    }
    /// The head of an answer of a server that leaves.
    void lastWords(std::uint16_t status)
    {
        HttpResponseHead head{status, {}};
        head.headers.fields.push_back({"Leaving", "1"});
        last().hooks.head(head);
        later.run();
    }
    /// Servers that the next requests are sent to.
    std::set<std::string> usedNext(int requests)
    {
        std::set<std::string> used;
        for (int number = 0; number < requests; ++number) {
            relay(RouteKind::Safe);
            used.insert(last().address);
        }
        return used;
    }
    void chunk(const std::string &bytes)
    {
        last().hooks.chunk(bytes);
        later.run();
    }
    void end(ResultCode code, SendState state = SendState::Sent)
    {
        const auto sending = sendings.back();
        sending->hooks.end(HttpExchangeEnd{state, code, "test"});
        later.run();
    }

    MonotonicTime now;
    LaterQueue later;
    std::vector<std::shared_ptr<FakeSending>> sendings;
    std::vector<std::optional<std::uint64_t>> resumedBehind;
    Milliseconds blockedFor{0};
    std::vector<RunVerdict> verdicts;
    Metrics metrics;
    Clock clock{.monotonic = [this] { return now; },
                .wall =
                    [] {
                        return WallTime();
                    }};
    SlotClient slots{
        SlotClientOptions{.self = HostId{"e"}}, clock, seededRandom(1),
        SlotClientHooks{.request = [](const HostId &, const SlotRequest &) { return false; },
                        .end = [](const HostId &, const SlotEnd &) { return false; },
                        .held = [](const HostId &, const SlotsHeld &) { return false; },
                        .serverLeaves = [](const HostId &, const ServerLeaving &) { return false; },
                        .capacityOf =
                            [](const ServiceName &) {
                                return SlotCapacity{4, 0};
                            },
                        .isBrokered = [](const ServiceName &) { return false; },
                        .later =
                            [this](std::function<void()> fn) {
                                later.put(std::move(fn));
                            }}};
    std::shared_ptr<FakeResponder> caller = std::make_shared<FakeResponder>();
    RelayService relays{
        RelayOptions{},
        clock,
        seededRandom(2),
        slots,
        metrics,
        RelayHooks{
            .codec
            = {.encode =
                   [this](const HttpRequest &request, const RelayAttempt &attempt) {
                       resumedBehind.push_back(attempt.lastEventId);
                       return request;
                   },
               .classify =
                   [](const std::string &, const HttpResponseHead &head) {
                       return head.status == 200 ? AnswerClass::Success
                           : head.status == 421  ? AnswerClass::NotRun
                           : head.status == 299  ? AnswerClass::Foreign
                                                 : AnswerClass::Failure;
                   },
               .saysLeaving
               = [](const HttpResponseHead &head) { return head.headers.contains("Leaving"); },
               .refusal =
                   [](const std::string &, const Error &error) {
                       const bool notRun = error.runState() == RunState::NotRun;
                       return HttpResponse{static_cast<std::uint16_t>(notRun ? 503 : 502), {}, {}};
                   }},
            .send = recordInto(sendings),
            .isEngine = [](const ServiceName &) { return true; },
            .anySuspects = [] { return true; },
            .blockedFor = [this](std::uint64_t) { return blockedFor; },
            .runEnded =
                [this](const RunVerdict &verdict) {
                    verdicts.push_back(verdict);
                }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayServiceTest)

BOOST_AUTO_TEST_CASE(AWholeAnswerIsPassedOn)
{
    Bench bench;
    bench.relay(RouteKind::Safe);
    bench.head(200);
    bench.chunk("hello");
    BOOST_TEST(!bench.caller->ended);
    bench.end(ResultCode::Ok);
    BOOST_TEST(bench.caller->status == 200);
    BOOST_TEST(bench.caller->body == "hello");
    BOOST_TEST(bench.relays.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(ARequestThatDidNotRunGoesToAnotherServerWhateverItsKind)
{
    Bench bench;
    bench.relay(RouteKind::OnceOnly);
    bench.head(421);
    bench.end(ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(bench.sendings[0]->address != bench.sendings[1]->address);
    bench.end(ResultCode::BackendConnectFailed, SendState::NothingSent);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 3U);
    bench.head(421);
    bench.end(ResultCode::Ok);
    // No server is left that was not tried: nothing ran, and the caller is told so.
    BOOST_TEST(bench.caller->status == 503);
}

BOOST_AUTO_TEST_CASE(ABrokenOnceOnlyRequestIsNeverSentAgain)
{
    Bench bench;
    bench.relay(RouteKind::OnceOnly);
    bench.end(ResultCode::BackendFailed);
    BOOST_TEST(bench.sendings.size() == 1U);
    BOOST_TEST(bench.caller->status == 502);
}

BOOST_AUTO_TEST_CASE(ABrokenSafeRequestIsSentAgainWithinItsAttempts)
{
    Bench bench;
    bench.relay(RouteKind::Safe);
    bench.end(ResultCode::BackendFailed);
    BOOST_TEST(bench.sendings.size() == 2U);
    bench.end(ResultCode::BackendFailed);
    BOOST_TEST(bench.sendings.size() == 2U);
    BOOST_TEST(bench.caller->status == 502);
}

BOOST_AUTO_TEST_CASE(AForeignAnswerReachesNobody)
{
    Bench bench;
    bench.relay(RouteKind::Safe);
    bench.head(299);
    BOOST_TEST(bench.sendings[0]->closed);
    BOOST_TEST(bench.sendings.size() == 2U);
    BOOST_TEST(bench.caller->status == 0);
}

BOOST_AUTO_TEST_CASE(TheServersOwnFailureIsPassedOnOnceAttemptsAreUsedUp)
{
    Bench bench;
    bench.relay(RouteKind::Safe);
    bench.head(500);
    bench.chunk("first");
    bench.end(ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    bench.head(500);
    bench.chunk("second");
    bench.end(ResultCode::Ok);
    BOOST_TEST(bench.caller->status == 500);
    BOOST_TEST(bench.caller->body == "second");
}

namespace
{

/// Sends chunks until the exchange is closed, and tells how many bytes that were.
std::size_t floodUntilClosed(Bench &bench)
{
    const auto sending = bench.sendings.back();
    const std::string piece(64UL * 1024, 'x');
    std::size_t sent = 0;
    while (!sending->closed && sent < 64UL * 1024 * 1024) {
        sending->hooks.chunk(piece);
        bench.later.run();
        sent += piece.size();
    }
    return sent;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndIsTheServersFailure)
{
    for (const std::uint16_t status : {200, 500}) {
        Bench bench;
        bench.relay(RouteKind::Safe);
        bench.head(status);
        BOOST_TEST(floodUntilClosed(bench) <= RelayOptions{}.maxAnswerBytes + 64UL * 1024);
        BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
        bench.head(200);
        bench.chunk("whole");
        bench.end(ResultCode::Ok);
        BOOST_TEST(bench.caller->body == "whole");
    }
}

BOOST_AUTO_TEST_CASE(AnAnswerWithoutEndToAOnceOnlyRequestEndsItAtOnce)
{
    Bench bench;
    bench.relay(RouteKind::OnceOnly);
    bench.head(200);
    floodUntilClosed(bench);
    BOOST_TEST(bench.sendings.size() == 1U);
    BOOST_TEST(bench.caller->status == 502);
}

BOOST_AUTO_TEST_CASE(ARefusalWithoutEndIsBelieved)
{
    Bench bench;
    bench.relay(RouteKind::OnceOnly);
    bench.head(421);
    floodUntilClosed(bench);
    BOOST_TEST(bench.sendings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(AnEventWithoutEndIsLeftAndTheStreamGoesOnElsewhere)
{
    Bench bench;
    bench.relay(RouteKind::Streaming, true);
    bench.head(200);
    bench.chunk(event(1));
    BOOST_TEST(floodUntilClosed(bench) <= maxEventBytes + 64UL * 1024);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(*bench.resumedBehind.back() == 1U);
    bench.head(200);
    bench.chunk(event(2));
    bench.end(ResultCode::Ok);
    BOOST_TEST(bench.caller->body == event(1) + event(2));
}

BOOST_AUTO_TEST_CASE(AResumableStreamGoesOnBehindItsLastEvent)
{
    Bench bench;
    bench.relay(RouteKind::Streaming, true);
    bench.head(200);
    bench.chunk(event(1) + event(2) + "id: 3\nda");
    bench.end(ResultCode::StreamBroken);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    BOOST_TEST(bench.resumedBehind[1].value_or(0) == 2U);
    bench.head(200);
    bench.chunk(event(3));
    bench.end(ResultCode::Ok);
    BOOST_TEST(bench.caller->body == event(1) + event(2) + event(3));
    BOOST_TEST(bench.caller->ended);
}

BOOST_AUTO_TEST_CASE(AStreamThatMayNotBeResumedIsCutSoThatItCannotLookWhole)
{
    Bench bench;
    bench.relay(RouteKind::Streaming);
    bench.head(200);
    bench.chunk(event(1));
    bench.end(ResultCode::StreamBroken);
    BOOST_TEST(bench.sendings.size() == 1U);
    BOOST_TEST(bench.caller->aborted);
    BOOST_TEST(!bench.caller->ended);
}

BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventIsNotWhole)
{
    Bench bench;
    bench.relay(RouteKind::Streaming, true);
    bench.head(200);
    bench.chunk(event(1) + "id: 2");
    bench.end(ResultCode::Ok);
    BOOST_TEST(bench.sendings.size() == 2U);
    BOOST_TEST(!bench.caller->ended);
}

BOOST_AUTO_TEST_CASE(ASilentServerIsLeftForAnotherOne)
{
    Bench bench;
    bench.relay(RouteKind::Streaming, true);
    bench.pass(850);
    BOOST_TEST(bench.sendings.size() == 1U);
    bench.pass(100);
    BOOST_TEST(bench.sendings[0]->closed);
    BOOST_TEST(bench.sendings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ASilentServerKeepsARequestThatMayNotBeRepeated)
{
    Bench bench;
    bench.relay(RouteKind::OnceOnly);
    bench.pass(4000);
    BOOST_TEST(bench.sendings.size() == 1U);
    BOOST_TEST(!bench.sendings[0]->closed);
}

BOOST_AUTO_TEST_CASE(ATimeThatIsUpIsNoFailureOfTheServer)
{
    // A route with a timeout below its servers' work must not rest healthy servers.
    Bench bench;
    for (int i = 0; i < 9; ++i) {
        bench.relay(RouteKind::OnceOnly);
        bench.end(ResultCode::DeadlineExceeded);
        bench.caller = std::make_shared<FakeResponder>();
    }
    bench.relay(RouteKind::OnceOnly);
    BOOST_TEST(bench.sendings.size() == 10U);
    BOOST_TEST(bench.caller->status == 0);
}

BOOST_AUTO_TEST_CASE(ACallerThatLeavesEndsTheExchange)
{
    Bench bench;
    bench.relay(RouteKind::Streaming, true);
    bench.caller->leave();
    BOOST_TEST(bench.sendings[0]->closed);
    BOOST_TEST(bench.relays.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(WithoutServersTheCallerIsToldAtOnceThatNothingRan)
{
    Bench bench;
    bench.slots.setView(FleetView());
    bench.relay(RouteKind::Streaming, true);
    BOOST_TEST(bench.caller->status == 503);
    BOOST_TEST(bench.sendings.empty());
}

BOOST_AUTO_TEST_CASE(ARequestThatCrashesServersIsRefusedBeforeItIsSent)
{
    Bench bench;
    bench.blockedFor = Milliseconds(60000);
    bench.relay(RouteKind::Safe);
    BOOST_TEST(bench.sendings.empty());
    BOOST_TEST(bench.caller->status == 503);
}

BOOST_AUTO_TEST_CASE(ARequestThatIsBlockedWhileItRunsIsNotSentAgain)
{
    Bench bench;
    bench.relay(RouteKind::Safe);
    bench.blockedFor = Milliseconds(60000);
    bench.end(ResultCode::BackendFailed);
    BOOST_TEST(bench.sendings.size() == 1U);
    // It may have run, so the refusal must not say otherwise.
    BOOST_TEST(bench.caller->status == 502);
}

BOOST_AUTO_TEST_CASE(TheLeaderIsToldHowRunsEnd)
{
    Bench bench;
    bench.relay(RouteKind::Safe);
    bench.end(ResultCode::BackendFailed);
    BOOST_REQUIRE(bench.verdicts.size() == 1U);
    BOOST_TEST(bench.verdicts[0].broken);
    bench.head(200);
    bench.end(ResultCode::Ok);
    BOOST_REQUIRE(bench.verdicts.size() == 2U);
    BOOST_TEST(!bench.verdicts[1].broken);
    BOOST_TEST(bench.verdicts[1].fingerprint == bench.verdicts[0].fingerprint);
    BOOST_TEST((bench.verdicts[1].server != bench.verdicts[0].server));
}

BOOST_AUTO_TEST_CASE(ARefusalOfTheServerOrADeadlineSaysNothingOfACrash)
{
    Bench refused;
    refused.relay(RouteKind::Safe);
    refused.head(421);
    refused.end(ResultCode::Ok);
    BOOST_TEST(refused.verdicts.empty());
    Bench late;
    late.relay(RouteKind::OnceOnly);
    late.end(ResultCode::DeadlineExceeded);
    BOOST_TEST(late.verdicts.empty());
    Bench unreached;
    unreached.relay(RouteKind::Safe);
    unreached.end(ResultCode::BackendConnectFailed, SendState::NothingSent);
    BOOST_TEST(unreached.verdicts.empty());
}

BOOST_AUTO_TEST_CASE(AServerThatLeavesGetsNoNewRequestWhateverItAnswered)
{
    for (const std::uint16_t status : {200, 421, 500, 299}) {
        Bench bench;
        bench.relay(RouteKind::Streaming, true);
        const std::string leaves = bench.last().address;
        bench.lastWords(status);
        BOOST_TEST(!bench.usedNext(8).contains(leaves), "status " << status);
    }
}

BOOST_AUTO_TEST_CASE(AResumedStreamMayTellThatItsNewServerLeaves)
{
    Bench bench;
    bench.relay(RouteKind::Streaming, true);
    bench.head(200);
    bench.chunk(event(1));
    bench.end(ResultCode::BackendFailed);
    BOOST_REQUIRE_EQUAL(bench.sendings.size(), 2U);
    const std::string leaves = bench.last().address;
    bench.lastWords(200);
    bench.chunk(event(2));
    // The stream itself goes on there.
    BOOST_TEST(bench.caller->body == event(1) + event(2));
    BOOST_TEST(!bench.usedNext(8).contains(leaves));
}

BOOST_AUTO_TEST_CASE(WhereAllServersLeaveRequestsAreRefusedAtOnce)
{
    Bench bench;
    for (int number = 0; number < 3; ++number) {
        bench.relay(RouteKind::Safe);
        bench.lastWords(200);
    }
    bench.caller = std::make_shared<FakeResponder>();
    bench.relay(RouteKind::Safe);
    BOOST_TEST(bench.sendings.size() == 3U);
    BOOST_TEST(bench.caller->status == 503);
}

/// Sustained overload: callers of streams leave 2 s after they asked, long before their deadlines.
BOOST_AUTO_TEST_CASE(AStreamThatFindsNoSlotIsRefusedBeforeItsCallerLeaves)
{
    Bench bench;
    for (int held = 0; held < 12; ++held) {
        bench.relay(RouteKind::Streaming, true);
        bench.head(200);
        bench.chunk(event(1));
    }
    bench.pass(700);
    bench.caller = std::make_shared<FakeResponder>();
    bench.relay(RouteKind::Streaming, true);
    for (int step = 0; step < 80 && !bench.caller->ended; ++step) {
        bench.pass(20);
        // The others go on all the while.
        for (std::size_t held = 0; held < 12; ++held) {
            bench.sendings[held]->hooks.chunk(event(step + 2));
        }
    }
    BOOST_TEST(bench.sendings.size() == 12U);
    BOOST_TEST(bench.caller->ended);
    BOOST_TEST(bench.caller->status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
