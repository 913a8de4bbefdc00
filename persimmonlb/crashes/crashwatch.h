#pragma once

#include <cstdint>
#include <map>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

/// What a host knows of requests that crash servers: the list that the leader told last. Not
/// thread-safe.
class CrashWatch
{
public:
    explicit CrashWatch(Clock clock);

    /// Takes a list that is newer than the one held.
    void take(const CrashSuspects &suspects);
    /// For how long the request must not run; zero: it may.
    [[nodiscard]] Milliseconds blockedFor(std::uint64_t fingerprint) const;
    /// True while no request is suspected.
    [[nodiscard]] bool empty() const;
    /// True when the leader wants to know that the request was answered.
    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint) const;
    /// The list as it is now, for a host that begins to lead.
    [[nodiscard]] CrashSuspects last() const;

private:
    Clock clock_;
    CrashSuspects last_;
    MonotonicTime takenAt_;
    std::map<std::uint64_t, Milliseconds> blockedFor_; ///< From takenAt_ on; zero: a suspect.
};

} // namespace persimmonlb
