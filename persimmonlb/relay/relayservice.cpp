#include "persimmonlb/relay/relayservice.h"

#include <utility>
#include <vector>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/relay/internal/relaycall.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds logWindowLength{1000};

} // namespace

RelayService::RelayService(RelayOptions options, Clock clock, RandomSource random,
                           SlotClient &slots, Metrics &metrics, RelayHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , random_(std::move(random))
    , slots_(slots)
    , metrics_(metrics)
    , hooks_(std::move(hooks))
{
}

RelayService::~RelayService() = default;

void RelayService::relay(RelayRequest request, std::shared_ptr<HttpResponder> responder)
{
    if (!mayAccept(request)) {
        refuseAsStopping(request, *responder);
        return;
    }
    const std::uint64_t number = nextCall_++;
    const auto call
        = std::make_shared<Call>(*this, number, std::move(request), std::move(responder));
    calls_.emplace(number, call);
    call->start();
}

void RelayService::refuseRequestsThatMayOutlast(MonotonicTime end)
{
    hostStopsAt_ = end;
}

bool RelayService::mayAccept(const RelayRequest &request) const
{
    if (!hostStopsAt_) {
        return true;
    }
    const Milliseconds timeout = requestTimeout(request);
    return timeout.count() > 0 && clock_.monotonic() + timeout <= *hostStopsAt_;
}

void RelayService::refuseAsStopping(const RelayRequest &request, HttpResponder &responder)
{
    Error error = makeError(ResultCode::Draining, "this host is stopping");
    // Another host may take the request at once.
    error.retryAfter = Milliseconds(0);
    error.run = RunState::NotRun;
    metrics_.count("persimmonlb_relay_requests_total", {{"outcome", "refused_stopping"}});
    if (mayLogSuccess()) {
        LogLine(LogLevel::Info, "request_refused_stopping")
            .add("request", request.id)
            .add("route", request.route.name)
            .add("timeout_ms", requestTimeout(request).count())
            .add("left_ms",
                 std::chrono::duration_cast<Milliseconds>(*hostStopsAt_ - clock_.monotonic())
                     .count())
            .write();
    }
    responder.respond(hooks_.codec.encodeError(request.id, error));
}

void RelayService::endUnanswered()
{
    for (const auto &call : openCalls()) {
        call->endIfUnanswered();
    }
}

void RelayService::tick()
{
    for (const auto &call : openCalls()) {
        call->tick();
    }
}

std::vector<std::shared_ptr<RelayService::Call>> RelayService::openCalls() const
{
    std::vector<std::shared_ptr<Call>> open;
    open.reserve(calls_.size());
    for (const auto &[number, call] : calls_) {
        open.push_back(call);
    }
    return open;
}

std::size_t RelayService::openRequests() const
{
    return calls_.size();
}

void RelayService::remove(std::uint64_t number)
{
    calls_.erase(number);
}

void RelayService::bufferedBytesChanged(std::size_t formerBytes, std::size_t bytes)
{
    bufferedBytes_ += bytes;
    bufferedBytes_ -= formerBytes;
}

void RelayService::limitBufferedBytes()
{
    while (bufferedBytes_ > options_.maxBufferedBytes) {
        std::shared_ptr<Call> longest;
        for (const auto &[number, call] : calls_) {
            if (!longest || call->bufferedBytes() > longest->bufferedBytes()) {
                longest = call;
            }
        }
        longest->failForMemory();
    }
}

bool RelayService::mayLogSuccess()
{
    const MonotonicTime now = clock_.monotonic();
    if (now - logWindowStart_ > logWindowLength) {
        logWindowStart_ = now;
        linesInWindow_ = 0;
    }
    if (linesInWindow_ >= options_.maxSuccessLinesPerSecond) {
        metrics_.count("persimmonlb_request_lines_skipped_total", {});
        return false;
    }
    ++linesInWindow_;
    return true;
}

} // namespace persimmonlb
