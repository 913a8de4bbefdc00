#include "persimmonlb/daemon/connectionlimits.h"

#include <algorithm>
#include <sys/resource.h>

namespace persimmonlb
{

ConnectionLimits shareDescriptors(std::uint64_t allowed)
{
    constexpr std::uint64_t unlimited = 1ULL << 32U;
    const std::uint64_t descriptors = std::min(allowed, unlimited);
    constexpr std::uint64_t mostCallers = 20000;
    constexpr std::uint64_t mostOthers = 1024;
    // A whole fleet may connect to a storage host at once.
    constexpr std::uint64_t mostMesh = 512;
    constexpr std::uint64_t fewest = 16;
    return ConnectionLimits{
        .callers = static_cast<std::uint32_t>(std::clamp(descriptors * 3 / 8, fewest, mostCallers)),
        .others = static_cast<std::uint32_t>(std::clamp(descriptors / 32, fewest, mostOthers)),
        .mesh = std::clamp(descriptors / 16, fewest, mostMesh)};
}

std::uint64_t descriptorLimit()
{
    rlimit limit{};
    constexpr std::uint64_t whenUnknown = 1024;
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : whenUnknown;
}

} // namespace persimmonlb
