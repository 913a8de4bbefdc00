#pragma once

#include <cstddef>
#include <cstdint>

namespace persimmonlb
{

/// How many connections of strangers a process serves at once. The rest of its descriptors is for
/// its own connections and files, which must not fail when strangers take all that they can get.
struct ConnectionLimits {
    std::uint32_t callers = 0; ///< Of the listener for callers, or of operators and servers.
    std::uint32_t others = 0; ///< Of each other HTTP listener.
    std::size_t mesh = 0; ///< MeshOptions::maxUnprovedConnections.

    bool operator==(const ConnectionLimits &) const = default;
};

/// Shares out the descriptors that a process may have.
ConnectionLimits shareDescriptors(std::uint64_t descriptors);

/// Descriptors that this process may have, as the system says.
std::uint64_t descriptorLimit();

} // namespace persimmonlb
