#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/base/error.h"
#include "persimmonlb/http/message.h"

namespace persimmonlb
{

/// How far a request got on its way to the server.
enum class SendState : std::uint8_t {
    NothingSent, ///< No byte left for the socket: the request was surely not run.
    Sent, ///< At least one byte may have arrived.
};

/// How an exchange ended.
struct HttpExchangeEnd {
    SendState sendState = SendState::NothingSent;
    /// Ok: the answer was whole (by its length, its last chunk or, if it has neither, the orderly
    /// end of its connection). BackendConnectFailed,
    /// DeadlineExceeded, StreamBroken (after the head), BackendFailed (before it), Cancelled.
    ResultCode code = ResultCode::Ok;
    std::string message;

    bool operator==(const HttpExchangeEnd &) const = default;
};

/// Called on the decision thread, in this order: head once, chunk any number of times, end once.
/// After end, none is called. A cancelled exchange calls none.
struct HttpExchangeHooks {
    std::function<void(HttpResponseHead head)> head;
    std::function<void(std::string chunk)> chunk;
    std::function<void(HttpExchangeEnd end)> end;
};

/// A running exchange. Destroying it cancels: the connection is closed, no hook is called.
class HttpExchange
{
public:
    HttpExchange() = default;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    virtual ~HttpExchange() = default;

    /// Stops reading until resume(), for back-pressure. What was read already may still be
    /// delivered.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

/// Starts an exchange with "ip:port", as HttpClient::start() does.
using HttpSend
    = std::function<std::unique_ptr<HttpExchange>(const std::string &address, HttpRequest request,
                                                  Milliseconds deadline, HttpExchangeHooks hooks)>;

struct HttpClientOptions {
    Milliseconds connectTimeout{1000};
    Milliseconds idleConnectionTimeout{30000};
    std::uint32_t maxIdlePerServer = 32;
    std::uint32_t maxHeaderBytes = 65536; ///< Of an answer, and of all interim ones before it.
    std::uint64_t maxBodyBytes = 1024ULL * 1024 * 1024; ///< Of an answer.
};

/// HTTP/1.1 client with a pool of kept-alive connections per address. A pooled connection that
/// turns out closed before any answer byte counts as Sent: this module never resends by itself.
/// An answer without length and chunks ends with its connection: it is Ok if that is closed in
/// order after the whole request was written, and not if an error was seen on writing or reading.
/// A server that ends its process in the middle of such an answer may close in order.
///
/// Request fields that frame a message or belong to one connection (Content-Length, Connection,
/// Transfer-Encoding, ...) are left out and written anew. The io_context must outlive the client
/// and its exchanges.
class HttpClient
{
public:
    static std::unique_ptr<HttpClient> create(boost::asio::io_context &context,
                                              HttpClientOptions options);

    HttpClient() = default;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    virtual ~HttpClient() = default;

    /// Starts an exchange with "ip:port". `deadline` bounds the whole exchange; zero: none.
    virtual std::unique_ptr<HttpExchange> start(const std::string &address, HttpRequest request,
                                                Milliseconds deadline, HttpExchangeHooks hooks)
        = 0;
};

/// Sends through a client, which must outlive the function.
HttpSend sendThrough(HttpClient &client);

} // namespace persimmonlb
