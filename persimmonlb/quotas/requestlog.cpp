#include "persimmonlb/quotas/requestlog.h"

#include <algorithm>

namespace persimmonlb
{

RequestLog::RequestLog(Milliseconds window)
    : window_(window)
{
}

void RequestLog::add(std::uint32_t requests, MonotonicTime at, MonotonicTime now)
{
    times_.erase(times_.begin(), std::ranges::upper_bound(times_, now - window_));
    if (at > now - window_) {
        times_.insert(std::ranges::upper_bound(times_, at), requests, at);
    }
}

void RequestLog::remove(MonotonicTime at)
{
    const auto found = std::ranges::lower_bound(times_, at);
    if (found != times_.end() && *found == at) {
        times_.erase(found);
    }
}

std::size_t RequestLog::total(MonotonicTime now) const
{
    return static_cast<std::size_t>(times_.end()
                                    - std::ranges::upper_bound(times_, now - window_));
}

MonotonicTime RequestLog::whenBelow(std::size_t limit, MonotonicTime now) const
{
    if (total(now) < limit || limit == 0 || times_.size() < limit) {
        return now;
    }
    return times_[times_.size() - limit] + window_;
}

} // namespace persimmonlb
