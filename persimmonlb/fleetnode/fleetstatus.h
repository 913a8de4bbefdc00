#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "persimmonlb/agreement/agreement.h"
#include "persimmonlb/base/clock.h"
#include "persimmonlb/bulk/bulktable.h"
#include "persimmonlb/fleet/fleetview.h"
#include "persimmonlb/http/message.h"

namespace persimmonlb
{

/// A host of the fleet.
struct ReportedHost {
    HostId host;
    HostReport report; ///< As it last reported itself here, or what the view says of it.
    std::optional<Milliseconds> age; ///< Of its last report; none: it reports to another host.

    bool operator==(const ReportedHost &) const = default;
};

/// What one host knows of the fleet, for operators.
struct FleetStatus {
    HostId host;
    std::string name;
    std::uint64_t routesVersion = 0; ///< In force here; 0: none yet.
    FleetView view;
    std::optional<GroupStatus> group; ///< On storage hosts.
    HostId parent; ///< The storage host that this one reports to; empty where it leads.
    Milliseconds leaderAge{0}; ///< Of the last word of the leader.
    std::vector<ReportedHost> hosts; ///< The whole fleet.
    std::vector<std::pair<JobId, BulkJob>> jobs; ///< On storage hosts; the first of them.

    bool operator==(const FleetStatus &) const = default;
};

/// As /v1/fleet answers (docs/INTERFACE.md).
std::string formatFleetStatus(const FleetStatus &status);

/// Answers an operator with what `read` returns, or with 500 if it throws: an exception that leaves
/// the handler would count as a failure of the process.
HttpResponse answerRead(const char *contentType, const std::function<std::string()> &read);

} // namespace persimmonlb
