#include "persimmonlb/http/internal/connectionpool.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

constexpr Milliseconds sweepInterval{1000};

/// True while the peer has neither closed nor sent anything.
bool isQuiet(ConnectionPool::Socket &socket)
{
    std::array<char, 1> byte{};
    ErrorCode error;
    socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace

ConnectionPool::ConnectionPool(asio::io_context &context, const HttpClientOptions &options)
    : sweepTimer_(context)
    , maxIdlePerServer_(options.maxIdlePerServer)
    , idleTimeout_(options.idleConnectionTimeout)
{
}

std::optional<ConnectionPool::Socket> ConnectionPool::take(const std::string &address)
{
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    std::vector<IdleConnection> &connections = found->second;
    while (!connections.empty()) {
        Socket socket = std::move(connections.back().socket);
        connections.pop_back();
        if (isQuiet(socket)) {
            return socket;
        }
    }
    return std::nullopt;
}

void ConnectionPool::give(const std::string &address, Socket socket)
{
    if (stopped_) {
        return;
    }
    std::vector<IdleConnection> &connections = idle_[address];
    if (connections.size() >= maxIdlePerServer_) {
        return;
    }
    connections.push_back({std::move(socket), std::chrono::steady_clock::now()});
    scheduleSweep();
}

void ConnectionPool::stop()
{
    stopped_ = true;
    sweepTimer_.cancel();
    idle_.clear();
}

void ConnectionPool::scheduleSweep()
{
    if (sweepScheduled_ || stopped_) {
        return;
    }
    sweepScheduled_ = true;
    sweepTimer_.expires_after(sweepInterval);
    sweepTimer_.async_wait([self = shared_from_this()](const ErrorCode &error) {
        self->sweepScheduled_ = false;
        if (!error) {
            self->sweep();
        }
    });
}

void ConnectionPool::sweep()
{
    const auto oldest = std::chrono::steady_clock::now() - idleTimeout_;
    for (auto &[address, connections] : idle_) {
        std::erase_if(connections, [oldest](IdleConnection &connection) {
            return connection.since < oldest || !isQuiet(connection.socket);
        });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
    if (!idle_.empty()) {
        scheduleSweep();
    }
}

} // namespace persimmonlb::internal
