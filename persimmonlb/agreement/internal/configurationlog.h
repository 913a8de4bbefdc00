#pragma once

#include <cstdint>
#include <vector>

#include "persimmonlb/agreement/configuration.h"
#include "persimmonlb/store/logstore.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb::internal
{

/// The member lists of the log: the one at the point of compaction and each later one. A member
/// uses the newest, committed or not.
class ConfigurationLog
{
public:
    struct Record {
        std::uint64_t index = 0;
        Configuration configuration;
    };

    /// Errors: CorruptStore.
    Result<void> load(const SnapshotMark &mark, const std::vector<LogEntry> &entries);
    /// Takes an appended configuration entry. Errors: CorruptStore.
    Result<void> append(const LogEntry &entry);
    void truncateFrom(std::uint64_t index);
    void compactTo(std::uint64_t index);

    /// The newest member list; without members when the group was never started here.
    [[nodiscard]] const Configuration &latest() const;
    [[nodiscard]] std::uint64_t latestIndex() const;
    /// The member list in force at `index`.
    [[nodiscard]] const Configuration &at(std::uint64_t index) const;

private:
    std::vector<Record> records_{Record{}};
};

} // namespace persimmonlb::internal
