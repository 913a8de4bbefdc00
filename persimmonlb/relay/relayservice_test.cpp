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

const ServiceName serviceName{"lm"};

/// Records what a caller receives.
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
        disconnect = std::move(closed);
    }

    std::uint16_t status = 0;
    std::string body;
    bool ended = false;
    bool aborted = false;
    std::function<void()> disconnect;
};

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d\n\n";
}

struct Fixture {
    Fixture()
    {
        FleetView view;
        for (const char *id : {"s1", "s2", "s3"}) {
            FleetServer server;
            server.id = ServerId{id};
            server.bornMs = 1;
            server.service = serviceName;
            server.address = std::string(id) + ":80";
            server.slots = 4;
            view.servers.push_back(server);
        }
        slots.setView(view);
    }

    Route route(RouteKind kind, bool resumable)
    {
        Route result;
        result.name = "r";
        result.kind = kind;
        result.timeout = routeTimeout;
        result.objective = Milliseconds(300);
        result.maxAttempts = 2;
        result.resumable = resumable;
        result.services = {{serviceName, 1}};
        return result;
    }
    /// Leaves what the request waits for, such as its slot, to later.run().
    void relayWithoutRunning(RouteKind kind, bool resumable = false)
    {
        RelayRequest request;
        request.id = "q";
        request.sharedParts = sharedParts;
        request.route = route(kind, resumable);
        request.callerTimeout = callerTimeout;
        request.request.method = "POST";
        relayService.relay(request, caller);
    }
    void relay(RouteKind kind, bool resumable = false)
    {
        relayWithoutRunning(kind, resumable);
        later.run();
    }
    void advance(int ms)
    {
        now += Milliseconds(ms);
        slots.tick();
        relayService.tick();
        later.run();
    }
    FakeSending &lastSending()
    {
        return *sendings.back();
    }
    void head(std::uint16_t status)
    {
        lastSending().hooks.head(HttpResponseHead{status, {}});
        later.run();
    }
    /// Delivers a response head that reports that the server is leaving.
    void leavingHead(std::uint16_t status)
    {
        HttpResponseHead head{status, {}};
        head.headers.fields.push_back({"Leaving", "1"});
        lastSending().hooks.head(head);
        later.run();
    }
    /// Sends `requests` more requests and returns the addresses of their servers.
    std::set<std::string> serversOfNextRequests(int requests)
    {
        std::set<std::string> used;
        for (int number = 0; number < requests; ++number) {
            relay(RouteKind::Safe);
            used.insert(lastSending().address);
        }
        return used;
    }
    void chunk(const std::string &bytes)
    {
        lastSending().hooks.chunk(bytes);
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
    std::vector<std::optional<std::uint64_t>> lastEventIds;
    Milliseconds routeTimeout{5000};
    Milliseconds callerTimeout{5000};
    Milliseconds blockedFor{0};
    std::optional<std::uint64_t> limitPerKs = 0;
    std::vector<std::uint64_t> sharedParts;
    std::vector<std::uint64_t> checkedFingerprints;
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
                        .reportHeldSlots = [](const HostId &, const SlotsHeld &) { return false; },
                        .reportServerLeaving
                        = [](const HostId &, const ServerLeaving &) { return false; },
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
    RelayService relayService{
        RelayOptions{},
        clock,
        seededRandom(2),
        slots,
        metrics,
        RelayHooks{
            .codec
            = {.encode =
                   [this](const HttpRequest &request, const RelayAttempt &attempt) {
                       lastEventIds.push_back(attempt.lastEventId);
                       return request;
                   },
               .classify =
                   [](const std::string &, const HttpResponseHead &head) {
                       return head.status == 200 ? ResponseClass::Success
                           : head.status == 421  ? ResponseClass::NotRun
                           : head.status == 299  ? ResponseClass::Mismatched
                                                 : ResponseClass::Failure;
                   },
               .reportsLeaving
               = [](const HttpResponseHead &head) { return head.headers.contains("Leaving"); },
               .requestLimitPerKs = [this](const HttpResponseHead &) { return limitPerKs; },
               .encodeError =
                   [](const std::string &, const Error &error) {
                       const bool notRun = error.runState() == RunState::NotRun;
                       return HttpResponse{static_cast<std::uint16_t>(notRun ? 503 : 502), {}, {}};
                   }},
            .send = recordInto(sendings),
            .isEngine = [](const ServiceName &) { return true; },
            .hasSuspects = [] { return true; },
            .blockedFor =
                [this](const std::vector<std::uint64_t> &fingerprints) {
                    checkedFingerprints = fingerprints;
                    return blockedFor;
                },
            .requestSent = [](const std::vector<std::uint64_t> &) {},
            .runJudged =
                [this](const RunVerdict &verdict) {
                    verdicts.push_back(verdict);
                }}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayServiceTest)

BOOST_AUTO_TEST_CASE(forwardsResponseOnceItIsComplete)
{
    Fixture fixture;
    fixture.relay(RouteKind::Safe);
    fixture.head(200);
    fixture.chunk("hello");
    BOOST_TEST(!fixture.caller->ended);
    fixture.end(ResultCode::Ok);
    BOOST_TEST(fixture.caller->status == 200);
    BOOST_TEST(fixture.caller->body == "hello");
    BOOST_TEST(fixture.relayService.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(retriesRequestThatDidNotRunEvenIfOnceOnly)
{
    Fixture fixture;
    fixture.relay(RouteKind::OnceOnly);
    fixture.head(421);
    fixture.end(ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 2U);
    BOOST_TEST(fixture.sendings[0]->address != fixture.sendings[1]->address);
    fixture.end(ResultCode::BackendConnectFailed, SendState::NothingSent);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 3U);
    fixture.head(421);
    fixture.end(ResultCode::Ok);
    // Every server was tried and none ran the request, so the caller gets a refusal.
    BOOST_TEST(fixture.caller->status == 503);
}

BOOST_AUTO_TEST_CASE(failsOnceOnlyRequestWhenConnectionFails)
{
    Fixture fixture;
    fixture.relay(RouteKind::OnceOnly);
    fixture.end(ResultCode::BackendFailed);
    BOOST_TEST(fixture.sendings.size() == 1U);
    BOOST_TEST(fixture.caller->status == 502);
}

BOOST_AUTO_TEST_CASE(retriesSafeRequestUpToMaxAttemptsWhenConnectionsFail)
{
    Fixture fixture;
    fixture.relay(RouteKind::Safe);
    fixture.end(ResultCode::BackendFailed);
    BOOST_TEST(fixture.sendings.size() == 2U);
    fixture.end(ResultCode::BackendFailed);
    BOOST_TEST(fixture.sendings.size() == 2U);
    BOOST_TEST(fixture.caller->status == 502);
}

BOOST_AUTO_TEST_CASE(dropsMismatchedResponseAndRetries)
{
    Fixture fixture;
    fixture.relay(RouteKind::Safe);
    fixture.head(299);
    BOOST_TEST(fixture.sendings[0]->closed);
    BOOST_TEST(fixture.sendings.size() == 2U);
    BOOST_TEST(fixture.caller->status == 0);
}

BOOST_AUTO_TEST_CASE(forwardsServerFailureAfterLastAttempt)
{
    Fixture fixture;
    fixture.relay(RouteKind::Safe);
    fixture.head(500);
    fixture.chunk("first");
    fixture.end(ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 2U);
    fixture.head(500);
    fixture.chunk("second");
    fixture.end(ResultCode::Ok);
    BOOST_TEST(fixture.caller->status == 500);
    BOOST_TEST(fixture.caller->body == "second");
}

namespace
{

/// Sends chunks until the exchange is closed; returns the number of bytes sent.
std::size_t sendChunksUntilClosed(Fixture &fixture)
{
    const auto sending = fixture.sendings.back();
    const std::string data(64UL * 1024, 'x');
    std::size_t sent = 0;
    while (!sending->closed && sent < 64UL * 1024 * 1024) {
        sending->hooks.chunk(data);
        fixture.later.run();
        sent += data.size();
    }
    return sent;
}

} // namespace

BOOST_AUTO_TEST_CASE(retriesSafeRequestWhenResponseExceedsSizeLimit)
{
    for (const std::uint16_t status : {200, 500}) {
        Fixture fixture;
        fixture.relay(RouteKind::Safe);
        fixture.head(status);
        BOOST_TEST(sendChunksUntilClosed(fixture) <= RelayOptions{}.maxResponseBytes + 64UL * 1024);
        BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 2U);
        fixture.head(200);
        fixture.chunk("whole");
        fixture.end(ResultCode::Ok);
        BOOST_TEST(fixture.caller->body == "whole");
    }
}

/// Guards against a host that runs out of memory since faulty servers answer many requests at once
/// without end, each within its own limit; and against sound responses that pay for them.
BOOST_AUTO_TEST_CASE(failsTheLongestResponsesWhenAllTogetherExceedTheMemoryForThem)
{
    Fixture fixture;
    const std::size_t piece = 64UL * 1024;
    constexpr std::size_t faulty = 8;
    for (std::size_t request = 0; request < faulty; ++request) {
        fixture.relay(RouteKind::OnceOnly);
        fixture.head(200);
    }
    fixture.caller = std::make_shared<FakeResponder>();
    fixture.relay(RouteKind::OnceOnly);
    fixture.head(200);
    fixture.chunk("sound");
    std::size_t most = 0;
    std::vector<std::size_t> received(faulty, 0);
    for (std::size_t round = 0; round < 62; ++round) {
        for (std::size_t request = 0; request < faulty; ++request) {
            if (fixture.sendings[request]->closed) {
                received[request] = 0;
                continue;
            }
            fixture.sendings[request]->hooks.chunk(std::string(piece, 'x'));
            received[request] += piece;
            fixture.later.run();
        }
        std::size_t held = 0;
        for (std::size_t request = 0; request < faulty; ++request) {
            held += fixture.sendings[request]->closed ? 0 : received[request];
        }
        most = std::max(most, held);
    }
    BOOST_TEST(most <= RelayOptions{}.maxBufferedBytes);
    fixture.end(ResultCode::Ok);
    BOOST_TEST(fixture.caller->body == "sound");
    // What is left is whole responses of a size that is allowed.
    std::size_t open = 0;
    for (std::size_t request = 0; request < faulty; ++request) {
        open += fixture.sendings[request]->closed ? 0 : 1;
    }
    BOOST_TEST(open >= 4U);
    BOOST_TEST(fixture.relayService.openRequests() == open);
}

BOOST_AUTO_TEST_CASE(failsOnceOnlyRequestWhenResponseExceedsSizeLimit)
{
    Fixture fixture;
    fixture.relay(RouteKind::OnceOnly);
    fixture.head(200);
    sendChunksUntilClosed(fixture);
    BOOST_TEST(fixture.sendings.size() == 1U);
    BOOST_TEST(fixture.caller->status == 502);
}

BOOST_AUTO_TEST_CASE(retriesOnceOnlyRequestWhenNotRunResponseExceedsSizeLimit)
{
    Fixture fixture;
    fixture.relay(RouteKind::OnceOnly);
    fixture.head(421);
    sendChunksUntilClosed(fixture);
    BOOST_TEST(fixture.sendings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(resumesStreamElsewhereWhenEventExceedsSizeLimit)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming, true);
    fixture.head(200);
    fixture.chunk(eventText(1));
    BOOST_TEST(sendChunksUntilClosed(fixture) <= maxEventBytes + 64UL * 1024);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 2U);
    BOOST_TEST(*fixture.lastEventIds.back() == 1U);
    fixture.head(200);
    fixture.chunk(eventText(2));
    fixture.end(ResultCode::Ok);
    BOOST_TEST(fixture.caller->body == eventText(1) + eventText(2));
}

BOOST_AUTO_TEST_CASE(resumesBrokenStreamAfterLastForwardedEvent)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming, true);
    fixture.head(200);
    fixture.chunk(eventText(1) + eventText(2) + "id: 3\nda");
    fixture.end(ResultCode::StreamBroken);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 2U);
    BOOST_TEST(fixture.lastEventIds[1].value_or(0) == 2U);
    fixture.head(200);
    fixture.chunk(eventText(3));
    fixture.end(ResultCode::Ok);
    BOOST_TEST(fixture.caller->body == eventText(1) + eventText(2) + eventText(3));
    BOOST_TEST(fixture.caller->ended);
}

