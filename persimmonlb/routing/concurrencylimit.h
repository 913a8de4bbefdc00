#pragma once

#include <cstdint>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

struct ConcurrencyOptions {
    std::uint32_t initialLimit = 16; ///< For a server that does not announce its slot count.
    std::uint32_t minLimit = 1;
    std::uint32_t maxLimit = 512;
    /// The limit is lowered when the recent mean time to first byte exceeds the best mean by more
    /// than this factor, plus `latencySlack`.
    double tolerance = 3.0;
    Milliseconds latencySlack{10}; ///< Smaller latency differences never lower the limit.
    double decreaseFactor = 0.9; ///< Multiplies the limit each time it is lowered.

    bool operator==(const ConcurrencyOptions &) const = default;
};

/// Adaptive limit of the requests in flight on one backend server.
///
/// A round is as many responses as the current limit. While at least half of the limit is in use,
/// the limit grows by about one per round of responses within the tolerance. It is multiplied by
/// `decreaseFactor`, at most once per round, when the recent mean time to first byte exceeds the
/// tolerance or the server refuses a request. It never exceeds the slots that the server announces.
/// Means are compared, so that a mix of short and long prompts is not mistaken for overload.
/// Not thread-safe.
class ConcurrencyLimit
{
public:
    /// `slots` is the slot count that the server announces, or 0 if it announces none.
    ConcurrencyLimit(ConcurrencyOptions options, std::uint32_t slots);

    /// Sets the slot count that the server announces, or 0 if it announces none. A new count above
    /// 0 becomes the limit, within the bounds of the options.
    void setSlots(std::uint32_t slots);
    /// Records a response whose first byte arrived `latency` after its request was sent, while
    /// `inFlight` requests were in flight on the server.
    void recordFirstByte(Milliseconds latency, std::uint32_t inFlight);
    /// Records that the server refused a request before admitting it.
    void recordRefusal();

    /// Returns the number of requests that may be in flight.
    [[nodiscard]] std::uint32_t limit() const;

private:
    [[nodiscard]] double maxLimit() const;
    void lower();

    ConcurrencyOptions options_;
    std::uint32_t slots_;
    double limit_;
    /// Lowest recent mean. Grows slowly, so that it follows a change of load.
    double bestMeanMs_ = 0;
    double recentMeanMs_ = 0;
    std::uint32_t responsesSinceLowered_ = 0;
};

} // namespace persimmonlb
