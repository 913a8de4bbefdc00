#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// The line between websocketpp, which compiles only as C++17, and the rest: nothing here may need
/// a later standard, and no header of that library may be included.
namespace persimmonlb::internal
{

/// Number of one connection of an endpoint; never used again.
using LinkId = std::uint64_t;

/// Called on the thread that runs the endpoint.
struct WebsocketHooks {
    std::function<void(LinkId link, bool incoming)> opened;
    std::function<void(LinkId link, std::string bytes)> received; ///< One binary message.
    std::function<void(LinkId link)> heard; ///< A ping or pong arrived.
    /// Once for each connection that was opened or dialled, unless close() ended it.
    std::function<void(LinkId link, std::string reason)> closed;
};

enum class ListenResult : std::uint8_t { Listening, AddressInUse, Failed };

/// Websocket server and client on one event loop. post() and stop() may be called from any
/// thread, everything else from the thread that runs the loop or before it runs.
class WebsocketEndpoint
{
public:
    /// Of more than `maxUpgrades` accepted connections that have not sent a whole upgrade request
    /// the oldest are closed.
    static std::unique_ptr<WebsocketEndpoint> create(WebsocketHooks hooks, std::size_t maxUpgrades);

    WebsocketEndpoint() = default;
    WebsocketEndpoint(const WebsocketEndpoint &) = delete;
    WebsocketEndpoint &operator=(const WebsocketEndpoint &) = delete;
    virtual ~WebsocketEndpoint() = default;

    virtual ListenResult listen(const std::string &ip, std::uint16_t port) = 0;
    virtual std::uint16_t port() const = 0;

    /// Runs the loop until stop().
    virtual void run() = 0;
    virtual void stop() = 0;
    /// Lets run() be called again after stop().
    virtual void restart() = 0;
    virtual void post(std::function<void()> function) = 0;
    virtual void after(std::chrono::milliseconds delay, std::function<void()> function) = 0;

    virtual LinkId dial(const std::string &address) = 0;
    /// Sends one message. `unsent` goes up by its size and, once the kernel has taken it or the
    /// connection has ended, down again; it may be read from any thread.
    virtual void send(LinkId link, std::string bytes,
                      const std::shared_ptr<std::atomic<std::uint64_t>> &unsent)
        = 0;
    virtual void ping(LinkId link) = 0;
    /// A larger message closes the connection. At first the limit is initialMessageBytes.
    virtual void limitMessage(LinkId link, std::size_t bytes) = 0;
    /// Reads no more after the message whose received hook is running. Only from that hook.
    virtual void pauseReading(LinkId link) = 0;
    /// Takes pauseReading() back. Not from a hook.
    virtual void resumeReading(LinkId link) = 0;
    /// Closes without waiting for the peer; closed is not called.
    virtual void close(LinkId link) = 0;
};

constexpr std::size_t initialMessageBytes = 1024;

} // namespace persimmonlb::internal
