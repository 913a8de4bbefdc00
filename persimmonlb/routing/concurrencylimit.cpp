#include "persimmonlb/routing/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace persimmonlb
{

namespace
{

constexpr double recentWeight = 0.05;
constexpr double bestRise = 1.0001;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyOptions options, std::uint32_t slots)
    : options_(options)
    , slots_(slots)
    , limit_(slots == 0 ? options.initial : slots)
{
    limit_ = std::clamp<double>(limit_, options_.least, most());
}

double ConcurrencyLimit::most() const
{
    const std::uint32_t most = slots_ == 0 ? options_.most : std::min(slots_, options_.most);
    return std::max(most, options_.least);
}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    if (slots == slots_) {
        return;
    }
    slots_ = slots;
    limit_ = slots == 0 ? std::min(limit_, most()) : most();
}

void ConcurrencyLimit::answered(Milliseconds latency, std::uint32_t inFlight)
{
    const auto latencyMs = std::max(static_cast<double>(latency.count()), 1.0);
    recentMs_ = recentMs_ == 0 ? latencyMs : recentMs_ + recentWeight * (latencyMs - recentMs_);
    bestMs_ = bestMs_ == 0 ? recentMs_ : std::min(bestMs_ * bestRise, recentMs_);
    ++answersSinceLowered_;
    const double tolerated
        = options_.tolerance * bestMs_ + static_cast<double>(options_.slack.count());
    if (recentMs_ > tolerated) {
        lower();
        return;
    }
    if (inFlight * 2.0 >= limit_) {
        limit_ = std::min(limit_ + 1 / limit_, most());
    }
}

void ConcurrencyLimit::refused()
{
    ++answersSinceLowered_;
    lower();
}

void ConcurrencyLimit::lower()
{
    if (answersSinceLowered_ < limit_) {
        return;
    }
    answersSinceLowered_ = 0;
    limit_ = std::max<double>(limit_ * options_.decrease, options_.least);
}

std::uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<std::uint32_t>(std::floor(limit_ + 1e-9));
}

} // namespace persimmonlb
