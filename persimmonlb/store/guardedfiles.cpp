#include "persimmonlb/store/internal/guardedfiles.h"

#include <functional>
#include <utility>

namespace persimmonlb::internal
{

using rocksdb::FileOptions;
using rocksdb::IODebugContext;
using rocksdb::IOOptions;
using rocksdb::IOStatus;

namespace
{

/// Makes a change unless one has failed before. A failure is noted and reported as success.
IOStatus change(WriteFailure &failure, const std::function<IOStatus()> &make)
{
    if (failure.happened()) {
        return IOStatus::OK();
    }
    IOStatus status = make();
    // What is missing or not supported is an answer that RocksDB asks for, no trouble of the disk.
    if (status.ok() || status.IsPathNotFound() || status.IsNotFound() || status.IsNotSupported()) {
        return status;
    }
    failure.note(status.ToString());
    return IOStatus::OK();
}

/// What a file becomes that could not be opened for writing.
class DroppedFile : public rocksdb::FSWritableFile
{
public:
    IOStatus Append(const rocksdb::Slice &data, const IOOptions & /*options*/,
                    IODebugContext * /*debug*/) override
    {
        size_ += data.size();
        return IOStatus::OK();
    }
    IOStatus Append(const rocksdb::Slice &data, const IOOptions &options,
                    const rocksdb::DataVerificationInfo & /*info*/, IODebugContext *debug) override
    {
        return Append(data, options, debug);
    }
    IOStatus Close(const IOOptions & /*options*/, IODebugContext * /*debug*/) override
    {
        return IOStatus::OK();
    }
    IOStatus Flush(const IOOptions & /*options*/, IODebugContext * /*debug*/) override
    {
        return IOStatus::OK();
    }
    IOStatus Sync(const IOOptions & /*options*/, IODebugContext * /*debug*/) override
    {
        return IOStatus::OK();
    }
    [[nodiscard]] bool IsSyncThreadSafe() const override
    {
        return true;
    }
    std::uint64_t GetFileSize(const IOOptions & /*options*/, IODebugContext * /*debug*/) override
    {
        return size_;
    }

private:
    std::uint64_t size_ = 0;
};

class GuardedFile : public rocksdb::FSWritableFileOwnerWrapper
{
public:
    GuardedFile(std::unique_ptr<rocksdb::FSWritableFile> file,
                std::shared_ptr<WriteFailure> failure)
        : FSWritableFileOwnerWrapper(std::move(file))
        , failure_(std::move(failure))
    {
    }

    IOStatus Append(const rocksdb::Slice &data, const IOOptions &options,
                    IODebugContext *debug) override
    {
        return change(*failure_, [&] { return target()->Append(data, options, debug); });
    }
    IOStatus Append(const rocksdb::Slice &data, const IOOptions &options,
                    const rocksdb::DataVerificationInfo &info, IODebugContext *debug) override
    {
        return change(*failure_, [&] { return target()->Append(data, options, info, debug); });
    }
    IOStatus PositionedAppend(const rocksdb::Slice &data, std::uint64_t offset,
                              const IOOptions &options, IODebugContext *debug) override
    {
        return change(*failure_,
                      [&] { return target()->PositionedAppend(data, offset, options, debug); });
    }
    IOStatus PositionedAppend(const rocksdb::Slice &data, std::uint64_t offset,
                              const IOOptions &options, const rocksdb::DataVerificationInfo &info,
                              IODebugContext *debug) override
    {
        return change(*failure_, [&] {
            return target()->PositionedAppend(data, offset, options, info, debug);
        });
    }
    IOStatus Truncate(std::uint64_t size, const IOOptions &options, IODebugContext *debug) override
    {
        return change(*failure_, [&] { return target()->Truncate(size, options, debug); });
    }
    IOStatus Close(const IOOptions &options, IODebugContext *debug) override
    {
        // Frees the descriptor also after a failure.
        IOStatus status = target()->Close(options, debug);
        return change(*failure_, [&] { return status; });
    }
    IOStatus Flush(const IOOptions &options, IODebugContext *debug) override
    {
        return change(*failure_, [&] { return target()->Flush(options, debug); });
    }
    IOStatus Sync(const IOOptions &options, IODebugContext *debug) override
    {
        return change(*failure_, [&] { return target()->Sync(options, debug); });
    }
    IOStatus Fsync(const IOOptions &options, IODebugContext *debug) override
    {
        return change(*failure_, [&] { return target()->Fsync(options, debug); });
    }

private:
    std::shared_ptr<WriteFailure> failure_;
};

class GuardedDirectory : public rocksdb::FSDirectoryWrapper
{
public:
    GuardedDirectory(std::unique_ptr<rocksdb::FSDirectory> directory,
                     std::shared_ptr<WriteFailure> failure)
        : FSDirectoryWrapper(std::move(directory))
        , failure_(std::move(failure))
    {
    }

