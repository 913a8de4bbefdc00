#pragma once

#include <cstdint>
#include <memory>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Distribution of latencies from 0.05 ms to 10 minutes; values are told within one percent.
/// Values beyond the range count at its ends.
class LatencyHistogram
{
public:
    LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;
    ~LatencyHistogram();

    void add(Microseconds latency);
    [[nodiscard]] std::uint64_t count() const;
    /// The latency in milliseconds that a share of `quantile` (0 to 1) of the values does not
    /// exceed; 0 without values.
    [[nodiscard]] double quantileMs(double quantile) const;
    /// The greatest value, exact.
    [[nodiscard]] double maximumMs() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace persimmonlb
