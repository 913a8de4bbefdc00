#include "persimmonlb/routing/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace persimmonlb
{

namespace
{

/// Weight of a new latency in the recent mean.
constexpr double latencyWeight = 0.05;
/// Growth factor of the best mean per response.
constexpr double bestMeanGrowth = 1.0001;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyOptions options, std::uint32_t slots)
    : options_(options)
    , slots_(slots)
    , limit_(slots == 0 ? options.initialLimit : slots)
{
    limit_ = std::clamp<double>(limit_, options_.minLimit, maxLimit());
}

double ConcurrencyLimit::maxLimit() const
{
    const std::uint32_t maxLimit
        = slots_ == 0 ? options_.maxLimit : std::min(slots_, options_.maxLimit);
    return std::max(maxLimit, options_.minLimit);
}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots == slots_) {
        return;
    }
    slots_ = slots;
    limit_ = slots == 0 ? std::min(limit_, maxLimit()) : maxLimit();
}

void ConcurrencyLimit::recordFirstByte(Milliseconds latency, std::uint32_t inFlight)
{
    const auto latencyMs = std::max(static_cast<double>(latency.count()), 1.0);
    recentMeanMs_ = recentMeanMs_ == 0
        ? latencyMs
        : recentMeanMs_ + latencyWeight * (latencyMs - recentMeanMs_);
    bestMeanMs_
        = bestMeanMs_ == 0 ? recentMeanMs_ : std::min(bestMeanMs_ * bestMeanGrowth, recentMeanMs_);
    ++responsesSinceLowered_;
    const double toleratedMs
        = options_.tolerance * bestMeanMs_ + static_cast<double>(options_.latencySlack.count());
    if (recentMeanMs_ > toleratedMs) {
        lower();
        return;
    }
    if (inFlight * 2.0 >= limit_) {
        limit_ = std::min(limit_ + 1 / limit_, maxLimit());
    }
}

void ConcurrencyLimit::recordRefusal()
{
    ++responsesSinceLowered_;
    lower();
}

void ConcurrencyLimit::lower()
{
    if (responsesSinceLowered_ < limit_) {
        return;
    }
    responsesSinceLowered_ = 0;
    limit_ = std::max<double>(limit_ * options_.decreaseFactor, options_.minLimit);
}

std::uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<std::uint32_t>(std::floor(limit_ + 1e-9));
}

} // namespace persimmonlb
