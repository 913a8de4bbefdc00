// The half of FleetNode::Parts that speaks to other hosts.
#include <utility>

#include <boost/asio/post.hpp>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/daemon/peermessage.h"
#include "persimmonlb/fleet/fleetchange.h"
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
    return std::holds_alternative<SlotGrant>(body) || std::holds_alternative<SlotRefusal>(body);
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
    countSent(message.body, 1, bytes.size());
    return mesh->send(to, std::move(bytes));
}

bool FleetNode::Parts::send(const HostId &to, PeerBody body)
{
    return sendMessage(PeerMessage{defaultGroup, std::move(body), {}, {}}, hostOfMember(to));
}

void FleetNode::Parts::sendTo(const std::vector<HostId> &hosts, const PeerBody &body)
{
    const std::string bytes = encodeMessage(PeerMessage{defaultGroup, body, {}, {}});
    std::size_t sent = 0;
    for (const HostId &host : hosts) {
        sent += connected.contains(host) && mesh->send(host, bytes) ? 1 : 0;
    }
    countSent(body, sent, bytes.size() * sent);
}

void FleetNode::Parts::countSent(const PeerBody &body, std::size_t messages, std::size_t bytes)
{
    const MetricLabels labels{{"kind", std::string(peerBodyName(body))}};
    metrics.count("persimmonlb_mesh_sent_messages_total", labels, messages);
    metrics.count("persimmonlb_mesh_sent_bytes_total", labels, bytes);
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
    if (const auto *pushed = std::get_if<FleetChange>(&body)) {
        takeChange(*pushed);
        return;
    }
    if (const auto *beat = std::get_if<LeaderBeat>(&body)) {
        takeBeat(from, *beat);
        return;
    }
    if (const auto *pushed = std::get_if<RoutesPush>(&body)) {
        takeRoutes(*pushed);
        return;
    }
    if (const auto *pushed = std::get_if<CrashSuspects>(&body)) {
        crashes.update(*pushed);
        supervisor.guard(storageChild, [&] { storage->passDown(body); });
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
    if (positionOf(pushed) <= positionOf(view)) {
        return;
    }
    const HostId former = view.leader;
    view = pushed;
    viewUpdated(former, nullptr);
}

void FleetNode::Parts::takeChange(const FleetChange &change)
{
    if (ViewPosition{change.term, change.version} <= positionOf(view)) {
        return;
    }
    const HostId former = view.leader;
    if (applyChange(view, change)) {
        viewUpdated(former, &change);
        return;
    }
    LogLine(LogLevel::Info, "view_change_missed")
        .add("term", static_cast<std::int64_t>(view.term))
        .add("version", static_cast<std::int64_t>(view.version))
        .add("change_term", static_cast<std::int64_t>(change.term))
        .add("change_version", static_cast<std::int64_t>(change.version))
        .write();
    const bool isFirst = !std::exchange(needsWholeView, true);
    if (isFirst) {
        report();
    }
}

void FleetNode::Parts::viewUpdated(const HostId &formerLeader, const FleetChange *change)
{
    needsWholeView = false;
    if (view.leader != formerLeader) {
        LogLine(LogLevel::Info, "leader_changed")
            .add("leader", view.leader.value)
            .add("term", static_cast<std::int64_t>(view.term))
            .add("version", static_cast<std::int64_t>(view.version))
            .add("stores", static_cast<std::int64_t>(view.stores.size()))
            .add("voters", static_cast<std::int64_t>(votersOf(view).size()))
            .write();
        leaderHeardAt = clock.monotonic();
        if (settings.stores) {
            // It may have been left while it knew of no leader either.
            parent.giveNewTrial(view.leader);
        }
    }
    control.setControlHosts(votersOf(view));
    control.noteLeader(view.leader);
    const bool moved = view.leader != formerLeader || change == nullptr || !change->stores.empty()
        || !change->goneStores.empty();
    if (moved) {
        candidates.viewChanged(view);
        keepPeers();
    }
    supervisor.guard(gatewayChild, [&] { gateway->viewChanged(); });
    supervisor.guard(storageChild, [&] { storage->viewChanged(change); });
    if (view.leader != formerLeader && gateway && connected.contains(view.leader)) {
        supervisor.guard(gatewayChild, [&] { gateway->leaderReached(view.leader); });
    }
}

void FleetNode::Parts::takeRoutes(const RoutesPush &push, std::shared_ptr<const RouteTable> parsed)
{
    if (push.version <= routesVersion) {
        return;
    }
    if (gateway && !parsed) {
        Outcome<RouteTable> read = face.parseRoutes(push.text);
        if (!read.ok()) {
            LogLine(LogLevel::Error, "routes_unreadable")
                .add("version", static_cast<std::int64_t>(push.version))
                .add("why", read.error().message)
                .write();
            return;
        }
        parsed = std::make_shared<const RouteTable>(std::move(read.value()));
    }
    routesVersion = push.version;
    freshness.setVersion(push.version);
    LogLine(LogLevel::Info, "routes_in_force")
        .add("version", static_cast<std::int64_t>(push.version))
        .add("bytes", static_cast<std::int64_t>(push.text.size()))
        .write();
    // A host that takes no callers only passes the text on.
    if (callers && parsed) {
        const CallerLimits &limits = parsed->limits();
        callers->setLimits(HttpServerLimits{.maxBodyBytes = limits.maxBodyBytes,
                                            .maxHeaderBytes = limits.maxHeaderBytes,
                                            .headerTimeout = limits.headerTimeout + idleMargin,
                                            .idleTimeout = limits.idleTimeout + idleMargin});
    }
    if (gateway) {
        gateway->routesChanged(std::move(parsed));
    }
    supervisor.guard(storageChild, [&] { storage->routesChanged(push); });
}

Result<void> FleetNode::Parts::startMesh()
{
    MeshOptions options;
    options.self = settings.host;
    options.listenAddress = settings.meshListen;
    options.sharedKey = settings.meshKey;
    options.reconnectInterval = meshReconnect;
    options.maxUnprovedConnections = connectionLimits(settings).mesh;
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
        peerConnected(peer);
    };
    hooks.disconnected = [this](const HostId &peer) {
        peerDisconnected(peer);
    };
    BOOST_LEAF_ASSIGN(mesh, Mesh::start(std::move(options), std::move(hooks)));
    keepPeers();
    return {};
}

} // namespace persimmonlb
