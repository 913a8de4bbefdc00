#pragma once

#include <cstdint>
#include <string_view>

#include "persimmonlb/routes/routetable.h"

namespace persimmonlb
{

enum class AccessDecision : std::uint8_t {
    Allowed,
    UnknownKey, ///< Missing, or of no customer.
    /// The host may have missed a newer version of the routes, so it cannot tell.
    RoutesOutdated,
};

/// Whether a caller may use a route, and for which customer.
struct CallerAccess {
    AccessDecision decision = AccessDecision::Allowed;
    const Customer *customer = nullptr; ///< Null: none. Points into the routes.

    bool operator==(const CallerAccess &) const = default;
};

/// What a host knows of how current its routes are.
struct RoutesCurrency {
    bool isProven = true; ///< No key that these routes hold was taken away too long ago.
    bool newerExists = false; ///< A newer version is on its way to this host.

    bool operator==(const RoutesCurrency &) const = default;
};

/// Decides on a caller with this key (empty: none).
inline CallerAccess checkAccess(const RouteTable &routes, bool isPublic, std::string_view key,
                                const RoutesCurrency &currency)
{
    if (!routes.requiresKeys()) {
        return {};
    }
    const Customer *customer
        = currency.isProven && !key.empty() ? routes.findCustomer(key) : nullptr;
    if (isPublic || customer != nullptr) {
        return {.decision = AccessDecision::Allowed, .customer = customer};
    }
    if (!currency.isProven || (currency.newerExists && !key.empty())) {
        return {.decision = AccessDecision::RoutesOutdated};
    }
    return {.decision = AccessDecision::UnknownKey};
}

} // namespace persimmonlb
