// The parts of a fleet node and what they serve.
#include "persimmonlb/fleetnode/internal/fleetparts.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/programarguments.h"

namespace persimmonlb
{

namespace
{

/// Ten round trips between zones; a server that does not answer a connection is dark.
constexpr Milliseconds serverConnectTimeout{250};
/// Servers that say nothing of it close idle connections after some ten seconds.
constexpr Milliseconds serverIdleTimeout{4000};
/// Operators and callers of bulk jobs go on to another host after a second.
constexpr Milliseconds commandAttempt{300};
constexpr Milliseconds peerCheckInterval{100};
constexpr const char *statusTarget = "/v1/fleet"; ///< At the metrics address.

HttpClientOptions clientOptions()
{
    HttpClientOptions options;
    options.connectTimeout = serverConnectTimeout;
    options.idleConnectionTimeout = serverIdleTimeout;
    return options;
}

ControlClientOptions controlOptions(const FleetSettings &settings)
{
    ControlClientOptions options;
    options.controlHosts = seedHosts(settings);
    options.attemptTimeout = commandAttempt;
    options.deadline = controlCallTimeout;
    return options;
}

} // namespace

FleetNode::Parts::Parts(boost::asio::io_context &usedContext, FleetSettings usedSettings)
    : context(usedContext)
    , settings(std::move(usedSettings))
    , timers(context)
    , supervisor("node", RestartLimit{}, clock, [this](const std::string &why) { fail(why); })
    , client(HttpClient::create(context, clientOptions()))
    , control(controlOptions(settings), clock, random,
              [this](const HostId &to, PeerBody body) { return send(to, std::move(body)); })
    , candidates({.self = settings.host,
                  .availabilityZone = settings.availabilityZone,
                  .stores = settings.stores,
                  .seeds = seedHosts(settings)})
    , parent(ParentChoiceOptions{}, settings.host, clock)
    , leaderHeardAt(clock.monotonic())
{
    parent.setCandidates(parentCandidates());
}

void FleetNode::Parts::fail(const std::string &why)
{
    LogLine(LogLevel::Error, "node_failed").add("why", why).write();
    exitCode = exitFailure;
    context.stop();
}

void FleetNode::Parts::makeRoles()
{
    if (settings.takesCallers) {
        gateway = std::make_unique<GatewayRole>(GatewayRoleDeps{
            .settings = settings,
            .face = face,
            .clock = clock,
            .random = random,
            .metrics = metrics,
            .client = *client,
            .crashes = crashes,
            .send = [this](const HostId &to, PeerBody body) { return send(to, std::move(body)); },
            .view = [this]() -> const FleetView & { return view; },
            .freshness = freshness,
            .later
            = [this](std::function<void()> fn) { boost::asio::post(context, std::move(fn)); },
            .closeAfterAnswers = [this] { callers->setCloseAfterAnswers(true); },
            .closeListener =
                [this] {
                    callers->stopListening();
                    callers->closeIdleConnections();
                },
            .listenerIdle
            = [this] { return callers->openRequests() == 0 && callers->openConnections() == 0; },
            .stopped =
                [this] {
                    LogLine(LogLevel::Info, "stopped").write();
                    context.stop();
                }});
    }
    if (settings.stores) {
        storage = std::make_unique<StorageRole>(StorageRoleDeps{
            .settings = settings,
            .face = face,
            .clock = clock,
            .random = random,
            .metrics = metrics,
            .client = *client,
            .crashes = crashes,
            .freshness = freshness,
            .sendToMember =
                [this](const HostId &from, const HostId &to, PeerBody body) {
                    return sendMessage(PeerMessage{defaultGroup, std::move(body), from, to},
                                       hostOfMember(to));
                },
            .send = [this](const HostId &to, PeerBody body) { return send(to, std::move(body)); },
            .sendToSome
            = [this](const std::vector<HostId> &to, const PeerBody &body) { sendTo(to, body); },
            .change = [this](const FleetChange &change) { takeChange(change); },
            .routesInForce =
                [this](const RoutesPush &push, std::shared_ptr<const RouteTable> table) {
                    takeRoutes(push, std::move(table));
                },
            .suspects = [this](const CrashSuspects &told) { crashes.update(told); },
            .leaderAge = [this] { return leaderAge(); },
            .post = [this](std::function<void()> fn) { boost::asio::post(context, std::move(fn)); },
            .after = [this](Milliseconds delay,
                            std::function<void()> fn) { timers.after(delay, std::move(fn)); },
            .lastView = [this]() -> const FleetView & {
                return view;
            }});
    }
}

Result<std::unique_ptr<HttpServer>> FleetNode::Parts::listen(const std::string &address,
                                                             std::uint32_t maxConnections,
                                                             HttpHandler handler)
{
    HttpServerOptions options;
    options.maxConnections = maxConnections;
    options.farewell = face.farewell;
    options.refusal = face.refusal;
    options.memory = callerMemory;
    return HttpServer::listen(context, address, std::move(options), std::move(handler));
}

Result<void> FleetNode::Parts::startListeners()
{
    const ConnectionLimits limits = connectionLimits(settings);
    const auto add = [this](const std::string &address, std::uint32_t maxConnections,
                            const HttpHandler &handler) -> Result<void> {
        if (address.empty()) {
            return {};
        }
        BOOST_LEAF_AUTO(server, listen(address, maxConnections, handler));
        listeners.push_back(std::move(server));
        return {};
    };
    if (gateway) {
        BOOST_LEAF_ASSIGN(callers, listen(settings.callerListen, limits.callers, face.callers));
        BOOST_LEAF_CHECK(add(settings.directoryListen, limits.others, face.directory));
        BOOST_LEAF_CHECK(add(settings.readinessListen, limits.others, face.readiness));
    }
    if (storage) {
        BOOST_LEAF_CHECK(add(settings.controlListen, limits.callers, face.control));
    }
    return add(settings.metricsListen, limits.others,
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   answerOperators(request, *responder);
               });
}

