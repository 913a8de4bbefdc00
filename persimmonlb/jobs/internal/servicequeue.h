#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb::internal
{

/// A job with ready items, as the queue orders them.
struct QueuedJob {
    CallerName caller;
    WallTime due;
    std::uint64_t number = 0;

    bool operator==(const QueuedJob &) const = default;
};

/// An item that failed or was not run lately; others go first until its round.
struct DeferredItem {
    std::uint64_t round = 0;
    std::uint64_t job = 0;
    std::uint32_t index = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    auto operator<=>(const DeferredItem &) const = default;
};

/// Order in which the items of one service are leased.
///
/// Due times are grouped in classes of 10 minutes; an earlier class goes first. Inside a class,
/// callers share by weight with start-time fair queueing: each leased item moves the caller's tag
/// on by 1/weight, and the caller with the lowest tag goes next. A caller that was idle starts at
/// the virtual time, so it gains no credit by waiting. Tags, virtual time and round are kept in
/// the state store by the owner of the queue.
class ServiceQueue
{
public:
    using WeightOf = std::function<std::uint32_t(const CallerName &)>;

    void add(const QueuedJob &job);
    void remove(const QueuedJob &job);
    /// The job that goes next, or nothing. Changes nothing.
    [[nodiscard]] std::optional<QueuedJob> next() const;
    /// Charges one leased item to a caller. `weight` is at least 1.
    void charge(const CallerName &caller, std::uint32_t weight);

    void defer(const DeferredItem &item);
    /// The first deferred item whose round is at most `round`; removed from the queue.
    std::optional<DeferredItem> takeDeferred(std::uint64_t round);

    std::uint64_t round = 0; ///< Lease requests with something to lease so far.
    std::uint64_t virtualTime = 0;
    std::map<CallerName, std::uint64_t> tags;
    std::uint64_t pending = 0; ///< Items that wait, deferred ones included.

private:
    using DueClass = std::int64_t;
    using JobOrder = std::set<std::pair<WallTime, std::uint64_t>>;

    [[nodiscard]] std::uint64_t startTag(const CallerName &caller) const;

    std::map<DueClass, std::map<CallerName, JobOrder>> classes_;
    std::set<DeferredItem> deferred_;
};

} // namespace persimmonlb::internal
