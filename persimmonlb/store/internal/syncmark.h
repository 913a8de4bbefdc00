#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "persimmonlb/base/error.h"

namespace persimmonlb::internal
{

/// A small file that holds the sequence number of the last completed sync. It is written after the
/// sync and needs none of its own: it never runs ahead of what was synced.
class SyncMark
{
public:
    /// Opens the file. A folder without a database gets a new one with sequence number 0.
    /// Errors: DataFolderUnusable; CorruptStore when the file is missing beside a database or
    /// damaged.
    static Result<SyncMark> open(const std::string &folder, bool databaseExists);

    /// The number when the file was opened.
    [[nodiscard]] std::uint64_t opened() const;
    /// Thread-safe. Errors: StoreUnavailable.
    Result<void> write(std::uint64_t sequence) const;

private:
    SyncMark(int descriptor, std::uint64_t opened);

    std::shared_ptr<const int> descriptor_;
    std::uint64_t opened_ = 0;
};

} // namespace persimmonlb::internal
