#pragma once

#include <functional>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Wall time that runs with the steady clock and follows the host's time of day slowly.
///
/// A jump of the time of day, by an operator or a time server, would make due times pass and
/// retention end too early or too late. Here it is worked off at 5 ms a second, so the result never
/// goes back either. Not thread-safe.
class SlewedWallClock
{
public:
    /// Takes over the time of day as it is now.
    SlewedWallClock(std::function<MonotonicTime()> steady, std::function<WallTime()> timeOfDay);

    WallTime now();

private:
    [[nodiscard]] Microseconds offsetNow() const;

    std::function<MonotonicTime()> steady_;
    std::function<WallTime()> timeOfDay_;
    MonotonicTime followedAt_;
    Microseconds offset_; ///< Of the wall time against the steady clock.
};

} // namespace persimmonlb
