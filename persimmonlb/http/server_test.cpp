#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/errorbody.h"
#include "persimmonlb/http/internal/loopback.h"
#include "persimmonlb/http/server.h"

namespace persimmonlb
{

namespace
{

namespace data = boost::unit_test::data;
using internal::RawPeer;
using internal::runReady;
using internal::runUntil;

constexpr std::string_view plainRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server whose handler keeps every request and answers those to /echo by itself.
struct Fixture {
    struct Received {
        HttpRequest request;
        std::shared_ptr<HttpResponder> responder;
        bool closed = false;
    };

    boost::asio::io_context context;
    std::vector<std::unique_ptr<Received>> received;
    std::unique_ptr<HttpServer> server;

    explicit Fixture(HttpServerOptions options = shortOptions())
    {
        auto outcome = capture([&] {
            return HttpServer::listen(
                context, "127.0.0.1:0", std::move(options),
                [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                    handle(std::move(request), std::move(responder));
                });
        });
        BOOST_REQUIRE(outcome.ok());
        server = std::move(outcome.value());
    }

    static HttpServerOptions shortOptions()
    {
        HttpServerOptions options;
        options.maxBodyBytes = 1000;
        options.maxHeaderBytes = 2000;
        return options;
    }

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
    {
        if (request.target == "/echo") {
            responder->respond({.status = 200, .headers = {}, .body = request.body + "!"});
            return;
        }
        received.push_back(
            std::make_unique<Received>(Received{std::move(request), std::move(responder), false}));
        Received &last = *received.back();
        last.responder->onClosed([&last] { last.closed = true; });
    }

