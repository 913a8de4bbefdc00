#include <boost/asio/post.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/testing/clientfixture.h"

namespace persimmonlb
{

namespace clienttest
{

namespace data = boost::unit_test::data;

const std::vector<Answer> answers = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, ResultCode::Ok, "abc"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false,
     ResultCode::Ok, "abc"},
    {"no content", "HTTP/1.1 204 No Content\r\n\r\n", false, ResultCode::Ok, ""},
    {"interim answer first",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
     false, ResultCode::Ok, "abc"},
    {"nothing", "", true, ResultCode::BackendFailed, ""},
    {"cut in the head", "HTTP/1.1 200 OK\r\nContent-Le", true, ResultCode::BackendFailed, ""},
    {"cut in the body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", true,
     ResultCode::StreamBroken, "ab"},
    {"cut between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
     true, ResultCode::StreamBroken, "abc"},
    {"cut in the last chunk",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", true,
     ResultCode::StreamBroken, "abc"},
    {"no length", "HTTP/1.1 200 OK\r\n\r\nabc", true, ResultCode::Ok, "abc"},
    {"no length and no body", "HTTP/1.1 200 OK\r\n\r\n", true, ResultCode::Ok, ""},
    {"garbage", "SSH-2.0-OpenSSH\r\n\r\n", false, ResultCode::BackendFailed, ""},
    {"status 000", "HTTP/1.1 000 X\r\nContent-Length: 3\r\n\r\nabc", true,
     ResultCode::BackendFailed, ""},
    {"status 000 before a response",
     "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
     true, ResultCode::BackendFailed, ""},
    {"status 000 without length before a response",
     "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true,
     ResultCode::BackendFailed, ""},
    {"status 099 before a response",
     "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
     true, ResultCode::BackendFailed, ""},
    {"status 599", "HTTP/1.1 599 X\r\nContent-Length: 3\r\n\r\nabc", false, ResultCode::Ok, "abc"},
    {"status 600", "HTTP/1.1 600 X\r\nContent-Length: 3\r\n\r\nabc", false,
     ResultCode::BackendFailed, ""},
    {"status 999", "HTTP/1.1 999 X\r\nContent-Length: 3\r\n\r\nabc", false,
     ResultCode::BackendFailed, ""},
    {"switching protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false,
     ResultCode::BackendFailed, ""},
    {"bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n\r\n", false,
     ResultCode::StreamBroken, ""},
    {"long header", "HTTP/1.1 200 OK\r\nA: " + std::string(3000, 'a') + "\r\n\r\n", false,
     ResultCode::BackendFailed, ""},
    {"long body by length", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", false,
     ResultCode::StreamBroken, ""},
    {"long body by chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nfff\r\n", false,
     ResultCode::StreamBroken, "a"},
};

} // namespace clienttest

using namespace clienttest;

BOOST_AUTO_TEST_SUITE(HttpClientTest)

BOOST_DATA_TEST_CASE(answerEndsAsWhatItWas, data::make(answers), answer)
{
    checkAnswer(answer);
}

/// Guards against an answer without length that is whole and counts as cut, and against one that is
/// cut and counts as whole.
BOOST_DATA_TEST_CASE(answerWithoutLengthIsWholeIfItsConnectionEndsInOrder,
                     data::make({false, true}), isReset)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &peer = fixture.server.connection(0);
    BOOST_TEST(peer.receives("\r\n\r\nhi"));
    peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    peer.send("abc");
    BOOST_TEST(runUntil(fixture.context, [&] { return recorder.body == "abc"; }));
    BOOST_TEST(recorder.ends.empty());
    if (isReset) {
        peer.reset();
    } else {
        peer.close();
    }
    const HttpExchangeEnd end = fixture.endOf(recorder);
    BOOST_TEST((end.code == (isReset ? ResultCode::StreamBroken : ResultCode::Ok)));
    // Its connection is not used again.
    Recorder next;
    fixture.start(next);
    fixture.server.connection(1);
    BOOST_TEST(fixture.server.accepted() == 2U);
}

/// Guards against a head that is cut off and taken for a whole answer with an empty body.
BOOST_AUTO_TEST_CASE(answerThatEndsInItsHeadIsNone)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
        Fixture fixture;
        Recorder recorder;
        fixture.start(recorder);
        RawPeer &peer = fixture.server.connection(0);
        BOOST_TEST(peer.receives("\r\n\r\nhi"));
        peer.send(head.substr(0, size));
        peer.close();
        const HttpExchangeEnd end = fixture.endOf(recorder);
        BOOST_TEST((end.code == ResultCode::BackendFailed), "cut after " << size << " bytes");
        BOOST_TEST((end.sendState == SendState::Sent));
        BOOST_TEST(recorder.heads.empty());
    }
}