BOOST_AUTO_TEST_CASE(abortsBrokenStreamThatIsNotResumable)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming);
    fixture.head(200);
    fixture.chunk(eventText(1));
    fixture.end(ResultCode::StreamBroken);
    BOOST_TEST(fixture.sendings.size() == 1U);
    BOOST_TEST(fixture.caller->aborted);
    BOOST_TEST(!fixture.caller->ended);
}

// Guards against an error's text or head inside of a stream, or a broken stream that looks
// complete: the server that should resume it answers with an error.
BOOST_AUTO_TEST_CASE(abortsBrokenStreamWhenEachServerThatShouldResumeItAnswersWithAnError)
{
    for (const std::uint16_t status : {500, 422, 421, 299}) {
        Fixture fixture;
        fixture.relay(RouteKind::Streaming, true);
        fixture.head(200);
        fixture.chunk(eventText(1) + "id: 2\nda");
        fixture.end(ResultCode::StreamBroken);
        std::size_t answered = 1;
        while (fixture.sendings.size() > answered) {
            answered = fixture.sendings.size();
            fixture.head(status);
            if (fixture.sendings.size() == answered && !fixture.caller->aborted) {
                fixture.chunk("the text of an error\n\n");
                fixture.end(ResultCode::Ok);
            }
        }
        fixture.advance(60000);
        BOOST_TEST(answered > 1U);
        BOOST_TEST(fixture.caller->body == eventText(1));
        BOOST_TEST(fixture.caller->aborted);
        BOOST_TEST(!fixture.caller->ended);
    }
}

