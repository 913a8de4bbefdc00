#include "persimmonlb/slots/slotbroker.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "persimmonlb/base/logline.h"

namespace persimmonlb
{

namespace
{

constexpr double holdSmoothing = 0.1; ///< Weight of the newest observation.

} // namespace

SlotBroker::SlotBroker(SlotBrokerOptions options, Clock clock, RandomSource random,
                       SlotBrokerHooks hooks)
    : options_(std::move(options))
    , clock_(std::move(clock))
    , random_(std::move(random))
    , hooks_(std::move(hooks))
{
}

void SlotBroker::setServers(const std::vector<FleetServer> &servers,
                            const std::function<SlotCapacity(const ServiceName &)> &capacityOf)
{
    std::map<ServerId, Server> next;
    for (const FleetServer &info : servers) {
        const auto known = servers_.find(info.id);
        const bool sameLife = known != servers_.end() && known->second.info.bornMs == info.bornMs
            && known->second.info.address == info.address;
        Server server = sameLife ? std::move(known->second) : Server();
        server.info = info;
        server.capacity = capacityOf(info.service);
        next.emplace(info.id, std::move(server));
        services_.try_emplace(info.service);
    }
    servers_ = std::move(next);
    std::erase_if(held_,
                  [this](const auto &entry) { return !servers_.contains(entry.second.server); });
    for (auto &[name, service] : services_) {
        service.servers.clear();
        service.grants.clear();
    }
    for (auto &[id, server] : servers_) {
        services_[server.info.service].servers.push_back(&server);
    }
    for (const auto &[ticket, held] : held_) {
        noteGrant(servers_.at(held.server), held.grantedAt);
    }
    for (const auto &[name, service] : services_) {
        serveQueue(name);
    }
}

void SlotBroker::reset()
{
    for (auto &[id, server] : servers_) {
        server.online = 0;
        server.batch = 0;
        server.tokens = 0;
    }
    held_.clear();
    for (auto &[name, service] : services_) {
        service.queue.clear();
        service.holdMs = 0;
        service.grants.clear();
    }
    queued_ = 0;
}

void SlotBroker::noteLoad(const ServerId &server, std::uint32_t requests)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    Server &known = found->second;
    notePeak(known);
    const std::uint32_t ours = std::max(known.peak, known.peakBefore);
    known.foreign = requests > ours ? requests - ours : 0;
    known.foreignUntil = clock_.monotonic() + options_.foreignMemory;
}

void SlotBroker::noteForeignEnd(const ServerId &server)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.foreign == 0) {
        return;
    }
    --found->second.foreign;
    serveQueue(found->second.info.service);
}

void SlotBroker::notePeak(Server &server)
{
    const MonotonicTime now = clock_.monotonic();
    const std::uint32_t ours = server.online + server.batch;
    const auto since = now - server.peakSince;
    if (since > options_.loadAge) {
        server.peakBefore = since > 2 * options_.loadAge ? 0 : server.peak;
        server.peak = 0;
        server.peakSince = now;
    }
    server.peak = std::max(server.peak, ours);
}

void SlotBroker::request(const HostId &from, const SlotRequest &request)
{
    Service &service = services_[request.service];
    const std::size_t ahead = queuedAhead(service, request);
    if (ahead == 0 && tryGrant(from, request)) {
        return;
    }
    const Milliseconds wait = expectedWait(request.service, ahead);
    Milliseconds patience(static_cast<std::int64_t>(request.startWithinMs));
    if (request.cameBack) {
        patience += options_.returnedGrace;
    }
    patience = std::min(patience, Milliseconds(static_cast<std::int64_t>(request.giveUpAfterMs)));
    if (wait > patience || queued_ >= options_.maxQueued) {
        refuse(from, request, wait);
        return;
    }
    enqueue(from, request);
    hooks_.grant(from, SlotGrant{.ticket = request.ticket});
}

bool SlotBroker::tryGrant(const HostId &host, const SlotRequest &request)
{
    Server *server = bestFor(request);
    if (server == nullptr && hooks_.yieldBatch) {
        if (const auto freed = hooks_.yieldBatch(request.service)) {
            releaseBatch(*freed);
            server = bestFor(request);
        }
    }
    if (server == nullptr) {
        return false;
    }
    grant(host, request, *server);
    return true;
}

void SlotBroker::grant(const HostId &host, const SlotRequest &request, Server &server)
{
    ++server.online;
    notePeak(server);
    server.tokens += request.tokens;
    warmUp(server, request);
    const MonotonicTime now = clock_.monotonic();
    held_[Ticket{host, request.ticket}] = Held{server.info.id, request.tokens, now};
    noteGrant(server, now);
    hooks_.grant(host,
                 SlotGrant{.ticket = request.ticket,
                           .server = server.info.id,
                           .address = server.info.address,
                           .bornMs = server.info.bornMs});
}

