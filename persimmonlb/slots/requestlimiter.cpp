#include "persimmonlb/slots/requestlimiter.h"

#include <algorithm>

namespace persimmonlb
{

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