BOOST_AUTO_TEST_CASE(goesOnWithBrokenStreamAfterAServerAnsweredWithAnError)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming, true);
    fixture.head(200);
    fixture.chunk(eventText(1));
    fixture.end(ResultCode::StreamBroken);
    fixture.head(421);
    fixture.chunk("the text of an error\n\n");
    fixture.end(ResultCode::Ok);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 3U);
    fixture.head(200);
    fixture.chunk(eventText(2));
    fixture.end(ResultCode::Ok);
    BOOST_TEST(fixture.caller->body == eventText(1) + eventText(2));
    BOOST_TEST(fixture.caller->ended);
}

BOOST_AUTO_TEST_CASE(retriesStreamThatEndsInsideAnEvent)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming, true);
    fixture.head(200);
    fixture.chunk(eventText(1) + "id: 2");
    fixture.end(ResultCode::Ok);
    BOOST_TEST(fixture.sendings.size() == 2U);
    BOOST_TEST(!fixture.caller->ended);
}

BOOST_AUTO_TEST_CASE(retriesWhenServerSendsNoFirstEventInTime)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming, true);
    fixture.advance(850);
    BOOST_TEST(fixture.sendings.size() == 1U);
    fixture.advance(100);
    BOOST_TEST(fixture.sendings[0]->closed);
    BOOST_TEST(fixture.sendings.size() == 2U);
}

