#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/client.h"
#include "persimmonlb/http/internal/loopback.h"

/// A client and a scripted server on 127.0.0.1, for tests of the HTTP client.
namespace persimmonlb::clienttest
{

using internal::RawPeer;
using internal::RawServer;
using internal::runReady;
using internal::runUntil;

/// What the hooks of one exchange were called with.
struct Recorder {
    std::vector<HttpResponseHead> heads;
    std::string body;
    std::vector<HttpExchangeEnd> ends;
    std::unique_ptr<HttpExchange> exchange;

    HttpExchangeHooks hooks()
    {
        return {.head = [this](HttpResponseHead head) { heads.push_back(std::move(head)); },
                .chunk = [this](const std::string &chunk) { body += chunk; },
                .end =
                    [this](HttpExchangeEnd end) {
                        ends.push_back(std::move(end));
                    }};
    }
};

struct Fixture {
    boost::asio::io_context context;
    RawServer server{context};
    std::unique_ptr<HttpClient> client;

    explicit Fixture(HttpClientOptions options = {})
        : client(HttpClient::create(context, options))
    {
    }

    static HttpRequest request(std::string body = "hi")
    {
        return {.method = "POST",
                .target = "/a",
                .headers = {{{"X-One", "1"}, {"Connection", "close"}}},
                .body = std::move(body),
                .remoteAddress = {}};
    }
    void start(Recorder &recorder, Milliseconds deadline = Milliseconds(0))
    {
        recorder.exchange = client->start(server.address(), request(), deadline, recorder.hooks());
    }
    HttpExchangeEnd endOf(const Recorder &recorder)
    {
        BOOST_REQUIRE(runUntil(context, [&] { return !recorder.ends.empty(); }));
        runReady(context);
        BOOST_TEST(recorder.ends.size() == 1U);
        return recorder.ends.front();
    }
    /// Runs one exchange that leaves a kept-alive connection in the pool.
    void warmUp()
    {
        Recorder recorder;
        start(recorder);
        RawPeer &peer = server.connection(server.accepted());
        BOOST_REQUIRE(peer.receives("hi"));
        peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        BOOST_REQUIRE((endOf(recorder).code == ResultCode::Ok));
        peer.forget();
    }
};

struct Answer {
    const char *name;
    std::string bytes;
    bool thenClose;
    ResultCode code;
    std::string body;
};

inline std::ostream &operator<<(std::ostream &out, const Answer &answer)
{
    return out << answer.name;
}

/// Plays `answer` to one request and checks how the exchange ends.
inline void checkAnswer(const Answer &answer)
{
    HttpClientOptions options;
    options.maxHeaderBytes = 2000;
    options.maxBodyBytes = 1000;
    Fixture fixture(options);
    Recorder recorder;
    fixture.start(recorder);
    RawPeer &peer = fixture.server.connection(0);
    BOOST_TEST(peer.receives("\r\n\r\nhi"));
    BOOST_TEST(peer.count("POST /a HTTP/1.1\r\n") == 1U);
    BOOST_TEST(peer.count("X-One: 1\r\n") == 1U);
    BOOST_TEST(peer.count("Connection:") == 0U);
    peer.send(answer.bytes);
    if (answer.thenClose) {
        peer.close();
    }
    const HttpExchangeEnd end = fixture.endOf(recorder);
    BOOST_TEST((end.code == answer.code), "ended with " << describe(end.code).name);
    BOOST_TEST((end.sendState == SendState::Sent));
    BOOST_TEST(recorder.body == answer.body);
}

} // namespace persimmonlb::clienttest
