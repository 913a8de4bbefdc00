#include "persimmonlb/http/internal/serverconnection.h"

#include <utility>

#include <boost/asio/error.hpp>

#include "persimmonlb/http/errorbody.h"
#include "persimmonlb/http/internal/responder.h"

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;

/// Bytes of later requests that are read while one is being answered.
constexpr std::size_t maxReadAhead = 64UL * 1024;
/// For a caller that is refused for want of memory or descriptors: about the time in which requests
/// end.
constexpr Milliseconds roomRetryAfter{1000};
/// A caller that has sent nothing for so long may be closed for another one. Above the pauses
/// inside a request that is on its way.
constexpr Milliseconds silence{1000};

std::string formatAddress(const ServerConnection::Socket &socket)
{
    boost::system::error_code error;
    const auto endpoint = socket.remote_endpoint(error);
    if (error) {
        return {};
    }
    const std::string address = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + address + "]:" + port : address + ":" + port;
}

} // namespace

ServerConnection::ServerConnection(Socket socket, std::shared_ptr<ServerShared> shared)
    : socket_(std::move(socket))
    , shared_(std::move(shared))
{
}

void ServerConnection::start()
{
    ErrorCode ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    remoteAddress_ = formatAddress(socket_);
    setDeadline(shared_->options.idleTimeout);
    if (shared_->options.memory) {
        memoryHolder_ = shared_->options.memory->add([weak = weak_from_this()](CallerDrop why) {
            if (const auto self = weak.lock()) {
                self->dropForMemory(why);
            }
        });
    }
    awaitInput();
}

void ServerConnection::startRefused(const Error &error)
{
    start();
    if (phase_ == Phase::Idle) {
        reject(error);
    }
}

void ServerConnection::detach()
{
    if (phase_ != Phase::Closed) {
        writeSome();
    }
    closedHook_ = nullptr;
    writtenHooks_.clear();
    close();
}

void ServerConnection::closeIfIdle()
{
    if (phase_ != Phase::Idle) {
        return;
    }
    // A request that is already here is taken, not cut.
    readInput({});
    if (phase_ != Phase::Idle) {
        return;
    }
    const auto &farewell = shared_->options.farewell;
    queueWholeAnswer(
        farewell ? farewell()
                 : errorResponse(makeError(ResultCode::Draining, "this entry host is stopping")),
        true);
    phase_ = Phase::Closing;
    flush();
}

bool ServerConnection::isSilent() const
{
    const bool awaitsRequest
        = phase_ == Phase::Idle || phase_ == Phase::Header || phase_ == Phase::Body;
    return awaitsRequest && std::chrono::steady_clock::now() - lastInput_ >= silence;
}

ServerConnection::TimePoint ServerConnection::lastInput() const
{
    return lastInput_;
}

bool ServerConnection::closeSilent()
{
    if (phase_ == Phase::Idle) {
        closeIfIdle();
        return phase_ == Phase::Closing || phase_ == Phase::Closed;
    }
    refuseForRoom(makeError(ResultCode::Overloaded, "too many connections to this host"));
    return true;
}

void ServerConnection::checkDeadline(TimePoint now)
{
    if (now < deadline_ || phase_ == Phase::Closed) {
        return;
    }
    switch (phase_) {
    case Phase::Idle:
        readInput({});
        if (phase_ == Phase::Idle) {
            reject(makeError(ResultCode::RequestTimeout, "the connection was idle"));
        }
        return;
    case Phase::Header:
        reject(makeError(ResultCode::RequestTimeout, "the header section came too slowly"));
        return;
    case Phase::Body:
        reject(makeError(ResultCode::RequestTimeout, "the body came too slowly"));
        return;
    case Phase::Answering:
        callerGone();
        return;
    case Phase::Closing:
    case Phase::Closed:
        close();
        return;
    }
}

// ---- input --------------------------------------------------------------------------------

