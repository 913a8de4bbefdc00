#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// A clock and timers that move only when a test says so.
class VirtualTime
{
public:
    [[nodiscard]] Clock clock();
    void after(Microseconds delay, std::function<void()> fn);
    /// Runs everything that is due within `duration`.
    void run(Microseconds duration);
    [[nodiscard]] Milliseconds now() const;

private:
    Microseconds now_{Milliseconds(1000)};
    std::uint64_t order_ = 0;
    std::map<std::pair<Microseconds, std::uint64_t>, std::function<void()>> timers_;
};

} // namespace persimmonlb
