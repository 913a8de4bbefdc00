#include "persimmonlb/relay/internal/relaycall.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/crashes/crashledger.h"

namespace persimmonlb
{

namespace
{

Milliseconds elapsed(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from);
}

/// Returns the fingerprints as hexadecimal numbers, separated by commas.
std::string formatFingerprints(const std::vector<std::uint64_t> &fingerprints)
{
    std::ostringstream text;
    text << std::hex;
    for (const std::uint64_t fingerprint : fingerprints) {
        text << (text.tellp() > 0 ? "," : "") << fingerprint;
    }
    return text.str();
}

std::uint64_t nonNegativeMs(Milliseconds time)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

} // namespace

RelayService::Call::Call(RelayService &service, std::uint64_t number, RelayRequest request,
                         std::shared_ptr<HttpResponder> responder)
    : service_(service)
    , number_(number)
    , request_(std::move(request))
    , responder_(std::move(responder))
    , serviceName_(chooseService(request_.route, service_.random_()))
    , startedAt_(service_.clock_.monotonic())
    , deadline_(startedAt_ + requestTimeout(request_))
    , lastProgressAt_(startedAt_)
{
    if (request_.lastEventId) {
        events_ = EventReader(*request_.lastEventId);
    }
}

bool RelayService::Call::isStreaming() const
{
    return request_.route.kind == RouteKind::Streaming;
}

bool RelayService::Call::isIdempotent() const
{
    return request_.route.isIdempotent();
}

Milliseconds RelayService::Call::timeLeft() const
{
    return elapsed(service_.clock_.monotonic(), deadline_);
}

Milliseconds RelayService::Call::timeUntilRefusal() const
{
    const RelayOptions &options = service_.options_;
    const Route &route = request_.route;
    if (!isStreaming() || responseStarted_) {
        return timeLeft();
    }
    const Milliseconds timeout
        = std::max({options.minCallerTimeout, options.callerTimeoutObjectives * route.objective,
                    options.callerTimeoutPauses * route.pauseObjective});
    return timeout - options.refusalMargin - elapsed(startedAt_, service_.clock_.monotonic());
}

void RelayService::Call::start()
{
    responder_->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerDisconnected();
        }
    });
    acquire();
}

void RelayService::Call::acquire()
{
    stage_ = Stage::Waiting;
    if (refuseIfBlocked()) {
        return;
    }
    const Milliseconds timeSpent = elapsed(startedAt_, service_.clock_.monotonic());
    const bool isEngine = service_.hooks_.isEngine(serviceName_);
    const Milliseconds allowance
        = isEngine ? service_.options_.firstEventAllowance : Milliseconds(0);
    const bool isCallerRetry = static_cast<double>(request_.callerTimeout.count())
        < service_.options_.firstTryMinTimeoutShare
            * static_cast<double>(request_.route.timeout.count());
    SlotRequest slot;
    slot.service = serviceName_;
    slot.availabilityZone = service_.options_.availabilityZone;
    slot.priority = request_.route.priority;
    slot.startWithinMs = nonNegativeMs(request_.route.objective - timeSpent - allowance);
    slot.giveUpAfterMs = nonNegativeMs(std::min(timeLeft(), timeUntilRefusal()) - allowance);
    slot.cameBack = attempts_ > 0 || (isCallerRetry && request_.callerTimeout.count() > 0);
    slot.tokens = request_.tokens;
    slot.prompt = request_.prompt;
    slot.excluded = triedServers_;
    slot.customer = request_.customer;
    slot.customerWeight = request_.customerWeight;
    slot.isCharged = quotaCharged_;
    ticket_ = service_.slots_.acquire(std::move(slot),
                                      [weak = weak_from_this()](const SlotAnswer &answer) {
                                          if (const auto self = weak.lock()) {
                                              self->slotRequestEnded(answer);
                                          }
                                      });
}

