#include "persimmonlb/base/slewedwallclock.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

constexpr Microseconds followInterval = std::chrono::seconds(1);
/// In one interval: a hundred times the drift of a poor crystal, and too little to matter to a due
/// time of seconds.
constexpr Microseconds slewPerInterval = Milliseconds(5);

} // namespace

SlewedWallClock::SlewedWallClock(std::function<MonotonicTime()> steady,
                                 std::function<WallTime()> timeOfDay)
    : steady_(std::move(steady))
    , timeOfDay_(std::move(timeOfDay))
    , followedAt_(steady_())
    , offset_(offsetNow())
{
}

Microseconds SlewedWallClock::offsetNow() const
{
    return timeOfDay_().time_since_epoch() - steady_().time_since_epoch();
}

WallTime SlewedWallClock::now()
{
    const MonotonicTime steady = steady_();
    const auto intervals = (steady - followedAt_) / followInterval;
    if (intervals > 0) {
        const Microseconds most = slewPerInterval * intervals;
        offset_ += std::clamp(offsetNow() - offset_, -most, most);
        followedAt_ = steady;
    }
    return WallTime(std::chrono::floor<Milliseconds>(steady.time_since_epoch() + offset_));
}

} // namespace persimmonlb
