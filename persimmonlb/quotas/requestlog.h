#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// The times of the requests in a sliding window. Exact, so that a quota that is kept in windows
/// refuses nothing that it allows. Not thread-safe.
class RequestLog
{
public:
    explicit RequestLog(Milliseconds window);

    /// Adds requests, and drops those that are out of the window at `now`. `at` may lie in the
    /// past.
    void add(std::uint32_t requests, MonotonicTime at, MonotonicTime now);
    /// Takes back one request that was added with this time.
    void remove(MonotonicTime at);
    /// Returns the number of requests after `now` less the window.
    [[nodiscard]] std::size_t total(MonotonicTime now) const;
    /// Returns the number of requests after `time`, which lies in the window.
    [[nodiscard]] std::size_t countAfter(MonotonicTime time) const;
    /// Returns when the total is below `limit` if no request is added; `now` if it already is.
    [[nodiscard]] MonotonicTime whenBelow(std::size_t limit, MonotonicTime now) const;

private:
    Milliseconds window_;
    std::deque<MonotonicTime> times_; ///< Ascending.
};

} // namespace persimmonlb
