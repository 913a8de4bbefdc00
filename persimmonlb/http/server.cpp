#include "persimmonlb/http/server.h"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "persimmonlb/http/internal/endpoint.h"
#include "persimmonlb/http/internal/serverconnection.h"

namespace persimmonlb
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using internal::ServerConnection;
using internal::ServerShared;
using ErrorCode = boost::system::error_code;

/// Connections above the limit that may wait for their refusal to be read.
std::size_t maxRefusedConnections(std::size_t limit)
{
    constexpr std::size_t most = 256;
    return std::min(most, limit / 4 + 1);
}
/// Pause after accept() failed, for example for want of descriptors.
constexpr Milliseconds acceptRetry{50};

/// How often deadlines are looked at: a quarter of the shortest timeout, within bounds.
Milliseconds checkInterval(const HttpServerOptions &options)
{
    constexpr Milliseconds shortest{5};
    constexpr Milliseconds longest{250};
    const Milliseconds least
        = std::min({options.headerTimeout, options.bodyTimeout, options.idleTimeout,
                    options.writeTimeout, options.lingerTimeout});
    return std::clamp(least / 4, shortest, longest);
}

/// Accepts and checks deadlines; lives as long as a handler of its own is pending.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(tcp::acceptor acceptor, std::shared_ptr<ServerShared> shared)
        : acceptor_(std::move(acceptor))
        , acceptTimer_(acceptor_.get_executor())
        , checkTimer_(acceptor_.get_executor())
        , shared_(std::move(shared))
        , checkInterval_(checkInterval(shared_->options))
    {
    }

    void start()
    {
        accept();
        scheduleCheck();
    }

    void stopListening()
    {
        ErrorCode ignored;
        acceptor_.close(ignored);
        acceptTimer_.cancel();
    }

    void stop()
    {
        stopped_ = true;
        stopListening();
        checkTimer_.cancel();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [self = shared_from_this()](const ErrorCode &error, tcp::socket socket) {
                if (!self->acceptor_.is_open() || self->stopped_) {
                    return;
                }
                if (error) {
                    self->acceptLater();
                    return;
                }
                self->adopt(std::move(socket));
                self->accept();
            });
    }

    void acceptLater()
    {
        acceptTimer_.expires_after(acceptRetry);
        acceptTimer_.async_wait([self = shared_from_this()](const ErrorCode &error) {
            if (!error && self->acceptor_.is_open()) {
                self->accept();
            }
        });
    }

    void adopt(tcp::socket socket)
    {
        const std::size_t open = shared_->connections.size();
        const std::size_t limit = shared_->options.maxConnections;
        if (open >= limit + maxRefusedConnections(limit)) {
            return;
        }
        const bool isRefused = open >= limit && !closeSilent();
        const auto connection = std::make_shared<ServerConnection>(std::move(socket), shared_);
        shared_->connections.insert(connection);
        if (isRefused) {
            connection->startRefused(
                makeError(ResultCode::Overloaded, "too many connections to this entry host"));
            return;
        }
        connection->start();
    }

    /// Closes the connection whose caller has sent nothing for longest, if it waits for input;
    /// false if there is none.
    bool closeSilent()
    {
        std::shared_ptr<ServerConnection> silent;
        for (const auto &connection : shared_->connections) {
            if (connection->isSilent()
                && (!silent || connection->lastInput() < silent->lastInput())) {
                silent = connection;
            }
        }
        return silent && silent->closeSilent();
    }

    void scheduleCheck()
    {
        checkTimer_.expires_after(checkInterval_);
        checkTimer_.async_wait([self = shared_from_this()](const ErrorCode &error) {
            if (error || self->stopped_) {
                return;
            }
            self->checkDeadlines();
            self->scheduleCheck();
        });
    }

    void checkDeadlines()
    {
        const auto now = std::chrono::steady_clock::now();
        // A copy, because a connection that closes leaves the set.
        const std::vector<std::shared_ptr<ServerConnection>> connections(
            shared_->connections.begin(), shared_->connections.end());
        for (const auto &connection : connections) {
            connection->checkDeadline(now);
        }
    }

    tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    asio::steady_timer checkTimer_;
    std::shared_ptr<ServerShared> shared_;
    Milliseconds checkInterval_;
    bool stopped_ = false;
};

class BeastHttpServer final : public HttpServer
{
public:
    BeastHttpServer(tcp::acceptor acceptor, std::shared_ptr<ServerShared> shared)
        : port_(acceptor.local_endpoint().port())
        , shared_(std::move(shared))
        , listener_(std::make_shared<Listener>(std::move(acceptor), shared_))
    {
        listener_->start();
    }
    BeastHttpServer(const BeastHttpServer &) = delete;
    BeastHttpServer &operator=(const BeastHttpServer &) = delete;

    ~BeastHttpServer() override
    {
        listener_->stop();
        for (const auto &connection : snapshot()) {
            connection->detach();
        }
        shared_->handler = nullptr;
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return port_;
    }
    void setLimits(const HttpServerLimits &limits) override
    {
        shared_->options.maxBodyBytes = limits.maxBodyBytes;
        shared_->options.maxHeaderBytes = limits.maxHeaderBytes;
        shared_->options.headerTimeout = limits.headerTimeout;
        shared_->options.idleTimeout = limits.idleTimeout;
    }
    void setCloseAfterAnswers(bool close) override
    {
        shared_->closesAfterAnswers = close || shared_->closing;
    }
    void closeIdleConnections() override
    {
        shared_->closing = true;
        shared_->closesAfterAnswers = true;
        for (const auto &connection : snapshot()) {
            connection->closeIfIdle();
        }
    }
    void stopListening() override
    {
        listener_->stopListening();
    }
    [[nodiscard]] std::size_t openRequests() const override
    {
        return shared_->openRequests;
    }
    [[nodiscard]] std::size_t openConnections() const override
    {
        return shared_->connections.size();
    }

private:
    [[nodiscard]] std::vector<std::shared_ptr<ServerConnection>> snapshot() const
    {
        return {shared_->connections.begin(), shared_->connections.end()};
    }

    std::uint16_t port_;
    std::shared_ptr<ServerShared> shared_;
    std::shared_ptr<Listener> listener_;
};

Result<tcp::acceptor> openAcceptor(asio::io_context &context, const tcp::endpoint &endpoint,
                                   const std::string &address)
{
    tcp::acceptor acceptor(context);
    ErrorCode error;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        // Lets a restarted process take its port again; a second listener is still refused.
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error == asio::error::address_in_use) {
        return fail(ResultCode::AddressInUse, "address " + address + " is in use");
    }
    if (error) {
        return fail(ResultCode::SettingsInvalid,
                    "cannot listen on " + address + ": " + error.message());
    }
    return acceptor;
}

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::listen(asio::io_context &context,
                                                       const std::string &address,
                                                       HttpServerOptions options,
                                                       HttpHandler handler)
{
    const std::optional<tcp::endpoint> endpoint = internal::parseEndpoint(address);
    if (!endpoint) {
        return fail(ResultCode::SettingsInvalid, "not an ip:port: " + address);
    }
    BOOST_LEAF_AUTO(acceptor, openAcceptor(context, *endpoint, address));
    auto shared = std::make_shared<ServerShared>(context.get_executor());
    shared->options = std::move(options);
    shared->handler = std::move(handler);
    return std::unique_ptr<HttpServer>(
        std::make_unique<BeastHttpServer>(std::move(acceptor), std::move(shared)));
}

} // namespace persimmonlb
