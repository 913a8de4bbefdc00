#include "persimmonlb/slots/serverspeed.h"

#include <algorithm>
#include <cmath>

namespace persimmonlb
{

namespace
{

constexpr double meanSmoothingWeight = 0.02; ///< Of the newest observation.

} // namespace

void ServiceHoldTime::record(double holdMs)
{
    ++count_;
    meanMs_ += std::max(meanSmoothingWeight, 1.0 / count_) * (holdMs - meanMs_);
}

double ServiceHoldTime::meanMs() const
{
    return meanMs_;
}

ServerSpeed::ServerSpeed(ServerSpeedOptions options)
    : options_(options)
{
}

void ServerSpeed::requestGranted(MonotonicTime at)
{
    held_.push_back(at);
}

void ServerSpeed::requestReleased(MonotonicTime grantedAt)
{
    const auto found = std::ranges::lower_bound(held_, grantedAt);
    if (found != held_.end() && *found == grantedAt) {
        held_.erase(found);
    }
}

void ServerSpeed::clearHeld()
{
    held_.clear();
}

double ServerSpeed::decay(MonotonicTime now) const
{
    return std::exp2(-std::chrono::duration<double>(now - recordedAt_)
                     / std::chrono::duration<double>(options_.halfLife));
}

void ServerSpeed::recordHoldTime(double holdMs, MonotonicTime now)
{
    const double kept
        = weight_ > 0 ? std::min(weight_ * decay(now), options_.maxWeight - 1) / weight_ : 0;
    weight_ = weight_ * kept + 1;
    weightedMs_ = weightedMs_ * kept + holdMs;
    recordedAt_ = now;
}

double ServerSpeed::expectedHoldMs(double meanMs, double slowdown, MonotonicTime now) const
{
    const double decayed = weight_ > 0 ? decay(now) : 0;
    double weight = options_.meanWeight + weight_ * decayed;
    double sum = options_.meanWeight * meanMs + weightedMs_ * decayed;
    const double expectedMs = sum / weight;
    for (const MonotonicTime grantedAt : held_) {
        const double elapsedMs
            = std::chrono::duration<double, std::milli>(now - grantedAt).count() / slowdown;
        if (elapsedMs <= expectedMs * options_.overdueRatio) {
            break;
        }
        weight += options_.overdueWeight;
        sum += options_.overdueWeight * elapsedMs;
    }
    return sum / weight;
}

} // namespace persimmonlb
