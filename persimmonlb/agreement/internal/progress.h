#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "persimmonlb/agreement/configuration.h"
#include "persimmonlb/agreement/internal/snapshotsender.h"
#include "persimmonlb/base/clock.h"

namespace persimmonlb::internal
{

enum class ReplicationState : std::uint8_t {
    Probe, ///< The point where the logs agree is not known: one message at a time.
    Replicate, ///< Messages follow each other without waiting for replies.
    Snapshot, ///< The entries it needs are compacted; a snapshot is on its way.
};

/// What the leader knows of one other member.
struct Progress {
    ReplicationState state = ReplicationState::Probe;
    std::uint64_t matchIndex = 0; ///< Highest index known to be synced there.
    std::uint64_t nextIndex = 1;
    std::uint64_t ackedRound = 0;
    /// When the newest round was sent that it has answered.
    MonotonicTime contactAt = MonotonicTime::min();
    /// When `matchIndex` rose last or a part of a snapshot arrived; else when it became a member.
    MonotonicTime advancedAt;
    std::uint64_t validFromRound = 0; ///< Failures of earlier rounds are out of date.
    bool probeSent = false;
    bool diskKnown = false; ///< It answered in this term with the disk that the group knows.
    std::deque<std::uint64_t> inFlight; ///< Last index of each append not yet acknowledged.
    std::optional<SnapshotSender> snapshot;
};

/// When each recent round was sent, so that a reply can be dated.
class RoundClock
{
public:
    /// Starts a round and forgets those older than `keep`.
    std::uint64_t begin(MonotonicTime now, Milliseconds keep);
    [[nodiscard]] std::uint64_t current() const;
    /// When a round began; nothing when it was forgotten or never began.
    [[nodiscard]] std::optional<MonotonicTime> sentAt(std::uint64_t round) const;

private:
    std::map<std::uint64_t, MonotonicTime> rounds_;
    std::uint64_t current_ = 0;
};

} // namespace persimmonlb::internal
