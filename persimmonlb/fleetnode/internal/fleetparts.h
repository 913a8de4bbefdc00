#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/base/metrics.h"
#include "persimmonlb/crashes/crashsuspectcache.h"
#include "persimmonlb/customers/routesproof.h"
#include "persimmonlb/daemon/connectionlimits.h"
#include "persimmonlb/daemon/supervisor.h"
#include "persimmonlb/daemon/timers.h"
#include "persimmonlb/fleetnode/fleetnode.h"
#include "persimmonlb/fleettree/parentcandidates.h"
#include "persimmonlb/fleettree/parentchoice.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/http/reportedcallermemory.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/wire/mesh.h"

namespace persimmonlb
{

// Names of the supervisor's children.
inline constexpr const char *gatewayChild = "gateway";
inline constexpr const char *storageChild = "storage";
inline constexpr const char *loopChild = "loop"; ///< Work of the context that belongs to no part.

inline ConnectionLimits connectionLimits(const FleetSettings &settings)
{
    return shareDescriptors(settings.descriptors > 0 ? settings.descriptors : descriptorLimit());
}

struct FleetNode::Parts {
    Parts(boost::asio::io_context &usedContext, FleetSettings usedSettings);

    void makeRoles();
    void fail(const std::string &why);
    Result<void> startMesh();
    Result<void> startStorage();
    Result<void> startListeners();
    Result<std::unique_ptr<HttpServer>> listen(const std::string &address,
                                               std::uint32_t maxConnections, HttpHandler handler);
    bool sendMessage(PeerMessage message, const HostId &to);
    bool send(const HostId &to, PeerBody body);
    void sendTo(const std::vector<HostId> &hosts, const PeerBody &body);
    void countSent(const PeerBody &body, std::size_t messages, std::size_t bytes);
    void receive(const HostId &from, PeerMessage message);
    void takeView(const FleetView &pushed);
    /// Takes a change of the view held, from the leader or made by this host itself.
    void takeChange(const FleetChange &change);
    /// `parsed`: the same routes, when this host has parsed them already.
    void takeRoutes(const RoutesPush &push, std::shared_ptr<const RouteTable> parsed = nullptr);
    void takeBeat(const HostId &from, const LeaderBeat &beat);
    /// Tells the parts of a view that is newer than the one before.
    void viewUpdated(const HostId &formerLeader, const FleetChange *change);
    void peerConnected(const HostId &peer);
    void peerDisconnected(const HostId &peer);
    /// Storage hosts that this one may report to.
    [[nodiscard]] std::vector<ParentCandidate> parentCandidates() const;
    /// Hosts that this one must reach: not every other one.
    [[nodiscard]] std::set<HostId> neededPeers() const;
    void keepPeers();
    void dial(const HostId &host);
    [[nodiscard]] Milliseconds leaderAge() const;
    void report();
    [[nodiscard]] FleetStatus status() const;
    void answerOperators(const HttpRequest &request, HttpResponder &responder) const;
    void tick();

    boost::asio::io_context &context;
    FleetSettings settings;
    FleetFace face;
    Clock clock = systemClock();
    RandomSource random = systemRandom();
    Metrics metrics;
    Timers timers;
    Supervisor supervisor;
    std::unique_ptr<HttpClient> client;
    ControlClient control;
    FleetView view;
    CrashSuspectCache crashes{clock, settings.host};
    RoutesFreshness freshness{clock};
    std::uint64_t routesVersion = 0;
    std::set<HostId> connected;
    ParentCandidates candidates;
    ParentChoice parent;
    bool needsWholeView = false; ///< A change did not fit.
    MonotonicTime leaderHeardAt; ///< Last word of the leader, as far as the parent knows.
    MonotonicTime nextPeerCheck;
    std::map<HostId, MonotonicTime> peers; ///< Dialled, and when each was needed last.
    std::map<HostId, MonotonicTime> dialAt; ///< Needed, not dialled yet.
    HostId reportedTo; ///< The parent that had the last report.
    MonotonicTime behindSince; ///< Since when the parent has had a newer view.
    std::unique_ptr<GatewayRole> gateway;
    std::unique_ptr<StorageRole> storage;
    std::unique_ptr<Mesh> mesh;
    std::shared_ptr<CallerMemory> callerMemory
        = makeReportedCallerMemory(settings.callerMemoryBytes, metrics); ///< Of all listeners.
    std::unique_ptr<HttpServer> callers;
    std::vector<std::unique_ptr<HttpServer>> listeners;
    bool stopping = false;
    int exitCode = 0;
};

} // namespace persimmonlb