void RelayService::Call::slotRequestEnded(const SlotAnswer &answer)
{
    if (stage_ != Stage::Waiting) {
        return;
    }
    if (answer.quotaExceeded) {
        Error error = makeError(ResultCode::QuotaExceeded,
                                "the quota of customer " + request_.customer.value + " is used up");
        error.retryAfter = answer.retryAfter;
        giveUp(error);
        return;
    }
    if (answer.server.empty()) {
        Error error = makeError(ResultCode::Overloaded,
                                "no slot became free in time; retry after "
                                    + std::to_string(answer.retryAfter.count()) + " ms");
        error.retryAfter = answer.retryAfter;
        giveUp(error);
        return;
    }
    // The request may have been blocked while it waited for the slot.
    if (refuseIfBlocked()) {
        service_.slots_.end(ticket_, SlotOutcome::Abandoned);
        return;
    }
    slot_ = answer;
    quotaCharged_ = true;
    send();
}

bool RelayService::Call::refuseIfBlocked()
{
    if (!service_.hooks_.hasSuspects()) {
        return false;
    }
    const Milliseconds blocked = service_.hooks_.blockedFor(fingerprints());
    if (blocked.count() == 0) {
        return false;
    }
    Error error = makeError(
        ResultCode::Quarantined,
        "earlier runs of this request, or of requests with a part of its prompt, crashed servers");
    error.retryAfter = blocked;
    giveUp(error);
    return true;
}

void RelayService::Call::send()
{
    stage_ = Stage::Sent;
    ++attempts_;
    triedServers_.push_back(slot_.server);
    lastProgressAt_ = service_.clock_.monotonic();
    responseClass_ = ResponseClass::Mismatched;
    dropBody();
    events_.reopen();
    responseBegan_ = false;
    if (service_.hooks_.hasSuspects()) {
        service_.hooks_.requestSent(fingerprints());
    }
    const Milliseconds left = timeLeft();
    HttpRequest request = service_.hooks_.codec.encode(
        request_.request,
        RelayAttempt{.server = slot_.server, .timeLeft = left, .lastEventId = events_.lastId()});
    exchange_ = service_.hooks_.send(slot_.address, std::move(request), left, exchangeHooks());
}

HttpExchangeHooks RelayService::Call::exchangeHooks()
{
    // Ending an attempt destroys its exchange, so the hooks of an earlier attempt are not called.
    const auto weak = weak_from_this();
    HttpExchangeHooks hooks;
    hooks.head = [weak](HttpResponseHead head) {
        if (const auto self = weak.lock()) {
            self->headArrived(std::move(head));
        }
    };
    hooks.chunk = [weak](const std::string &chunk) {
        if (const auto self = weak.lock()) {
            self->chunkArrived(chunk);
        }
    };
    hooks.end = [weak](const HttpExchangeEnd &end) {
        if (const auto self = weak.lock()) {
            self->exchangeEnded(end);
        }
    };
    return hooks;
}

void RelayService::Call::headArrived(HttpResponseHead head)
{
    if (service_.hooks_.codec.reportsLeaving(head)) {
        service_.slots_.markServerLeaving(ticket_);
    }
    responseClass_ = service_.hooks_.codec.classify(request_.id, head);
    if (responseClass_ != ResponseClass::Mismatched) {
        if (const auto limit = service_.hooks_.codec.requestLimitPerKs(head)) {
            service_.slots_.noteServerLimit(ticket_, *limit);
        }
    }
    if (!responseStarted_ || responseClass_ != ResponseClass::Success) {
        head_ = std::move(head);
    }
    if (responseClass_ == ResponseClass::Mismatched) {
        ++possibleRuns_;
        attemptFailed(
            SlotOutcome::Failed,
            makeError(ResultCode::BackendFailed, "the response belongs to another request"));
    }
}

void RelayService::Call::chunkArrived(std::string_view chunk)
{
    if (responseClass_ == ResponseClass::Success && isStreaming()) {
        forwardEvents(chunk);
        return;
    }
    if (body_.size() + chunk.size() > service_.options_.maxResponseBytes) {
        responseTooLong("the response exceeds the size limit");
        return;
    }
    bufferBody(chunk);
}

