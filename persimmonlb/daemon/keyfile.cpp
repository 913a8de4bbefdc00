#include <fstream>
#include <sys/stat.h>

#include "persimmonlb/daemon/settings.h"

namespace persimmonlb
{

Result<std::string> readKeyFile(const std::string &path)
{
    struct stat status {
    };
    if (stat(path.c_str(), &status) != 0) {
        return fail(ResultCode::SettingsInvalid, "key file " + path + ": cannot be read");
    }
    constexpr mode_t othersMask = S_IRWXG | S_IRWXO;
    if ((status.st_mode & othersMask) != 0) {
        return fail(ResultCode::SettingsInvalid,
                    "key file " + path + ": must be readable by its owner only (mode 0600)");
    }
    std::ifstream file(path);
    std::string key;
    std::getline(file, key);
    if (key.empty()) {
        return fail(ResultCode::SettingsInvalid, "key file " + path + ": is empty");
    }
    return key;
}

} // namespace persimmonlb