void ServerConnection::awaitInput()
{
    const bool readAheadIsFull = phase_ == Phase::Answering && input_.size() >= maxReadAhead;
    if (awaitingInput_ || phase_ == Phase::Closed || readAheadIsFull) {
        return;
    }
    awaitingInput_ = true;
    socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode &error) {
        self->awaitingInput_ = false;
        self->readInput(error);
    });
}

void ServerConnection::readInput(const ErrorCode &waitError)
{
    if (phase_ == Phase::Closed) {
        return;
    }
    ErrorCode error = waitError;
    std::size_t size = 0;
    if (!error) {
        size = socket_.read_some(asio::buffer(shared_->scratch), error);
    }
    if (error == asio::error::would_block || error == asio::error::try_again) {
        awaitInput();
        return;
    }
    if (error) {
        inputEnded(error);
        return;
    }
    lastInput_ = std::chrono::steady_clock::now();
    takeInput(std::string_view(shared_->scratch.data(), size));
    awaitInput();
}

void ServerConnection::takeInput(std::string_view bytes)
{
    if (phase_ == Phase::Closing) {
        return;
    }
    if (phase_ == Phase::Answering) {
        input_ += bytes;
        relieveMemory();
        return;
    }
    if (input_.empty()) {
        parse(bytes);
        return;
    }
    input_ += bytes;
    parseBuffered();
}

void ServerConnection::inputEnded(const ErrorCode &error)
{
    switch (phase_) {
    case Phase::Header:
    case Phase::Body:
        if (error == asio::error::eof) {
            // A caller that closed only its sending half can still read this.
            reject(makeError(ResultCode::MalformedRequest, "the request broke off"));
            return;
        }
        close();
        return;
    case Phase::Answering:
        callerGone();
        return;
    case Phase::Closing:
        if (error != asio::error::eof || output_.empty()) {
            close();
        }
        return;
    case Phase::Idle:
    case Phase::Closed:
        close();
        return;
    }
}

void ServerConnection::parseBuffered()
{
    const std::string bytes = std::exchange(input_, {});
    parse(bytes);
}

void ServerConnection::parse(std::string_view bytes)
{
    if (phase_ == Phase::Idle) {
        // Empty lines before a request are allowed.
        const std::size_t start = bytes.find_first_not_of("\r\n");
        if (start == std::string_view::npos) {
            return;
        }
        bytes.remove_prefix(start);
        phase_ = Phase::Header;
        setDeadline(shared_->options.headerTimeout);
        parser_.emplace(shared_->options.maxHeaderBytes, shared_->options.maxBodyBytes);
    }
    ErrorCode error;
    const std::size_t used = parser_->feed(bytes, error);
    if (error) {
        rejectParseError(error);
        return;
    }
    input_.assign(bytes.substr(used));
    relieveMemory();
    if (!parser_) {
        return;
    }
    if (phase_ == Phase::Header && parser_->is_header_done()) {
        headerReceived();
    }
    if (parser_->is_done()) {
        dispatch();
    }
}

void ServerConnection::rejectParseError(const ErrorCode &error)
{
    namespace http = boost::beast::http;
    if (error == http::error::header_limit) {
        reject(makeError(ResultCode::HeaderTooLarge,
                         "the header section is larger than "
                             + std::to_string(shared_->options.maxHeaderBytes) + " bytes"));
        return;
    }
    if (error == http::error::body_limit) {
        reject(makeError(ResultCode::BodyTooLarge,
                         "the body is larger than " + std::to_string(shared_->options.maxBodyBytes)
                             + " bytes"));
        return;
    }
    reject(makeError(ResultCode::MalformedRequest, "not valid HTTP: " + error.message()));
}

void ServerConnection::headerReceived()
{
    phase_ = Phase::Body;
    setDeadline(shared_->options.bodyTimeout);
    http10_ = parser_->version() < 11;
    headRequest_ = parser_->method() == "HEAD";
    const bool expectsContinue
        = !http10_ && boost::beast::iequals(parser_->headers().find("Expect"), "100-continue");
    if (expectsContinue && !parser_->is_done() && parser_->body().empty()) {
        queue(std::string(continueAnswer));
        flush();
    }
}

