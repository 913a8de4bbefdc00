#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/store/statestore.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

/// What a member must remember before it tells anybody: its term and its vote in that term.
struct HardState {
    std::uint64_t term = 0;
    HostId vote; ///< Empty: no vote in this term.

    bool operator==(const HardState &) const = default;
};

/// Position up to which a log was replaced by the state, with the member list there.
struct SnapshotMark {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string configuration; ///< Encoded member list at `index`; empty at index 0.

    bool operator==(const SnapshotMark &) const = default;
};

using KeyValueList = std::vector<std::pair<std::string, std::string>>;

/// A consistent view of the keyed state, read piece by piece while writes go on.
struct SnapshotView {
    std::uint64_t appliedIndex = 0; ///< The last log index whose changes the view holds.

    /// The next pairs in byte order, at least one, up to about `maxBytes`; empty at the end.
    /// Errors: CorruptStore.
    std::function<Result<KeyValueList>(std::uint64_t maxBytes)> next;
};

/// Log, hard state and snapshots of one member of one group, on disk or (in tests) in memory.
///
/// Writes are ordered: a crash keeps a prefix of them that holds at least everything before the
/// last completed sync. Not thread-safe: every hook is called on the decision thread.
struct LogStore {
    /// Random number that the data folder got when it was first opened; never 0.
    std::function<std::uint64_t()> diskId;

    std::function<HardState()> hardState;
    /// Errors: StoreUnavailable.
    std::function<Result<void>(const HardState &)> setHardState;

    /// Up to where the log was compacted; index 0 when never.
    std::function<SnapshotMark()> compacted;
    /// Index of the last entry, or compacted().index when there is none.
    std::function<std::uint64_t()> lastIndex;
    /// Term of the entry at `index`; known from compacted().index to lastIndex(). 0 at index 0.
    std::function<std::optional<std::uint64_t>(std::uint64_t index)> termAt;
    /// Entries of the log that change the member list, oldest first.
    std::function<std::vector<LogEntry>()> configurationEntries;
    /// Entries from `first` to `last`, cut off after about `maxBytes` but at least one.
    /// Requires compacted().index < first <= last <= lastIndex(). Errors: CorruptStore.
    std::function<Result<std::vector<LogEntry>>(std::uint64_t first, std::uint64_t last,
                                                std::uint64_t maxBytes)>
        read;

    /// Appends entries that follow lastIndex() without a gap. Errors: StoreUnavailable.
    std::function<Result<void>(const std::vector<LogEntry> &entries)> append;
    /// Removes every entry from `first` on. Errors: StoreUnavailable.
    std::function<Result<void>(std::uint64_t first)> truncateSuffix;
    /// Removes the entries up to mark.index, which must be applied. Errors: StoreUnavailable.
    std::function<Result<void>(const SnapshotMark &mark)> compactPrefix;

    /// Index of the last log entry whose changes the keyed state holds.
    std::function<std::uint64_t()> appliedIndex;
    /// Takes the changes of the entry at `index` and the applied index. A crash keeps both or
    /// neither, and may lose them even after a sync, as long as the entry is in the log.
    /// Errors: StoreUnavailable.
    std::function<Result<void>(std::uint64_t index, const MutationList &changes)> apply;

    /// Calls `done` on the decision thread, never within this call, once everything written before
    /// this call survives a crash. One sync of the disk answers all calls that waited for it.
    std::function<void(std::function<void(Outcome<Done>)> done)> sync;

    /// A view of the keyed state as it is now. Errors: CorruptStore.
    std::function<Result<SnapshotView>()> openSnapshot;
    /// Starts to receive a snapshot beside the state; drops an earlier unfinished one.
    std::function<Result<void>()> beginStaging;
    /// Adds pairs to the snapshot being received. Errors: StoreUnavailable.
    std::function<Result<void>(const KeyValueList &pairs)> stage;
    /// Makes the staged pairs the keyed state, mark.index the applied index and the log empty after
    /// the mark: all or nothing. Errors: StoreUnavailable.
    std::function<Result<void>(const SnapshotMark &mark)> installStaged;
};

} // namespace persimmonlb