std::size_t RelayService::Call::bufferedBytes() const
{
    return body_.size();
}

void RelayService::Call::bufferBody(std::string_view chunk)
{
    body_ += chunk;
    service_.bufferedBytesChanged(body_.size() - chunk.size(), body_.size());
    service_.limitBufferedBytes();
}

void RelayService::Call::dropBody()
{
    service_.bufferedBytesChanged(body_.size(), 0);
    body_ = std::string();
}

void RelayService::Call::failForMemory()
{
    responseTooLong("the responses that are not complete exceed the memory for them together");
}

void RelayService::Call::responseTooLong(const char *why)
{
    // Even if its response is too long, a NotRun head means that the request did not run.
    possibleRuns_ += responseClass_ == ResponseClass::NotRun ? 0 : 1;
    dropBody();
    attemptFailed(SlotOutcome::Failed, makeError(ResultCode::BackendFailed, why));
}

void RelayService::Call::forwardEvents(std::string_view chunk)
{
    std::string forwarded;
    for (const StreamEvent &event : events_.feed(chunk)) {
        forwarded += event.raw;
    }
    if (!forwarded.empty()) {
        reportResponseBegan();
        lastProgressAt_ = service_.clock_.monotonic();
        if (!responseStarted_) {
            responseStarted_ = true;
            responder_->start(head_);
        }
        unwrittenBytes_ += forwarded.size();
        if (unwrittenBytes_ > service_.options_.maxUnwrittenBytes) {
            exchange_->pause();
        }
        const std::size_t size = forwarded.size();
        responder_->write(std::move(forwarded), [weak = weak_from_this(), size] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            self->unwrittenBytes_ -= size;
            if (self->exchange_
                && self->unwrittenBytes_ <= self->service_.options_.maxUnwrittenBytes) {
                self->exchange_->resume();
            }
        });
    }
    if (events_.isBroken()) {
        ++possibleRuns_;
        attemptFailed(
            SlotOutcome::Failed,
            makeError(ResultCode::StreamBroken, "an event is missing, has no id or is too long"));
    }
}

void RelayService::Call::exchangeEnded(const HttpExchangeEnd &end)
{
    if (stage_ != Stage::Sent) {
        return;
    }
    if (end.code == ResultCode::Ok) {
        responseEnded();
        return;
    }
    if (end.code == ResultCode::BackendConnectFailed && end.sendState == SendState::NothingSent) {
        attemptFailed(SlotOutcome::Unreachable, makeError(end.code, end.message));
        return;
    }
    possibleRuns_ += end.sendState == SendState::Sent ? 1 : 0;
    // The deadline comes from the caller or the route, so its expiry is not the server's failure;
    // tick() detects unresponsive servers.
    const bool deadlineExpired = end.code == ResultCode::DeadlineExceeded;
    if (!deadlineExpired && end.sendState == SendState::Sent) {
        reportAbortedRun();
    }
    attemptFailed(deadlineExpired ? SlotOutcome::Abandoned : SlotOutcome::Failed,
                  makeError(end.code, end.message));
}

const std::vector<std::uint64_t> &RelayService::Call::fingerprints()
{
    if (fingerprints_.empty()) {
        fingerprints_ = {requestFingerprint(request_.request.target, request_.request.body)};
        fingerprints_.insert(fingerprints_.end(), request_.sharedParts.begin(),
                             request_.sharedParts.end());
    }
    return fingerprints_;
}

void RelayService::Call::reportAbortedRun()
{
    LogLine(LogLevel::Info, "run_aborted")
        .add("request", request_.id)
        .add("server", slot_.server.value)
        .add("response_began", responseBegan_ ? "yes" : "no")
        .add("shared_parts", formatFingerprints(request_.sharedParts))
        .write();
    RunVerdict verdict{.fingerprint = fingerprints().front(),
                       .server = slot_.server,
                       .broken = true,
                       .bornMs = slot_.serverBornMs};
    if (!responseBegan_) {
        verdict.parts = request_.sharedParts;
    }
    service_.hooks_.runJudged(verdict);
}