void ServerConnection::dispatch()
{
    phase_ = Phase::Answering;
    deadline_ = TimePoint::max();
    ++currentAnswer_;
    answerStarted_ = false;
    answerEnded_ = false;
    closeAfterAnswer_ = !parser_->keep_alive();
    requestOpen_ = true;
    ++shared_->openRequests;
    passedOnBytes_ = parser_->allocatedBytes();
    HttpRequest request{.method = parser_->method(),
                        .target = parser_->target(),
                        .headers = std::move(parser_->headers()),
                        .body = std::move(parser_->body()),
                        .remoteAddress = remoteAddress_};
    parser_.reset();
    accountMemory();
    answerState_ = std::make_shared<AnswerState>();
    shared_->handler(std::move(request),
                     makeResponder(weak_from_this(), currentAnswer_, answerState_, shared_));
}

void ServerConnection::nextRequest()
{
    phase_ = Phase::Idle;
    setDeadline(shared_->options.idleTimeout);
    if (!input_.empty()) {
        parseBuffered();
    }
    if (phase_ == Phase::Idle && shared_->closing) {
        closeIfIdle();
    }
    awaitInput();
}

// ---- memory -------------------------------------------------------------------------------

CallerUse ServerConnection::memoryUse() const
{
    CallerUse use;
    use.passedOn = passedOnBytes_;
    for (const std::string &piece : output_) {
        use.unread += sizeof(std::string) + heapBytes(piece);
    }
    // What is sent ahead of an answer can only be dropped with the connection.
    (phase_ == Phase::Answering ? use.unread : use.unfinished) += heapBytes(input_);
    if (parser_) {
        use.unfinished += sizeof(RequestParser) + parser_->allocatedBytes();
    }
    return use;
}

void ServerConnection::accountMemory()
{
    if (memoryHolder_ != 0) {
        shared_->options.memory->set(memoryHolder_, memoryUse());
    }
}

/// May drop this connection or another one. Not called inside a call of a handler, as the hook
/// of a caller that went away may run.
void ServerConnection::relieveMemory()
{
    if (memoryHolder_ != 0) {
        accountMemory();
        shared_->options.memory->relieve();
    }
}

void ServerConnection::dropForMemory(CallerDrop why)
{
    const bool isRefusable = phase_ == Phase::Header || phase_ == Phase::Body;
    if (why != CallerDrop::Request || !isRefusable) {
        callerGone();
        return;
    }
    refuseForRoom(
        makeError(ResultCode::Overloaded, "this host has no memory left for the request"));
}

/// Refuses a request that was not passed on, so that others can be served.
void ServerConnection::refuseForRoom(Error error)
{
    error.retryAfter = roomRetryAfter;
    const auto &refusal = shared_->options.refusal;
    refuse(refusal ? refusal(error) : errorResponse(error));
}

// ---- end ------------------------------------------------------------------------------------

/// Ends the sending direction and waits for the caller to close, so that the last answer is not
/// lost to a reset.
void ServerConnection::halfClose()
{
    ErrorCode error;
    socket_.shutdown(Socket::shutdown_send, error);
    if (error) {
        close();
        return;
    }
    setDeadline(shared_->options.lingerTimeout);
    awaitInput();
}

void ServerConnection::callerGone()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    const auto closed = std::exchange(closedHook_, nullptr);
    const bool unfinished = phase_ == Phase::Answering && !answerEnded_;
    if (unfinished) {
        answerState_->callerGone = true;
    }
    close();
    if (closed && unfinished) {
        closed();
    }
}

void ServerConnection::close()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    phase_ = Phase::Closed;
    ErrorCode ignored;
    socket_.close(ignored);
    endRequest();
    writtenHooks_.clear();
    output_.clear();
    parser_.reset();
    input_ = {};
    if (memoryHolder_ != 0) {
        shared_->options.memory->remove(std::exchange(memoryHolder_, 0));
    }
    shared_->connections.erase(shared_from_this());
}

void ServerConnection::setDeadline(Milliseconds timeout)
{
    deadline_ = std::chrono::steady_clock::now() + timeout;
}

} // namespace persimmonlb::internal
