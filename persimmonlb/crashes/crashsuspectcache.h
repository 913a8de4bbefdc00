#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

/// Holds the latest list of suspects that a host received from the leader. Not thread-safe.
class CrashSuspectCache
{
public:
    /// `self`: this host, which the leader may ask to probe suspects after a block.
    CrashSuspectCache(Clock clock, HostId self);

    /// Replaces the list unless `suspects` has a lower (term, version).
    void update(const CrashSuspects &suspects);
    /// Returns the time for which a request with this fingerprint, or with this part, must not run;
    /// zero if it may run.
    ///
    /// A block ends only by the leader's word, which names one host to probe the suspect.
    [[nodiscard]] Milliseconds blockedFor(std::uint64_t fingerprint) const;
    /// Returns the longest of the times of several fingerprints.
    [[nodiscard]] Milliseconds blockedFor(const std::vector<std::uint64_t> &fingerprints) const;
    /// Records that a request with these fingerprints was sent to a server. If that was a probe,
    /// this host sends no other one until the leader has decided.
    void recordSent(const std::vector<std::uint64_t> &fingerprints);
    /// True if nothing is suspected.
    [[nodiscard]] bool empty() const;
    /// True if the request or part is suspected, so that a response must be reported to the leader.
    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint) const;
    /// Returns the suspect with this fingerprint, or null.
    [[nodiscard]] const CrashSuspect *find(std::uint64_t fingerprint) const;
    /// Returns the list with the remaining block times, for a host that becomes the leader.
    [[nodiscard]] CrashSuspects currentSuspects() const;
    /// Returns (term, version) of the list.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> position() const;

private:
    Clock clock_;
    HostId self_;
    CrashSuspects latest_;
    MonotonicTime receivedAt_;
    std::map<std::uint64_t, std::size_t> positions_; ///< In latest_.suspects, by fingerprint.
    std::map<std::uint64_t, MonotonicTime> probedAt_;
};

} // namespace persimmonlb
