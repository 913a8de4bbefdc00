#include "persimmonlb/testing/internal/connection.h"

#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

namespace persimmonlb
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint64_t maxBodyBytes = 256ULL * 1024 * 1024;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> serve(std::shared_ptr<Connection> connection, TestHandler handler)
{
    while (connection->reusable()) {
        TestRequest request;
        const bool whole = co_await connection->read(request);
        if (!whole) {
            co_return;
        }
        co_await handler(std::move(request), connection);
    }
}

std::string makeAnswer(unsigned status, const std::string &body, bool keepAlive,
                       const std::string &headers)
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    return "HTTP/1.1 " + std::to_string(status) + ' ' + std::string(reason)
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + headers + (keepAlive ? "" : "Connection: close\r\n") + "\r\n" + body;
}

} // namespace

Connection::Connection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<bool> Connection::read(TestRequest &request)
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    const auto [error, size] = co_await http::async_read(socket_, buffer_, parser, asTuple);
    if (error) {
        co_return false;
    }
    request = parser.release();
    keepAlive_ = request.keep_alive();
    co_return true;
}

asio::awaitable<void> Connection::respond(unsigned status, std::string body)
{
    co_await writeBytes(makeAnswer(status, body, keepAlive_, ""));
}

asio::awaitable<void> Connection::refuse(unsigned status, std::string body)
{
    co_await writeBytes(makeAnswer(status, body, keepAlive_, "Persimmonlb-Not-Run: true\r\n"));
}

asio::awaitable<void> Connection::startEvents()
{
    const std::string connection = keepAlive_ ? "" : "Connection: close\r\n";
    co_await writeBytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"
                        + connection + "\r\n");
}

asio::awaitable<void> Connection::writeEvent(std::string event)
{
    std::array<char, 2 * sizeof(std::size_t) + 1> size{};
    const int digits = std::snprintf(size.data(), size.size(), "%zx", event.size());
    std::string chunk(size.data(), static_cast<std::size_t>(digits));
    chunk += "\r\n";
    chunk += event;
    chunk += "\r\n";
    co_await writeBytes(std::move(chunk));
}

asio::awaitable<void> Connection::finishEvents()
{
    co_await writeBytes("0\r\n\r\n");
}

asio::awaitable<void> Connection::writeBytes(std::string bytes)
{
    if (broken_) {
        co_return;
    }
    const auto [error, size] = co_await asio::async_write(socket_, asio::buffer(bytes), asTuple);
    broken_ = broken_ || error.failed();
}

void Connection::watch(std::function<void()> closed)
{
    const std::uint64_t number = ++watchNumber_;
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), number,
                        closed = std::move(closed)](const boost::system::error_code &error) {
                           if (error || number != self->watchNumber_) {
                               return;
                           }
                           boost::system::error_code failure;
                           const bool pipelined = self->socket_.available(failure) > 0;
                           if (pipelined && !failure) {
                               return;
                           }
                           self->broken_ = true;
                           closed();
                       });
}

void Connection::unwatch()
{
    ++watchNumber_;
    boost::system::error_code ignored;
    socket_.cancel(ignored);
}

bool Connection::reusable() const
{
    return keepAlive_ && !broken_;
}

asio::awaitable<void> acceptConnections(asio::ip::tcp::acceptor &acceptor, TestHandler handler)
{
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(asTuple);
        if (error) {
            continue;
        }
        auto connection = std::make_shared<Connection>(std::move(socket));
        asio::co_spawn(acceptor.get_executor(), serve(std::move(connection), handler),
                       asio::detached);
    }
}

} // namespace persimmonlb
