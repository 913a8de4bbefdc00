#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <rocksdb/db.h>
#include <rocksdb/write_batch.h>

#include "persimmonlb/base/error.h"
#include "persimmonlb/store/internal/guardedfiles.h"
#include "persimmonlb/store/internal/syncmark.h"

namespace persimmonlb::internal
{

/// Column families of the database.
enum class Family : std::uint8_t {
    Default, ///< Required by RocksDB; unused.
    Meta, ///< Identity, hard state, compaction mark, which state family is in use.
    Log,
    StateA, ///< One of both holds the state, the other a snapshot being received.
    StateB,
};
constexpr std::size_t familyCount = 5;

/// The opened RocksDB database of a data folder.
///
/// A write-ahead log that ends before what was synced is corruption; a torn tail of what was never
/// synced is not: RocksDB recovers up to the first damaged record, and the sync mark tells whether
/// that point lies before the last completed sync.
///
/// From the first write or sync that fails, in a call or in the background, every write and sync
/// fails and the files stay as they are (see GuardedFiles): open the folder again.
class Database
{
public:
    /// Errors: DataFolderUnusable, CorruptStore, StoreUnavailable when the disk refuses writes.
    static Result<std::unique_ptr<Database>>
    open(const std::string &folder, const std::shared_ptr<rocksdb::FileSystem> &files);
    ~Database();
    Database(const Database &) = delete;
    Database &operator=(const Database &) = delete;

    [[nodiscard]] rocksdb::ColumnFamilyHandle *family(Family family) const;
    /// Errors: CorruptStore.
    [[nodiscard]] Result<std::optional<std::string>> get(Family family, std::string_view key) const;
    /// Writes without a sync. Errors: StoreUnavailable.
    Result<void> write(rocksdb::WriteBatch &batch);
    /// Sequence number of the last write.
    [[nodiscard]] std::uint64_t sequence() const;
    /// Makes everything up to `upTo` survive a crash. Thread-safe. Errors: StoreUnavailable.
    Result<void> sync(std::uint64_t upTo);
    /// A sync had completed before this open.
    [[nodiscard]] bool wasUsed() const;
    [[nodiscard]] rocksdb::DB &rocks() const;

private:
    /// What the database writes with; outlives it.
    struct Files {
        std::shared_ptr<WriteFailure> failure;
        std::unique_ptr<rocksdb::Env> environment;
    };

    Database(Files files, std::unique_ptr<rocksdb::DB> database,
             std::array<rocksdb::ColumnFamilyHandle *, familyCount> families, SyncMark mark);

    /// Errors: StoreUnavailable when a write has failed before.
    [[nodiscard]] Result<void> checkWrites() const;

    Files files_;
    std::unique_ptr<rocksdb::DB> database_;
    std::array<rocksdb::ColumnFamilyHandle *, familyCount> families_{};
    SyncMark mark_;
};

/// The bytes of a key or value as RocksDB takes them; refers to `bytes`.
inline rocksdb::Slice slice(std::string_view bytes)
{
    return {bytes.data(), bytes.size()};
}

inline std::string_view view(const rocksdb::Slice &bytes)
{
    return {bytes.data(), bytes.size()};
}

} // namespace persimmonlb::internal
