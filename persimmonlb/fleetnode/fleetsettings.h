#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/base/logline.h"
#include "persimmonlb/quotas/quotatolerance.h"

namespace persimmonlb
{

/// What a deployment promises of keys and quotas of customers.
struct CustomerSettings {
    /// A host whose routes may be out of date refuses requests with a key.
    bool failClosed = false;
    /// A key that was taken away opens nothing after this time.
    Milliseconds revokeTimeout{5000};
    /// Limits on the requests of a customer: those in any window, and how far they may be exceeded.
    QuotaTolerance quotas;

    bool operator==(const CustomerSettings &) const = default;
};

/// Checked settings of one process of a fleet that forms and heals itself. Immutable.
struct FleetSettings {
    HostId host; ///< The host's IP address: its name among our own processes.
    std::string name; ///< As operators call it.
    Region region;
    AvailabilityZone availabilityZone;
    bool takesCallers = false;
    bool stores = false;
    std::string dataFolder; ///< Hosts that store only.

    std::string callerListen; ///< "ip:port" for callers.
    std::string directoryListen; ///< "ip:port" for callers that ask where to connect.
    std::string readinessListen; ///< "ip:port" for the question whether this host takes callers.
    std::string controlListen; ///< "ip:port" for operators and backend servers.
    std::string metricsListen; ///< "ip:port"; empty: none.

    std::string meshListen;
    std::string meshKey; ///< Shared by all our processes.
    std::vector<std::string> seeds; ///< "ip:port" of control listeners of some storage hosts.
    std::uint16_t meshPort = 0; ///< The same on every host.
    bool mayForm = false; ///< The whole fleet starts for the first time.

    std::uint32_t lossesBorne = 1; ///< Storage hosts that may be lost at once.
    Milliseconds answerTtl{0}; ///< Of an answer that says where to connect.
    Milliseconds stopGrace{0}; ///< From the request to stop until the process is killed.
    Milliseconds resultsKept{0}; ///< Bulk results stay readable for so long.
    CustomerSettings customers;
    /// For what callers send and do not read; 0: no bound. The default holds four of the largest
    /// bodies, and twice it (handlers copy a request to send it on) beside the 18 MB of an idle
    /// host fits into the smallest machine, of 110 MB.
    std::uint64_t callerMemoryBytes = 32ULL * 1024 * 1024;
    std::uint32_t descriptors = 0; ///< That the process may have; 0: as the system says.
    bool learnsServerSpeeds = false; ///< Servers are chosen by learned speeds and cached prompts.
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const FleetSettings &) const = default;
};

/// Parses and checks a settings file's text (docs/SETTINGS.md). Errors: SettingsInvalid, with the
/// key.
Result<FleetSettings> parseFleetSettings(std::string_view text);

/// Host ids of the seeds.
std::vector<HostId> seedHosts(const FleetSettings &settings);

} // namespace persimmonlb
