#include "persimmonlb/routing/quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Demand below this rate (requests per second) is not published: it no longer changes any share.
constexpr double minPublishedDemand = 1e-3;
constexpr double millisPerSecond = 1000;

double secondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

QuotaLimiter::QuotaLimiter(QuotaOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void QuotaLimiter::setSheet(std::shared_ptr<const Sheet> sheet)
{
    sheet_ = std::move(sheet);
    std::erase_if(buckets_, [&](const auto &entry) {
        return sheet_ == nullptr || sheet_->findQuota(entry.first) == nullptr;
    });
}

void QuotaLimiter::setHostCount(std::uint32_t count)
{
    hostCount_ = std::max(count, 1U);
}

void QuotaLimiter::setPeerDemand(const HostId &peer, const std::vector<CallerDemand> &demand)
{
    PeerDemand &stored = peers_[peer];
    stored.receivedAt = clock_.monotonic();
    stored.demandPerSecond.clear();
    for (const CallerDemand &entry : demand) {
        stored.demandPerSecond[entry.caller] = entry.perSecond;
    }
}

double QuotaLimiter::decayedDemand(double demandPerSecond, MonotonicTime since) const
{
    const double window = static_cast<double>(options_.demandWindow.count()) / millisPerSecond;
    return demandPerSecond * std::exp(-secondsBetween(since, clock_.monotonic()) / window);
}

std::vector<CallerDemand> QuotaLimiter::publishDemand()
{
    std::vector<CallerDemand> result;
    for (auto &[caller, bucket] : buckets_) {
        bucket.publishedDemand = decayedDemand(bucket.demandPerSecond, bucket.demandUpdatedAt);
        bucket.publishedAt = clock_.monotonic();
        if (bucket.publishedDemand < minPublishedDemand) {
            continue;
        }
        result.push_back(CallerDemand{.caller = caller, .perSecond = bucket.publishedDemand});
    }
    return result;
}

double QuotaLimiter::share(const CallerName &caller, const Bucket &bucket) const
{
    const MonotonicTime now = clock_.monotonic();
    double others = 0;
    std::uint32_t reportingHosts = 1;
    for (const auto &[peer, demand] : peers_) {
        if (now - demand.receivedAt > options_.demandLifetime) {
            continue;
        }
        ++reportingHosts;
        const auto position = demand.demandPerSecond.find(caller);
        // A peer's steady demand does not decay before its next publication is due.
        const MonotonicTime since = std::min(now, demand.receivedAt + options_.publishInterval);
        others += position == demand.demandPerSecond.end() ? 0
                                                           : decayedDemand(position->second, since);
    }
    // Peers without published demand for the caller may be about to publish some, so until then
    // only the published part of the own demand counts.
    const double own = others > minPublishedDemand
        ? decayedDemand(bucket.demandPerSecond, bucket.demandUpdatedAt)
        : decayedDemand(bucket.publishedDemand, bucket.publishedAt);
    const double evenShare = 1.0 / std::max(hostCount_, reportingHosts);
    const double total = own + others;
    if (total <= 0) {
        return evenShare;
    }
    const double reportingFraction = reportingHosts * evenShare;
    return reportingFraction * (1 - options_.evenFraction) * own / total
        + options_.evenFraction * evenShare;
}

void QuotaLimiter::refill(const SheetQuota &quota, Bucket &bucket)
{
    const MonotonicTime now = clock_.monotonic();
    const double hostShare = share(quota.caller, bucket);
    const double capacity = std::max(1.0, quota.burst * hostShare);
    if (bucket.isNew) {
        bucket.isNew = false;
        bucket.tokens = capacity;
    }
    bucket.tokens += quota.requestsPerSecond * hostShare * secondsBetween(bucket.refilledAt, now);
    bucket.tokens = std::min(bucket.tokens, capacity);
    bucket.refilledAt = now;
}

Outcome<Done> QuotaLimiter::admit(const CallerName &caller)
{
    const SheetQuota *quota = sheet_ == nullptr ? nullptr : sheet_->findQuota(caller);
    if (quota == nullptr) {
        return Done{};
    }
    const MonotonicTime now = clock_.monotonic();
    const auto [position, isNew] = buckets_.try_emplace(caller);
    Bucket &bucket = position->second;
    if (isNew) {
        bucket.refilledAt = now;
        bucket.demandUpdatedAt = now;
        bucket.publishedAt = now;
    }
    // Refill before this request is added to the demand: otherwise each request would increase its
    // own share.
    refill(*quota, bucket);
    const double window = static_cast<double>(options_.demandWindow.count()) / millisPerSecond;
    bucket.demandPerSecond
        = decayedDemand(bucket.demandPerSecond, bucket.demandUpdatedAt) + 1 / window;
    bucket.demandUpdatedAt = now;
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return Done{};
    }
    const double rate = std::max(quota->requestsPerSecond * share(caller, bucket), 1e-3);
    const double waitMs = std::ceil((1 - bucket.tokens) / rate * millisPerSecond);
    constexpr double maxWaitMs = 60000;
    return Error{ResultCode::QuotaExceeded, "the quota of caller " + caller.value + " is used up",
                 Milliseconds(static_cast<std::int64_t>(std::min(waitMs, maxWaitMs))),
                 RunState::NotRun};
}

} // namespace persimmonlb
