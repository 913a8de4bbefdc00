#include "persimmonlb/http/internal/serverconnection.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "persimmonlb/http/errorbody.h"

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;

/// Bytes of later requests that are read while one is being answered.
constexpr std::size_t maxReadAhead = 64UL * 1024;
/// Smaller pieces of output are joined.
constexpr std::size_t joinBytes = 16UL * 1024;
/// Buffers handed to one write.
constexpr std::size_t maxGather = 16;

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

/// Forwards to the connection while that lives and still answers this request.
class Responder final : public HttpResponder
{
public:
    Responder(std::weak_ptr<ServerConnection> connection, std::uint64_t answer,
              std::shared_ptr<AnswerState> state, std::weak_ptr<ServerShared> shared)
        : connection_(std::move(connection))
        , answer_(answer)
        , state_(std::move(state))
        , shared_(std::move(shared))
    {
    }
    ~Responder() override
    {
        if (const auto connection = connection_.lock()) {
            connection->dropAnswer(answer_);
        }
    }

    void respond(HttpResponse response) override
    {
        if (const auto connection = connection_.lock()) {
            connection->respond(answer_, std::move(response));
        }
    }
    void start(HttpResponseHead head) override
    {
        if (const auto connection = connection_.lock()) {
            connection->startAnswer(answer_, head);
        }
    }
    void write(std::string chunk, std::function<void()> written) override
    {
        if (const auto connection = connection_.lock()) {
            connection->writeChunk(answer_, std::move(chunk), std::move(written));
        }
    }
    void finish() override
    {
        if (const auto connection = connection_.lock()) {
            connection->finishAnswer(answer_);
        }
    }
    void abort() override
    {
        if (const auto connection = connection_.lock()) {
            connection->abortAnswer(answer_);
        }
    }
    void onClosed(std::function<void()> closed) override
    {
        if (state_->callerGone) {
            postClosed(std::move(closed));
            return;
        }
        if (const auto connection = connection_.lock()) {
            connection->setClosedHook(answer_, std::move(closed));
        }
    }

private:
    /// The caller went away before the hook was set.
    void postClosed(std::function<void()> closed)
    {
        const auto shared = shared_.lock();
        if (!shared || !shared->handler) {
            return;
        }
        asio::post(shared->executor, [weakShared = shared_, closed = std::move(closed)] {
            const auto stillThere = weakShared.lock();
            if (stillThere && stillThere->handler) {
                closed();
            }
        });
    }

    std::weak_ptr<ServerConnection> connection_;
    std::uint64_t answer_;
    std::shared_ptr<AnswerState> state_;
    std::weak_ptr<ServerShared> shared_;
};

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
    HttpRequest request{.method = parser_->method(),
                        .target = parser_->target(),
                        .headers = std::move(parser_->headers()),
                        .body = std::move(parser_->body()),
                        .remoteAddress = remoteAddress_};
    parser_.reset();
    answerState_ = std::make_shared<AnswerState>();
    shared_->handler(
        std::move(request),
        std::make_shared<Responder>(weak_from_this(), currentAnswer_, answerState_, shared_));
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

// ---- answers ------------------------------------------------------------------------------

bool ServerConnection::answers(std::uint64_t answer) const
{
    return phase_ == Phase::Answering && answer == currentAnswer_ && !answerEnded_;
}

AnswerFraming ServerConnection::framing(bool closes) const
{
    return AnswerFraming{.chunked = false,
                         .contentLength = std::nullopt,
                         .close = closes,
                         .announceKeepAlive = http10_};
}

void ServerConnection::queueWholeAnswer(HttpResponse response, bool close)
{
    AnswerFraming framed = framing(close);
    std::uint64_t length = response.body.size();
    if (headRequest_ && response.body.empty() && response.headers.contains("Content-Length")) {
        length = std::strtoull(response.headers.find("Content-Length").data(), nullptr, 10);
    }
    const bool noBody = statusHasNoBody(response.status);
    if (!noBody) {
        framed.contentLength = length;
    }
    queue(formatAnswerHead(response.status, response.headers, framed));
    if (!noBody && !headRequest_) {
        queue(std::move(response.body));
    }
}

void ServerConnection::respond(std::uint64_t answer, HttpResponse response)
{
    if (!answers(answer) || answerStarted_) {
        return;
    }
    closeAfterAnswer_ = closeAfterAnswer_ || shared_->closing;
    queueWholeAnswer(std::move(response), closeAfterAnswer_);
    answerEnded_ = true;
    flush();
}

void ServerConnection::startAnswer(std::uint64_t answer, const HttpResponseHead &head)
{
    if (!answers(answer) || answerStarted_) {
        return;
    }
    answerStarted_ = true;
    bodyless_ = headRequest_ || statusHasNoBody(head.status);
    chunked_ = !http10_ && !statusHasNoBody(head.status);
    closeAfterAnswer_ = closeAfterAnswer_ || shared_->closing || (!chunked_ && !bodyless_);
    AnswerFraming framed = framing(closeAfterAnswer_);
    framed.chunked = chunked_;
    queue(formatAnswerHead(head.status, head.headers, framed));
    flush();
}

