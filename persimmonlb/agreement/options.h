#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// Timeouts of a replicated log. leaderLease must stay below electionTimeoutMin by the largest
/// expected difference of clock rates, since followers withhold their votes for
/// electionTimeoutMin after they heard from a leader.
struct AgreementTimeouts {
    Milliseconds heartbeat{100};
    Milliseconds electionTimeoutMin{600};
    Milliseconds electionTimeoutMax{1200};
    Milliseconds leaderLease{500};
    Milliseconds checkQuorum{1000}; ///< A leader without a quorum for this long steps down.
    Milliseconds propose{5000};
    Milliseconds readBarrier{2000};
    Milliseconds snapshotResend{1000};

    bool operator==(const AgreementTimeouts &) const = default;
};

/// Bounds on what one message or one member holds.
struct AgreementLimits {
    std::size_t maxEntriesPerAppend = 512;
    std::uint64_t maxBytesPerAppend = 1024ULL * 1024;
    std::size_t maxAppendsInFlight = 16; ///< Per follower.
    std::size_t maxQueuedProposals = 20000;
    std::uint64_t maxBytesPerSnapshotChunk = 1024ULL * 1024;
    /// The log is compacted when this many applied entries lie before the retained ones.
    std::uint64_t compactAfterEntries = 20000;
    /// Applied entries kept for followers that are a little behind.
    std::uint64_t retainedEntries = 10000;

    bool operator==(const AgreementLimits &) const = default;
};

struct AgreementOptions {
    HostId self;
    GroupId group = defaultGroup;
    AgreementTimeouts timeouts;
    AgreementLimits limits;
    /// The member has acknowledged nothing to any leader since then: a store that takes long to
    /// open counts towards the time for which votes are withheld. Empty: since start().
    std::optional<MonotonicTime> silentSince = {};
};

} // namespace persimmonlb
