#pragma once

#include <functional>
#include <memory>
#include <string>

#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/store/logstore.h"
#include "persimmonlb/store/statestore.h"

namespace rocksdb
{
class FileSystem;
}

namespace persimmonlb
{

struct DiskStoreOptions {
    std::string folder; ///< Made when it does not exist; one process at a time.
    HostId host; ///< A folder first opened by another host is refused.
    /// Runs a function on the decision thread; called from the sync thread.
    std::function<void(std::function<void()>)> post;
    /// What the database lies on; null: the files of this host.
    std::shared_ptr<rocksdb::FileSystem> files = nullptr;
};

/// Durable log and keyed state of one member, on RocksDB in one folder.
///
/// At open every entry of the log is read: its checksum must hold, and indexes must follow each
/// other without a gap. A store that fails a check is not served from.
///
/// A write or sync that fails, in a call or in the background, ends the store: every later one
/// fails with StoreUnavailable, and nothing more reaches the disk. Open it again.
///
/// Example:
///   auto opened = DiskStore::open({.folder = "/var/lib/persimmonlb", .host = self, .post = post});
///   if (!opened) { return opened.error(); }
///   Agreement agreement(options, {.log = (*opened)->logStore(), ...});
///
/// Used on the decision thread; syncs run on a thread of the store.
class DiskStore
{
public:
    /// Errors: DataFolderUnusable (path, rights, in use, or of another host), CorruptStore with the
    /// name of the file or key, StoreUnavailable when the disk refuses writes.
    static Result<std::unique_ptr<DiskStore>> open(DiskStoreOptions options);

    /// Waits for a running sync. Callbacks that were not called yet are dropped.
    ~DiskStore();
    DiskStore(const DiskStore &) = delete;
    DiskStore &operator=(const DiskStore &) = delete;

    /// The hooks stay valid as long as the store.
    LogStore &logStore();
    StateStore &stateStore();

private:
    class Implementation;
    explicit DiskStore(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> implementation_;
};

} // namespace persimmonlb
