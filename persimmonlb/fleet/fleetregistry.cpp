#include "persimmonlb/fleet/fleetregistry.h"

#include <algorithm>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

/// The parts of an announcement that others act on.
bool sameForOthers(FleetServer left, const FleetServer &right)
{
    left.sequence = right.sequence;
    return left == right;
}

void logServer(const char *event, const FleetServer &server)
{
    LogLine(LogLevel::Info, event)
        .add("server", server.id.value)
        .add("service", server.service.value)
        .add("address", server.address)
        .add("born", static_cast<std::int64_t>(server.bornMs))
        .add("sequence", static_cast<std::int64_t>(server.sequence))
        .add("draining", server.draining ? "yes" : "no")
        .write();
}

} // namespace

FleetRegistry::FleetRegistry(FleetRegistryOptions options, Clock clock)
    : options_(options)
    , clock_(std::move(clock))
    , ended_(options.ended, clock_)
{
}

bool FleetRegistry::serverLeaves(const ServerLeaving &leaving)
{
    const bool isNew = leaving_.note(leaving.server, leaving.bornMs);
    const auto known = servers_.find(leaving.server);
    if (known == servers_.end() || known->second.info.bornMs != leaving.bornMs
        || known->second.info.draining) {
        return isNew;
    }
    return markDraining(known->second.info);
}

bool FleetRegistry::markDraining(FleetServer &server)
{
    if (server.draining) {
        return false;
    }
    server.draining = true;
    ++version_;
    logServer("server_leaves", server);
    return true;
}

bool FleetRegistry::setLimit(const ServerLimit &limit)
{
    const auto known = servers_.find(limit.server);
    if (known == servers_.end() || known->second.info.bornMs != limit.bornMs
        || known->second.info.requestsPerKs == limit.requestsPerKs) {
        return false;
    }
    known->second.info.requestsPerKs = limit.requestsPerKs;
    ++version_;
    LogLine(LogLevel::Info, "server_limit_changed")
        .add("server", limit.server.value)
        .add("born", static_cast<std::int64_t>(limit.bornMs))
        .add("requests_per_ks", static_cast<std::int64_t>(limit.requestsPerKs))
        .write();
    return true;
}

bool FleetRegistry::announce(const FleetServer &announced)
{
    if (ended_.refuses(announced)) {
        return false;
    }
    FleetServer server = announced;
    server.draining = server.draining || leaving_.contains(server.id, server.bornMs);
    if (server.draining) {
        // Holds although the server may fall silent and be dropped before a late announcement.
        leaving_.note(server.id, server.bornMs);
    }
    const auto known = servers_.find(server.id);
    if (known != servers_.end()) {
        FleetServer &info = known->second.info;
        const auto order = std::pair(server.bornMs, server.sequence);
        if (server.bornMs < info.bornMs) {
            // Holds although the later start may fall silent and be dropped.
            ended_.record(server.id, server.bornMs);
            return false;
        }
        if (order <= std::pair(info.bornMs, info.sequence)) {
            return server.draining && markDraining(info);
        }
        if (!takeAddress(server)) {
            return false;
        }
        if (info.bornMs < server.bornMs) {
            ended_.record(server.id, info.bornMs);
        }
        // A server names its limit in responses only.
        server.requestsPerKs = server.bornMs == info.bornMs ? info.requestsPerKs : 0;
        known->second.heardAt = clock_.monotonic();
        if (!sameForOthers(info, server)) {
            ++version_;
            logServer("server_changed", server);
        }
        info = server;
        return true;
    }
    if (!takeAddress(server)) {
        return false;
    }
    servers_.emplace(server.id, Server{server, clock_.monotonic()});
    ++version_;
    logServer("server_joined", server);
    return true;
}

bool FleetRegistry::takeAddress(const FleetServer &server)
{
    for (const auto &[id, other] : servers_) {
        if (id == server.id || other.info.address != server.address) {
            continue;
        }
        if (other.info.bornMs >= server.bornMs) {
            return false;
        }
        const FleetServer former = other.info;
        endLife(former);
        return true;
    }
    return true;
}

void FleetRegistry::endLife(const FleetServer &server)
{
    ended_.record(server.id, server.bornMs);
    servers_.erase(server.id);
    ++version_;
    logServer("server_ended", server);
}

void FleetRegistry::serverGone(const ServerId &id)
{
    const auto known = servers_.find(id);
    if (known != servers_.end()) {
        const FleetServer info = known->second.info;
        endLife(info);
        ended_.recordCall(id, info.bornMs);
        return;
    }
    if (ended_.isEndedByCall(id)) {
        return;
    }
    // Unknown here, for example since the former leader alone had heard of it: a start before now
    // has ended.
    const auto wall = std::chrono::duration_cast<Milliseconds>(clock_.wall().time_since_epoch());
    ended_.recordCall(id, static_cast<std::uint64_t>(std::max<std::int64_t>(0, wall.count())));
    ++version_;
    LogLine(LogLevel::Info, "unknown_server_ended")
        .add("server", id.value)
        .add("born_before", wall.count())
        .write();
}

void FleetRegistry::report(const HostId &from, const HostReport &report)
{
    if (report.member.empty()) {
        return;
    }
    const MonotonicTime now = clock_.monotonic();
    ReportedStore &known = stores_[from];
    const FleetStore store{.host = from,
                           .name = report.name,
                           .meshAddress = report.meshAddress,
                           .controlAddress = report.controlAddress,
                           .availabilityZone = report.availabilityZone};
    version_ += known.store == store && known.listed ? 0 : 1;
    known = ReportedStore{.store = store,
                          .member = report.member,
                          .unused = report.unused,
                          .heardAt = now,
                          .listed = true,
                          .listedAt = now};
}

