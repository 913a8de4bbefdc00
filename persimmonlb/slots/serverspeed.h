#pragma once

#include <cstdint>
#include <vector>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Mean hold time of a service's completed requests, as if each had run alone on its server.
/// Not thread-safe.
class ServiceHoldTime
{
public:
    void record(double holdMs);
    /// Returns 0 until the first observation.
    [[nodiscard]] double meanMs() const;

private:
    double meanMs_ = 0;
    std::uint32_t count_ = 0;
};

struct ServerSpeedOptions {
    /// The weight of observations halves in this time.
    Milliseconds halfLife{8000};
    double meanWeight = 2; ///< Of the service's mean, in observations.
    /// Most observations that count: a server whose speed changes is known after about as many.
    double maxWeight = 12;
    /// A request held for longer than this multiple of the expected time is overdue. Responses are
    /// up to 1.5 times as long as their mean.
    double overdueRatio = 2;
    double overdueWeight = 2; ///< Of an overdue request, in observations.
};

/// Learned speed of one server, as the hold time of a request that runs there alone.
///
/// Few or old observations pull the estimate toward the mean of the service, so that a server that
/// was avoided is tried again. Requests that are overdue count as observations before they end, so
/// that a server that becomes slow is known without waiting for its responses. Not thread-safe.
///
/// Example:
///   speed.requestGranted(now);
///   speed.requestReleased(grantedAt);
///   speed.recordHoldTime(300, now);
///   double hold = speed.expectedHoldMs(service.meanMs(), 1, now);
class ServerSpeed
{
public:
    explicit ServerSpeed(ServerSpeedOptions options = {});

    /// Times of successive calls do not decrease.
    void requestGranted(MonotonicTime at);
    void requestReleased(MonotonicTime grantedAt);
    /// Forgets the requests that are held; observations are kept.
    void clearHeld();
    /// Records a completed request. `holdMs`: as if it had run alone.
    void recordHoldTime(double holdMs, MonotonicTime now);
    /// Returns the expected hold time of a request that runs alone. `meanMs`: of the service;
    /// `slowdown`: by which the requests now held last longer.
    [[nodiscard]] double expectedHoldMs(double meanMs, double slowdown, MonotonicTime now) const;

private:
    [[nodiscard]] double decay(MonotonicTime now) const;

    ServerSpeedOptions options_;
    double weight_ = 0;
    double weightedMs_ = 0;
    MonotonicTime recordedAt_;
    std::vector<MonotonicTime> held_; ///< Grant times in ascending order.
};

} // namespace persimmonlb
