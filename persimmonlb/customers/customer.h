#pragma once

#include <cstdint>
#include <optional>

#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

/// A customer of the fleet. Its callers show that they belong to it by one of its keys, which only
/// CustomerKeys knows.
struct Customer {
    CustomerName name;
    std::optional<std::uint32_t> priority = {}; ///< Replaces that of the route; 0 is the highest.
    double requestsPerSecond = 0; ///< Over all entry hosts; 0: no limit.
    double burst = 0; ///< Requests at once after a pause, beyond the rate.

    [[nodiscard]] bool isLimited() const
    {
        return requestsPerSecond > 0;
    }
    bool operator==(const Customer &) const = default;
};

} // namespace persimmonlb