void ServerConnection::writeChunk(std::uint64_t answer, std::string chunk,
                                  std::function<void()> written)
{
    if (!answers(answer) || !answerStarted_) {
        return;
    }
    if (written) {
        writtenHooks_.push_back(std::move(written));
    }
    if (!bodyless_ && !chunk.empty()) {
        if (chunked_) {
            std::string framed;
            framed.reserve(chunk.size() + 24);
            appendChunk(framed, chunk);
            queue(std::move(framed));
        } else {
            queue(std::move(chunk));
        }
    }
    flush();
}

void ServerConnection::finishAnswer(std::uint64_t answer)
{
    if (!answers(answer) || !answerStarted_) {
        return;
    }
    if (chunked_ && !bodyless_) {
        queue(std::string(lastChunk));
    }
    answerEnded_ = true;
    flush();
}

void ServerConnection::abortAnswer(std::uint64_t answer)
{
    if (!answers(answer)) {
        return;
    }
    if (answerStarted_ && !chunked_) {
        // Without chunks an orderly close would look like the end of the answer.
        ErrorCode ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    closedHook_ = nullptr;
    writeSome();
    close();
}

void ServerConnection::dropAnswer(std::uint64_t answer)
{
    if (!answers(answer)) {
        return;
    }
    if (answerStarted_) {
        abortAnswer(answer);
        return;
    }
    respond(answer,
            errorResponse(makeError(ResultCode::Internal, "the request was left without answer")));
}

void ServerConnection::setClosedHook(std::uint64_t answer, std::function<void()> closed)
{
    if (answers(answer)) {
        closedHook_ = std::move(closed);
    }
}

void ServerConnection::reject(const Error &error)
{
    queueWholeAnswer(errorResponse(error), true);
    phase_ = Phase::Closing;
    parser_.reset();
    input_.clear();
    flush();
}

// ---- output -------------------------------------------------------------------------------

void ServerConnection::queue(std::string bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (!output_.empty() && output_.back().size() + bytes.size() <= joinBytes) {
        output_.back() += bytes;
        return;
    }
    output_.push_back(std::move(bytes));
}

/// Writes at the end of the current handler, so that a head, its chunks and the end leave in one
/// packet, and no hook runs inside the call that wrote.
void ServerConnection::flush()
{
    if (awaitingOutput_ || flushPosted_ || phase_ == Phase::Closed) {
        return;
    }
    flushPosted_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->flushPosted_ = false;
        self->writeOutput();
    });
}

void ServerConnection::writeOutput()
{
    if (phase_ == Phase::Closed) {
        return;
    }
    const ErrorCode error = writeSome();
    if (error == asio::error::would_block || error == asio::error::try_again) {
        awaitOutput();
        return;
    }
    if (error) {
        callerGone();
        return;
    }
    outputDrained();
}

/// Writes until everything is written or the kernel takes no more.
ServerConnection::ErrorCode ServerConnection::writeSome()
{
    ErrorCode error;
    while (!output_.empty()) {
        std::vector<asio::const_buffer> buffers;
        for (const std::string &piece : output_) {
            buffers.emplace_back(asio::buffer(piece));
            if (buffers.size() == maxGather) {
                break;
            }
        }
        buffers.front() += outputOffset_;
        std::size_t written = socket_.write_some(buffers, error);
        if (error) {
            break;
        }
        written += outputOffset_;
        while (!output_.empty() && written >= output_.front().size()) {
            written -= output_.front().size();
            output_.pop_front();
        }
        outputOffset_ = written;
    }
    return error;
}

void ServerConnection::awaitOutput()
{
    awaitingOutput_ = true;
    setDeadline(shared_->options.writeTimeout);
    socket_.async_wait(Socket::wait_write, [self = shared_from_this()](const ErrorCode &error) {
        self->awaitingOutput_ = false;
        if (error) {
            self->callerGone();
            return;
        }
        self->writeOutput();
    });
}

void ServerConnection::outputDrained()
{
    if (phase_ == Phase::Closing) {
        halfClose();
        return;
    }
    if (phase_ != Phase::Answering) {
        return;
    }
    deadline_ = TimePoint::max();
    const auto hooks = std::exchange(writtenHooks_, {});
    const bool ended = answerEnded_;
    for (const auto &hook : hooks) {
        hook();
    }
    if (ended && phase_ == Phase::Answering) {
        answerSent();
    }
}

void ServerConnection::answerSent()
{
    endRequest();
    if (closeAfterAnswer_) {
        phase_ = Phase::Closing;
        input_.clear();
        halfClose();
        return;
    }
    nextRequest();
}

void ServerConnection::endRequest()
{
    closedHook_ = nullptr;
    if (requestOpen_) {
        requestOpen_ = false;
        --shared_->openRequests;
    }
}

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
    shared_->connections.erase(shared_from_this());
}

void ServerConnection::setDeadline(Milliseconds timeout)
{
    deadline_ = std::chrono::steady_clock::now() + timeout;
}

} // namespace persimmonlb::internal