FleetStatus FleetNode::Parts::status() const
{
    FleetStatus status;
    status.host = settings.host;
    status.name = settings.name;
    status.routesVersion = routesVersion;
    status.view = view;
    status.parent = parent.parent();
    status.leaderAge = leaderAge();
    for (const FleetEntry &entry : view.entries) {
        ReportedHost known{entry.host, {}, std::nullopt};
        known.report.name = entry.name;
        known.report.address = entry.address;
        known.report.availabilityZone = entry.availabilityZone;
        known.report.draining = entry.draining;
        status.hosts.push_back(std::move(known));
    }
    for (const FleetStore &store : view.stores) {
        ReportedHost known{store.host, {}, std::nullopt};
        known.report.name = store.name;
        known.report.availabilityZone = store.availabilityZone;
        status.hosts.push_back(std::move(known));
    }
    if (storage) {
        storage->fillStatus(status);
    }
    return status;
}

void FleetNode::Parts::answerOperators(const HttpRequest &request, HttpResponder &responder) const
{
    if (request.target == statusTarget) {
        responder.respond(
            answerRead("application/json", [this] { return formatFleetStatus(status()); }));
        return;
    }
    responder.respond(answerRead("text/plain", [this] { return metrics.text(); }));
}

void FleetNode::Parts::tick()
{
    control.tick();
    reportCallerMemory(*callerMemory, metrics);
    if (parent.tick()) {
        keepPeers();
        report();
    }
    if (clock.monotonic() >= nextPeerCheck) {
        nextPeerCheck = clock.monotonic() + peerCheckInterval;
        keepPeers();
    }
    supervisor.guard(gatewayChild, [this] { gateway->tick(); });
    supervisor.guard(storageChild, [this] { storage->tick(); });
}

Result<void> FleetNode::Parts::startStorage()
{
    BOOST_LEAF_CHECK(storage->start());
    keepPeers();
    return {};
}

} // namespace persimmonlb