BOOST_AUTO_TEST_CASE(keepsWaitingWhenServerOfOnceOnlyRequestIsUnresponsive)
{
    Fixture fixture;
    fixture.relay(RouteKind::OnceOnly);
    fixture.advance(4000);
    BOOST_TEST(fixture.sendings.size() == 1U);
    BOOST_TEST(!fixture.sendings[0]->closed);
}

BOOST_AUTO_TEST_CASE(keepsServersUsableAfterExpiredDeadlines)
{
    // On a route whose timeout is shorter than its requests take, each request ends by its
    // deadline; that must not put healthy servers into backoff.
    Fixture fixture;
    for (int i = 0; i < 9; ++i) {
        fixture.relay(RouteKind::OnceOnly);
        fixture.end(ResultCode::DeadlineExceeded);
        fixture.caller = std::make_shared<FakeResponder>();
    }
    fixture.relay(RouteKind::OnceOnly);
    BOOST_TEST(fixture.sendings.size() == 10U);
    BOOST_TEST(fixture.caller->status == 0);
}

BOOST_AUTO_TEST_CASE(closesExchangeWhenCallerDisconnects)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming, true);
    fixture.caller->disconnect();
    BOOST_TEST(fixture.sendings[0]->closed);
    BOOST_TEST(fixture.relayService.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(refusesRequestAtOnceWhenThereAreNoServers)
{
    Fixture fixture;
    fixture.slots.setView(FleetView());
    fixture.relay(RouteKind::Streaming, true);
    BOOST_TEST(fixture.caller->status == 503);
    BOOST_TEST(fixture.sendings.empty());
}

BOOST_AUTO_TEST_CASE(refusesBlockedRequestWithoutSendingIt)
{
    Fixture fixture;
    fixture.blockedFor = Milliseconds(60000);
    fixture.relay(RouteKind::Safe);
    BOOST_TEST(fixture.sendings.empty());
    BOOST_TEST(fixture.caller->status == 503);
}

BOOST_AUTO_TEST_CASE(failsRequestThatIsBlockedWhileItRuns)
{
    Fixture fixture;
    fixture.relay(RouteKind::Safe);
    fixture.blockedFor = Milliseconds(60000);
    fixture.end(ResultCode::BackendFailed);
    BOOST_TEST(fixture.sendings.size() == 1U);
    // The request may have run, so the response must not report that it did not.
    BOOST_TEST(fixture.caller->status == 502);
}

/// Guards against requests that are taken late in a planned stop and cut at its end: the host once
/// compared what was left of the grace with a fixed time, whatever time the request could take.
BOOST_AUTO_TEST_CASE(refusesRequestsThatMayOutlastAPlannedStop)
{
    struct Row {
        Milliseconds caller;
        Milliseconds route;
        Milliseconds left;
        bool accepted;
    };
    // The caller and the route allow 0 for any time.
    const std::vector<Row> rows = {
        {Milliseconds(5000), Milliseconds(5000), Milliseconds(5000), true},
        {Milliseconds(5000), Milliseconds(5000), Milliseconds(4999), false},
        {Milliseconds(1000), Milliseconds(5000), Milliseconds(1000), true},
        {Milliseconds(5000), Milliseconds(1000), Milliseconds(1000), true},
        {Milliseconds(5000), Milliseconds(1000), Milliseconds(999), false},
        {Milliseconds(0), Milliseconds(1000), Milliseconds(1000), true},
        {Milliseconds(0), Milliseconds(1000), Milliseconds(999), false},
        {Milliseconds(1000), Milliseconds(0), Milliseconds(1000), true},
        {Milliseconds(0), Milliseconds(0), Milliseconds(60000), false},
        {Milliseconds(30), Milliseconds(5000), Milliseconds(30), true},
        {Milliseconds(30), Milliseconds(5000), Milliseconds(-1), false},
    };
    for (const RouteKind kind : {RouteKind::Safe, RouteKind::OnceOnly, RouteKind::Streaming}) {
        for (const Row &row : rows) {
            Fixture fixture;
            fixture.relayService.refuseRequestsThatMayOutlast(fixture.now + row.left);
            fixture.callerTimeout = row.caller;
            fixture.routeTimeout = row.route;
            fixture.relay(kind);
            BOOST_TEST(fixture.sendings.size() == (row.accepted ? 1U : 0U));
            BOOST_TEST(fixture.caller->status == (row.accepted ? 0 : 503));
            BOOST_TEST(fixture.relayService.openRequests() == fixture.sendings.size());
        }
    }
}

/// Guards against requests that are refused or ended although they came before the stop.
BOOST_AUTO_TEST_CASE(servesOpenRequestsDuringAPlannedStop)
{
    Fixture fixture;
    fixture.relay(RouteKind::OnceOnly);
    const auto early = fixture.caller;
    fixture.relayService.refuseRequestsThatMayOutlast(fixture.now);
    fixture.caller = std::make_shared<FakeResponder>();
    fixture.relay(RouteKind::OnceOnly);
    BOOST_TEST(fixture.sendings.size() == 1U);
    BOOST_TEST(fixture.caller->status == 503);
    fixture.head(200);
    fixture.end(ResultCode::Ok);
    BOOST_TEST(early->status == 200);
}

/// Guards against a request that another server takes over during a stop and that then outlasts it.
BOOST_AUTO_TEST_CASE(retriesDuringAPlannedStopWithinTheFirstTimeout)
{
    Fixture fixture;
    fixture.relayService.refuseRequestsThatMayOutlast(fixture.now + Milliseconds(5000));
    fixture.relay(RouteKind::Streaming, true);
    fixture.now += Milliseconds(3000);
    fixture.end(ResultCode::BackendFailed);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 2U);
    BOOST_TEST(fixture.lastSending().deadline == Milliseconds(2000));
}

