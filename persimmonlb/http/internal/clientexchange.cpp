#include "persimmonlb/http/internal/clientexchange.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/post.hpp>

#include "persimmonlb/http/internal/endpoint.h"
#include "persimmonlb/http/internal/wireformat.h"

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;

bool wouldBlock(const boost::system::error_code &error)
{
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace

ClientExchange::ClientExchange(std::shared_ptr<ClientShared> shared, std::string address,
                               HttpRequest request, HttpExchangeHooks hooks)
    : shared_(std::move(shared))
    , address_(std::move(address))
    , request_(std::move(request))
    , hooks_(std::move(hooks))
    , socket_(shared_->context)
    , timer_(shared_->context)
{
}

void ClientExchange::start(Milliseconds deadline)
{
    if (!isSendable(request_)) {
        failLater(ResultCode::MalformedRequest, "method or target cannot be sent");
        return;
    }
    if (deadline.count() > 0) {
        deadline_ = std::chrono::steady_clock::now() + deadline;
        armTimer(deadline_);
    }
    head_ = formatRequestHead(request_, address_);
    resetParser();
    obtainConnection();
}

void ClientExchange::cancel()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    if (!insideHook_) {
        hooks_ = {};
    }
}

void ClientExchange::pause()
{
    paused_ = true;
}

void ClientExchange::resume()
{
    paused_ = false;
    if (written_ > 0) {
        awaitInput();
    }
}

// ---- connecting ---------------------------------------------------------------------------

void ClientExchange::obtainConnection()
{
    if (auto kept = shared_->pool->take(address_)) {
        socket_ = std::move(*kept);
        pooled_ = true;
        writeRequest();
        return;
    }
    connect();
}

void ClientExchange::connect()
{
    pooled_ = false;
    const auto endpoint = parseEndpoint(address_);
    if (!endpoint) {
        failLater(ResultCode::BackendConnectFailed, "not an ip:port: " + address_);
        return;
    }
    connecting_ = true;
    const auto connectDeadline = std::chrono::steady_clock::now() + shared_->options.connectTimeout;
    armTimer(std::min(connectDeadline, deadline_));
    socket_ = Socket(shared_->context);
    socket_.async_connect(
        *endpoint, [self = shared_from_this()](const ErrorCode &error) { self->connected(error); });
}

void ClientExchange::connected(const ErrorCode &error)
{
    if (ended_) {
        return;
    }
    connecting_ = false;
    if (error) {
        end(ResultCode::BackendConnectFailed, "connect to " + address_ + ": " + error.message());
        return;
    }
    if (deadline_ == TimePoint::max()) {
        timer_.cancel();
    } else {
        armTimer(deadline_);
    }
    ErrorCode ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    writeRequest();
}

void ClientExchange::armTimer(TimePoint when)
{
    timer_.expires_at(when);
    timer_.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->timerExpired();
        }
    });
}

void ClientExchange::timerExpired()
{
    // A timer that was set anew may still deliver the old expiry.
    if (ended_ || std::chrono::steady_clock::now() < timer_.expiry()) {
        return;
    }
    if (std::chrono::steady_clock::now() >= deadline_) {
        end(ResultCode::DeadlineExceeded, "no whole answer from " + address_ + " in time");
        return;
    }
    if (connecting_) {
        end(ResultCode::BackendConnectFailed, "connect to " + address_ + " timed out");
    }
}

// ---- request ------------------------------------------------------------------------------

bool ClientExchange::requestWritten() const
{
    return written_ == head_.size() + request_.body.size();
}

void ClientExchange::writeRequest()
{
    while (!requestWritten()) {
        std::array<asio::const_buffer, 2> buffers
            = {asio::buffer(head_), asio::buffer(request_.body)};
        const std::size_t ofHead = std::min(written_, head_.size());
        buffers[0] += ofHead;
        buffers[1] += written_ - ofHead;
        ErrorCode error;
        const std::size_t size = socket_.write_some(buffers, error);
        if (wouldBlock(error)) {
            awaitOutput();
            break;
        }
        if (error) {
            writeFailed(error);
            return;
        }
        written_ += size;
    }
    awaitInput();
}

void ClientExchange::awaitOutput()
{
    socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const ErrorCode &error) {
        if (self->ended_) {
            return;
        }
        if (error) {
            self->writeFailed(error);
            return;
        }
        self->writeRequest();
    });
}

void ClientExchange::writeFailed(const ErrorCode &error)
{
    if (written_ > 0) {
        // The server may have answered before it closed: the reading side decides. It may see an
        // orderly end of file, because the kernel reports the error of a connection only once.
        writeError_ = error;
        awaitInput();
        return;
    }
    if (pooled_) {
        // No byte was handed over, so that another connection is no resend.
        obtainConnection();
        return;
    }
    failLater(ResultCode::BackendConnectFailed, "write to " + address_ + ": " + error.message());
}

// ---- answer -------------------------------------------------------------------------------

void ClientExchange::awaitInput()
{
    if (awaitingInput_ || paused_ || ended_) {
        return;
    }
    awaitingInput_ = true;
    socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode &error) {
        self->awaitingInput_ = false;
        self->readAnswer(error);
    });
}

void ClientExchange::readAnswer(const ErrorCode &waitError)
{
    if (ended_ || paused_) {
        return;
    }
    ErrorCode error = waitError;
    std::size_t size = 0;
    if (!error) {
        size = socket_.read_some(asio::buffer(shared_->scratch), error);
    }
    if (wouldBlock(error)) {
        awaitInput();
        return;
    }
    if (error) {
        inputEnded(error);
        return;
    }
    takeInput(std::string_view(shared_->scratch.data(), size));
    awaitInput();
}

