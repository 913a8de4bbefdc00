#include "persimmonlb/serving/internal/onlinecall.h"

#include <algorithm>
#include <array>
#include <utility>

namespace persimmonlb
{

namespace
{

constexpr const char *requestIdHeader = "Persimmonlb-Request-Id";

bool maySucceedLater(ResultCode code)
{
    constexpr std::array codes = {ResultCode::Overloaded,           ResultCode::DeadlineExceeded,
                                  ResultCode::NoBackendServer,      ResultCode::NoQuorum,
                                  ResultCode::BackendConnectFailed, ResultCode::BackendRefused,
                                  ResultCode::InProgressElsewhere};
    return std::find(codes.begin(), codes.end(), code) != codes.end();
}

} // namespace

OnlineCall::OnlineCall(OnlineContext &context, std::uint64_t id, CallerRequest request,
                       std::shared_ptr<HttpResponder> responder)
    : context_(context)
    , id_(id)
    , request_(std::move(request))
    , runId_(context.options.self.host.value + "-"
             + std::to_string(context.options.self.incarnation) + "-" + std::to_string(id))
    , callerId_(request_.requestId.empty() ? runId_ : request_.requestId)
    , answer_(std::move(responder), context.options.maxUnwrittenBytes,
              [this](bool paused) {
                  if (!attempt_ || !attempt_->exchange) {
                      return;
                  }
                  if (paused) {
                      attempt_->exchange->pause();
                  } else {
                      attempt_->exchange->resume();
                  }
              })
    , stream_(runId_)
    , startedAt_(context.clock.monotonic())
    , deadline_(startedAt_ + request_.deadline)
{
    end_.service = request_.service;
    end_.caller = request_.caller;
    end_.requestId = callerId_;
}

void OnlineCall::start()
{
    context_.hooks.after(request_.deadline, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->deadlinePassed();
        }
    });
    if (request_.idempotent) {
        route();
    } else {
        claim();
    }
}

// ---- claim --------------------------------------------------------------------------------

void OnlineCall::claim()
{
    claimUnknown_ = true;
    const ClaimRequest claim{
        .key = {.caller = request_.caller, .idempotencyKey = request_.idempotencyKey},
        .service = request_.service,
        .bodyDigest = request_.fingerprint,
        .owner = context_.options.self,
        .requestId = runId_,
        .at = context_.clock.wall()};
    claim_ = std::make_shared<OnceOnlyClaim>(
        claim, context_.options.claimPollInterval, context_.clock,
        OnceOnlyClaimHooks{.propose = context_.hooks.propose, .after = context_.hooks.after});
    claim_->ask(deadline_, [weak = weak_from_this()](const Outcome<ClaimReply> &reply) {
        if (const auto self = weak.lock()) {
            self->claimAnswered(reply);
        }
    });
}

void OnlineCall::claimAnswered(const Outcome<ClaimReply> &reply)
{
    if (!reply.ok()) {
        fail(reply.error());
        return;
    }
    const ClaimReply &claim = reply.value();
    switch (claim.state) {
    case ClaimState::Granted:
        claimUnknown_ = false;
        route();
        return;
    case ClaimState::Answered: {
        HttpResponse response;
        response.status = claim.answer.status;
        response.headers.fields = {{"Content-Type", claim.answer.contentType},
                                   {requestIdHeader, callerId_},
                                   {"Persimmonlb-Recorded", "true"}};
        response.body = claim.answer.body;
        answer_.whole(std::move(response));
        answered(ResultCode::Ok, claim.answer.status);
        return;
    }
    case ClaimState::Running:
        fail(makeError(ResultCode::InProgressElsewhere,
                       "an earlier request with this key still runs"));
        return;
    case ClaimState::Unknown:
        fail(makeError(ResultCode::OutcomeUnknown,
                       "whether the earlier request with this key ran cannot be told"));
        return;
    case ClaimState::NotSent:
        claimUnknown_ = false;
        fail(makeError(ResultCode::Overloaded, "the claim on this key could not be renewed"));
        return;
    case ClaimState::Conflict:
        claimUnknown_ = false;
        fail(makeError(ResultCode::KeyReusedWithOtherBody,
                       "the Idempotency-Key was used before with another body"));
        return;
    }
}