void RelayService::Call::reportResponseBegan()
{
    if (std::exchange(responseBegan_, true) || request_.sharedParts.empty()) {
        return;
    }
    service_.hooks_.runJudged(RunVerdict{.fingerprint = 0,
                                         .server = slot_.server,
                                         .broken = false,
                                         .bornMs = slot_.serverBornMs,
                                         .parts = request_.sharedParts});
}

void RelayService::Call::reportAnsweredRun()
{
    if (service_.hooks_.hasSuspects()) {
        service_.hooks_.runJudged(RunVerdict{.fingerprint = fingerprints().front(),
                                             .server = slot_.server,
                                             .broken = false,
                                             .bornMs = slot_.serverBornMs});
    }
}

void RelayService::Call::responseEnded()
{
    switch (responseClass_) {
    case ResponseClass::NotRun:
        attemptFailed(SlotOutcome::Refused,
                      makeError(ResultCode::BackendRefused, "the server did not run the request"));
        return;
    case ResponseClass::Failure:
        reportAnsweredRun();
        ++possibleRuns_;
        if (mayRetry()) {
            attemptFailed(
                SlotOutcome::Failed,
                makeError(ResultCode::BackendFailed,
                          "the server responded with status " + std::to_string(head_.status)));
            return;
        }
        endAttempt(SlotOutcome::Failed);
        forwardFailure();
        return;
    case ResponseClass::Success:
        handleSuccess();
        return;
    case ResponseClass::Mismatched:
        return;
    }
}

void RelayService::Call::handleSuccess()
{
    if (isStreaming() && (events_.isInsideEvent() || !responseStarted_)) {
        reportAbortedRun();
        ++possibleRuns_;
        attemptFailed(SlotOutcome::Failed,
                      makeError(ResultCode::StreamBroken,
                                "the stream ended before its first event or inside an event"));
        return;
    }
    reportResponseBegan();
    reportAnsweredRun();
    endAttempt(SlotOutcome::Completed);
    if (isStreaming()) {
        responder_->finish();
    } else {
        respondWithBody();
    }
    finish("served", "");
}

void RelayService::Call::respondWithBody()
{
    service_.bufferedBytesChanged(body_.size(), 0);
    responder_->respond(HttpResponse{head_.status, std::move(head_.headers), std::move(body_)});
    body_ = std::string();
}

void RelayService::Call::endAttempt(SlotOutcome outcome)
{
    service_.slots_.end(ticket_, outcome);
    exchange_.reset();
}

bool RelayService::Call::mayRetry() const
{
    const std::uint32_t maxAttempts = std::max(1U, request_.route.maxAttempts);
    if (timeLeft() < service_.options_.minTimeToRetry || possibleRuns_ >= maxAttempts
        || attempts_ >= maxAttempts + service_.options_.maxExtraAttempts) {
        return false;
    }
    return possibleRuns_ == 0 || isIdempotent();
}

void RelayService::Call::attemptFailed(SlotOutcome outcome, const Error &error)
{
    endAttempt(outcome);
    const bool retry = mayRetry();
    LogLine(LogLevel::Info, "attempt_failed")
        .add("request", request_.id)
        .add("route", request_.route.name)
        .add("server", slot_.server.value)
        .add("attempt", static_cast<std::int64_t>(attempts_))
        .add("may_have_run", static_cast<std::int64_t>(possibleRuns_))
        .add("why", error.message)
        .add("left_ms", timeLeft().count())
        .add("again", retry ? "yes" : "no")
        .write();
    service_.metrics_.count("persimmonlb_relay_attempts_failed_total", {});
    if (retry) {
        acquire();
        return;
    }
    giveUp(error);
}

