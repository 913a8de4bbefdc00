#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "persimmonlb/store/internal/database.h"
#include "persimmonlb/store/logstore.h"

namespace persimmonlb::internal
{

/// The log of a member in the database: entries, terms and the compaction mark. The newest entries
/// are also kept in memory, since followers and the state machine read them soon.
class DiskLog
{
public:
    explicit DiskLog(Database &database);

    /// Reads every entry and checks it. Errors: CorruptStore.
    Result<void> load();

    [[nodiscard]] const SnapshotMark &compacted() const;
    [[nodiscard]] std::uint64_t lastIndex() const;
    [[nodiscard]] std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    [[nodiscard]] std::vector<LogEntry> configurationEntries() const;
    [[nodiscard]] Result<std::vector<LogEntry>> read(std::uint64_t first, std::uint64_t last,
                                                     std::uint64_t maxBytes) const;
    Result<void> append(const std::vector<LogEntry> &entries);
    Result<void> truncateSuffix(std::uint64_t first);
    Result<void> compactPrefix(const SnapshotMark &mark);
    /// Adds to `batch` what empties the log after a snapshot.
    void clear(rocksdb::WriteBatch &batch, const SnapshotMark &mark) const;
    /// The batch of clear() was written.
    void cleared(const SnapshotMark &mark);

private:
    struct TermStart {
        std::uint64_t index = 0; ///< First entry of the term.
        std::uint64_t term = 0;
    };

    Result<void> take(LogEntry entry);
    void noteTerm(const LogEntry &entry);
    void keepInMemory(LogEntry entry);
    [[nodiscard]] Result<std::vector<LogEntry>>
    readFromDisk(std::uint64_t first, std::uint64_t last, std::uint64_t maxBytes) const;
    void removeRange(rocksdb::WriteBatch &batch, std::uint64_t first, std::uint64_t last) const;

    Database &database_;
    SnapshotMark compacted_;
    std::uint64_t lastIndex_ = 0;
    std::vector<TermStart> terms_;
    std::vector<LogEntry> configurations_;
    std::deque<LogEntry> newest_; ///< A suffix of the log.
    std::uint64_t newestBytes_ = 0;
};

} // namespace persimmonlb::internal
