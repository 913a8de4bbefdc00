#include <algorithm>
#include <utility>

#include "persimmonlb/base/digest.h"
#include "persimmonlb/serving/internal/onlinecall.h"

namespace persimmonlb
{

namespace
{

constexpr std::uint16_t okStatus = 200;
constexpr std::uint16_t tooManyRequests = 429;
constexpr std::uint16_t firstServerError = 500;
constexpr std::uint16_t unavailable = 503;
constexpr std::string_view endEvent = "data: [DONE]\n\n";
constexpr std::string_view eventStreamType = "text/event-stream";
constexpr const char *requestIdHeader = "Persimmonlb-Request-Id";
/// For an engine to end its exchange after the last event.
constexpr Milliseconds exchangeEndWait{1000};

/// Puts `to` in place of the first `from`, which is unique in the system.
std::string renamed(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t position = from == to ? std::string::npos : text.find(from);
    if (position != std::string::npos) {
        text.replace(position, from.size(), to);
    }
    return text;
}

bool isEventStream(const HttpResponseHead &head)
{
    return head.status == okStatus
        && head.headers.find("Content-Type").starts_with(eventStreamType);
}

void noteLimit(Router &router, const ServerChoice &choice, const HttpResponseHead &head)
{
    if (const auto limit = requestLimitOf(head)) {
        router.noteLimit(choice.server, choice.incarnation, *limit);
    }
}

Error backendError(ResultCode code, std::string message)
{
    return makeError(code, std::move(message));
}

} // namespace

void OnlineCall::send()
{
    const std::uint64_t number = ++attemptNumber_;
    ++end_.attempts;
    attempt_ = Attempt{};
    attempt_->number = number;
    attempt_->resumes = answer_.started();
    stream_.reopen();
    if (!request_.sharedParts.empty()) {
        context_.hooks.requestSent(request_.sharedParts);
    }
    const Milliseconds patience
        = timeLeft() + (request_.idempotent ? Milliseconds(0) : context_.options.onceOnlyLinger);
    std::unique_ptr<HttpExchange> exchange = context_.hooks.sendToServer(
        choice_->address, requestForAttempt(attempt_->resumes), patience, hooksForAttempt(number));
    if (attempt_ && attempt_->number == number) {
        attempt_->exchange = std::move(exchange);
    } else {
        context_.retire(std::move(exchange));
    }
}

HttpRequest OnlineCall::requestForAttempt(bool resumes) const
{
    HttpRequest result = request_.toServer;
    result.headers.fields.push_back({requestIdHeader, runId_});
    result.headers.fields.push_back({"Persimmonlb-Attempt", std::to_string(end_.attempts)});
    result.headers.fields.push_back({"Persimmonlb-Class", "online"});
    if (resumes) {
        result.target = "/v1/resume";
        result.body = "{\"id\":\"" + runId_ + "\",\"from_index\":"
            + std::to_string(stream_.nextIndex()) + ",\"request\":" + request_.toServer.body + "}";
    }
    return result;
}

HttpExchangeHooks OnlineCall::hooksForAttempt(std::uint64_t number)
{
    const auto current = [weak = weak_from_this(), number]() -> std::shared_ptr<OnlineCall> {
        auto self = weak.lock();
        const bool isCurrent = self && self->attempt_ && self->attempt_->number == number;
        return isCurrent ? self : nullptr;
    };
    HttpExchangeHooks hooks;
    hooks.head = [current](HttpResponseHead head) {
        if (const auto self = current()) {
            self->headCame(std::move(head));
        }
    };
    hooks.chunk = [current](std::string chunk) {
        if (const auto self = current()) {
            self->chunkCame(std::move(chunk));
        }
    };
    hooks.end = [current](const HttpExchangeEnd &end) {
        if (const auto self = current()) {
            self->exchangeEnded(end);
        }
    };
    return hooks;
}

bool OnlineCall::isRefusal() const
{
    if (!attempt_->head) {
        return false;
    }
    const HttpResponseHead &head = *attempt_->head;
    return (head.status == tooManyRequests || head.status == unavailable)
        && head.headers.find("Persimmonlb-Not-Run") == "true";
}

HttpResponseHead OnlineCall::headForCaller() const
{
    return HttpResponseHead{.status = attempt_->head->status,
                            .headers = answerHeaders(attempt_->head->headers, callerId_)};
}

void OnlineCall::headCame(HttpResponseHead head)
{
    context_.router.recordFirstByte(*choice_);
    if (end_.toFirstByte == Milliseconds(0)) {
        end_.toFirstByte = sinceStart();
    }
    const std::string_view echoed = head.headers.find(requestIdHeader);
    if (echoed.empty() || echoed == runId_) {
        noteLimit(context_.router, *choice_, head);
    }
    attempt_->streams = request_.stream && isEventStream(head);
    attempt_->head = std::move(head);
    if (!echoed.empty() && echoed != runId_) {
        mayHaveRun_ = true;
        streamFaulty("the backend server answered another request");
        return;
    }
    if (request_.kind == ServiceKind::Plain && isEventStream(*attempt_->head)) {
        attempt_->tooLong = true;
        answer_.startChunks(headForCaller());
    }
}

void OnlineCall::chunkCame(std::string chunk)
{
    if (!attempt_->head || isRefusal()) {
        return;
    }
    mayHaveRun_ = true;
    if (attempt_->streams) {
        eventsCame(chunk);
    } else if (!attempt_->resumes) {
        holdOrPass(std::move(chunk));
    }
}

void OnlineCall::holdOrPass(std::string chunk)
{
    if (!attempt_->tooLong) {
        attempt_->body += chunk;
        if (attempt_->body.size() <= context_.options.maxHeldAnswerBytes) {
            return;
        }
        attempt_->tooLong = true;
        answer_.startChunks(headForCaller());
        chunk = std::exchange(attempt_->body, {});
    }
    answer_.pass(std::move(chunk));
}

RunVerdict OnlineCall::verdictOn(const ServerChoice &choice, bool broken) const
{
    const std::uint64_t request = std::max<std::uint64_t>(1, stableHash(request_.fingerprint));
    return RunVerdict{.fingerprint = broken ? request : 0,
                      .server = choice.server,
                      .broken = broken,
                      .bornMs = choice.incarnation,
                      .parts = request_.sharedParts};
}

void OnlineCall::reportResponseBegan()
{
    if (!std::exchange(attempt_->began, true) && !request_.sharedParts.empty()) {
        context_.hooks.runJudged(verdictOn(*choice_, false));
    }
}

void OnlineCall::eventsCame(const std::string &bytes)
{
    if (stream_.state() != TokenStream::State::Open) {
        return;
    }
    for (std::string &event : stream_.feed(bytes)) {
        reportResponseBegan();
        answer_.startEvents(headForCaller());
        std::string text = renamed(std::move(event), runId_, callerId_);
        if (claim_ && recordedEvents_.size() <= context_.options.maxRecordedAnswerBytes) {
            recordedEvents_ += text;
        }
        answer_.pass(std::move(text));
    }
    if (stream_.state() == TokenStream::State::Ended) {
        streamWhole();
    } else if (stream_.state() == TokenStream::State::Broken) {
        streamFaulty(stream_.fault());
    }
}

void OnlineCall::exchangeEnded(const HttpExchangeEnd &end)
{
    context_.retire(std::move(attempt_->exchange));
    if (isRefusal()) {
        serverRefused();
        return;
    }
    if (attempt_->streams && stream_.state() == TokenStream::State::Ended) {
        attempt_.reset();
        giveBack(RouteEnd::Succeeded, PermitEnd::Survived);
        removeWhenOver();
        return;
    }
    if (end.sendState == SendState::NothingSent && end.code != ResultCode::Ok) {
        connectFailed();
        return;
    }
    mayHaveRun_ = true;
    if (end.code == ResultCode::DeadlineExceeded) {
        cancelAttempt();
        record(ClaimState::Unknown, {}, {});
        deadlinePassed();
        removeWhenOver();
        return;
    }
    if (end.code != ResultCode::Ok) {
        connectionBroken(end.message);
        return;
    }
    if (attempt_->streams) {
        streamFaulty("the stream ended without its end mark");
    } else if (attempt_->resumes) {
        resumeRefused();
    } else {
        answerWhole();
    }
}

// ---- ends of an attempt ---------------------------------------------------------------------

void OnlineCall::answerWhole()
{
    HttpResponseHead head = headForCaller();
    if (head.status == okStatus) {
        reportResponseBegan();
    }
    const bool tooLong = attempt_->tooLong;
    std::string body = std::move(attempt_->body);
    if (request_.kind == ServiceKind::Engine) {
        body = renamed(std::move(body), runId_, callerId_);
    }
    attempt_.reset();
    const bool serverError = head.status >= firstServerError;
    giveBack(serverError ? RouteEnd::ServerError : RouteEnd::Succeeded, PermitEnd::Survived);
    if (!serverError) {
        context_.retryBudget.recordSuccess();
    }
    const std::uint16_t status = head.status;
    if (tooLong) {
        record(ClaimState::Unknown, {}, {});
        answer_.finish();
        answered(ResultCode::Ok, status);
        return;
    }
    RecordedAnswer recorded{.status = status,
                            .contentType = std::string(head.headers.find("Content-Type")),
                            .body = claim_ ? body : std::string()};
    HttpResponse response{
        .status = status, .headers = std::move(head.headers), .body = std::move(body)};
    recordThen(std::move(recorded), [this, status, response = std::move(response)] {
        answer_.whole(response);
        answered(ResultCode::Ok, status);
    });
}

void OnlineCall::streamWhole()
{
    context_.retryBudget.recordSuccess();
    answer_.startEvents(headForCaller());
    RecordedAnswer recorded{.status = okStatus,
                            .contentType = std::string(eventStreamType),
                            .body = recordedEvents_ + std::string(endEvent)};
    const std::uint64_t number = attempt_->number;
    context_.hooks.after(exchangeEndWait, [weak = weak_from_this(), number] {
        const auto self = weak.lock();
        if (self && self->attempt_ && self->attempt_->number == number) {
            self->exchangeEnded(HttpExchangeEnd{SendState::Sent, ResultCode::Ok, {}});
        }
    });
    recordThen(std::move(recorded), [this] {
        answer_.pass(std::string(endEvent));
        answer_.finish();
        answered(ResultCode::Ok, okStatus);
    });
}

void OnlineCall::recordThen(RecordedAnswer answer, std::function<void()> next)
{
    if (!claim_) {
        next();
        return;
    }
    const auto once = [self = shared_from_this(), next = std::move(next)] {
        if (!self->answeredCaller_) {
            next();
        }
    };
    if (answer.body.size() > context_.options.maxRecordedAnswerBytes) {
        record(ClaimState::Unknown, {}, once);
    } else {
        record(ClaimState::Answered, std::move(answer), once);
    }
    if (!answeredCaller_) {
        // Before the deadline, which would hide an answer that is there.
        const Milliseconds wait
            = std::min(context_.options.recordWait, timeLeft() - Milliseconds(1));
        context_.hooks.after(wait, once);
    }
}

void OnlineCall::serverRefused()
{
    const Error error = backendError(ResultCode::BackendRefused,
                                     "backend server " + choice_->server.value + " refused");
    const bool resumes = attempt_->resumes;
    const ServerId server = choice_->server;
    attempt_.reset();
    giveBack(RouteEnd::Refused, PermitEnd::NotRun);
    if (resumes) {
        exclude_.push_back(server);
        resume(error, server, false);
        return;
    }
    if (!request_.idempotent) {
        fail(error);
        removeWhenOver();
        return;
    }
    exclude_.push_back(server);
    tryAgain(error);
}

void OnlineCall::connectFailed()
{
    const Error error = backendError(ResultCode::BackendConnectFailed,
                                     "cannot connect to backend server " + choice_->server.value);
    const bool resumes = attempt_->resumes;
    const ServerId server = choice_->server;
    attempt_.reset();
    giveBack(RouteEnd::ConnectFailed, PermitEnd::NotRun);
    context_.suspects.refreshState();
    exclude_.push_back(server);
    if (resumes) {
        resume(error, server, false);
    } else {
        tryAgain(error);
    }
}

void OnlineCall::serverLost(const ServerId &server)
{
    if (!attempt_ || !choice_ || choice_->server != server) {
        return;
    }
    mayHaveRun_ = true;
    context_.retire(std::move(attempt_->exchange));
    connectionBroken("backend server " + server.value + " went silent");
}

void OnlineCall::connectionBroken(const std::string &message)
{
    const ServerChoice lost = *choice_;
    const std::uint64_t permit = std::exchange(permit_, 0);
    const bool judgesParts = !attempt_->began && !request_.sharedParts.empty();
    attempt_.reset();
    choice_.reset();
    ++lossesPending_;
    context_.router.release(lost, RouteEnd::Lost);
    context_.suspects.serverLost(
        lost.server, lost.incarnation, {request_.fingerprint},
        [self = shared_from_this(), lost, permit, message, judgesParts](LossVerdict verdict) {
            const bool lives = verdict == LossVerdict::ServerAlive;
            if (!lives && judgesParts) {
                self->context_.hooks.runJudged(self->verdictOn(lost, true));
            }
            self->context_.suspects.release(permit, lives ? PermitEnd::NotRun : PermitEnd::Lost);
            if (lives) {
                self->context_.router.readmit(lost.server);
            }
            self->lossKnown(lost.server, verdict, message);
        });
}

void OnlineCall::lossKnown(const ServerId &server, LossVerdict verdict, const std::string &message)
{
    --lossesPending_;
    if (answeredCaller_) {
        record(ClaimState::Unknown, {}, {});
        removeWhenOver();
        return;
    }
    const bool lives = verdict == LossVerdict::ServerAlive;
    const ResultCode code
        = answer_.started() ? ResultCode::StreamBroken : ResultCode::BackendFailed;
    const Error error = backendError(code, message);
    if (!lives) {
        exclude_.push_back(server);
    }
    if (answer_.started()) {
        resume(error, server, lives);
    } else {
        tryAgain(error);
    }
}

void OnlineCall::streamFaulty(const std::string &message)
{
    const ServerId server = choice_->server;
    context_.retire(std::move(attempt_->exchange));
    attempt_.reset();
    giveBack(RouteEnd::Abandoned, PermitEnd::NotRun);
    const Error error = backendError(ResultCode::StreamBroken, message);
    if (answeredCaller_) {
        record(ClaimState::Unknown, {}, {});
        removeWhenOver();
        return;
    }
    if (answer_.started()) {
        resume(error, server, true);
    } else {
        tryAgain(error);
    }
}

void OnlineCall::resumeRefused()
{
    const ServerId server = choice_->server;
    const std::uint16_t status = attempt_->head ? attempt_->head->status : 0;
    attempt_.reset();
    giveBack(RouteEnd::Abandoned, PermitEnd::Survived);
    exclude_.push_back(server);
    resume(backendError(ResultCode::StreamBroken,
                        "the stream broke and cannot be resumed: status " + std::to_string(status)),
           server, false);
}

void OnlineCall::tryAgain(const Error &error)
{
    lastError_ = error;
    const bool ranOnceOnly = mayHaveRun_ && !request_.idempotent;
    if (answeredCaller_ || ranOnceOnly || end_.attempts >= context_.options.maxAttempts) {
        fail(error);
        removeWhenOver();
        return;
    }
    const bool isFree = !mayHaveRun_ && notRunRetries_++ == 0;
    if (!isFree && !context_.retryBudget.tryTake()) {
        fail(error);
        return;
    }
    route();
}

void OnlineCall::resume(const Error &error, const ServerId &server, bool serverLives)
{
    lastError_ = error;
    const bool cannot = !request_.stream || request_.kind != ServiceKind::Engine
        || end_.resumes >= context_.options.maxResumes || (!request_.idempotent && !serverLives);
    if (answeredCaller_ || cannot || (!serverLives && !context_.retryBudget.tryTake())) {
        fail(error);
        removeWhenOver();
        return;
    }
    ++end_.resumes;
    preferred_ = serverLives ? server : ServerId{};
    route();
}

} // namespace persimmonlb
