#include <vector>

#include <boost/test/unit_test.hpp>

#include "persimmonlb/http/internal/loopback.h"
#include "persimmonlb/http/server.h"

namespace persimmonlb
{

namespace
{

using internal::RawPeer;
using internal::runReady;
using internal::runUntil;

constexpr std::uint64_t bound = 256UL * 1024;
constexpr std::size_t pieceBytes = 16UL * 1024;

/// A server with an account; requests to /keep are held, others answered with their body.
struct Fixture {
    boost::asio::io_context context;
    std::vector<std::shared_ptr<HttpResponder>> kept;
    std::vector<CallerDrop> dropped;
    std::shared_ptr<CallerMemory> memory = std::make_shared<CallerMemory>(
        CallerMemoryOptions{.maxBytes = bound, .dropped = [this](CallerDrop why, std::uint64_t) {
                                dropped.push_back(why);
                            }});
    std::unique_ptr<HttpServer> server;

    Fixture()
    {
        HttpServerOptions options;
        options.memory = memory;
        auto outcome = capture([&] {
            return HttpServer::listen(
                context, "127.0.0.1:0", std::move(options),
                [this](const HttpRequest &request, std::shared_ptr<HttpResponder> responder) {
                    if (request.target == "/keep") {
                        kept.push_back(std::move(responder));
                        return;
                    }
                    responder->respond({.status = 200,
                                        .headers = {},
                                        .body = std::to_string(request.body.size()) + " bytes"});
                });
        });
        BOOST_REQUIRE(outcome.ok());
        server = std::move(outcome.value());
    }

    RawPeer connect()
    {
        return RawPeer(context, server->port());
    }
    void sendPieces(RawPeer &peer, const std::string &piece, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            peer.send(piece);
            runReady(context);
        }
    }
    void requireServed()
    {
        RawPeer peer = connect();
        peer.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
        BOOST_TEST(peer.receives("2 bytes"));
    }
};

std::string openUpload(std::size_t bytes)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(serverMemory, Fixture)

// Guards against a host that grows with uploads that never end: the largest gets 503 with a time
// to retry, and the smaller ones go on.
BOOST_AUTO_TEST_CASE(refusesLargestOpenUpload)
{
    const std::string piece(pieceBytes, 'x');
    RawPeer small = connect();
    small.send(openUpload(2 * pieceBytes));
    sendPieces(small, piece, 1);
    RawPeer large = connect();
    large.send(openUpload(100 * pieceBytes));
    sendPieces(large, piece, 20);
    BOOST_TEST(large.receives("HTTP/1.1 503 "));
    BOOST_TEST(large.count("Retry-After: 1\r\n") == 1U);
    BOOST_TEST(large.count("not_run") == 1U);
    BOOST_TEST(large.seesClose());
    sendPieces(small, piece, 1);
    BOOST_TEST(small.receives("32768 bytes"));
    requireServed();
    BOOST_TEST(dropped.size() == 1);
}

// Guards against chunks of one byte that cost more than the byte.
BOOST_AUTO_TEST_CASE(countsChunksOfOneByteAsTheirBytes)
{
    RawPeer peer = connect();
    peer.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string chunks;
    for (std::size_t i = 0; i < pieceBytes; ++i) {
        chunks += "1\r\nx\r\n";
    }
    sendPieces(peer, chunks, 4);
    BOOST_TEST(memory->totalBytes() >= 4 * pieceBytes);
    BOOST_TEST(memory->totalBytes() < 10 * pieceBytes);
    peer.send("0\r\n\r\n");
    BOOST_TEST(peer.receives("65536 bytes"));
    runReady(context);
    BOOST_TEST(memory->totalBytes() == 0);
}

// Guards against an account of bytes on the wire: fields of two bytes take tens of bytes each.
BOOST_AUTO_TEST_CASE(countsFieldsOfHeaderSectionsAsAllocated)
{
    constexpr std::size_t fields = 1000;
    RawPeer peer = connect();
    std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n";
    for (std::size_t i = 0; i < fields; ++i) {
        head += "a:\r\n";
    }
    peer.send(head + "\r\n");
    BOOST_TEST(
        runUntil(context, [&] { return memory->totalBytes() > fields * sizeof(HttpHeader); }));
    BOOST_TEST(dropped.empty());
}

// Guards against a false promise: a request that its handler has is neither refused nor closed.
BOOST_AUTO_TEST_CASE(refusesNewRequestsWhileThoseBeingAnsweredFillTheBound)
{
    const std::string piece(pieceBytes, 'x');
    std::vector<RawPeer> peers;
    for (std::size_t i = 0; i < 8; ++i) {
        peers.push_back(connect());
        peers.back().send("POST /keep HTTP/1.1\r\nHost: h\r\nContent-Length: "
                          + std::to_string(pieceBytes) + "\r\n\r\n");
        sendPieces(peers.back(), piece, 1);
    }
    const std::size_t taken = kept.size();
    BOOST_TEST(taken >= 4);
    RawPeer refused = connect();
    refused.send(openUpload(100 * pieceBytes));
    sendPieces(refused, piece, 20);
    BOOST_TEST(refused.receives("HTTP/1.1 503 "));
    for (const auto &responder : kept) {
        responder->respond({.status = 200, .headers = {}, .body = "whole"});
    }
    for (std::size_t i = 0; i < taken; ++i) {
        BOOST_TEST(peers[i].receives("whole"));
    }
    requireServed();
}

// Guards against a host that grows with answers nobody reads: the largest reader is closed, and a
// reader with a small rest gets the whole of its answer.
BOOST_AUTO_TEST_CASE(closesLargestSlowReader)
{
    constexpr std::size_t beyondKernelBuffers = 32UL * 1024 * 1024;
    RawPeer slow = connect();
    RawPeer other = connect();
    slow.send("GET /keep HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(runUntil(context, [&] { return kept.size() == 1; }));
    other.send("GET /keep HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_REQUIRE(runUntil(context, [&] { return kept.size() == 2; }));
    bool isClosed = false;
    kept[0]->onClosed([&] { isClosed = true; });
    kept[1]->start({.status = 200, .headers = {}});
    kept[0]->start({.status = 200, .headers = {}});
    kept[0]->write(std::string(beyondKernelBuffers, 'x'), nullptr);
    BOOST_TEST(runUntil(context, [&] { return isClosed; }));
    BOOST_CHECK(dropped == std::vector{CallerDrop::Reader});
    kept[1]->write("rest", nullptr);
    kept[1]->finish();
    BOOST_TEST(other.receives("0\r\n\r\n"));
    BOOST_TEST(other.count("rest") == 1U);
    requireServed();
    BOOST_TEST(memory->totalBytes() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
