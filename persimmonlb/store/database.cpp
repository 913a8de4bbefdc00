#include "persimmonlb/store/internal/database.h"

#include <filesystem>
#include <utility>
#include <vector>

#include <rocksdb/env.h>
#include <rocksdb/options.h>

namespace persimmonlb::internal
{

namespace
{

constexpr std::array<const char *, familyCount> familyNames{"default", "meta", "log", "state-a",
                                                            "state-b"};
/// What is in write buffers is replayed when a store is opened, which a start after a loss of power
/// waits for: 31 MB took 170 to 180 ms of processor time to open, 8 MB take 50 to 55 ms.
constexpr std::size_t writeBufferBytes = 4ULL * 1024 * 1024;
constexpr std::uint64_t maxReplayedBytes = 8ULL * 1024 * 1024;
/// Buffers of a family: writes go on while a slow disk takes the full ones.
constexpr int writeBuffers = 4;
constexpr int backgroundJobs = 2;

rocksdb::DBOptions databaseOptions(rocksdb::Env *environment)
{
    rocksdb::DBOptions options;
    options.env = environment;
    options.create_if_missing = true;
    options.create_missing_column_families = true;
    options.paranoid_checks = true;
    options.wal_recovery_mode = rocksdb::WALRecoveryMode::kPointInTimeRecovery;
    options.max_background_jobs = backgroundJobs;
    options.info_log_level = rocksdb::InfoLogLevel::WARN_LEVEL;
    options.keep_log_file_num = 4;
    options.max_total_wal_size = maxReplayedBytes;
    return options;
}

std::vector<rocksdb::ColumnFamilyDescriptor> familyDescriptors()
{
    std::vector<rocksdb::ColumnFamilyDescriptor> descriptors;
    for (const char *name : familyNames) {
        rocksdb::ColumnFamilyOptions options;
        options.paranoid_file_checks = true;
        options.write_buffer_size = writeBufferBytes;
        options.max_write_buffer_number = writeBuffers;
        descriptors.emplace_back(name, options);
    }
    return descriptors;
}

boost::leaf::error_id failOpen(const std::string &folder, bool existed,
                               const rocksdb::Status &status)
{
    const std::string message = folder + ": " + status.ToString();
    const bool locked = message.find("LOCK") != std::string::npos;
    if (existed && !locked) {
        return fail(ResultCode::CorruptStore, message);
    }
    return fail(ResultCode::DataFolderUnusable, message);
}

Result<bool> prepareFolder(const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return fail(ResultCode::DataFolderUnusable, folder + ": " + error.message());
    }
    const bool existed = std::filesystem::exists(folder + "/db/CURRENT", error);
    if (error) {
        return fail(ResultCode::DataFolderUnusable, folder + ": " + error.message());
    }
    return existed;
}

} // namespace

Result<std::unique_ptr<Database>> Database::open(const std::string &folder,
                                                 const std::shared_ptr<rocksdb::FileSystem> &files)
{
    BOOST_LEAF_AUTO(existed, prepareFolder(folder));
    BOOST_LEAF_AUTO(mark, SyncMark::open(folder, existed));
    if (!existed && mark.opened() > 0) {
        return fail(ResultCode::CorruptStore, folder + "/db/CURRENT is missing");
    }
    auto failure = std::make_shared<WriteFailure>();
    Files guarded{.failure = failure,
                  .environment
                  = rocksdb::NewCompositeEnv(std::make_shared<GuardedFiles>(files, failure))};
    rocksdb::DB *opened = nullptr;
    std::vector<rocksdb::ColumnFamilyHandle *> handles;
    const rocksdb::Status status
        = rocksdb::DB::Open(databaseOptions(guarded.environment.get()), folder + "/db",
                            familyDescriptors(), &handles, &opened);
    if (!status.ok()) {
        // A disk that refuses writes says nothing about what it holds.
        return failure->happened()
            ? fail(ResultCode::StoreUnavailable, folder + ": " + failure->reason())
            : failOpen(folder, existed, status);
    }
    std::array<rocksdb::ColumnFamilyHandle *, familyCount> families{};
    std::ranges::copy(handles, families.begin());
    std::unique_ptr<Database> database(new Database(
        std::move(guarded), std::unique_ptr<rocksdb::DB>(opened), families, std::move(mark)));
    BOOST_LEAF_CHECK(database->checkWrites());
    if (database->sequence() < database->mark_.opened()) {
        return fail(ResultCode::CorruptStore,
                    folder + "/db: the write-ahead log ends at write "
                        + std::to_string(database->sequence()) + ", but write "
                        + std::to_string(database->mark_.opened()) + " was synced");
    }
    const rocksdb::Status checked = opened->VerifyChecksum();
    if (!checked.ok()) {
        return failOpen(folder, existed, checked);
    }
    return database;
}

Database::Database(Files files, std::unique_ptr<rocksdb::DB> database,
                   std::array<rocksdb::ColumnFamilyHandle *, familyCount> families, SyncMark mark)
    : files_(std::move(files))
    , database_(std::move(database))
    , families_(families)
    , mark_(std::move(mark))
{
}

Database::~Database()
{
    for (rocksdb::ColumnFamilyHandle *handle : families_) {
        database_->DestroyColumnFamilyHandle(handle);
    }
}

rocksdb::ColumnFamilyHandle *Database::family(Family family) const
{
    return families_.at(static_cast<std::size_t>(family));
}

Result<std::optional<std::string>> Database::get(Family family, std::string_view key) const
{
    std::string value;
    const rocksdb::Status status
        = database_->Get(rocksdb::ReadOptions(), this->family(family), slice(key), &value);
    if (status.IsNotFound()) {
        return std::optional<std::string>();
    }
    if (!status.ok()) {
        return fail(ResultCode::CorruptStore, status.ToString());
    }
    return std::optional(std::move(value));
}

Result<void> Database::checkWrites() const
{
    if (files_.failure->happened()) {
        return fail(ResultCode::StoreUnavailable, files_.failure->reason());
    }
    return {};
}

Result<void> Database::write(rocksdb::WriteBatch &batch)
{
    BOOST_LEAF_CHECK(checkWrites());
    const rocksdb::Status status = database_->Write(rocksdb::WriteOptions(), &batch);
    if (!status.ok()) {
        files_.failure->note(status.ToString());
    }
    return checkWrites();
}

std::uint64_t Database::sequence() const
{
    return database_->GetLatestSequenceNumber();
}

Result<void> Database::sync(std::uint64_t upTo)
{
    BOOST_LEAF_CHECK(checkWrites());
    const rocksdb::Status status = database_->SyncWAL();
    if (!status.ok()) {
        files_.failure->note(status.ToString());
    }
    BOOST_LEAF_CHECK(checkWrites());
    const auto marked = capture([&] { return mark_.write(upTo); });
    if (!marked.ok()) {
        files_.failure->note(marked.error().message);
    }
    return checkWrites();
}

bool Database::wasUsed() const
{
    return mark_.opened() > 0;
}

rocksdb::DB &Database::rocks() const
{
    return *database_;
}

} // namespace persimmonlb::internal