/// Guards against callers whose connection ends without an answer when the process ends.
BOOST_AUTO_TEST_CASE(answersAllRequestsBeforeTheProcessEnds)
{
    Fixture fixture;
    fixture.relay(RouteKind::OnceOnly);
    const auto sent = fixture.caller;
    fixture.caller = std::make_shared<FakeResponder>();
    fixture.relay(RouteKind::Streaming, true);
    fixture.head(200);
    fixture.chunk(eventText(0));
    const auto begun = fixture.caller;
    fixture.caller = std::make_shared<FakeResponder>();
    fixture.relayWithoutRunning(RouteKind::OnceOnly);
    const auto waiting = fixture.caller;
    fixture.relayService.endUnanswered();
    fixture.later.run();
    // Only what was not sent is promised not to run.
    BOOST_TEST(sent->status == 502);
    BOOST_TEST(waiting->status == 503);
    BOOST_TEST(fixture.sendings.size() == 2U);
    BOOST_TEST(fixture.sendings[0]->closed);
    // The time that is left may be enough for a response that has begun.
    BOOST_TEST(!begun->aborted);
    BOOST_TEST(fixture.relayService.openRequests() == 1U);
}

BOOST_AUTO_TEST_CASE(reportsVerdictsOfAbortedAndAnsweredRuns)
{
    Fixture fixture;
    fixture.relay(RouteKind::Safe);
    fixture.end(ResultCode::BackendFailed);
    BOOST_REQUIRE(fixture.verdicts.size() == 1U);
    BOOST_TEST(fixture.verdicts[0].broken);
    fixture.head(200);
    fixture.end(ResultCode::Ok);
    BOOST_REQUIRE(fixture.verdicts.size() == 2U);
    BOOST_TEST(!fixture.verdicts[1].broken);
    BOOST_TEST(fixture.verdicts[1].fingerprint == fixture.verdicts[0].fingerprint);
    BOOST_TEST((fixture.verdicts[1].server != fixture.verdicts[0].server));
}