void RelayService::Call::forwardFailure()
{
    if (responseStarted_) {
        responder_->abort();
    } else {
        respondWithBody();
    }
    finish("server_failed", std::to_string(head_.status));
}

void RelayService::Call::giveUp(const Error &error)
{
    if (responseStarted_) {
        responder_->abort();
        finish("cut", error.message);
        return;
    }
    Error reported = error;
    if (possibleRuns_ > 0) {
        reported.run = RunState::Unknown;
    } else if (timeLeft().count() > 0 || stage_ == Stage::Waiting) {
        reported.run = RunState::NotRun;
    }
    responder_->respond(service_.hooks_.codec.encodeError(request_.id, reported));
    finish(reported.run == RunState::NotRun ? "refused" : "failed", error.message);
}

void RelayService::Call::callerDisconnected()
{
    if (stage_ == Stage::Ended) {
        return;
    }
    endAttempt(SlotOutcome::Abandoned);
    finish("caller_gone", "");
}

void RelayService::Call::endIfUnanswered()
{
    if (responseStarted_) {
        return;
    }
    possibleRuns_ += stage_ == Stage::Sent ? 1 : 0;
    endAttempt(SlotOutcome::Abandoned);
    giveUp(makeError(ResultCode::Draining, "this host is stopping"));
}

Milliseconds RelayService::Call::progressTimeout() const
{
    const RelayOptions &options = service_.options_;
    if (!isStreaming()) {
        const auto timeout = Milliseconds(static_cast<std::int64_t>(
            options.safeTimeoutObjectives * static_cast<double>(request_.route.objective.count())));
        return std::max(timeout, options.minSafeTimeout);
    }
    return responseStarted_ ? options.nextEventTimeout : options.firstEventTimeout;
}

void RelayService::Call::tick()
{
    const MonotonicTime now = service_.clock_.monotonic();
    if (stage_ == Stage::Waiting && now >= deadline_) {
        endAttempt(SlotOutcome::Abandoned);
        giveUp(makeError(ResultCode::DeadlineExceeded, "no slot became free before the deadline"));
        return;
    }
    if (stage_ != Stage::Sent || !isIdempotent() || now - lastProgressAt_ < progressTimeout()) {
        return;
    }
    // mayRetry() must count this attempt as one that may have run.
    ++possibleRuns_;
    if (mayRetry()) {
        attemptFailed(
            SlotOutcome::Failed,
            makeError(ResultCode::BackendFailed, "the server made no progress before its timeout"));
        return;
    }
    // No retry is possible, so keep waiting: the response may still arrive.
    --possibleRuns_;
    lastProgressAt_ = now;
}

void RelayService::Call::finish(std::string_view outcome, std::string_view why)
{
    stage_ = Stage::Ended;
    dropBody();
    const Milliseconds took = elapsed(startedAt_, service_.clock_.monotonic());
    service_.metrics_.count("persimmonlb_relay_requests_total",
                            {{"outcome", std::string(outcome)}});
    service_.metrics_.observe("persimmonlb_relay_seconds", {},
                              std::chrono::duration<double>(took).count());
    const bool isRateLimited = outcome == "served" || outcome == "caller_gone";
    if (!isRateLimited || service_.mayLogSuccess()) {
        LogLine line(LogLevel::Info, "request_ended");
        line.add("request", request_.id)
            .add("route", request_.route.name)
            .add("outcome", outcome)
            .add("why", why)
            .add("server", slot_.server.value)
            .add("ticket", static_cast<std::int64_t>(ticket_))
            .add("attempts", static_cast<std::int64_t>(attempts_))
            .add("may_have_run", static_cast<std::int64_t>(possibleRuns_))
            .add("took_ms", took.count())
            .add("caller_waits_ms", request_.callerTimeout.count());
        if (!request_.customer.empty()) {
            line.add("customer", request_.customer.value);
        }
        line.write();
    }
    service_.remove(number_);
}

} // namespace persimmonlb
