#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <rocksdb/file_system.h>

namespace persimmonlb::internal
{

/// Tells whether a write of a database has failed. Thread-safe.
class WriteFailure
{
public:
    /// Keeps the first reason.
    void note(const std::string &reason);
    [[nodiscard]] bool happened() const;
    /// Empty when no write has failed.
    [[nodiscard]] std::string reason() const;

private:
    std::atomic<bool> happened_ = false;
    mutable std::mutex mutex_;
    std::string reason_;
};

/// Files of a database that stay as they are from the first write, sync or change of a name that
/// fails, as if the process had crashed at that moment.
///
/// RocksDB goes on with a file whose writer has failed, from its own threads too, and asserts that
/// it was synced before. Here it never sees the failure: every later change is dropped, and whoever
/// writes or syncs asks `failure` afterwards. The database must then be closed and opened again.
/// Reads are passed on.
class GuardedFiles : public rocksdb::FileSystemWrapper
{
public:
    GuardedFiles(const std::shared_ptr<rocksdb::FileSystem> &files,
                 std::shared_ptr<WriteFailure> failure);

    [[nodiscard]] const char *Name() const override;

    rocksdb::IOStatus NewWritableFile(const std::string &name, const rocksdb::FileOptions &options,
                                      std::unique_ptr<rocksdb::FSWritableFile> *file,
                                      rocksdb::IODebugContext *debug) override;
    rocksdb::IOStatus ReopenWritableFile(const std::string &name,
                                         const rocksdb::FileOptions &options,
                                         std::unique_ptr<rocksdb::FSWritableFile> *file,
                                         rocksdb::IODebugContext *debug) override;
    rocksdb::IOStatus ReuseWritableFile(const std::string &name, const std::string &oldName,
                                        const rocksdb::FileOptions &options,
                                        std::unique_ptr<rocksdb::FSWritableFile> *file,
                                        rocksdb::IODebugContext *debug) override;
    rocksdb::IOStatus NewDirectory(const std::string &name, const rocksdb::IOOptions &options,
                                   std::unique_ptr<rocksdb::FSDirectory> *directory,
                                   rocksdb::IODebugContext *debug) override;
    rocksdb::IOStatus DeleteFile(const std::string &name, const rocksdb::IOOptions &options,
                                 rocksdb::IODebugContext *debug) override;
    rocksdb::IOStatus Truncate(const std::string &name, std::size_t size,
                               const rocksdb::IOOptions &options,
                               rocksdb::IODebugContext *debug) override;
    rocksdb::IOStatus RenameFile(const std::string &from, const std::string &to,
                                 const rocksdb::IOOptions &options,
                                 rocksdb::IODebugContext *debug) override;
    rocksdb::IOStatus LinkFile(const std::string &from, const std::string &to,
                               const rocksdb::IOOptions &options,
                               rocksdb::IODebugContext *debug) override;

private:
    std::shared_ptr<WriteFailure> failure_;
};

} // namespace persimmonlb::internal
