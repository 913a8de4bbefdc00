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
    /// Servers that broke off a request, without one that answered it between, until it is blocked.
    /// Two may be lost by chance while many servers fail.
    std::uint32_t serversUntilBlocked = 3;
    /// A blocked request is tried once more after this, four times as long each time.
    Milliseconds firstBlock{60000};
    std::uint32_t longestBlockDoublings = 6; ///< An hour and some minutes.
    /// Requests that were broken off and never came again are forgotten.
    Milliseconds memory{600000};
    std::size_t maxSuspects = 1024; ///< The oldest are forgotten first.
};

/// Which requests crash the servers that run them, as the leader counts it over the whole fleet.
///
/// A request is known by its fingerprint: path and body, whoever sends it. Each server that breaks
/// a run of it off counts, an answer from any server clears it. Not thread-safe.
class CrashLedger
{
public:
    CrashLedger(CrashLedgerOptions options, Clock clock);

    /// A server broke off a run without an answer: it may have crashed.
    void noteBroken(std::uint64_t fingerprint, const ServerId &server);
    /// A server answered, so the request is harmless.
    void noteSurvived(std::uint64_t fingerprint);
    void note(const RunVerdict &verdict);
    [[nodiscard]] bool isBlocked(std::uint64_t fingerprint) const;
    /// Ends blocks, forgets what is old. Call a few times a second.
    void tick();

    /// What entry hosts must know. A higher version replaces another of the same leader.
    [[nodiscard]] CrashSuspects suspects() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] bool empty() const;
    /// Goes on with what another leader told last.
    void adopt(const CrashSuspects &suspects);

private:
    struct Record {
        std::set<ServerId> servers;
        std::uint32_t blocks = 0;
        MonotonicTime seenAt;
        MonotonicTime blockedUntil; ///< Past unless it is blocked.
    };

    void block(std::uint64_t fingerprint, Record &record);
    void forgetOldest();

    CrashLedgerOptions options_;
    Clock clock_;
    std::map<std::uint64_t, Record> records_;
    std::uint64_t version_ = 0;
};

/// Path and body of a request as one number; never 0.
std::uint64_t requestFingerprint(std::string_view target, std::string_view body);

} // namespace persimmonlb