/// Guards against a part of prompts that crashes servers: requests share nothing else.
BOOST_AUTO_TEST_CASE(reportsPromptPartsOfRunAbortedBeforeItsResponseBegan)
{
    Fixture fixture;
    fixture.sharedParts = {11, 12};
    fixture.relay(RouteKind::Streaming, true);
    fixture.head(200);
    fixture.end(ResultCode::StreamBroken);
    BOOST_REQUIRE_EQUAL(fixture.verdicts.size(), 1U);
    BOOST_TEST(fixture.verdicts[0].broken);
    BOOST_TEST((fixture.verdicts[0].parts == fixture.sharedParts));
    BOOST_TEST(fixture.verdicts[0].bornMs == 1U);
    // The second server begins its response: whatever aborts it now, the parts are sound.
    fixture.head(200);
    fixture.chunk(eventText(0));
    BOOST_REQUIRE_EQUAL(fixture.verdicts.size(), 2U);
    BOOST_TEST(!fixture.verdicts[1].broken);
    BOOST_TEST(fixture.verdicts[1].fingerprint == 0U);
    BOOST_TEST((fixture.verdicts[1].parts == fixture.sharedParts));
    fixture.chunk(eventText(1));
    fixture.end(ResultCode::StreamBroken);
    BOOST_REQUIRE_EQUAL(fixture.verdicts.size(), 3U);
    BOOST_TEST(fixture.verdicts[2].broken);
    BOOST_TEST(fixture.verdicts[2].parts.empty());
}

