#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "persimmonlb/store/logstore.h"
#include "persimmonlb/store/statestore.h"

namespace persimmonlb
{

/// A LogStore and StateStore in memory, for tests: a crash loses what was not synced.
///
/// Example:
///   MemoryStore store(17, [&](auto done) { scheduler.after(Milliseconds(2), done); });
///   Agreement agreement(options, {.log = store.logStore(), .state = store.stateStore(), ...});
///   store.crash(0);
///
/// Not thread-safe. The hooks refer to the store, which must outlive them.
class MemoryStore
{
public:
    /// Runs a function some time later, never at once: how long a sync takes.
    using Later = std::function<void(std::function<void()>)>;

    MemoryStore(std::uint64_t diskId, Later later);
    MemoryStore(const MemoryStore &) = delete;
    MemoryStore &operator=(const MemoryStore &) = delete;

    [[nodiscard]] LogStore logStore();
    [[nodiscard]] StateStore stateStore();

    /// Loses every write that was not synced but the first `kept` of them. Syncs that have not
    /// completed never call back.
    void crash(std::size_t kept);
    /// Loses everything and takes a new disk id: a host whose disk was replaced.
    void replaceDisk(std::uint64_t diskId);
    /// Writes that a crash could lose now.
    [[nodiscard]] std::size_t unsyncedWrites() const;
    /// Lets every later write and sync fail with StoreUnavailable.
    void breakDown();
    /// Ends breakDown().
    void repair();

private:
    struct Contents {
        HardState hardState;
        SnapshotMark compacted;
        std::vector<LogEntry> entries;
        std::uint64_t appliedIndex = 0;
        std::map<std::string, std::string> state;
        std::map<std::string, std::string> staging;
    };
    using Write = std::function<void(Contents &)>;

    Result<void> write(Write write);
    void sync(std::function<void(Outcome<Done>)> done);
    void completeSync(std::uint64_t written);
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] const LogEntry *entryAt(std::uint64_t index) const;
    [[nodiscard]] Result<std::vector<LogEntry>> read(std::uint64_t first, std::uint64_t last,
                                                     std::uint64_t maxBytes) const;
    [[nodiscard]] SnapshotView openSnapshot() const;
    static void applyMutations(std::map<std::string, std::string> &state,
                               const MutationList &changes);

    std::uint64_t diskId_;
    Later later_;
    Contents current_;
    Contents synced_;
    std::deque<Write> unsynced_;
    std::uint64_t writesSynced_ = 0;
    std::uint64_t life_ = 0;
    bool broken_ = false;
};

} // namespace persimmonlb
