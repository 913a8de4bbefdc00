#pragma once

#include <cstdint>
#include <map>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

/// Holds the latest list of suspected requests that a host received from the leader. Not
/// thread-safe.
class CrashSuspectCache
{
public:
    explicit CrashSuspectCache(Clock clock);

    /// Replaces the list unless `suspects` has a lower (term, version).
    void update(const CrashSuspects &suspects);
    /// Returns the time for which the request must not run; zero if it may run.
    [[nodiscard]] Milliseconds blockedFor(std::uint64_t fingerprint) const;
    /// True if no request is suspected.
    [[nodiscard]] bool empty() const;
    /// True if the request is suspected, so that a response to it must be reported to the leader.
    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint) const;
    /// Returns the list with the remaining block times, for a host that becomes the leader.
    [[nodiscard]] CrashSuspects currentSuspects() const;

private:
    Clock clock_;
    CrashSuspects latest_;
    MonotonicTime receivedAt_;
    /// Counted from receivedAt_; zero: suspected but not blocked.
    std::map<std::uint64_t, Milliseconds> blockedFor_;
};

} // namespace persimmonlb
