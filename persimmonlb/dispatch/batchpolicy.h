#pragma once

#include <cstdint>
#include <functional>

#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

/// Load of one backend server as its batch owner sees it, in requests.
struct BatchLoad {
    std::uint32_t capacity = 0; ///< Requests the server runs at once without queueing.
    std::uint32_t onlineInFlight = 0; ///< Of all entry hosts.
    std::uint32_t onlinePeak = 0; ///< Highest onlineInFlight of the recent past.

    bool operator==(const BatchLoad &) const = default;
};

/// Returns how many batch items may be in flight on the server.
using BatchPolicy = std::function<std::uint32_t(const BatchLoad &load)>;

/// Leaves room for the recent online peak and a reserve above it.
std::uint32_t latencyPolicy(const BatchLoad &load);

/// Fills what online requests leave free at this moment, but for one request.
std::uint32_t throughputPolicy(const BatchLoad &load);

/// The policy of a preset.
BatchPolicy policyFor(BatchPreset preset);

} // namespace persimmonlb
