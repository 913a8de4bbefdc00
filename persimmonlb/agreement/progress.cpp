#include "persimmonlb/agreement/internal/progress.h"

namespace persimmonlb::internal
{

std::uint64_t RoundClock::begin(MonotonicTime now, Milliseconds keep)
{
    ++current_;
    rounds_.emplace(current_, now);
    while (rounds_.begin()->second + keep < now) {
        rounds_.erase(rounds_.begin());
    }
    return current_;
}

std::uint64_t RoundClock::current() const
{
    return current_;
}

std::optional<MonotonicTime> RoundClock::sentAt(std::uint64_t round) const
{
    const auto found = rounds_.find(round);
    return found == rounds_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace persimmonlb::internal
