#include "persimmonlb/store/internal/syncmark.h"

#include <cerrno>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

#include "persimmonlb/store/internal/records.h"

namespace persimmonlb::internal
{

namespace
{

constexpr const char *fileName = "synced";
constexpr std::size_t recordBytes = 12;
constexpr mode_t fileMode = 0600;

std::string reason()
{
    return std::generic_category().message(errno);
}

Result<std::uint64_t> readMark(int descriptor, const std::string &path)
{
    std::string record(recordBytes, '\0');
    if (::pread(descriptor, record.data(), recordBytes, 0) != static_cast<ssize_t>(recordBytes)) {
        return fail(ResultCode::CorruptStore, path + " is cut off");
    }
    const auto content = capture([&] { return unseal(fileName, record); });
    if (!content.ok()) {
        return fail(ResultCode::CorruptStore, path + " fails its checksum");
    }
    return decodeNumber(content.value());
}

/// Makes the name of a new file survive a crash.
bool syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return false;
    }
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

} // namespace

SyncMark::SyncMark(int descriptor, std::uint64_t opened)
    : descriptor_(new int(descriptor),
                  [](const int *held) {
                      ::close(*held);
                      delete held;
                  })
    , opened_(opened)
{
}

Result<SyncMark> SyncMark::open(const std::string &folder, bool databaseExists)
{
    const std::string path = folder + "/" + fileName;
    const int existing = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (existing >= 0) {
        SyncMark mark(existing, 0);
        BOOST_LEAF_ASSIGN(mark.opened_, readMark(existing, path));
        return mark;
    }
    if (errno != ENOENT) {
        return fail(ResultCode::DataFolderUnusable, path + ": " + reason());
    }
    if (databaseExists) {
        return fail(ResultCode::CorruptStore, path + " is missing beside a database");
    }
    const int created = ::open(path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, fileMode);
    if (created < 0) {
        return fail(ResultCode::DataFolderUnusable, path + ": " + reason());
    }
    SyncMark mark(created, 0);
    BOOST_LEAF_CHECK(mark.write(0));
    if (::fsync(created) != 0 || !syncFolder(folder)) {
        return fail(ResultCode::DataFolderUnusable, path + ": " + reason());
    }
    return mark;
}

std::uint64_t SyncMark::opened() const
{
    return opened_;
}

Result<void> SyncMark::write(std::uint64_t sequence) const
{
    const std::string record = seal(fileName, encodeNumber(sequence));
    if (::pwrite(*descriptor_, record.data(), record.size(), 0)
        != static_cast<ssize_t>(record.size())) {
        return fail(ResultCode::StoreUnavailable, std::string(fileName) + ": " + reason());
    }
    return {};
}

} // namespace persimmonlb::internal
