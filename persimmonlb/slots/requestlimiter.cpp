#include "persimmonlb/slots/requestlimiter.h"

#include <algorithm>
#include <charconv>

namespace persimmonlb
{

std::optional<std::uint64_t> parseRequestsPerKs(std::string_view text)
{
    constexpr double secondsPerKs = 1000;
    constexpr double maxPerSecond = 1e9;
    double perSecond = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), perSecond,
                                              std::chars_format::fixed);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (!isWhole || !(perSecond >= 0 && perSecond <= maxPerSecond)) {
        return std::nullopt;
    }
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(perSecond * secondsPerKs));
}

void RequestLimiter::setRate(double perSecond, double burst, double initialRequests,
                             MonotonicTime now)
{
    available_ = rate_ > 0 ? available(now) : initialRequests;
    updatedAt_ = now;
    rate_ = perSecond;
    burst_ = burst;
}

double RequestLimiter::available(MonotonicTime now) const
{
    const std::chrono::duration<double> elapsed = now - updatedAt_;
    return std::min(burst_, available_ + rate_ * elapsed.count());
}

bool RequestLimiter::allowsRequest(MonotonicTime now) const
{
    return rate_ <= 0 || available(now) >= 1;
}

bool RequestLimiter::allowsBurst(MonotonicTime now) const
{
    return rate_ <= 0 || available(now) >= burst_;
}

void RequestLimiter::take(MonotonicTime now)
{
    available_ = std::max(available(now) - 1, -burst_);
    updatedAt_ = now;
}

double RequestLimiter::rate() const
{
    return rate_;
}

} // namespace persimmonlb
