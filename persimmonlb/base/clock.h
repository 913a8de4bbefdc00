#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace persimmonlb
{

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Tag of the clock that goes on while the machine is suspended (CLOCK_BOOTTIME).
struct BootClock {
    using rep = std::int64_t; // NOLINT: names of a standard clock
    using period = std::micro; // NOLINT
    using duration = Microseconds; // NOLINT
    using time_point = std::chrono::time_point<BootClock>; // NOLINT
    static constexpr bool is_steady = true; // NOLINT
    /// Reads CLOCK_BOOTTIME. Thread-safe.
    static time_point now();
};

/// Moment for leases and timeouts. Comparable only within one host.
using MonotonicTime = BootClock::time_point;

/// Moment for records and due times: milliseconds since 1970 UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

/// Source of time; every decision module takes one through its constructor.
struct Clock {
    std::function<MonotonicTime()> monotonic;
    std::function<WallTime()> wall;
};

/// The host's own clocks; the wall clock follows jumps of the time of day slowly (SlewedWallClock).
/// Thread-safe.
Clock systemClock();

/// Source of random 64-bit numbers.
using RandomSource = std::function<std::uint64_t()>;

/// A generator seeded from the operating system. Not thread-safe.
RandomSource systemRandom();

/// A generator with a fixed seed, for tests. Not thread-safe.
RandomSource seededRandom(std::uint64_t seed);

} // namespace persimmonlb
