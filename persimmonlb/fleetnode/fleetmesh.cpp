// The half of FleetNode::Parts that speaks to other hosts.
#include <utility>

#include <boost/asio/post.hpp>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/peermessage.h"
#include "persimmonlb/fleetnode/internal/fleetparts.h"

namespace persimmonlb
{

namespace
{

/// Callers use a connection again until just before the idle time that they are told of, and a host
/// that stood still must not blame them for it.
constexpr Milliseconds idleMargin{5000};
/// Hosts that start together must find each other before the first election.
constexpr Milliseconds meshReconnect{100};

bool isOfGateway(const PeerBody &body)
{
    return std::holds_alternative<SlotGrant>(body) || std::holds_alternative<SlotRefusal>(body)
        || std::holds_alternative<LeaderBeat>(body);
}

} // namespace

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
        if (auto message = readPeerMessage(from, bytes, metrics)) {
            supervisor.guard(loopChild, [&] { receive(from, std::move(*message)); });
        }
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

} // namespace persimmonlb
