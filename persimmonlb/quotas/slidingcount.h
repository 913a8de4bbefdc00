#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Number of events in a sliding window, kept in equal parts of it: the window that is counted is
/// up to one part longer than asked for. Not thread-safe.
class SlidingCount
{
public:
    explicit SlidingCount(Milliseconds window);

    void add(std::uint32_t events, MonotonicTime now);
    [[nodiscard]] std::uint32_t total(MonotonicTime now) const;
    /// Returns the events of each of the last `count` intervals, the latest first.
    [[nodiscard]] std::vector<std::uint64_t> history(std::size_t count, Milliseconds interval,
                                                     MonotonicTime now) const;

private:
    static constexpr std::int64_t parts = 20;
    static constexpr std::int64_t size = parts + 1; ///< With the part that has just begun.

    [[nodiscard]] std::int64_t partAt(MonotonicTime time) const;
    [[nodiscard]] std::uint32_t countOf(std::int64_t part) const;
    void advanceTo(std::int64_t part);

    Microseconds partLength_;
    std::int64_t newestPart_ = 0;
    std::array<std::uint32_t, size> counts_{};
};

} // namespace persimmonlb
