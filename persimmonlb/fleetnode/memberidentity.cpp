#include "persimmonlb/fleetnode/memberidentity.h"

#include <array>
#include <cerrno>
#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <unistd.h>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/fleetnode/groupcare.h"

namespace persimmonlb
{

namespace
{

constexpr const char *identityFile = "member";
constexpr const char *temporaryFile = "member.new";
constexpr const char *storePrefix = "store-";
constexpr mode_t fileMode = 0600;
constexpr int hexadecimal = 16;

/// Errors that a disk shows in a bad moment, against those of a wrong path or of missing rights.
bool isDiskTrouble(int error)
{
    return error == ENOSPC || error == EIO || error == EDQUOT;
}

boost::leaf::error_id notWritten(const std::string &path, int error)
{
    return fail(isDiskTrouble(error) ? ResultCode::StoreUnavailable
                                     : ResultCode::DataFolderUnusable,
                path + ": " + std::generic_category().message(error));
}

bool syncPath(const std::string &path, int flags)
{
    const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC);
    if (descriptor < 0) {
        return false;
    }
    const bool synced = ::fsync(descriptor) == 0;
    const int error = errno;
    ::close(descriptor);
    errno = error;
    return synced;
}

Result<void> writeFile(const std::string &folder, const std::string &text)
{
    const std::string fresh = folder + "/" + temporaryFile;
    const int descriptor
        = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode);
    if (descriptor < 0) {
        return notWritten(fresh, errno);
    }
    const ssize_t written = ::write(descriptor, text.data(), text.size());
    // A short write is a disk that is nearly full; it sets no error.
    int error = written < 0 ? errno : ENOSPC;
    if (written == static_cast<ssize_t>(text.size())) {
        error = ::fsync(descriptor) == 0 ? 0 : errno;
    }
    ::close(descriptor);
    const std::string path = folder + "/" + identityFile;
    if (error != 0) {
        return notWritten(path, error);
    }
    if (::rename(fresh.c_str(), path.c_str()) != 0 || !syncPath(folder, O_RDONLY | O_DIRECTORY)) {
        return notWritten(path, errno);
    }
    return {};
}

std::string suffixOf(const HostId &member)
{
    const std::size_t mark = member.value.find('#');
    return mark == std::string::npos ? "first" : member.value.substr(mark + 1);
}

MemberIdentity identityOf(const std::string &dataFolder, const HostId &member)
{
    return {member, dataFolder + "/" + storePrefix + suffixOf(member)};
}

/// Removes the stores of former identities; one that cannot be removed is left with a log line.
void removeOthers(const std::string &dataFolder, const MemberIdentity &identity)
{
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(dataFolder, error)) {
        const std::string name = entry.path().filename().string();
        if (!name.starts_with(storePrefix) || entry.path().string() == identity.storeFolder) {
            continue;
        }
        std::error_code removal;
        std::filesystem::remove_all(entry.path(), removal);
        LogLine(LogLevel::Warning, "former_store_removed")
            .add("folder", name)
            .add("result", removal ? removal.message() : "ok")
            .write();
    }
}

std::string randomSuffix(const RandomSource &random)
{
    std::array<char, hexadecimal> digits{};
    const auto end
        = std::to_chars(digits.data(), digits.data() + digits.size(), random(), hexadecimal).ptr;
    return {digits.data(), end};
}

} // namespace

Result<MemberIdentity> renewIdentity(const std::string &dataFolder, const HostId &host,
                                     const RandomSource &random)
{
    const HostId member{host.value + "#" + randomSuffix(random)};
    BOOST_LEAF_CHECK(writeFile(dataFolder, member.value));
    MemberIdentity identity = identityOf(dataFolder, member);
    removeOthers(dataFolder, identity);
    return identity;
}

Result<MemberIdentity> openIdentity(const std::string &dataFolder, const HostId &host, bool isFirst,
                                    const RandomSource &random)
{
    std::error_code error;
    std::filesystem::create_directories(dataFolder, error);
    if (error) {
        return fail(ResultCode::DataFolderUnusable, dataFolder + ": " + error.message());
    }
    std::ifstream file(dataFolder + "/" + identityFile);
    std::string member;
    std::getline(file, member);
    if (hostOfMember(HostId{member}) == host) {
        MemberIdentity identity = identityOf(dataFolder, HostId{member});
        removeOthers(dataFolder, identity);
        return identity;
    }
    if (!isFirst) {
        return renewIdentity(dataFolder, host, random);
    }
    BOOST_LEAF_CHECK(writeFile(dataFolder, host.value));
    return identityOf(dataFolder, host);
}

} // namespace persimmonlb
