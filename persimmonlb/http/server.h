#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "persimmonlb/base/error.h"
#include "persimmonlb/http/callermemory.h"
#include "persimmonlb/http/message.h"

namespace persimmonlb
{

/// Answers one request. Ends exactly once: by respond(), finish() or abort(). All calls on the
/// decision thread; calls after the end are ignored.
class HttpResponder
{
public:
    HttpResponder() = default;
    HttpResponder(const HttpResponder &) = delete;
    HttpResponder &operator=(const HttpResponder &) = delete;
    virtual ~HttpResponder() = default;

    /// Sends a whole answer.
    virtual void respond(HttpResponse response) = 0;
    /// Starts a chunked answer.
    virtual void start(HttpResponseHead head) = 0;
    /// Sends one chunk; `written` is called once it left for the socket (for back-pressure).
    virtual void write(std::string chunk, std::function<void()> written) = 0;
    /// Ends a chunked answer properly.
    virtual void finish() = 0;
    /// Breaks the connection, so that a started answer cannot look whole.
    virtual void abort() = 0;
    /// Called once when the caller went away before the answer ended.
    virtual void onClosed(std::function<void()> closed) = 0;
};

struct HttpServerOptions {
    std::uint64_t maxBodyBytes = 128ULL * 1024 * 1024;
    std::uint32_t maxHeaderBytes = 16384;
    Milliseconds headerTimeout{10000}; ///< To receive a whole header section.
    Milliseconds bodyTimeout{60000}; ///< To receive a whole body.
    Milliseconds idleTimeout{60000}; ///< Between requests of a connection.
    Milliseconds writeTimeout{60000}; ///< For the caller to take some bytes of an answer.
    Milliseconds lingerTimeout{1000}; ///< For the caller to close after the last answer.
    /// For one more, the connection whose caller has been silent for longest, a second or more, is
    /// closed; if there is none, the new one is answered with code 301 and closed.
    std::uint32_t maxConnections = 20000;
    /// The answer that an idle connection gets before closeIdleConnections() closes it; without
    /// a hook: code 305 without other hosts. Nothing that arrives after it is ever run.
    std::function<HttpResponse()> farewell;
    /// Account of the memory that callers take, shared by the servers of a host; none: no bound.
    std::shared_ptr<CallerMemory> memory;
    /// The answer to a request that is refused for want of memory before it is passed on; without
    /// a hook: the error body of INTERFACE.md.
    std::function<HttpResponse(const Error &error)> refusal;
};

/// The bounds that may change while a server runs; they hold from the next request on.
struct HttpServerLimits {
    std::uint64_t maxBodyBytes = 0;
    std::uint32_t maxHeaderBytes = 0;
    Milliseconds headerTimeout{0};
    Milliseconds idleTimeout{0};

    bool operator==(const HttpServerLimits &) const = default;
};

using HttpHandler
    = std::function<void(HttpRequest request, std::shared_ptr<HttpResponder> responder)>;

/// HTTP/1.1 listener over Boost.Beast with keep-alive. Broken input is answered with the error
/// body of INTERFACE.md (codes 101, 102, 103, 107) and closes that connection alone.
class HttpServer
{
public:
    /// Listens on "ip:port" (port 0: a free one). Errors: AddressInUse, SettingsInvalid.
    static Result<std::unique_ptr<HttpServer>> listen(boost::asio::io_context &context,
                                                      const std::string &address,
                                                      HttpServerOptions options,
                                                      HttpHandler handler);

    HttpServer() = default;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    virtual ~HttpServer() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    virtual void setLimits(const HttpServerLimits &limits) = 0;
    /// From now on each answer carries "Connection: close", or no longer; idle connections stay
    /// open. An answer that has begun is not changed. Without effect after closeIdleConnections().
    virtual void setCloseAfterAnswers(bool close) = 0;
    /// From now on each answer carries "Connection: close"; idle connections are closed. One on
    /// which a byte of a request has arrived is not idle: the request is answered first. An idle
    /// one gets the farewell answer, so that a request that crosses it on the wire is told that
    /// it was not run.
    virtual void closeIdleConnections() = 0;
    /// Stops accepting.
    virtual void stopListening() = 0;
    /// Requests whose answer has not ended.
    [[nodiscard]] virtual std::size_t openRequests() const = 0;
    /// Connections that are open, those that are closing included.
    [[nodiscard]] virtual std::size_t openConnections() const = 0;
};

} // namespace persimmonlb
