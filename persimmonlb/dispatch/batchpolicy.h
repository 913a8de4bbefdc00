#pragma once

#include <cstdint>
#include <functional>

#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

/// Load of one backend server, in requests, as its batch owner (the entry host that sends batch
/// items to it) measures it.
struct BatchLoad {
    std::uint32_t capacity = 0; ///< Requests that the server runs concurrently without queueing.
    std::uint32_t onlineInFlight = 0; ///< Online requests in flight from all entry hosts.
    std::uint32_t onlinePeak = 0; ///< Recent maximum of onlineInFlight.

    bool operator==(const BatchLoad &) const = default;
};

/// Returns the maximum number of batch items in flight on a server with this load.
using BatchPolicy = std::function<std::uint32_t(const BatchLoad &load)>;

/// Returns the capacity left above the recent online peak and a reserve of 15 % of the capacity
/// (rounded up).
std::uint32_t latencyPolicy(const BatchLoad &load);

/// Returns the capacity that online requests leave free at this moment, less a reserve of one
/// request.
std::uint32_t throughputPolicy(const BatchLoad &load);

/// Returns the policy for `preset`.
BatchPolicy batchPolicyFor(BatchPreset preset);

} // namespace persimmonlb
