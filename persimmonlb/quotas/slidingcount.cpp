#include "persimmonlb/quotas/slidingcount.h"

#include <algorithm>

namespace persimmonlb
{

SlidingCount::SlidingCount(Milliseconds window)
    : partLength_(
        std::max(Microseconds(window) / static_cast<std::int64_t>(parts), Microseconds(1)))
{
}

std::int64_t SlidingCount::partAt(MonotonicTime time) const
{
    return time.time_since_epoch() / partLength_;
}

void SlidingCount::add(std::uint32_t events, MonotonicTime now)
{
    const std::int64_t part = partAt(now);
    const auto size = static_cast<std::int64_t>(counts_.size());
    // Parts that no event fell into still hold the counts of an earlier round.
    const std::int64_t firstUnused = std::max(newestPart_ + 1, part - size + 1);
    for (std::int64_t unused = firstUnused; unused <= part; ++unused) {
        counts_[static_cast<std::size_t>(unused % size)] = 0;
    }
    newestPart_ = std::max(newestPart_, part);
    counts_[static_cast<std::size_t>(part % size)] += events;
}

std::uint32_t SlidingCount::total(MonotonicTime now) const
{
    const auto size = static_cast<std::int64_t>(counts_.size());
    const std::int64_t oldest = partAt(now) - size + 1;
    std::uint32_t total = 0;
    for (std::int64_t part = std::max(oldest, newestPart_ - size + 1); part <= newestPart_;
         ++part) {
        total += part >= 0 ? counts_[static_cast<std::size_t>(part % size)] : 0;
    }
    return total;
}

} // namespace persimmonlb
