#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "persimmonlb/base/metrics.h"
#include "persimmonlb/crashes/crashwatch.h"
#include "persimmonlb/daemon/supervisor.h"
#include "persimmonlb/daemon/timers.h"
#include "persimmonlb/fleetnode/fleetnode.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/wire/mesh.h"

namespace persimmonlb
{

// Names of the supervisor's children.
inline constexpr const char *gatewayChild = "gateway";
inline constexpr const char *storageChild = "storage";
inline constexpr const char *loopChild = "loop"; ///< Work of the context that belongs to no part.

struct FleetNode::Parts {
    Parts(boost::asio::io_context &usedContext, FleetSettings usedSettings);

    void makeRoles();
    void fail(const std::string &why);
    Result<void> startMesh();
    Result<void> startStorage();
    Result<void> startListeners();
    Result<std::unique_ptr<HttpServer>> listen(const std::string &address, HttpHandler handler);
    bool sendMessage(PeerMessage message, const HostId &to);
    bool send(const HostId &to, PeerBody body);
    void sendToAll(const PeerBody &body);
    void receive(const HostId &from, PeerMessage message);
    void takeView(const FleetView &view);
    void takeRoutes(const RoutesPush &push);
    void connectTo(const std::vector<HostId> &hosts);
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
    CrashWatch crashes{clock};
    std::uint64_t routesVersion = 0;
    std::set<HostId> connected;
    std::unique_ptr<GatewayRole> gateway;
    std::unique_ptr<StorageRole> storage;
    std::unique_ptr<Mesh> mesh;
    std::unique_ptr<HttpServer> callers;
    std::vector<std::unique_ptr<HttpServer>> listeners;
    bool stopping = false;
    int exitCode = 0;
};

} // namespace persimmonlb
