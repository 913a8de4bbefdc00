#include "persimmonlb/quotas/slidingcount.h"

#include <algorithm>

namespace persimmonlb
{

SlidingCount::SlidingCount(Milliseconds window)
    : partLength_(std::max(Microseconds(window) / parts, Microseconds(1)))
{
}

std::int64_t SlidingCount::partAt(MonotonicTime time) const
{
    return time.time_since_epoch() / partLength_;
}

std::uint32_t SlidingCount::countOf(std::int64_t part) const
{
    const bool isKept = part >= 0 && part <= newestPart_ && part > newestPart_ - size;
    return isKept ? counts_[static_cast<std::size_t>(part % size)] : 0;
}

void SlidingCount::advanceTo(std::int64_t part)
{
    // Parts that no event fell into still hold the counts of an earlier round.
    for (auto unused = std::max(newestPart_ + 1, part - size + 1); unused <= part; ++unused) {
        counts_[static_cast<std::size_t>(unused % size)] = 0;
    }
    newestPart_ = std::max(newestPart_, part);
}

void SlidingCount::add(std::uint32_t events, MonotonicTime now)
{
    const std::int64_t part = partAt(now);
    advanceTo(part);
    counts_[static_cast<std::size_t>(part % size)] += events;
}

std::uint32_t SlidingCount::total(MonotonicTime now) const
{
    std::uint32_t total = 0;
    for (std::int64_t part = partAt(now) - size + 1; part <= newestPart_; ++part) {
        total += countOf(part);
    }
    return total;
}

std::vector<std::uint64_t> SlidingCount::history(std::size_t count, Milliseconds interval,
                                                 MonotonicTime now) const
{
    std::vector<std::uint64_t> events(count);
    for (std::int64_t part = partAt(now); part > partAt(now) - size; --part) {
        const auto age = Microseconds(partLength_ * (partAt(now) - part));
        const auto position = static_cast<std::size_t>(age / Microseconds(interval));
        if (position < count) {
            events[position] += countOf(part);
        }
    }
    return events;
}

} // namespace persimmonlb