// ---- choice of server ----------------------------------------------------------------------

void OnlineCall::route()
{
    context_.suspects.whenRefreshed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->routeNow();
        }
    });
}

void OnlineCall::routeNow()
{
    if (answeredCaller_) {
        return;
    }
    const Suspicion suspicion = context_.suspects.suspicion(request_.fingerprint);
    if (suspicion == Suspicion::Quarantined) {
        fail(makeError(ResultCode::Quarantined,
                       "earlier runs of this request crashed backend servers"));
        return;
    }
    if (const auto blocked = blockedError()) {
        fail(*blocked);
        return;
    }
    const bool suspect = suspicion == Suspicion::Suspect;
    const RouteQuery query{.service = request_.service,
                           .model = request_.model,
                           .version = request_.version,
                           .prefixHash = request_.prefixHash,
                           .exclude = exclude_,
                           .preferred = preferred_,
                           .suspect = suspect,
                           .deadline = deadline_};
    const std::uint64_t waiter = context_.router.acquire(
        query, [weak = weak_from_this(), suspect](const Outcome<ServerChoice> &choice) {
            if (const auto self = weak.lock()) {
                self->waiter_ = 0;
                self->chosen(choice, suspect);
            }
        });
    // The callback may have run already, and may have asked again.
    if (waiter != 0) {
        waiter_ = waiter;
    }
}

std::optional<Error> OnlineCall::blockedError() const
{
    if (request_.sharedParts.empty()) {
        return std::nullopt;
    }
    const Milliseconds blocked = context_.hooks.blockedFor(request_.sharedParts);
    if (blocked.count() == 0) {
        return std::nullopt;
    }
    Error error = makeError(ResultCode::Quarantined,
                            "earlier runs of requests with one of these messages crashed backend "
                            "servers");
    error.retryAfter = blocked;
    return error;
}

void OnlineCall::chosen(const Outcome<ServerChoice> &choice, bool suspect)
{
    if (!choice.ok()) {
        fail(mayHaveRun_ && lastError_ ? *lastError_ : choice.error());
        return;
    }
    if (answeredCaller_) {
        context_.router.release(choice.value(), RouteEnd::Abandoned);
        return;
    }
    // A part may have been blocked while the request waited for a server.
    if (const auto blocked = blockedError()) {
        context_.router.release(choice.value(), RouteEnd::Abandoned);
        fail(*blocked);
        return;
    }
    choice_ = choice.value();
    end_.server = choice_->server;
    const bool goesOn = answer_.started();
    if (goesOn && !request_.idempotent && choice_->server != preferred_) {
        // Another server would run it a second time.
        fail(*lastError_);
        return;
    }
    if (!suspect) {
        send();
        return;
    }
    permit_
        = context_.suspects.acquire(request_.fingerprint, choice_->server, choice_->incarnation,
                                    deadline_, [weak = weak_from_this()](const Outcome<Done> &may) {
                                        if (const auto self = weak.lock()) {
                                            self->permitted(may);
                                        }
                                    });
}

void OnlineCall::permitted(const Outcome<Done> &may)
{
    if (may.ok()) {
        send();
        return;
    }
    permit_ = 0;
    giveBack(RouteEnd::Abandoned, PermitEnd::NotRun);
    const bool convicted = may.error().code == ResultCode::Quarantined;
    fail(!convicted && mayHaveRun_ && lastError_ ? *lastError_ : may.error());
}

// ---- ends of the call ----------------------------------------------------------------------

void OnlineCall::deadlinePassed()
{
    if (answeredCaller_) {
        return;
    }
    const Error error = makeError(ResultCode::DeadlineExceeded,
                                  "the answer was not whole before the request's deadline");
    if (!request_.idempotent && runsOn()) {
        linger();
    }
    fail(error);
}

