#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

struct CrashLedgerOptions {
    /// Number of servers that must abort a request, with no response to it in between, before it is
    /// blocked. While many servers fail, two of them may abort the same request by coincidence.
    std::uint32_t serversUntilBlocked = 3;
    /// Duration of the first block of a request; each further block is four times as long
    /// as the one before.
    Milliseconds initialBlockDuration{60000};
    std::uint32_t maxBlockDoublings = 6; ///< Longest block: 64 minutes.
    /// A suspect is removed this long after its last aborted run or the end of its last block.
    Milliseconds suspectRetention{600000};
    std::size_t maxSuspects = 1024; ///< The oldest are removed first.
};

/// Detects requests that crash the servers that run them. The leader keeps it for the whole fleet.
///
/// A request is identified by a fingerprint of its path and body, regardless of the caller. Each
/// server that aborts a run of the request counts once; a response from any server clears it. Not
/// thread-safe.
class CrashLedger
{
public:
    CrashLedger(CrashLedgerOptions options, Clock clock);

    /// Records that a server ended a run without a response: it may have crashed.
    void recordAbortedRun(std::uint64_t fingerprint, const ServerId &server);
    /// Records that a server responded, which clears the request.
    void recordAnsweredRun(std::uint64_t fingerprint);
    /// Records the result of a run as recordAbortedRun() or recordAnsweredRun().
    void recordVerdict(const RunVerdict &verdict);
    /// True if the request must not run now.
    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint) const;
    /// Ends blocks and removes old suspects. Call a few times a second.
    void tick();

    /// Returns the list for the other hosts, without its term. A list of a higher version replaces
    /// others of the same leader.
    [[nodiscard]] CrashSuspects suspects() const;
    /// Returns a number that increases with each change of the list.
    [[nodiscard]] std::uint64_t version() const;
    /// True if no request is suspected.
    [[nodiscard]] bool empty() const;
    /// Replaces all records with the last list received from another leader.
    void adopt(const CrashSuspects &suspects);

private:
    struct Record {
        std::set<ServerId> servers;
        std::uint32_t blocks = 0;
        MonotonicTime lastSeenAt;
        MonotonicTime blockedUntil; ///< In the past unless it is blocked.
    };

    void block(std::uint64_t fingerprint, Record &record);
    void evictOldestSuspect();

    CrashLedgerOptions options_;
    Clock clock_;
    std::map<std::uint64_t, Record> records_;
    std::uint64_t version_ = 0;
};

/// Returns a hash of a request's path and body; never 0.
std::uint64_t requestFingerprint(std::string_view target, std::string_view body);

} // namespace persimmonlb
