#pragma once

#include <optional>

#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

/// Position of a view among all views: a higher one replaces a lower one.
struct ViewPosition {
    std::uint64_t term = 0;
    std::uint64_t version = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): reported falsely on a defaulted comparison
    auto operator<=>(const ViewPosition &) const = default;
};

[[nodiscard]] ViewPosition positionOf(const FleetView &view);

/// Hosts of the replicated group that may lead.
[[nodiscard]] std::vector<HostId> votersOf(const FleetView &view);

/// What `after` has that `before` has not; nothing when hosts would act no differently. Both lists
/// of a kind are ordered by id, as FleetRegistry gives them.
[[nodiscard]] std::optional<FleetChange> changeBetween(const FleetView &before,
                                                       const FleetView &after);

/// Makes `view` the one that the change leads to. False, and nothing is changed, when the change
/// was made for another view or leads to no newer one.
bool applyChange(FleetView &view, const FleetChange &change);

} // namespace persimmonlb
