#include "persimmonlb/relay/relayservice.h"

#include <utility>
#include <vector>

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
    const std::uint64_t number = nextCall_++;
    const auto call
        = std::make_shared<Call>(*this, number, std::move(request), std::move(responder));
    calls_.emplace(number, call);
    call->start();
}

void RelayService::tick()
{
    std::vector<std::shared_ptr<Call>> open;
    open.reserve(calls_.size());
    for (const auto &[number, call] : calls_) {
        open.push_back(call);
    }
    for (const auto &call : open) {
        call->tick();
    }
}

std::size_t RelayService::openRequests() const
{
    return calls_.size();
}

void RelayService::remove(std::uint64_t number)
{
    calls_.erase(number);
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
