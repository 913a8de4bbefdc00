#include "persimmonlb/fleetnode/fleetnode.h"

#include <exception>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/base/metrics.h"
#include "persimmonlb/daemon/programarguments.h"
#include "persimmonlb/daemon/supervisor.h"
#include "persimmonlb/daemon/timers.h"
#include "persimmonlb/http/client.h"
#include "persimmonlb/http/server.h"
#include "persimmonlb/wire/mesh.h"

namespace persimmonlb
{

namespace
{

constexpr Milliseconds tickInterval{20};
/// For calls that a storage host has read to be answered before it stops.
constexpr Milliseconds storeLinger{400};
/// Callers use a connection again until just before the idle time that they are told of, and a host
/// that stood still must not blame them for it.
constexpr Milliseconds idleMargin{5000};
/// Hosts that start together must find each other before the first election.
constexpr Milliseconds meshReconnect{100};
constexpr Milliseconds reportInterval{300}; ///< A fifth of the silence that drops an entry host.
/// Ten round trips between zones; a server that does not answer a connection is dark.
constexpr Milliseconds serverConnectTimeout{250};
/// Servers that say nothing of it close idle connections after some ten seconds.
constexpr Milliseconds serverIdleTimeout{4000};
/// Operators and callers of bulk jobs go on to another host after a second.
constexpr Milliseconds commandAttempt{300};
constexpr Milliseconds commandDeadline{2500};

constexpr const char *statusTarget = "/v1/fleet"; ///< At the metrics address.

// Names of the supervisor's children.
constexpr const char *gatewayChild = "gateway";
constexpr const char *storageChild = "storage";
constexpr const char *loopChild = "loop"; ///< Work of the context that belongs to no part.

bool isOfGateway(const PeerBody &body)
{
    return std::holds_alternative<SlotGrant>(body) || std::holds_alternative<SlotRefusal>(body)
        || std::holds_alternative<LeaderBeat>(body);
}

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
    options.deadline = commandDeadline;
    return options;
}

} // namespace

struct FleetNode::Parts {
    Parts(boost::asio::io_context &usedContext, FleetSettings usedSettings)
        : context(usedContext)
        , settings(std::move(usedSettings))
        , timers(context)
        , supervisor("node", RestartLimit{}, clock, [this](const std::string &why) { fail(why); })
        , client(HttpClient::create(context, clientOptions()))
        , control(controlOptions(settings), clock, random,
                  [this](const HostId &to, PeerBody body) { return send(to, std::move(body)); })
    {
    }

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
            .later
            = [this](std::function<void()> fn) { boost::asio::post(context, std::move(fn)); },
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
            .sendToMember =
                [this](const HostId &from, const HostId &to, PeerBody body) {
                    return sendMessage(PeerMessage{defaultGroup, std::move(body), from, to},
                                       hostOfMember(to));
                },
            .send = [this](const HostId &to, PeerBody body) { return send(to, std::move(body)); },
            .sendToAll = [this](const PeerBody &body) { sendToAll(body); },
            .post = [this](std::function<void()> fn) { boost::asio::post(context, std::move(fn)); },
            .after = [this](Milliseconds delay,
                            std::function<void()> fn) { timers.after(delay, std::move(fn)); },
            .lastView = [this]() -> const FleetView & {
                return view;
            }});
    }
}

bool FleetNode::Parts::sendMessage(PeerMessage message, const HostId &to)
{
    if (to == settings.host) {
        boost::asio::post(context, [this, message = std::move(message)]() mutable {
            supervisor.guard(loopChild, [&] { receive(settings.host, std::move(message)); });
        });
        return true;
    }
    if (!mesh || !connected.contains(to)) {
        return false;
    }
    std::string bytes = encodeMessage(message);
    metrics.count("persimmonlb_mesh_sent_messages_total", {});
    metrics.count("persimmonlb_mesh_sent_bytes_total", {}, bytes.size());
    return mesh->send(to, std::move(bytes));
}

bool FleetNode::Parts::send(const HostId &to, PeerBody body)
{
    return sendMessage(PeerMessage{defaultGroup, std::move(body), {}, {}}, hostOfMember(to));
}

void FleetNode::Parts::sendToAll(const PeerBody &body)
{
    const std::string bytes = encodeMessage(PeerMessage{defaultGroup, body, {}, {}});
    for (const HostId &host : connected) {
        mesh->send(host, bytes);
    }
    metrics.count("persimmonlb_mesh_sent_messages_total", {}, connected.size());
    metrics.count("persimmonlb_mesh_sent_bytes_total", {}, bytes.size() * connected.size());
    send(settings.host, body);
}

void FleetNode::Parts::receive(const HostId &from, PeerMessage message)
{
    PeerBody &body = message.body;
    if (auto *reply = std::get_if<ControlReply>(&body)) {
        reply->leader = hostOfMember(reply->leader);
        control.receive(from, *reply);
        return;
    }
    if (const auto *pushed = std::get_if<FleetView>(&body)) {
        takeView(*pushed);
        return;
    }
    if (const auto *pushed = std::get_if<RoutesPush>(&body)) {
        takeRoutes(*pushed);
        return;
    }
    if (const auto *pushed = std::get_if<CrashSuspects>(&body)) {
        crashes.take(*pushed);
        return;
    }
    if (isOfGateway(body)) {
        supervisor.guard(gatewayChild, [&] { gateway->receive(from, body); });
        return;
    }
    supervisor.guard(storageChild,
                     [&] { storage->receive(from, message.fromMember, message.toMember, body); });
}

