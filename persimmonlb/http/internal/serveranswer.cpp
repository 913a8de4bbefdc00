// The answering half of ServerConnection: what responders ask for, and the output.
#include <cstdlib>
#include <utility>

#include <boost/asio/post.hpp>

#include "persimmonlb/http/errorbody.h"
#include "persimmonlb/http/internal/serverconnection.h"

namespace persimmonlb::internal
{

namespace
{

namespace asio = boost::asio;

/// Smaller pieces of output are joined.
constexpr std::size_t joinBytes = 16UL * 1024;
/// Buffers handed to one write.
constexpr std::size_t maxGather = 16;

} // namespace

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
    closeAfterAnswer_ = closeAfterAnswer_ || shared_->closesAfterAnswers;
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
    closeAfterAnswer_
        = closeAfterAnswer_ || shared_->closesAfterAnswers || (!chunked_ && !bodyless_);
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
    refuse(errorResponse(error));
}

/// Answers and closes; the request on the way is never run.
void ServerConnection::refuse(HttpResponse response)
{
    queueWholeAnswer(std::move(response), true);
    phase_ = Phase::Closing;
    parser_.reset();
    input_ = {};
    accountMemory();
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
        relieveMemory();
        return;
    }
    if (error) {
        callerGone();
        return;
    }
    accountMemory();
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
    passedOnBytes_ = 0;
    accountMemory();
}

} // namespace persimmonlb::internal