BOOST_AUTO_TEST_CASE(checksPromptPartsBeforeARequestIsSent)
{
    Fixture fixture;
    fixture.sharedParts = {11, 12};
    fixture.blockedFor = Milliseconds(60000);
    fixture.relay(RouteKind::Streaming, true);
    BOOST_TEST(fixture.sendings.empty());
    BOOST_TEST(fixture.caller->status == 503);
    BOOST_REQUIRE_EQUAL(fixture.checkedFingerprints.size(), 3U);
    BOOST_TEST(fixture.checkedFingerprints[2] == 12U);
}

/// Guards against requests that are blocked while they wait for a slot and then reach a server.
BOOST_AUTO_TEST_CASE(refusesRequestThatIsBlockedWhileItWaits)
{
    Fixture fixture;
    fixture.relayWithoutRunning(RouteKind::Safe);
    fixture.blockedFor = Milliseconds(60000);
    fixture.later.run();
    BOOST_TEST(fixture.sendings.empty());
    BOOST_TEST(fixture.caller->status == 503);
    // Its slot is free again.
    fixture.blockedFor = Milliseconds(0);
    for (int request = 0; request < 12; ++request) {
        fixture.relay(RouteKind::Safe);
    }
    BOOST_TEST(fixture.sendings.size() == 12U);
}

/// Guards against crashes that look like the end of a stream without length.
BOOST_AUTO_TEST_CASE(reportsStreamThatEndsBeforeOrInsideAnEventAsAborted)
{
    for (const char *bytes : {"", "id: 0\nda"}) {
        Fixture fixture;
        fixture.relay(RouteKind::Streaming, false);
        fixture.head(200);
        fixture.chunk(bytes);
        fixture.end(ResultCode::Ok);
        BOOST_REQUIRE_EQUAL(fixture.verdicts.size(), 1U);
        BOOST_TEST(fixture.verdicts[0].broken);
    }
}

BOOST_AUTO_TEST_CASE(reportsNoVerdictWhenRequestDidNotRunOrDeadlineExpired)
{
    Fixture refused;
    refused.relay(RouteKind::Safe);
    refused.head(421);
    refused.end(ResultCode::Ok);
    BOOST_TEST(refused.verdicts.empty());
    Fixture late;
    late.relay(RouteKind::OnceOnly);
    late.end(ResultCode::DeadlineExceeded);
    BOOST_TEST(late.verdicts.empty());
    Fixture unreachable;
    unreachable.relay(RouteKind::Safe);
    unreachable.end(ResultCode::BackendConnectFailed, SendState::NothingSent);
    BOOST_TEST(unreachable.verdicts.empty());
}

