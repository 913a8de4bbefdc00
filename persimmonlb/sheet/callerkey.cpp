#include "persimmonlb/sheet/callerkey.h"

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

std::string_view bearerKey(std::string_view authorization)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return {};
    }
    return authorization.substr(scheme.size());
}

Result<CallerName> authenticateCaller(const Sheet &sheet, std::string_view name,
                                      std::string_view authorization)
{
    CallerName caller{std::string(name.empty() ? anonymousCaller : name)};
    const SheetQuota *quota = sheet.findQuota(caller);
    if (quota == nullptr || quota->keyDigest.empty()) {
        return caller;
    }
    const std::string_view key = bearerKey(authorization);
    if (key.empty() || !equalInConstantTime(sha256Hex(key), quota->keyDigest)) {
        return fail(ResultCode::Unauthorized, "the key of caller " + caller.value + " is wrong");
    }
    return caller;
}

} // namespace persimmonlb
