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
    /// Number of server processes that must abort a request, or requests that share a part, with no
    /// response in between, before it is blocked. While many servers fail, two of them may abort
    /// the same request by coincidence.
    std::uint32_t serversUntilBlocked = 3;
    /// Aborted runs that end within this time of each other may have one cause other than a part
    /// that they share, such as a lost zone or link. They count as one incident.
    Milliseconds incidentLength{200};
    std::uint32_t partIncidentsUntilBlocked = 3;
    /// With aborted runs on this many server processes, one incident less is enough: with several
    /// requests a second, all servers may be lost within few incidents.
    std::uint32_t serversForEarlyBlock = 5;
    /// Number of different requests that must be aborted before a part that they share is blocked.
    std::uint32_t partRequestsUntilBlocked = 2;
    /// A part is blocked this long after it became a suspect at the earliest. Until then, every
    /// host that knows of a response to the part has reported it.
    Milliseconds partConfirmation{500};
    /// Duration of the first block; each further block is four times as long as the one before.
    Milliseconds initialBlockDuration{60000};
    std::uint32_t maxBlockDoublings = 6; ///< Longest block: 64 minutes.
    /// After a block, one host at a time may run the suspect once, for this long.
    Milliseconds probePeriod{10000};
    /// A suspect is removed this long after its last aborted run or the end of its last block.
    Milliseconds suspectRetention{600000};
    std::size_t maxSuspects = 1024; ///< The oldest are removed first, those that are blocked last.
    /// A response is remembered this long, against reports of earlier aborted runs that are late.
    Milliseconds responseRetention{30000};
};

/// Detects requests, and parts of prompts, that crash the servers that run them. The leader keeps
/// it for the whole fleet.
///
/// A request is identified by a fingerprint of its path and body, regardless of the caller. Each
/// server process that aborts a run of the request counts once; a response from any server clears
/// it.
///
/// A part of a prompt is identified by its own fingerprint, whatever stands before and after it. A
/// run counts against its parts if the server aborted it before it began the response; a server
/// that begins a response clears all parts of that request. As other requests that run on a
/// crashing server are aborted too, a part is blocked only after several incidents, with different
/// requests, and no response. If several parts of the same requests qualify, the one with the most
/// aborted runs is blocked, or the last of them in the prompt: fewer sound requests share it. The
/// others must be aborted again without it.
///
/// After a block, the suspect may run once on one host. Its result ends the suspicion or begins a
/// longer block. Not thread-safe.
class CrashLedger
{
public:
    CrashLedger(CrashLedgerOptions options, Clock clock);

    /// Records how a run ended.
    void recordVerdict(const RunVerdict &verdict);
    /// Records that a server responded, which clears the request.
    void recordAnsweredRun(std::uint64_t fingerprint);
    /// True if the request, or no request with the part, may run now.
    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint) const;
    /// Blocks parts and removes old suspects. Call a few times a second.
    void tick();

    /// Returns the list for the other hosts, without its term. A list of a higher version replaces
    /// others of the same leader. `probers`: the hosts that may probe after a block.
    [[nodiscard]] CrashSuspects suspects(const std::vector<HostId> &probers = {}) const;
    /// Returns the suspects that are or were blocked.
    [[nodiscard]] std::vector<CrashSuspect> blockedSuspects() const;
    /// Returns a number that increases with each change of the list.
    [[nodiscard]] std::uint64_t version() const;
    /// True if nothing is suspected.
    [[nodiscard]] bool empty() const;
    /// Replaces all records with the last list received from another leader.
    void adopt(const CrashSuspects &suspects);

private:
    struct Record {
        bool isPart = false;
        std::set<ServerProcess> processes;
        std::uint32_t blocks = 0;
        MonotonicTime lastSeenAt;
        MonotonicTime blockedUntil; ///< In the past unless it is blocked.

        // Of a part only:
        std::set<std::uint64_t> requests = {}; ///< At most partRequestsUntilBlocked.
        std::vector<MonotonicTime> incidents
            = {}; ///< Ascending; at most partIncidentsUntilBlocked.
        std::size_t position = 0; ///< In the prompt of the latest request.
        MonotonicTime suspectedAt = {};
        /// Another part that is blocked occurs in all requests that were aborted with this one.
        bool isExplained = false;
    };

    void recordAbortedRequest(const RunVerdict &verdict);
    void recordAbortedParts(const RunVerdict &verdict);
    void recordAnsweredParts(const RunVerdict &verdict);
    /// Adds an aborted run that ended at `at` to the record.
    void addProcess(Record &record, const RunVerdict &verdict, MonotonicTime at);
    void addIncident(Record &record, MonotonicTime at) const;
    [[nodiscard]] bool isPartConvicted(const Record &record) const;
    /// Marks the parts all of whose aborted runs had the blocked part too.
    void markExplainedBy(const Record &blocked);
    /// Blocks the part that explains the most aborted runs; returns false if there is none.
    bool blockNextPart();
    void block(std::uint64_t fingerprint, Record &record);
    void removeOldSuspects();
    void limitSuspects();
    [[nodiscard]] CrashSuspect describe(std::uint64_t fingerprint, const Record &record) const;

    CrashLedgerOptions options_;
    Clock clock_;
    std::map<std::uint64_t, Record> records_;
    std::map<std::uint64_t, MonotonicTime> partsAnsweredAt_;
    std::uint64_t version_ = 0;
};

/// Returns a hash of a request's path and body; never 0.
std::uint64_t requestFingerprint(std::string_view target, std::string_view body);

} // namespace persimmonlb
