#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

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

private:
    static constexpr std::size_t parts = 10;

    [[nodiscard]] std::int64_t partAt(MonotonicTime time) const;

    Microseconds partLength_;
    std::int64_t newestPart_ = 0;
    std::array<std::uint32_t, parts + 1> counts_{};
};

} // namespace persimmonlb
