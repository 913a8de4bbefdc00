#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/fleet/fleetview.h"

namespace persimmonlb
{

/// Request limits of servers as an entry host knows them: from the leader's view, and from
/// responses that name another limit than the view does. Not thread-safe.
class NamedLimits
{
public:
    /// Takes the limits of a view. What a response named holds until the view changes the limit of
    /// that server.
    void setView(const std::vector<FleetServer> &servers);
    /// Records that a response of this server process named a limit, in requests per 1,000 s, or
    /// none (0). Returns true if that changes the limit in force on this host.
    bool note(const ServiceName &service, const ServerProcess &process, std::uint64_t requestsPerKs,
              MonotonicTime now);
    /// Returns the limit in force on this host; 0: none.
    [[nodiscard]] std::uint64_t limitOf(const ServerProcess &process) const;
    /// Returns true if a server of the service has a limit in force.
    [[nodiscard]] bool hasLimit(const ServiceName &service) const;
    /// Returns the limits that differ from the view and were not reported within `interval`, and
    /// marks them as reported. Leaves out those that no response named within `responseLifetime`,
    /// as the leader may know of later responses; such a limit stays in force on this host, but the
    /// end of one is forgotten.
    std::vector<ServerLimit> takeReports(MonotonicTime now, Milliseconds interval);
    /// Makes all reports due, for a new leader.
    void leaderChanged();

private:
    static constexpr Milliseconds responseLifetime{2000};

    struct Note {
        ServiceName service;
        std::uint64_t requestsPerKs = 0;
        MonotonicTime namedAt;
        MonotonicTime reportedAt;
        bool reported = false;
    };

    [[nodiscard]] std::uint64_t viewLimitOf(const ServerProcess &process) const;

    std::map<ServerProcess, std::uint64_t> view_; ///< Only servers with a limit.
    std::set<ServiceName> limitedInView_; ///< Services of these servers.
    std::map<ServerProcess, Note> notes_;
};

} // namespace persimmonlb
