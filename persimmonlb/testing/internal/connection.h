#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

/// HTTP server of the stand-ins: straight over Boost.Beast, so that a fault of persimmonlb/http
/// does not show on both sides of a connection and cancel out.
namespace persimmonlb
{

using TestRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// One accepted connection. Single-threaded: everything runs on the io_context's one thread.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(boost::asio::ip::tcp::socket socket);

    /// Answers a whole request.
    boost::asio::awaitable<void> respond(unsigned status, std::string body);
    /// Answers that the request was refused before admission.
    boost::asio::awaitable<void> refuse(unsigned status, std::string body);
    /// Starts an answer by server-sent events.
    boost::asio::awaitable<void> startEvents();
    /// Writes one event.
    boost::asio::awaitable<void> writeEvent(std::string event);
    /// Ends the answer properly.
    boost::asio::awaitable<void> finishEvents();

    /// Reads the next request; false when the peer closed or sent what is no HTTP.
    boost::asio::awaitable<bool> read(TestRequest &request);

    /// Calls `closed` when the peer goes away before unwatch().
    void watch(std::function<void()> closed);
    void unwatch();
    /// False after a write failed, or when the peer asked to close.
    [[nodiscard]] bool reusable() const;

private:
    boost::asio::awaitable<void> writeBytes(std::string bytes);

    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::uint64_t watchNumber_ = 0;
    bool keepAlive_ = true;
    bool broken_ = false;
};

using TestHandler
    = std::function<boost::asio::awaitable<void>(TestRequest request, std::shared_ptr<Connection>)>;

/// Accepts connections for ever and hands each request to `handler`, one at a time per connection.
boost::asio::awaitable<void> acceptConnections(boost::asio::ip::tcp::acceptor &acceptor,
                                               TestHandler handler);

} // namespace persimmonlb
