#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/base/clock.h"
#include "persimmonlb/bulk/bulktable.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

/// A host as it last reported itself.
struct ReportedHost {
    HostId host;
    HostReport report;
    Milliseconds age{0};

    bool operator==(const ReportedHost &) const = default;
};

/// What one host knows of the fleet, for operators.
struct FleetStatus {
    HostId host;
    std::string name;
    std::uint64_t routesVersion = 0; ///< In force here; 0: none yet.
    FleetView view;
    std::optional<GroupStatus> group; ///< On storage hosts.
    std::vector<ReportedHost> hosts; ///< On storage hosts.
    std::vector<std::pair<JobId, BulkJob>> jobs; ///< On storage hosts; the first of them.

    bool operator==(const FleetStatus &) const = default;
};

/// As /v1/fleet answers (docs/INTERFACE.md).
std::string formatFleetStatus(const FleetStatus &status);

} // namespace persimmonlb