void OnlineCall::callerGone()
{
    if (answeredCaller_) {
        return;
    }
    answer_.close();
    if (!request_.idempotent && runsOn()) {
        linger();
    }
    fail(makeError(ResultCode::Cancelled, "the caller went away"));
}

void OnlineCall::linger()
{
    lingers_ = true;
    context_.hooks.after(context_.options.onceOnlyLinger, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->runsOn()) {
            self->cancelAttempt();
            self->record(ClaimState::Unknown, {}, {});
            self->removeWhenOver();
        }
    });
}

void OnlineCall::fail(Error error)
{
    if (answeredCaller_) {
        return;
    }
    error.run = runState();
    if (!error.retryAfter && error.run == RunState::NotRun && maySucceedLater(error.code)) {
        error.retryAfter = context_.options.defaultRetryAfter;
    }
    if (claim_) {
        claim_->abandon();
    }
    if (!lingers_) {
        cancelAttempt();
        record(mayHaveRun_ ? ClaimState::Unknown : ClaimState::NotSent, {}, {});
    }
    answer_.fail(error, {}, callerId_);
    if (error.run == RunState::NotRun && error.code != ResultCode::Cancelled) {
        context_.hooks.recordRefusal(request_.caller, request_.service, error);
    }
    answered(error.code, describe(error.code).httpStatus);
}

RunState OnlineCall::runState() const
{
    if (answer_.started()) {
        return RunState::Ran;
    }
    const bool mayRun = mayHaveRun_ || claimUnknown_ || runsOn() || lossesPending_ > 0;
    return mayRun ? RunState::Unknown : RunState::NotRun;
}

void OnlineCall::cancelAttempt()
{
    if (waiter_ != 0) {
        context_.router.cancel(std::exchange(waiter_, 0));
    }
    if (attempt_) {
        mayHaveRun_ = true;
        context_.retire(std::move(attempt_->exchange));
        attempt_.reset();
        if (request_.kind == ServiceKind::Engine && choice_) {
            context_.cancelRun(choice_->address, runId_);
        }
    }
    giveBack(RouteEnd::Abandoned, PermitEnd::NotRun);
}

void OnlineCall::giveBack(RouteEnd end, PermitEnd permitEnd)
{
    if (permit_ != 0) {
        context_.suspects.release(std::exchange(permit_, 0), permitEnd);
    }
    if (choice_) {
        const ServerChoice given = *choice_;
        choice_.reset();
        context_.router.release(given, end);
    }
}

void OnlineCall::record(ClaimState state, RecordedAnswer answer, std::function<void()> recorded)
{
    if (!claim_ || !claim_->granted()) {
        return;
    }
    ++recordsPending_;
    const bool first = claim_->close(state, std::move(answer),
                                     [weak = weak_from_this(), recorded = std::move(recorded)] {
                                         const auto self = weak.lock();
                                         if (recorded) {
                                             recorded();
                                         }
                                         if (self) {
                                             --self->recordsPending_;
                                             self->removeWhenOver();
                                         }
                                     });
    if (!first) {
        --recordsPending_;
    }
}

void OnlineCall::answered(ResultCode code, std::uint16_t status)
{
    answeredCaller_ = true;
    end_.code = code;
    end_.status = status;
    end_.total = sinceStart();
    context_.hooks.ended(end_);
    removeWhenOver();
}

void OnlineCall::removeWhenOver()
{
    if (!answeredCaller_ || attempt_ || lossesPending_ > 0 || recordsPending_ > 0 || removed_) {
        return;
    }
    removed_ = true;
    context_.remove(id_);
}

bool OnlineCall::runsOn() const
{
    return attempt_.has_value();
}

Milliseconds OnlineCall::timeLeft() const
{
    const auto left = std::chrono::ceil<Milliseconds>(deadline_ - context_.clock.monotonic());
    return std::max(left, Milliseconds(1));
}

Milliseconds OnlineCall::sinceStart() const
{
    return std::chrono::duration_cast<Milliseconds>(context_.clock.monotonic() - startedAt_);
}

} // namespace persimmonlb