BOOST_DATA_TEST_CASE(chunkedAnswerIsUnderstoodByteByByte, data::make({false, true}), bytewise)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &peer = fixture.server.connection(0);
    const std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    const std::size_t step = bytewise ? 1 : bytes.size();
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        peer.send(bytes.substr(at, step));
        runReady(fixture.context);
    }
    BOOST_TEST((fixture.endOf(recorder).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(chunksArriveAsTheyCome)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &peer = fixture.server.connection(0);
    peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    BOOST_TEST(runUntil(fixture.context, [&] { return recorder.heads.size() == 1; }));
    peer.send("1\r\na\r\n");
    BOOST_TEST(runUntil(fixture.context, [&] { return recorder.body == "a"; }));
    peer.send("1\r\nb\r\n");
    BOOST_TEST(runUntil(fixture.context, [&] { return recorder.body == "ab"; }));
    BOOST_TEST(recorder.ends.empty());
}

BOOST_AUTO_TEST_CASE(connectionIsReusedAfterAWholeAnswer)
{
    Fixture fixture;
    fixture.warmUp();
    Recorder second;
    fixture.start(second);
    RawPeer &peer = fixture.server.connection(0);
    BOOST_TEST(peer.receives("hi"));
    peer.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST((fixture.endOf(second).code == ResultCode::Ok));
    BOOST_TEST(fixture.server.accepted() == 1U);
    Recorder third;
    fixture.start(third);
    fixture.server.connection(1);
}

/// Both a close and unasked bytes make a kept connection unusable before anything is sent.
BOOST_DATA_TEST_CASE(staleConnectionIsNotReused, data::make({"", "HTTP/1.1 408 Late\r\n\r\n"}),
                     unasked)
{
    Fixture fixture;
    fixture.warmUp();
    RawPeer &peer = fixture.server.connection(0);
    const std::string_view bytes = unasked;
    if (bytes.empty()) {
        peer.close();
    } else {
        peer.send(bytes);
    }
    runReady(fixture.context);
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &fresh = fixture.server.connection(1);
    BOOST_TEST(fresh.receives("hi"));
    BOOST_TEST(peer.count("POST") == 0U);
    fresh.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST((fixture.endOf(recorder).code == ResultCode::Ok));
}

BOOST_AUTO_TEST_CASE(refusedConnectSentNothing)
{
    boost::asio::io_context context;
    std::string address;
    {
        const RawServer closed(context);
        address = closed.address();
    }
    const auto client = HttpClient::create(context, {});
    Recorder recorder;
    recorder.exchange
        = client->start(address, Fixture::request(), Milliseconds(0), recorder.hooks());
    BOOST_TEST(recorder.ends.empty());
    BOOST_TEST(runUntil(context, [&] { return !recorder.ends.empty(); }));
    BOOST_TEST((recorder.ends[0].code == ResultCode::BackendConnectFailed));
    BOOST_TEST((recorder.ends[0].sendState == SendState::NothingSent));
}

BOOST_AUTO_TEST_CASE(requestThatCannotBeSentSentNothing)
{
    Fixture fixture;
    Recorder recorder;
    HttpRequest request = Fixture::request();
    request.target = "/a HTTP/1.1\r\nX: y";
    recorder.exchange = fixture.client->start(fixture.server.address(), request, Milliseconds(0),
                                              recorder.hooks());
    BOOST_TEST((fixture.endOf(recorder).code == ResultCode::MalformedRequest));
    BOOST_TEST((recorder.ends[0].sendState == SendState::NothingSent));
}

BOOST_AUTO_TEST_CASE(deadlineBoundsTheWholeExchange)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder, Milliseconds(40));
    RawPeer &peer = fixture.server.connection(0);
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab");
    const HttpExchangeEnd end = fixture.endOf(recorder);
    BOOST_TEST((end.code == ResultCode::DeadlineExceeded));
    BOOST_TEST((end.sendState == SendState::Sent));
    BOOST_TEST(peer.seesClose());
}

BOOST_AUTO_TEST_CASE(destroyingCancelsAndCloses)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &peer = fixture.server.connection(0);
    BOOST_TEST(peer.receives("hi"));
    recorder.exchange.reset();
    BOOST_TEST(peer.seesClose());
    BOOST_TEST(recorder.ends.empty());
}

BOOST_DATA_TEST_CASE(hooksMayDestroyTheExchange, data::make({"head", "chunk", "end"}), hook)
{
    Fixture fixture;
    Recorder recorder;
    const std::string_view which = hook;
    HttpExchangeHooks hooks = recorder.hooks();
    std::vector<std::string> calls;
    const auto record = [&](const std::string &call) {
        calls.push_back(call);
        if (call == which) {
            recorder.exchange.reset();
        }
    };
    hooks.head = [&](const HttpResponseHead &) {
        record("head");
    };
    hooks.chunk = [&](const std::string &) {
        record("chunk");
    };
    hooks.end = [&](const HttpExchangeEnd &) {
        record("end");
    };
    recorder.exchange = fixture.client->start(fixture.server.address(), Fixture::request(),
                                              Milliseconds(0), std::move(hooks));
    fixture.server.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST(runUntil(fixture.context, [&] { return !calls.empty() && calls.back() == which; }));
    runReady(fixture.context);
    BOOST_TEST(calls.back() == which);
}

BOOST_AUTO_TEST_CASE(pausedExchangeStopsTheServer)
{
    Fixture fixture;
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &peer = fixture.server.connection(0);
    constexpr std::size_t size = 64UL * 1024 * 1024;
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    BOOST_TEST(runUntil(fixture.context, [&] { return recorder.heads.size() == 1; }));
    recorder.exchange->pause();
    boost::asio::post(fixture.context, [&] {
        // Runs once the buffers between both ends are full.
        runReady(fixture.context);
        BOOST_TEST(recorder.body.empty());
        recorder.exchange->resume();
    });
    peer.send(std::string(size, 'x'));
    BOOST_TEST((fixture.endOf(recorder).code == ResultCode::Ok));
    BOOST_TEST(recorder.body.size() == size);
}

BOOST_AUTO_TEST_CASE(earlyAnswerToALongRequestIsWhole)
{
    Fixture fixture;
    Recorder recorder;
    recorder.exchange = fixture.client->start(
        fixture.server.address(), Fixture::request(std::string(64UL * 1024 * 1024, 'x')),
        Milliseconds(0), recorder.hooks());
    RawPeer &peer = fixture.server.connection(0);
    peer.send("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST((fixture.endOf(recorder).code == ResultCode::Ok));
    BOOST_TEST(recorder.heads.at(0).status == 413);
    Recorder second;
    fixture.start(second);
    fixture.server.connection(1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