void SlotBroker::noteGrant(const Server &server, MonotonicTime at)
{
    std::vector<MonotonicTime> &grants = services_[server.info.service].grants;
    grants.insert(std::ranges::upper_bound(grants, at), at);
}

void SlotBroker::end(const HostId &from, const SlotEnd &end)
{
    const auto found = held_.find(Ticket{from, end.ticket});
    if (found == held_.end()) {
        for (auto &[name, service] : services_) {
            queued_ -= std::erase_if(service.queue, [&](const Waiting &waiting) {
                return waiting.host == from && waiting.request.ticket == end.ticket;
            });
        }
        return;
    }
    const Held held = found->second;
    held_.erase(found);
    const auto server = servers_.find(held.server);
    if (server == servers_.end()) {
        return;
    }
    if (end.outcome == SlotOutcome::Completed) {
        noteHold(server->second, static_cast<double>(end.heldMs));
    }
    noteOutcome(server->second, end.outcome);
    release(held);
    serveQueue(server->second.info.service);
}

void SlotBroker::release(const Held &held)
{
    const auto found = servers_.find(held.server);
    if (found == servers_.end()) {
        return;
    }
    Server &server = found->second;
    std::vector<MonotonicTime> &grants = services_[server.info.service].grants;
    const auto granted = std::ranges::lower_bound(grants, held.grantedAt);
    if (granted != grants.end() && *granted == held.grantedAt) {
        grants.erase(granted);
    }
    notePeak(server);
    server.online -= std::min(server.online, 1U);
    server.tokens -= std::min(server.tokens, held.tokens);
}

void SlotBroker::noteHold(Server &server, double heldMs)
{
    const auto smooth = [heldMs](double &average) {
        average = average == 0 ? heldMs : average + holdSmoothing * (heldMs - average);
    };
    smooth(server.holdMs);
    smooth(services_[server.info.service].holdMs);
}

void SlotBroker::noteOutcome(Server &server, SlotOutcome outcome)
{
    const MonotonicTime now = clock_.monotonic();
    switch (outcome) {
    case SlotOutcome::Completed:
        server.failures = 0;
        server.onTrial = false;
        return;
    case SlotOutcome::Abandoned:
        return;
    case SlotOutcome::Refused:
        server.restsUntil = std::max(server.restsUntil, now + options_.refusalRest);
        return;
    case SlotOutcome::Unreachable:
    case SlotOutcome::Failed:
        break;
    }
    ++server.failures;
    if (outcome == SlotOutcome::Failed && server.failures < options_.failuresUntilRest) {
        return;
    }
    const auto doublings = std::min(server.failures - 1, 4U);
    const Milliseconds rest
        = std::min(options_.firstRest * (1U << doublings), options_.longestRest);
    server.onTrial = true;
    if (server.restsUntil < now + rest) {
        server.restsUntil = now + rest;
        LogLine(LogLevel::Warning, "server_rests")
            .add("server", server.info.id.value)
            .add("service", server.info.service.value)
            .add("failures", static_cast<std::int64_t>(server.failures))
            .add("rest_ms", rest.count())
            .write();
    }
}

void SlotBroker::held(const HostId &from, const SlotsHeld &held)
{
    hostLost(from);
    for (const HeldSlot &slot : held.slots) {
        const auto server = servers_.find(slot.server);
        if (server == servers_.end()) {
            continue;
        }
        ++server->second.online;
        notePeak(server->second);
        server->second.tokens += slot.tokens;
        const MonotonicTime now = clock_.monotonic();
        held_[Ticket{from, slot.ticket}] = Held{slot.server, slot.tokens, now};
        noteGrant(server->second, now);
    }
}

void SlotBroker::hostLost(const HostId &host)
{
    for (auto position = held_.begin(); position != held_.end();) {
        if (position->first.host != host) {
            ++position;
            continue;
        }
        release(position->second);
        position = held_.erase(position);
    }
    for (auto &[name, service] : services_) {
        queued_ -= std::erase_if(service.queue,
                                 [&](const Waiting &waiting) { return waiting.host == host; });
    }
}

std::string SlotBroker::addressOf(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? std::string() : found->second.info.address;
}

std::uint64_t SlotBroker::bornOf(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.info.bornMs;
}

std::size_t SlotBroker::waiting(const ServiceName &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? 0 : found->second.queue.size();
}

} // namespace persimmonlb