void ClientExchange::takeInput(std::string_view bytes)
{
    std::string joined;
    if (!input_.empty()) {
        joined = std::exchange(input_, {});
        joined += bytes;
        bytes = joined;
    }
    while (parseOnce(bytes)) { }
    if (!ended_) {
        input_.assign(bytes);
    }
}

/// Parses one message of the answer; true when an interim one was dropped and more follows.
bool ClientExchange::parseOnce(std::string_view &bytes)
{
    ErrorCode error;
    const std::size_t used = parser_->feed(bytes, error);
    bytes.remove_prefix(used);
    constexpr std::uint16_t firstFinalStatus = 200;
    const bool interim = parser_->is_header_done() && parser_->status() < firstFinalStatus;
    if (!headDelivered_) {
        headBytes_ += used;
    }
    if (!error && interim && parser_->status() != 101) {
        return takeInterim() && !bytes.empty();
    }
    if (error == boost::beast::http::error::bad_transfer_encoding) {
        // Found at the end of the head, which the parser counts as done then.
        broken(error.message());
        return false;
    }
    if (!interim && parser_->is_header_done() && !deliver()) {
        return false;
    }
    if (error || interim) {
        broken(interim ? "the server switched protocols" : error.message());
        return false;
    }
    if (parser_->is_done()) {
        // Bytes after the answer belong to no request: the connection is not kept.
        input_.assign(bytes);
        complete();
    }
    return false;
}

/// Drops an interim answer; false when the server sends too many of them or a wrong one.
bool ClientExchange::takeInterim()
{
    // A server may report its progress in this way, but not keep an exchange busy without end.
    constexpr int mostInterim = 100;
    ++interimCount_;
    if (interimCount_ > mostInterim || headBytes_ > shared_->options.maxHeaderBytes) {
        broken("too many interim responses");
        return false;
    }
    if (parser_->announcesBody()) {
        // Where the next answer begins is not known.
        broken("an interim response with a body");
        return false;
    }
    resetParser();
    return true;
}

/// Calls the hooks for what was parsed; false when one of them cancelled the exchange.
bool ClientExchange::deliver()
{
    insideHook_ = true;
    if (!headDelivered_) {
        headDelivered_ = true;
        if (hooks_.head) {
            hooks_.head({parser_->status(), std::move(parser_->headers())});
        }
    }
    if (!ended_ && !parser_->body().empty()) {
        std::string chunk = std::exchange(parser_->body(), {});
        if (hooks_.chunk) {
            hooks_.chunk(std::move(chunk));
        }
    }
    insideHook_ = false;
    if (ended_) {
        hooks_ = {};
    }
    return !ended_;
}

void ClientExchange::inputEnded(const ErrorCode &error)
{
    if (error != asio::error::eof) {
        broken(error.message());
        return;
    }
    if (!headDelivered_ || !parser_->need_eof()) {
        broken("the server closed the connection");
        return;
    }
    if (const ErrorCode failure = connectionError()) {
        broken(failure.message());
        return;
    }
    if (!requestWritten()) {
        // A server that ends its process looks the same as one that has said all it wants to say.
        broken("the server closed the connection before it had the whole request");
        return;
    }
    end(ResultCode::Ok, {});
}

/// The error that a write met, or that the kernel has not reported yet.
ClientExchange::ErrorCode ClientExchange::connectionError()
{
    if (writeError_) {
        return writeError_;
    }
    asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> pending;
    ErrorCode error;
    socket_.get_option(pending, error);
    return error ? error : ErrorCode(pending.value(), boost::system::system_category());
}

void ClientExchange::broken(const std::string &message)
{
    end(headDelivered_ ? ResultCode::StreamBroken : ResultCode::BackendFailed,
        address_ + ": " + message);
}

// ---- end ----------------------------------------------------------------------------------

void ClientExchange::complete()
{
    constexpr std::uint16_t noContent = 204;
    constexpr std::uint16_t notModified = 304;
    const std::uint16_t status = parser_->status();
    // A server may send the body that it announces, too late for input_ to show it. A 304 may name
    // the length of what it stands for; such a connection is given up as well.
    const bool bodyMayFollow
        = (status == noContent || status == notModified) && parser_->announcesBody();
    if (parser_->keep_alive() && requestWritten() && input_.empty() && !bodyMayFollow) {
        shared_->pool->give(address_, std::move(socket_));
    }
    end(ResultCode::Ok, {});
}

/// Ends from inside start(), where no hook may be called.
void ClientExchange::failLater(ResultCode code, std::string message)
{
    asio::post(shared_->context,
               [self = shared_from_this(), code, message = std::move(message)]() mutable {
                   self->end(code, std::move(message));
               });
}

void ClientExchange::end(ResultCode code, std::string message)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    const HttpExchangeHooks hooks = std::exchange(hooks_, {});
    if (hooks.end) {
        hooks.end(
            {written_ > 0 ? SendState::Sent : SendState::NothingSent, code, std::move(message)});
    }
}

void ClientExchange::resetParser()
{
    parser_.emplace(shared_->options.maxHeaderBytes, shared_->options.maxBodyBytes);
    parser_->skip(request_.method == "HEAD");
}

} // namespace persimmonlb::internal
