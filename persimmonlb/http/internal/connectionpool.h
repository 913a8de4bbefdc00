#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/http/client.h"

namespace persimmonlb::internal
{

/// Kept-alive connections by server address, newest first out. One that the server closed, or on
/// which it sent anything, is never handed out.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    ConnectionPool(boost::asio::io_context &context, const HttpClientOptions &options);

    /// A connection that is still open as far as this host knows.
    std::optional<Socket> take(const std::string &address);
    /// Keeps a connection for a later request; closes it when enough are kept.
    void give(const std::string &address, Socket socket);
    /// Closes every connection and keeps none any more.
    void stop();

private:
    struct IdleConnection {
        Socket socket;
        std::chrono::steady_clock::time_point since;
    };

    void scheduleSweep();
    void sweep();

    boost::asio::steady_timer sweepTimer_;
    std::uint32_t maxIdlePerServer_;
    Milliseconds idleTimeout_;
    std::unordered_map<std::string, std::vector<IdleConnection>> idle_;
    bool sweepScheduled_ = false;
    bool stopped_ = false;
};

} // namespace persimmonlb::internal
