#include "persimmonlb/routing/quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Demand below this is not told: it no longer changes any share.
constexpr double leastToldDemand = 1e-3;
constexpr double millisPerSecond = 1000;

double secondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

QuotaGate::QuotaGate(QuotaOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
{
}

void QuotaGate::setSheet(std::shared_ptr<const Sheet> sheet)
{
    sheet_ = std::move(sheet);
    std::erase_if(buckets_, [&](const auto &entry) {
        return sheet_ == nullptr || sheet_->findQuota(entry.first) == nullptr;
    });
}

void QuotaGate::setHosts(std::uint32_t hosts)
{
    hosts_ = std::max(hosts, 1U);
}

void QuotaGate::setPeerDemand(const HostId &peer, const std::vector<CallerDemand> &demand)
{
    PeerDemand &told = peers_[peer];
    told.at = clock_.monotonic();
    told.perSecond.clear();
    for (const CallerDemand &entry : demand) {
        told.perSecond[entry.caller] = entry.perSecond;
    }
}

double QuotaGate::decayed(double perSecond, MonotonicTime since) const
{
    const double window = static_cast<double>(options_.demandWindow.count()) / millisPerSecond;
    return perSecond * std::exp(-secondsBetween(since, clock_.monotonic()) / window);
}

std::vector<CallerDemand> QuotaGate::publishDemand()
{
    std::vector<CallerDemand> result;
    for (auto &[caller, bucket] : buckets_) {
        bucket.published = decayed(bucket.perSecond, bucket.demandAt);
        bucket.publishedAt = clock_.monotonic();
        if (bucket.published < leastToldDemand) {
            continue;
        }
        result.push_back(CallerDemand{.caller = caller, .perSecond = bucket.published});
    }
    return result;
}

double QuotaGate::share(const CallerName &caller, const Bucket &bucket) const
{
    const MonotonicTime now = clock_.monotonic();
    double others = 0;
    std::uint32_t heard = 1;
    for (const auto &[peer, demand] : peers_) {
        if (now - demand.at > options_.demandLifetime) {
            continue;
        }
        ++heard;
        const auto position = demand.perSecond.find(caller);
        // Between two publications a steady demand stays as it was told.
        const MonotonicTime since = std::min(now, demand.at + options_.publishInterval);
        others += position == demand.perSecond.end() ? 0 : decayed(position->second, since);
    }
    // While no peer told of the caller, peers may be about to: only what was published counts.
    const double own = others > leastToldDemand ? decayed(bucket.perSecond, bucket.demandAt)
                                                : decayed(bucket.published, bucket.publishedAt);
    const double even = 1.0 / std::max(hosts_, heard);
    const double all = own + others;
    if (all <= 0) {
        return even;
    }
    const double heardPart = heard * even;
    return heardPart * (1 - options_.evenPart) * own / all + options_.evenPart * even;
}

void QuotaGate::refill(const SheetQuota &quota, Bucket &bucket)
{
    const MonotonicTime now = clock_.monotonic();
    const double part = share(quota.caller, bucket);
    const double most = std::max(1.0, quota.burst * part);
    if (bucket.isNew) {
        bucket.isNew = false;
        bucket.tokens = most;
    }
    bucket.tokens += quota.requestsPerSecond * part * secondsBetween(bucket.filledAt, now);
    bucket.tokens = std::min(bucket.tokens, most);
    bucket.filledAt = now;
}

Outcome<Done> QuotaGate::take(const CallerName &caller)
{
    const SheetQuota *quota = sheet_ == nullptr ? nullptr : sheet_->findQuota(caller);
    if (quota == nullptr) {
        return Done{};
    }
    const MonotonicTime now = clock_.monotonic();
    const auto [position, isNew] = buckets_.try_emplace(caller);
    Bucket &bucket = position->second;
    if (isNew) {
        bucket.filledAt = now;
        bucket.demandAt = now;
        bucket.publishedAt = now;
    }
    // The share is that before this request: else every request would see itself as demand.
    refill(*quota, bucket);
    const double window = static_cast<double>(options_.demandWindow.count()) / millisPerSecond;
    bucket.perSecond = decayed(bucket.perSecond, bucket.demandAt) + 1 / window;
    bucket.demandAt = now;
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return Done{};
    }
    const double rate = std::max(quota->requestsPerSecond * share(caller, bucket), 1e-3);
    const double waitMs = std::ceil((1 - bucket.tokens) / rate * millisPerSecond);
    constexpr double longestWaitMs = 60000;
    return Error{ResultCode::QuotaExceeded, "the quota of caller " + caller.value + " is used up",
                 Milliseconds(static_cast<std::int64_t>(std::min(waitMs, longestWaitMs))),
                 RunState::NotRun};
}

} // namespace persimmonlb