void FleetRegistry::attach(const HostId &parent, const AttachedHosts &hosts)
{
    std::set<HostId> named;
    for (const FleetEntry &info : hosts.entries) {
        named.insert(info.host);
        Entry &entry = entries_[info.host];
        entry.parents.insert(parent);
        if (entry.info != info) {
            entry.info = info;
            ++version_;
        }
    }
    for (const HostId &host : hosts.gone) {
        detach(host, parent);
    }
    if (!hosts.whole) {
        return;
    }
    std::vector<HostId> missing;
    for (const auto &[host, entry] : entries_) {
        if (entry.parents.contains(parent) && !named.contains(host)) {
            missing.push_back(host);
        }
    }
    for (const HostId &host : missing) {
        detach(host, parent);
    }
}

void FleetRegistry::detach(const HostId &entry, const HostId &parent)
{
    const auto found = entries_.find(entry);
    if (found == entries_.end() || found->second.parents.erase(parent) == 0
        || !found->second.parents.empty()) {
        return;
    }
    entries_.erase(found);
    ++version_;
}

void FleetRegistry::hostLost(const HostId &host)
{
    for (auto &[id, entry] : entries_) {
        if (entry.parents.erase(host) > 0 && entry.parents.empty()) {
            entry.orphanSince = clock_.monotonic();
        }
    }
}

void FleetRegistry::adopt(const FleetView &view)
{
    const MonotonicTime now = clock_.monotonic();
    for (const FleetServer &server : view.servers) {
        if (server.draining) {
            // Perhaps known from an answer alone, while the server still announces itself as ready.
            leaving_.note(server.id, server.bornMs);
        }
        const auto known = servers_.find(server.id);
        if (known == servers_.end()
            || std::pair(known->second.info.bornMs, known->second.info.sequence)
                < std::pair(server.bornMs, server.sequence)) {
            servers_[server.id] = Server{server, now};
        } else if (known->second.info.bornMs == server.bornMs) {
            known->second.info.requestsPerKs = server.requestsPerKs;
        }
    }
    std::set<ServerId> named;
    for (const FleetServer &server : view.servers) {
        named.insert(server.id);
    }
    for (auto &[id, server] : servers_) {
        server.heardAt = now;
    }
    std::erase_if(servers_, [&named](const auto &entry) { return !named.contains(entry.first); });
    for (const FleetStore &store : view.stores) {
        ReportedStore &known = stores_[store.host];
        known.store = known.member.empty() ? store : known.store;
        known.listed = true;
        known.listedAt = now;
    }
    entries_.clear();
    for (const FleetEntry &info : view.entries) {
        entries_.emplace(info.host, Entry{.info = info, .parents = {}, .orphanSince = now});
    }
    ++version_;
}

void FleetRegistry::adoptEnds(const FleetView &saved)
{
    // What this host noted as an earlier leader may have been corrected by a later one, and what
    // was acknowledged is in the log.
    ended_.clear();
    for (const ServerProcess &ended : saved.endedServers) {
        ended_.record(ended.server, ended.bornMs);
    }
    for (const FleetServer &server : saved.servers) {
        if (server.draining) {
            leaving_.note(server.id, server.bornMs);
        }
        const auto known = servers_.find(server.id);
        if (known != servers_.end() && known->second.info.bornMs < server.bornMs) {
            known->second = Server{server, clock_.monotonic()};
        }
    }
    std::erase_if(servers_, [this](const auto &entry) {
        return ended_.contains(entry.first, entry.second.info.bornMs);
    });
    for (auto &[id, server] : servers_) {
        server.info.draining = server.info.draining || leaving_.contains(id, server.info.bornMs);
    }
    ++version_;
}

void FleetRegistry::tick()
{
    const MonotonicTime now = clock_.monotonic();
    dropSilentServers();
    unlistSilentStores();
    ended_.tick();
    version_ += std::erase_if(entries_, [&](const auto &entry) {
        return entry.second.parents.empty()
            && now - entry.second.orphanSince > options_.orphanSilence;
    });
}

void FleetRegistry::dropSilentServers()
{
    const MonotonicTime now = clock_.monotonic();
    std::vector<FleetServer> silent;
    for (const auto &[id, server] : servers_) {
        if (now - server.heardAt > options_.serverSilence) {
            silent.push_back(server.info);
        }
    }
    for (const FleetServer &server : silent) {
        servers_.erase(server.id);
        ++version_;
        logServer("server_silent", server);
    }
}

void FleetRegistry::unlistSilentStores()
{
    const MonotonicTime now = clock_.monotonic();
    for (auto &[host, store] : stores_) {
        if (!store.listed || now - store.listedAt <= options_.storeSilence) {
            continue;
        }
        store.listed = false;
        ++version_;
        // A host that stands still keeps its connections.
        hostLost(host);
    }
}

std::vector<FleetServer> FleetRegistry::servers() const
{
    std::vector<FleetServer> result;
    for (const auto &[id, server] : servers_) {
        result.push_back(server.info);
    }
    return result;
}

std::vector<ServerProcess> FleetRegistry::endedServers() const
{
    return ended_.all();
}

std::vector<FleetEntry> FleetRegistry::entries() const
{
    std::vector<FleetEntry> result;
    for (const auto &[host, entry] : entries_) {
        result.push_back(entry.info);
    }
    return result;
}

std::vector<FleetStore> FleetRegistry::stores() const
{
    std::vector<FleetStore> result;
    for (const auto &[host, reported] : stores_) {
        if (reported.listed) {
            result.push_back(reported.store);
        }
    }
    return result;
}

const std::map<HostId, ReportedStore> &FleetRegistry::reportedStores() const
{
    return stores_;
}

std::uint64_t FleetRegistry::version() const
{
    return version_;
}

} // namespace persimmonlb