void FleetNode::Parts::takeView(const FleetView &pushed)
{
    if (std::pair(pushed.term, pushed.version) <= std::pair(view.term, view.version)) {
        return;
    }
    const bool newLeader = pushed.leader != view.leader;
    view = pushed;
    std::vector<HostId> stores;
    for (const FleetStore &store : view.stores) {
        stores.push_back(store.host);
        if (store.host != settings.host && mesh) {
            mesh->addPeer(MeshPeer{store.host, store.meshAddress});
        }
    }
    if (newLeader) {
        LogLine(LogLevel::Info, "leader_changed")
            .add("leader", view.leader.value)
            .add("term", static_cast<std::int64_t>(view.term))
            .write();
    }
    control.setControlHosts(std::move(stores));
    control.noteLeader(view.leader);
    if (gateway) {
        gateway->viewChanged(view);
    }
}

void FleetNode::Parts::takeRoutes(const RoutesPush &push)
{
    if (push.version <= routesVersion) {
        return;
    }
    Outcome<RouteTable> parsed = face.parseRoutes(push.text);
    if (!parsed.ok()) {
        LogLine(LogLevel::Error, "routes_unreadable")
            .add("version", static_cast<std::int64_t>(push.version))
            .add("why", parsed.error().message)
            .write();
        return;
    }
    routesVersion = push.version;
    LogLine(LogLevel::Info, "routes_in_force")
        .add("version", static_cast<std::int64_t>(push.version))
        .add("routes", static_cast<std::int64_t>(parsed.value().routes().size()))
        .write();
    if (callers) {
        const CallerLimits &limits = parsed.value().limits();
        callers->setLimits(HttpServerLimits{.maxBodyBytes = limits.maxBodyBytes,
                                            .maxHeaderBytes = limits.maxHeaderBytes,
                                            .headerTimeout = limits.headerTimeout + idleMargin,
                                            .idleTimeout = limits.idleTimeout + idleMargin});
    }
    if (gateway) {
        gateway->routesChanged(std::make_shared<const RouteTable>(std::move(parsed.value())));
    }
}

void FleetNode::Parts::connectTo(const std::vector<HostId> &hosts)
{
    for (const HostId &host : hosts) {
        if (host != settings.host) {
            mesh->addPeer(MeshPeer{host, host.value + ":" + std::to_string(settings.meshPort)});
        }
    }
}

void FleetNode::Parts::report()
{
    HostReport report;
    report.name = settings.name;
    report.meshAddress = settings.meshListen;
    report.availabilityZone = settings.availabilityZone;
    report.region = settings.region;
    report.routesVersion = routesVersion;
    report.viewTerm = view.term;
    report.viewVersion = view.version;
    if (gateway) {
        report.draining = gateway->isDraining();
        report.address = gateway->routes() ? settings.callerListen : std::string();
    }
    if (storage) {
        storage->fillReport(report);
    }
    sendToAll(report);
}

Result<void> FleetNode::Parts::startMesh()
{
    MeshOptions options;
    options.self = settings.host;
    options.listenAddress = settings.meshListen;
    options.sharedKey = settings.meshKey;
    options.reconnectInterval = meshReconnect;
    MeshHooks hooks;
    hooks.post = [this](std::function<void()> fn) {
        boost::asio::post(context, std::move(fn));
    };
    hooks.received = [this](const HostId &from, const std::string &bytes) {
        Outcome<PeerMessage> message = decodeMessage(bytes);
        if (!message.ok()) {
            metrics.count("persimmonlb_mesh_undecodable_total", {});
            LogLine(LogLevel::Warning, "peer_message_undecodable")
                .add("from", from.value)
                .add("why", message.error().message)
                .write();
            return;
        }
        supervisor.guard(loopChild, [&] { receive(from, std::move(message.value())); });
    };
    hooks.connected = [this](const HostId &peer) {
        LogLine(LogLevel::Info, "peer_connected").add("peer", peer.value).write();
        connected.insert(peer);
        report();
    };
    hooks.disconnected = [this](const HostId &peer) {
        LogLine(LogLevel::Warning, "peer_disconnected").add("peer", peer.value).write();
        connected.erase(peer);
        supervisor.guard(gatewayChild, [&] { gateway->hostLost(peer); });
        supervisor.guard(storageChild, [&] { storage->hostLost(peer); });
    };
    BOOST_LEAF_ASSIGN(mesh, Mesh::start(std::move(options), std::move(hooks)));
    connectTo(seedHosts(settings));
    return {};
}