/// Guards against requests beyond the limit that a server names, in whatever response.
BOOST_AUTO_TEST_CASE(keepsTheLimitThatAServerNamesInAnyResponse)
{
    for (const std::uint16_t status : {200, 421, 500}) {
        Fixture fixture;
        fixture.limitPerKs = 1;
        fixture.relay(RouteKind::Streaming, true);
        const std::string limited = fixture.lastSending().address;
        fixture.head(status);
        fixture.limitPerKs = std::nullopt;
        // The first request is allowed after a random part of the interval between two.
        int sent = 0;
        for (int request = 0; request < 8; ++request) {
            fixture.relay(RouteKind::Safe);
            sent += fixture.lastSending().address == limited ? 1 : 0;
        }
        BOOST_TEST(sent == 0, "status " << status);
    }
}

BOOST_AUTO_TEST_CASE(avoidsLeavingServerForEveryResponseClass)
{
    for (const std::uint16_t status : {200, 421, 500, 299}) {
        Fixture fixture;
        fixture.relay(RouteKind::Streaming, true);
        const std::string leavingServer = fixture.lastSending().address;
        fixture.leavingHead(status);
        BOOST_TEST(!fixture.serversOfNextRequests(8).contains(leavingServer), "status " << status);
    }
}

BOOST_AUTO_TEST_CASE(avoidsLeavingServerReportedByResumedStream)
{
    Fixture fixture;
    fixture.relay(RouteKind::Streaming, true);
    fixture.head(200);
    fixture.chunk(eventText(1));
    fixture.end(ResultCode::BackendFailed);
    BOOST_REQUIRE_EQUAL(fixture.sendings.size(), 2U);
    const std::string leavingServer = fixture.lastSending().address;
    fixture.leavingHead(200);
    fixture.chunk(eventText(2));
    // The leaving server still completes the stream it has resumed.
    BOOST_TEST(fixture.caller->body == eventText(1) + eventText(2));
    BOOST_TEST(!fixture.serversOfNextRequests(8).contains(leavingServer));
}

BOOST_AUTO_TEST_CASE(refusesRequestAtOnceWhenAllServersAreLeaving)
{
    Fixture fixture;
    for (int number = 0; number < 3; ++number) {
        fixture.relay(RouteKind::Safe);
        fixture.leavingHead(200);
    }
    fixture.caller = std::make_shared<FakeResponder>();
    fixture.relay(RouteKind::Safe);
    BOOST_TEST(fixture.sendings.size() == 3U);
    BOOST_TEST(fixture.caller->status == 503);
}

/// Under sustained overload callers of streams disconnect 2 s after their request, long before its
/// deadline. A refusal that is sent only at the deadline does not reach them.
BOOST_AUTO_TEST_CASE(refusesStreamWithoutSlotBeforeItsCallerDisconnects)
{
    Fixture fixture;
    for (int stream = 0; stream < 12; ++stream) {
        fixture.relay(RouteKind::Streaming, true);
        fixture.head(200);
        fixture.chunk(eventText(1));
    }
    fixture.advance(700);
    fixture.caller = std::make_shared<FakeResponder>();
    fixture.relay(RouteKind::Streaming, true);
    for (int step = 0; step < 80 && !fixture.caller->ended; ++step) {
        fixture.advance(20);
        // The streams that hold the slots keep receiving events.
        for (std::size_t stream = 0; stream < 12; ++stream) {
            fixture.sendings[stream]->hooks.chunk(eventText(step + 2));
        }
    }
    BOOST_TEST(fixture.sendings.size() == 12U);
    BOOST_TEST(fixture.caller->ended);
    BOOST_TEST(fixture.caller->status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