    IOStatus Fsync(const IOOptions &options, IODebugContext *debug) override
    {
        return change(*failure_, [&] { return FSDirectoryWrapper::Fsync(options, debug); });
    }
    IOStatus FsyncWithDirOptions(const IOOptions &options, IODebugContext *debug,
                                 const rocksdb::DirFsyncOptions &directoryOptions) override
    {
        return change(*failure_, [&] {
            return FSDirectoryWrapper::FsyncWithDirOptions(options, debug, directoryOptions);
        });
    }

private:
    std::shared_ptr<WriteFailure> failure_;
};

/// Opens a file for writing; one that cannot be opened is a failure like any other.
IOStatus openGuarded(const std::shared_ptr<WriteFailure> &failure,
                     std::unique_ptr<rocksdb::FSWritableFile> *file,
                     const std::function<IOStatus()> &open)
{
    file->reset();
    IOStatus status = change(*failure, open);
    if (!status.ok()) {
        return status;
    }
    if (*file == nullptr) {
        *file = std::make_unique<DroppedFile>();
    } else {
        *file = std::make_unique<GuardedFile>(std::move(*file), failure);
    }
    return status;
}

} // namespace

void WriteFailure::note(const std::string &reason)
{
    const std::lock_guard lock(mutex_);
    if (!happened_) {
        reason_ = reason;
        happened_ = true;
    }
}

bool WriteFailure::happened() const
{
    return happened_;
}

std::string WriteFailure::reason() const
{
    const std::lock_guard lock(mutex_);
    return reason_;
}

GuardedFiles::GuardedFiles(const std::shared_ptr<rocksdb::FileSystem> &files,
                           std::shared_ptr<WriteFailure> failure)
    : FileSystemWrapper(files)
    , failure_(std::move(failure))
{
}

const char *GuardedFiles::Name() const
{
    return "GuardedFiles";
}

IOStatus GuardedFiles::NewWritableFile(const std::string &name, const FileOptions &options,
                                       std::unique_ptr<rocksdb::FSWritableFile> *file,
                                       IODebugContext *debug)
{
    return openGuarded(failure_, file,
                       [&] { return target()->NewWritableFile(name, options, file, debug); });
}

IOStatus GuardedFiles::ReopenWritableFile(const std::string &name, const FileOptions &options,
                                          std::unique_ptr<rocksdb::FSWritableFile> *file,
                                          IODebugContext *debug)
{
    return openGuarded(failure_, file,
                       [&] { return target()->ReopenWritableFile(name, options, file, debug); });
}

IOStatus GuardedFiles::ReuseWritableFile(const std::string &name, const std::string &oldName,
                                         const FileOptions &options,
                                         std::unique_ptr<rocksdb::FSWritableFile> *file,
                                         IODebugContext *debug)
{
    return openGuarded(failure_, file, [&] {
        return target()->ReuseWritableFile(name, oldName, options, file, debug);
    });
}

IOStatus GuardedFiles::NewDirectory(const std::string &name, const IOOptions &options,
                                    std::unique_ptr<rocksdb::FSDirectory> *directory,
                                    IODebugContext *debug)
{
    IOStatus status = target()->NewDirectory(name, options, directory, debug);
    if (status.ok()) {
        *directory = std::make_unique<GuardedDirectory>(std::move(*directory), failure_);
    }
    return status;
}

IOStatus GuardedFiles::DeleteFile(const std::string &name, const IOOptions &options,
                                  IODebugContext *debug)
{
    return change(*failure_, [&] { return target()->DeleteFile(name, options, debug); });
}

IOStatus GuardedFiles::Truncate(const std::string &name, std::size_t size, const IOOptions &options,
                                IODebugContext *debug)
{
    return change(*failure_, [&] { return target()->Truncate(name, size, options, debug); });
}

IOStatus GuardedFiles::RenameFile(const std::string &from, const std::string &to,
                                  const IOOptions &options, IODebugContext *debug)
{
    return change(*failure_, [&] { return target()->RenameFile(from, to, options, debug); });
}

IOStatus GuardedFiles::LinkFile(const std::string &from, const std::string &to,
                                const IOOptions &options, IODebugContext *debug)
{
    return change(*failure_, [&] { return target()->LinkFile(from, to, options, debug); });
}

} // namespace persimmonlb::internal
