// The half of FleetNode::Parts that chooses whom this host reports to and is connected with.
#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

#include "persimmonlb/base/logline.h"
#include "persimmonlb/fleet/fleetchange.h"
#include "persimmonlb/fleetnode/internal/fleetparts.h"

namespace persimmonlb
{

namespace
{

/// A connection that is not needed any more is kept for so long: a former parent must not take this
/// host for lost before the next one has named it.
constexpr Milliseconds peerLinger{3000};
/// For each entry host of the fleet: within this time all of them connect to a new leader. A
/// connection costs each end about half a millisecond of a processor that is shared.
constexpr std::chrono::microseconds dialSpread{1500};
/// A parent that has had a newer view for so long did not send it all.
constexpr Milliseconds viewLag{2000};

} // namespace

// ---- the parent --------------------------------------------------------------------------------

void FleetNode::Parts::takeBeat(const HostId &from, const LeaderBeat &beat)
{
    const Milliseconds age(static_cast<std::int64_t>(beat.ageMs));
    freshness.confirm(beat.echoedStamp, beat.provenVersion,
                      Milliseconds(static_cast<std::int64_t>(beat.proofAgeMs)));
    parent.heard(from, age);
    if (from == parent.parent()) {
        const MonotonicTime now = clock.monotonic();
        leaderHeardAt = std::max(leaderHeardAt, now - age);
        if (ViewPosition{beat.term, beat.version} <= positionOf(view)) {
            behindSince = now;
        }
        needsWholeView = needsWholeView || now - behindSince > viewLag;
    }
    if (from == view.leader) {
        supervisor.guard(gatewayChild, [&] { gateway->leaderReached(from); });
    }
}

Milliseconds FleetNode::Parts::leaderAge() const
{
    if (storage && storage->isLeader()) {
        return Milliseconds(0);
    }
    return std::chrono::duration_cast<Milliseconds>(clock.monotonic() - leaderHeardAt);
}

std::vector<ParentCandidate> FleetNode::Parts::parentCandidates() const
{
    if (storage && storage->isLeader()) {
        return {};
    }
    return candidates.of(view, storage ? storage->members() : std::vector<HostId>());
}

std::set<HostId> FleetNode::Parts::neededPeers() const
{
    std::set<HostId> needed{parent.parent(), view.leader};
    if (storage) {
        for (const auto &hosts : {votersOf(view), storage->members(), seedHosts(settings)}) {
            needed.insert(hosts.begin(), hosts.end());
        }
    }
    needed.erase(HostId());
    needed.erase(settings.host);
    return needed;
}

void FleetNode::Parts::keepPeers()
{
    if (!mesh) {
        return;
    }
    const bool otherParent = parent.setCandidates(parentCandidates());
    const MonotonicTime now = clock.monotonic();
    const std::set<HostId> needed = neededPeers();
    std::erase_if(dialAt, [&](const auto &entry) { return !needed.contains(entry.first); });
    for (const HostId &host : needed) {
        if (peers.contains(host)) {
            peers[host] = now;
            continue;
        }
        if (settings.stores || host == parent.parent()) {
            dial(host);
            continue;
        }
        // Not every entry host at once: the new leader has the fleet to take over.
        const auto spread = static_cast<std::uint64_t>(
            std::max<std::int64_t>(1, (dialSpread * view.entries.size()).count()));
        const std::chrono::microseconds wait(static_cast<std::int64_t>(random() % spread));
        const auto due = dialAt.emplace(host, now + wait).first;
        if (now >= due->second) {
            dial(host);
        }
    }
    for (auto position = peers.begin(); position != peers.end();) {
        if (now - position->second <= peerLinger) {
            ++position;
            continue;
        }
        mesh->removePeer(position->first);
        position = peers.erase(position);
    }
    if (otherParent) {
        report();
    }
}

void FleetNode::Parts::dial(const HostId &host)
{
    dialAt.erase(host);
    peers[host] = clock.monotonic();
    mesh->addPeer({.host = host,
                   .address = host.value + ":" + std::to_string(settings.meshPort),
                   .dialsBack = settings.stores});
}

void FleetNode::Parts::report()
{
    HostReport report;
    if (settings.customers.failClosed) {
        report.stamp = freshness.stamp();
    }
    report.name = settings.name;
    report.meshAddress = settings.meshListen;
    report.availabilityZone = settings.availabilityZone;
    report.region = settings.region;
    report.routesVersion = routesVersion;
    if (!needsWholeView) {
        report.viewTerm = view.term;
        report.viewVersion = view.version;
    }
    if (gateway) {
        report.draining = gateway->isDraining();
        report.address = gateway->routes() ? settings.callerListen : std::string();
    }
    if (storage) {
        storage->fillReport(report);
        // What leads, or takes callers beside, hears itself like any other host.
        send(settings.host, report);
    }
    const HostId &to = parent.parent();
    if (to != reportedTo) {
        if (!reportedTo.empty()) {
            HostReport last = report;
            last.leaving = true;
            send(reportedTo, last);
        }
        reportedTo = to;
        behindSince = clock.monotonic();
    }
    if (!to.empty()) {
        send(to, report);
    }
}

void FleetNode::Parts::peerConnected(const HostId &peer)
{
    connected.insert(peer);
    if (peer == view.leader) {
        if (settings.stores) {
            parent.giveNewTrial(peer);
        }
        supervisor.guard(gatewayChild, [&] { gateway->leaderReached(peer); });
    }
    supervisor.guard(storageChild, [&] { storage->hostConnected(peer); });
    if (peer == parent.parent()) {
        report();
    }
}

void FleetNode::Parts::peerDisconnected(const HostId &peer)
{
    connected.erase(peer);
    parent.lost(peer);
    supervisor.guard(gatewayChild, [&] { gateway->hostLost(peer); });
    supervisor.guard(storageChild, [&] { storage->hostLost(peer); });
}

} // namespace persimmonlb