Result<std::unique_ptr<HttpServer>> FleetNode::Parts::listen(const std::string &address,
                                                             HttpHandler handler)
{
    HttpServerOptions options;
    options.farewell = face.farewell;
    return HttpServer::listen(context, address, std::move(options), std::move(handler));
}

Result<void> FleetNode::Parts::startListeners()
{
    const auto add
        = [this](const std::string &address, const HttpHandler &handler) -> Result<void> {
        if (address.empty()) {
            return {};
        }
        BOOST_LEAF_AUTO(server, listen(address, handler));
        listeners.push_back(std::move(server));
        return {};
    };
    if (gateway) {
        BOOST_LEAF_ASSIGN(callers, listen(settings.callerListen, face.callers));
        BOOST_LEAF_CHECK(add(settings.directoryListen, face.directory));
        BOOST_LEAF_CHECK(add(settings.readinessListen, face.readiness));
    }
    if (storage) {
        BOOST_LEAF_CHECK(add(settings.controlListen, face.control));
    }
    return add(settings.metricsListen,
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
    if (storage) {
        storage->fillStatus(status);
    }
    return status;
}

void FleetNode::Parts::answerOperators(const HttpRequest &request, HttpResponder &responder) const
{
    if (request.target == statusTarget) {
        responder.respond(HttpResponse{
            200, {{{"Content-Type", "application/json"}}}, formatFleetStatus(status())});
        return;
    }
    responder.respond(HttpResponse{200, {{{"Content-Type", "text/plain"}}}, metrics.text()});
}

void FleetNode::Parts::tick()
{
    control.tick();
    supervisor.guard(gatewayChild, [this] { gateway->tick(); });
    supervisor.guard(storageChild, [this] { storage->tick(); });
}

Result<void> FleetNode::Parts::startStorage()
{
    BOOST_LEAF_CHECK(storage->start());
    connectTo(storage->members());
    return {};
}

FleetNode::FleetNode(boost::asio::io_context &context, FleetSettings settings,
                     const std::function<FleetFace(FleetNode &)> &makeFace)
    : parts_(std::make_unique<Parts>(context, std::move(settings)))
{
    parts_->face = makeFace(*this);
    parts_->makeRoles();
    Supervisor &supervisor = parts_->supervisor;
    // Open requests outlive a failure of the gateway: it has no state that a restart would mend.
    const auto nothing = [] {
    };
    const auto nothingToStart = []() -> Result<void> {
        return {};
    };
    supervisor.add({loopChild, nothingToStart, nothing});
    if (parts_->storage) {
        supervisor.add({storageChild, [parts = parts_.get()] { return parts->startStorage(); },
                        [parts = parts_.get()] {
                            parts->storage->stop();
                        }});
    }
    if (parts_->gateway) {
        supervisor.add({gatewayChild, nothingToStart, nothing});
    }
}

FleetNode::~FleetNode()
{
    if (parts_->storage) {
        parts_->storage->stop();
    }
    parts_->mesh.reset();
}

Result<void> FleetNode::start()
{
    // Connections are made while the store opens.
    BOOST_LEAF_CHECK(parts_->startMesh());
    BOOST_LEAF_CHECK(parts_->supervisor.startAll());
    BOOST_LEAF_CHECK(parts_->startListeners());
    parts_->timers.every(tickInterval, [parts = parts_.get()] { parts->tick(); });
    parts_->timers.every(reportInterval, [parts = parts_.get()] { parts->report(); });
    LogLine(LogLevel::Info, "started")
        .add("host", parts_->settings.host.value)
        .add("name", parts_->settings.name)
        .add("callers", parts_->settings.takesCallers ? "yes" : "no")
        .add("stores", parts_->settings.stores ? "yes" : "no")
        .write();
    return {};
}

int FleetNode::run()
{
    while (true) {
        try {
            parts_->context.run();
            return parts_->exitCode;
        } catch (const std::exception &error) {
            parts_->supervisor.childFailed(loopChild, error.what());
        }
    }
}

void FleetNode::stop()
{
    const auto end = [parts = parts_.get()] {
        LogLine(LogLevel::Info, "stopped").write();
        parts->context.stop();
    };
    if (parts_->stopping) {
        end();
        return;
    }
    parts_->stopping = true;
    if (parts_->gateway) {
        parts_->gateway->beginDrain();
        parts_->report();
        return;
    }
    for (const auto &listener : parts_->listeners) {
        listener->stopListening();
        listener->closeIdleConnections();
    }
    parts_->timers.after(storeLinger, end);
}

void FleetNode::settingsChanged(const FleetSettings &settings)
{
    LogLine(LogLevel::Info, "settings_reloaded").write();
    startLogging(settings.logLevel);
}

FleetStatus FleetNode::status() const
{
    return parts_->status();
}

const FleetSettings &FleetNode::settings() const
{
    return parts_->settings;
}

GatewayRole *FleetNode::gateway() const
{
    return parts_->gateway.get();
}

StorageRole *FleetNode::storage() const
{
    return parts_->storage.get();
}

ControlClient &FleetNode::control() const
{
    return parts_->control;
}

const Clock &FleetNode::clock() const
{
    return parts_->clock;
}

} // namespace persimmonlb
