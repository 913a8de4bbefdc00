#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

/// Raw TCP ends on 127.0.0.1 for tests of the HTTP modules.
namespace persimmonlb::internal
{

/// Runs handlers until `done`; false when it has not come true after many of them.
bool runUntil(boost::asio::io_context &context, const std::function<bool()> &done);
/// Runs the handlers that are ready now, in several rounds.
void runReady(boost::asio::io_context &context);

/// One end of a connection that collects what it receives.
class RawPeer
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    /// Connects to a local port.
    RawPeer(boost::asio::io_context &context, std::uint16_t port);
    /// Takes an accepted connection over.
    RawPeer(boost::asio::io_context &context, Socket socket);
    RawPeer(RawPeer &&) = default;
    RawPeer &operator=(RawPeer &&) = delete;
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;
    /// Closes the connection.
    ~RawPeer();

    /// Writes everything; blocks for as long as the other end does not read.
    void send(std::string_view bytes);
    /// Collects from now on; without it the receive buffer of the kernel fills up.
    void startReading();
    void closeSending();
    void close();
    /// Closes with a reset.
    void reset();
    /// Runs handlers until the received bytes hold `text`.
    bool receives(std::string_view text);
    /// Runs handlers until the other end has closed.
    bool seesClose();

    [[nodiscard]] const std::string &received() const;
    /// Times that `text` was received.
    [[nodiscard]] std::size_t count(std::string_view text) const;
    void forget();

private:
    struct State;

    boost::asio::io_context &context_;
    std::shared_ptr<State> state_;
};

/// A listener whose accepted connections are raw peers that are being read.
class RawServer
{
public:
    explicit RawServer(boost::asio::io_context &context);

    [[nodiscard]] std::string address() const;
    /// Runs handlers until connection `index` has been accepted.
    RawPeer &connection(std::size_t index);
    [[nodiscard]] std::size_t accepted() const;

private:
    void accept();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::unique_ptr<RawPeer>> peers_;
};

} // namespace persimmonlb::internal