    RawPeer connect()
    {
        return RawPeer(context, server->port());
    }
    Received &request(std::size_t index)
    {
        BOOST_REQUIRE(runUntil(context, [&] { return received.size() > index; }));
        return *received[index];
    }
    /// A second connection is served as usual.
    void requireOthersServed()
    {
        RawPeer other = connect();
        other.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
        BOOST_TEST(other.receives("hi!"));
    }
};

HttpResponse textAnswer(std::string body)
{
    return {.status = 200, .headers = {{{"Content-Type", "text/plain"}}}, .body = std::move(body)};
}

struct BadInput {
    const char *name;
    std::string bytes;
    int code;
    const char *status;
};

std::ostream &operator<<(std::ostream &out, const BadInput &input)
{
    return out << input.name;
}

const std::vector<BadInput> badInputs = {
    {"broken request line", "GET\r\n\r\n", 101, "HTTP/1.1 400 "},
    {"garbage", std::string("\x16\x03\x01\x00\xff\x00garbage\r\n\r\n", 17), 101, "HTTP/1.1 400 "},
    {"bad version", "GET / HTTP/9.9\r\n\r\n", 101, "HTTP/1.1 400 "},
    {"bad field", "GET / HTTP/1.1\r\nno colon here\r\n\r\n", 101, "HTTP/1.1 400 "},
    {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 101,
     "HTTP/1.1 400 "},
    {"length and chunks",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 101,
     "HTTP/1.1 400 "},
    {"unknown encoding",
     "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nGET /x HTTP/1.1\r\n\r\n", 101,
     "HTTP/1.1 400 "},
    {"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n", 101,
     "HTTP/1.1 400 "},
    {"header of one long field", "GET / HTTP/1.1\r\nA: " + std::string(3000, 'a') + "\r\n\r\n", 103,
     "HTTP/1.1 431 "},
    {"header without end", "GET / HTTP/1.1\r\nA: " + std::string(3000, 'a'), 103, "HTTP/1.1 431 "},
    {"long target", "GET /" + std::string(3000, 'a'), 103, "HTTP/1.1 431 "},
    {"body by length", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", 102, "HTTP/1.1 413 "},
    {"body by chunks",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + std::string(1000, 'a')
         + "\r\n1\r\nb\r\n0\r\n\r\n",
     102, "HTTP/1.1 413 "},
    {"endless chunk extension",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(3000, 'a'), 101,
     "HTTP/1.1 400 "},
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

BOOST_DATA_TEST_CASE(badInputGetsItsCodeAndHarmsNobodyElse, data::make(badInputs), input)
{
    Fixture fixture;
    RawPeer steady = fixture.connect();
    steady.send("GET /a HTTP/1.1\r\n");
    RawPeer bad = fixture.connect();
    bad.send(input.bytes);
    BOOST_TEST(bad.receives("\"code\":" + std::to_string(input.code) + ","));
    BOOST_TEST(bad.received().starts_with(input.status));
    BOOST_TEST(bad.received().find("\"run\":\"not_run\"") != std::string::npos);
    BOOST_TEST(bad.seesClose());
    BOOST_TEST(fixture.received.empty());

    steady.send("Host: h\r\n\r\n");
    fixture.request(0).responder->respond(textAnswer("served"));
    BOOST_TEST(steady.receives("served"));
    fixture.requireOthersServed();
}

BOOST_AUTO_TEST_CASE(limitsMayChangeWhileItServes)
{
    Fixture fixture;
    RawPeer before = fixture.connect();
    before.send("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890");
    fixture.request(0).responder->respond(textAnswer("served"));
    BOOST_TEST(before.receives("served"));
    fixture.server->setLimits({.maxBodyBytes = 10,
                               .maxHeaderBytes = 1000,
                               .headerTimeout = Milliseconds(1000),
                               .idleTimeout = Milliseconds(1000)});
    RawPeer after = fixture.connect();
    after.send("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890");
    BOOST_TEST(after.receives("\"code\":102"));
}

BOOST_AUTO_TEST_CASE(manySmallFieldsInSmallPacketsAreBounded)
{
    Fixture fixture;
    RawPeer bad = fixture.connect();
    bad.send("GET / HTTP/1.1\r\n");
    for (int i = 0; i < 400; ++i) {
        bad.send("A: bcdefg\r\n");
        runReady(fixture.context);
    }
    BOOST_TEST(bad.receives("\"code\":103"));
}

BOOST_AUTO_TEST_CASE(requestThatBreaksOffIsNeverHandled)
{
    Fixture fixture;
    for (const std::string_view start :
         {"GET /a HT", "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
          "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"}) {
        RawPeer halfClosed = fixture.connect();
        halfClosed.send(start);
        halfClosed.closeSending();
        BOOST_TEST(halfClosed.receives("\"code\":101"));
        RawPeer gone = fixture.connect();
        gone.send(start);
        gone.reset();
    }
    fixture.requireOthersServed();
    BOOST_TEST(runUntil(fixture.context, [&] { return fixture.server->openConnections() == 0; }));
    BOOST_TEST(fixture.received.empty());
}

BOOST_DATA_TEST_CASE(slowSenderGetsCode107,
                     data::make({"GET /a HTTP/1.1\r\n",
                                 "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"}),
                     start)
{
    HttpServerOptions options;
    options.headerTimeout = Milliseconds(40);
    options.bodyTimeout = Milliseconds(40);
    Fixture fixture(options);
    RawPeer slow = fixture.connect();
    slow.send(start);
    BOOST_TEST(slow.receives("\"code\":107"));
    BOOST_TEST(slow.received().starts_with("HTTP/1.1 408 "));
    BOOST_TEST(slow.seesClose());
    fixture.requireOthersServed();
}

BOOST_AUTO_TEST_CASE(requestArrivesWholeHoweverItIsCut)
{
    const std::string bytes = "\r\nPOST /a?b=c HTTP/1.1\r\nHost: h\r\nX-One: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n1;ext=1\r\nd\r\n0\r\nTrailer: x\r\n\r\n";
    for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
        Fixture fixture;
        RawPeer peer = fixture.connect();
        peer.send(bytes.substr(0, cut));
        runReady(fixture.context);
        peer.send(bytes.substr(cut));
        const HttpRequest &request = fixture.request(0).request;
        BOOST_TEST(request.method == "POST");
        BOOST_TEST(request.target == "/a?b=c");
        BOOST_TEST(request.body == "abcd");
        BOOST_TEST(request.headers.find("x-one") == "1");
        BOOST_TEST(!request.headers.contains("Trailer"));
        BOOST_TEST(request.remoteAddress.starts_with("127.0.0.1:"));
    }
}

BOOST_AUTO_TEST_CASE(oneByteAtATimeIsUnderstood)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    for (const char byte : std::string("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       "0\r\n\r\n"
                                       "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                                       "2\r\nhi\r\n0\r\n\r\n")) {
        peer.send(std::string_view(&byte, 1));
        runReady(fixture.context);
    }
    BOOST_TEST(peer.receives("hi!"));
    BOOST_TEST(peer.count("HTTP/1.1 200 OK") == 2U);
}

BOOST_AUTO_TEST_CASE(pipelinedRequestsAreAnsweredOneAtATimeInOrder)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
    for (std::size_t i = 0; i < 3; ++i) {
        auto &request = fixture.request(i);
        runReady(fixture.context);
        BOOST_TEST(fixture.received.size() == i + 1);
        BOOST_TEST(fixture.server->openRequests() == 1U);
        request.responder->respond(textAnswer("answer to " + request.request.target));
    }
    BOOST_TEST(peer.receives("answer to /3"));
    BOOST_TEST(peer.received().find("answer to /1") < peer.received().find("answer to /2"));
    BOOST_TEST(fixture.server->openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(expectContinueIsAnsweredBeforeTheBody)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send("POST /echo HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    BOOST_TEST(peer.receives("HTTP/1.1 100 Continue\r\n\r\n"));
    peer.send("hi");
    BOOST_TEST(peer.receives("hi!"));

    RawPeer tooLarge = fixture.connect();
    tooLarge.send("POST /echo HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n");
    BOOST_TEST(tooLarge.receives("\"code\":102"));
    BOOST_TEST(tooLarge.count("100 Continue") == 0U);
}

BOOST_AUTO_TEST_CASE(headAnswerHasTheLengthAndNoBody)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send("HEAD /a HTTP/1.1\r\n\r\n");
    fixture.request(0).responder->respond(textAnswer("four"));
    BOOST_TEST(peer.receives("Content-Length: 4\r\n"));
    peer.send(plainRequest);
    fixture.request(1).responder->respond(textAnswer("after"));
    BOOST_TEST(peer.receives("after"));
    BOOST_TEST(peer.count("four") == 0U);
}

BOOST_AUTO_TEST_CASE(keepAliveFollowsTheVersion)
{
    Fixture fixture;
    RawPeer old = fixture.connect();
    old.send("POST /echo HTTP/1.0\r\nContent-Length: 2\r\n\r\nhi");
    BOOST_TEST(old.receives("hi!"));
    BOOST_TEST(old.count("Connection: close") == 1U);
    BOOST_TEST(old.seesClose());
    RawPeer asks = fixture.connect();
    asks.send("POST /echo HTTP/1.1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
    BOOST_TEST(asks.seesClose());
    BOOST_TEST(asks.count("hi!") == 1U);
}

BOOST_AUTO_TEST_CASE(headerValueCannotSplitTheAnswer)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    HttpResponse response = textAnswer("x");
    response.headers.fields.push_back({"X-Echo", "a\r\nContent-Length: 99"});
    response.headers.fields.push_back({"content-length", "77"});
    fixture.request(0).responder->respond(response);
    BOOST_TEST(peer.receives("\r\n\r\nx"));
    BOOST_TEST(peer.count("\r\nContent-Length: 1\r\n") == 1U);
    BOOST_TEST(peer.count("\r\nContent-Length: 99") == 0U);
    BOOST_TEST(peer.count("content-length: 77") == 0U);
}

BOOST_AUTO_TEST_CASE(answerIsStreamedInChunks)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    HttpResponder &responder = *fixture.request(0).responder;
    bool written = false;
    responder.start({.status = 200, .headers = {{{"Content-Type", "text/event-stream"}}}});
    responder.write("data: 1\n\n", [&] { written = true; });
    BOOST_TEST(!written);
    BOOST_TEST(peer.receives("9\r\ndata: 1\n\n\r\n"));
    BOOST_TEST(written);
    BOOST_TEST(peer.count("Transfer-Encoding: chunked") == 1U);
    responder.write("data: 2\n\n", {});
    responder.finish();
    responder.finish();
    responder.write("late", {});
    BOOST_TEST(peer.receives("0\r\n\r\n"));
    BOOST_TEST(peer.count("late") == 0U);
    peer.send(plainRequest);
    fixture.request(1).responder->respond(textAnswer("next"));
    BOOST_TEST(peer.receives("next"));
}

BOOST_AUTO_TEST_CASE(writtenWaitsForACallerThatDoesNotRead)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    const std::shared_ptr<HttpResponder> responder = fixture.request(0).responder;
    responder->start({.status = 200, .headers = {}});
    constexpr std::size_t pieces = 64;
    const std::string piece(1024UL * 1024, 'p');
    std::size_t written = 0;
    std::function<void()> next = [&] {
        if (++written < pieces) {
            responder->write(piece, next);
        } else {
            responder->finish();
        }
    };
    responder->write(piece, next);
    runReady(fixture.context);
    BOOST_TEST(written < pieces);
    peer.startReading();
    BOOST_TEST(runUntil(fixture.context, [&] { return written == pieces; }));
    BOOST_TEST(runUntil(fixture.context, [&] { return peer.received().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(peer.count(piece) == pieces);
}

BOOST_AUTO_TEST_CASE(callerThatNeverReadsIsGivenUp)
{
    HttpServerOptions options;
    options.writeTimeout = Milliseconds(40);
    Fixture fixture(options);
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    auto &request = fixture.request(0);
    request.responder->start({.status = 200, .headers = {}});
    request.responder->write(std::string(64UL * 1024 * 1024, 'x'), {});
    BOOST_TEST(runUntil(fixture.context, [&] { return request.closed; }));
    BOOST_TEST(fixture.server->openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(abortedAnswerCannotLookWhole)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    HttpResponder &responder = *fixture.request(0).responder;
    responder.start({.status = 200, .headers = {}});
    responder.write("part", {});
    BOOST_TEST(peer.receives("part"));
    responder.abort();
    responder.finish();
    BOOST_TEST(peer.seesClose());
    BOOST_TEST(peer.count("0\r\n\r\n") == 0U);
    BOOST_TEST(!fixture.received[0]->closed);
}

BOOST_AUTO_TEST_CASE(whatWasWrittenBeforeAnAbortIsStillSent)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    HttpResponder &responder = *fixture.request(0).responder;
    responder.start({.status = 200, .headers = {}});
    responder.write("event: error", {});
    responder.abort();
    BOOST_TEST(peer.seesClose());
    BOOST_TEST(peer.count("event: error") == 1U);
    BOOST_TEST(peer.count("0\r\n\r\n") == 0U);
}

BOOST_DATA_TEST_CASE(callerThatGoesAwayIsNoticed, data::make({false, true}), afterStart)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    auto &request = fixture.request(0);
    if (afterStart) {
        request.responder->start({.status = 200, .headers = {}});
        BOOST_TEST(peer.receives("chunked"));
    }
    peer.close();
    const bool &closed = request.closed;
    BOOST_TEST(runUntil(fixture.context, [&closed] { return closed; }));
    BOOST_TEST(fixture.server->openRequests() == 0U);
    request.responder->write("x", {});
    request.responder->respond(textAnswer("x"));
    bool told = false;
    request.responder->onClosed([&] { told = true; });
    BOOST_TEST(!told);
    BOOST_TEST(runUntil(fixture.context, [&] { return told; }));
}

BOOST_AUTO_TEST_CASE(handlerThatDropsTheResponderIsAnsweredFor)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    fixture.request(0).responder.reset();
    BOOST_TEST(peer.receives("\"code\":699"));
}

BOOST_AUTO_TEST_CASE(respondersOutliveTheServer)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    auto &request = fixture.request(0);
    fixture.server.reset();
    BOOST_TEST(peer.seesClose());
    request.responder->respond(textAnswer("x"));
    request.responder->abort();
    bool told = false;
    request.responder->onClosed([&] { told = true; });
    runReady(fixture.context);
    BOOST_TEST(!request.closed);
    BOOST_TEST(!told);
}

BOOST_AUTO_TEST_CASE(closingIdleConnectionsCutsNoRequest)
{
    Fixture fixture;
    RawPeer idle = fixture.connect();
    RawPeer running = fixture.connect();
    RawPeer begun = fixture.connect();
    RawPeer unread = fixture.connect();
    running.send(plainRequest);
    begun.send("G");
    fixture.request(0);
    runReady(fixture.context);
    // In the kernel's buffer, not yet read by the server.
    unread.send(plainRequest);
    fixture.server->closeIdleConnections();

    // A request that crosses the close on the wire is told that it was not run.
    idle.send(plainRequest);
    BOOST_TEST(idle.receives("\"code\":305"));
    BOOST_TEST(idle.received().find("\"run\":\"not_run\"") != std::string::npos);
    BOOST_TEST(idle.seesClose());

    begun.send(plainRequest.substr(1));
    fixture.request(2);
    BOOST_TEST(fixture.received.size() == 3U);
    for (const auto &request : fixture.received) {
        request->responder->respond(textAnswer("whole answer"));
    }
    for (RawPeer *peer : {&running, &begun, &unread}) {
        BOOST_TEST(peer->receives("whole answer"));
        BOOST_TEST(peer->count("Connection: close") == 1U);
        BOOST_TEST(peer->seesClose());
        peer->close();
    }
    idle.close();
    BOOST_TEST(runUntil(fixture.context, [&] { return fixture.server->openConnections() == 0; }));
}

/// Guards against callers that go on sending to a host that stops, since nothing told them to
/// leave: their later requests are refused although they could be served elsewhere.
BOOST_AUTO_TEST_CASE(answersCloseTheirConnectionsOnRequestAndIdleOnesStayOpen)
{
    Fixture fixture;
    RawPeer stream = fixture.connect();
    RawPeer idle = fixture.connect();
    stream.send(plainRequest);
    HttpResponder &begun = *fixture.request(0).responder;
    begun.start({.status = 200, .headers = {}});
    fixture.server->setCloseAfterAnswers(true);
    begun.finish();
    BOOST_TEST(stream.receives("0\r\n\r\n"));
    BOOST_TEST(stream.count("Connection: close") == 0U);
    // Both connections still take a request each.
    stream.send(plainRequest);
    fixture.request(1).responder->respond(textAnswer("second answer"));
    idle.send(plainRequest);
    fixture.request(2).responder->respond(textAnswer("third answer"));
    BOOST_TEST(stream.receives("second answer"));
    BOOST_TEST(idle.receives("third answer"));
    for (RawPeer *peer : {&stream, &idle}) {
        BOOST_TEST(peer->count("Connection: close") == 1U);
        BOOST_TEST(peer->seesClose());
    }
    fixture.server->setCloseAfterAnswers(false);
    RawPeer later = fixture.connect();
    later.send(plainRequest);
    fixture.request(3).responder->respond(textAnswer("fourth answer"));
    BOOST_TEST(later.receives("fourth answer"));
    BOOST_TEST(later.count("Connection: close") == 0U);
}

BOOST_AUTO_TEST_CASE(streamThatRunsWhileClosingEndsWhole)
{
    Fixture fixture;
    RawPeer peer = fixture.connect();
    peer.send(plainRequest);
    HttpResponder &responder = *fixture.request(0).responder;
    responder.start({.status = 200, .headers = {}});
    fixture.server->closeIdleConnections();
    fixture.server->stopListening();
    responder.write("part", {});
    responder.finish();
    BOOST_TEST(peer.receives("0\r\n\r\n"));
    BOOST_TEST(peer.seesClose());
}

BOOST_AUTO_TEST_CASE(connectionsAboveTheLimitAreRefused)
{
    HttpServerOptions options;
    options.maxConnections = 1;
    Fixture fixture(options);
    RawPeer first = fixture.connect();
    RawPeer second = fixture.connect();
    BOOST_TEST(second.receives("\"code\":301"));
    BOOST_TEST(second.seesClose());
    first.send("POST /echo HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi");
    BOOST_TEST(first.receives("hi!"));
}

// Guards against callers who open connections, send nothing and so keep everybody else out.
BOOST_AUTO_TEST_CASE(callerIsServedWhileSilentConnectionsFillTheLimit)
{
    HttpServerOptions options;
    options.maxConnections = 2;
    Fixture fixture(options);
    RawPeer silent = fixture.connect();
    RawPeer begun = fixture.connect();
    begun.send("POST /echo HTTP/1.1\r\nContent-Le");
    const std::string request = "POST /echo HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
    // Until both have been silent for long enough, others are refused.
    bool isServed = false;
    while (!isServed) {
        RawPeer other = fixture.connect();
        other.send(request);
        BOOST_REQUIRE(other.receives("\r\n\r\n"));
        isServed = other.count("HTTP/1.1 200") == 1U;
    }
    BOOST_TEST(silent.seesClose());
}

BOOST_AUTO_TEST_CASE(secondListenerOnAPortIsRefused)
{
    Fixture fixture;
    const std::string address = "127.0.0.1:" + std::to_string(fixture.server->port());
    const auto outcome
        = capture([&] { return HttpServer::listen(fixture.context, address, {}, {}); });
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.error().code == ResultCode::AddressInUse));
    const auto wrong
        = capture([&] { return HttpServer::listen(fixture.context, "somewhere", {}, {}); });
    BOOST_REQUIRE(!wrong.ok());
    BOOST_TEST((wrong.error().code == ResultCode::SettingsInvalid));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
