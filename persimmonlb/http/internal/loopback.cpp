#include "persimmonlb/http/internal/loopback.h"

#include <array>
#include <stdexcept>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

constexpr int maxHandlers = 200000;

} // namespace

struct RawPeer::State : std::enable_shared_from_this<RawPeer::State> {
    explicit State(Socket connected)
        : socket(std::move(connected))
    {
    }

    void read()
    {
        socket.async_read_some(
            asio::buffer(buffer),
            [self = shared_from_this()](const ErrorCode &error, std::size_t size) {
                if (error) {
                    self->ended = true;
                    return;
                }
                self->received.append(self->buffer.data(), size);
                self->read();
            });
    }

    Socket socket;
    std::array<char, 65536> buffer{};
    std::string received;
    bool reading = false;
    bool ended = false;
};

bool runUntil(asio::io_context &context, const std::function<bool()> &done)
{
    for (int i = 0; i < maxHandlers; ++i) {
        if (done()) {
            return true;
        }
        context.restart();
        if (context.run_one() == 0) {
            return done();
        }
    }
    return done();
}

void runReady(asio::io_context &context)
{
    constexpr int rounds = 50;
    for (int i = 0; i < rounds; ++i) {
        context.restart();
        context.poll();
    }
}

RawPeer::RawPeer(asio::io_context &context, std::uint16_t port)
    : context_(context)
{
    Socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    socket.set_option(asio::ip::tcp::no_delay(true));
    state_ = std::make_shared<State>(std::move(socket));
}

RawPeer::RawPeer(asio::io_context &context, Socket socket)
    : context_(context)
    , state_(std::make_shared<State>(std::move(socket)))
{
}

RawPeer::~RawPeer()
{
    if (state_) {
        close();
    }
}

void RawPeer::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        ErrorCode error;
        state_->socket.non_blocking(true);
        const std::size_t size
            = state_->socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (error == asio::error::would_block) {
            context_.restart();
            context_.run_one();
            continue;
        }
        if (error) {
            return;
        }
        bytes.remove_prefix(size);
    }
}

void RawPeer::startReading()
{
    if (!std::exchange(state_->reading, true)) {
        state_->read();
    }
}

void RawPeer::closeSending()
{
    ErrorCode ignored;
    state_->socket.shutdown(Socket::shutdown_send, ignored);
}

void RawPeer::close()
{
    ErrorCode ignored;
    state_->socket.close(ignored);
}

void RawPeer::reset()
{
    ErrorCode ignored;
    state_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

bool RawPeer::receives(std::string_view text)
{
    startReading();
    return runUntil(context_,
                    [this, text] { return state_->received.find(text) != std::string::npos; });
}

bool RawPeer::seesClose()
{
    startReading();
    return runUntil(context_, [this] { return state_->ended; });
}

const std::string &RawPeer::received() const
{
    return state_->received;
}

std::size_t RawPeer::count(std::string_view text) const
{
    std::size_t found = 0;
    for (std::size_t at = state_->received.find(text); at != std::string::npos;
         at = state_->received.find(text, at + text.size())) {
        ++found;
    }
    return found;
}

void RawPeer::forget()
{
    state_->received.clear();
}

RawServer::RawServer(asio::io_context &context)
    : context_(context)
    , acceptor_(context, {asio::ip::make_address("127.0.0.1"), 0})
{
    accept();
}

std::string RawServer::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

RawPeer &RawServer::connection(std::size_t index)
{
    if (!runUntil(context_, [this, index] { return peers_.size() > index; })) {
        throw std::runtime_error("no connection came");
    }
    return *peers_[index];
}

std::size_t RawServer::accepted() const
{
    return peers_.size();
}

void RawServer::accept()
{
    acceptor_.async_accept([this](const ErrorCode &error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        peers_.push_back(std::make_unique<RawPeer>(context_, std::move(socket)));
        peers_.back()->startReading();
        accept();
    });
}

} // namespace persimmonlb::internal
