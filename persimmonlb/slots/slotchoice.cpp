// The half of SlotBroker that weighs servers.
#include <algorithm>
#include <utility>

#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

namespace
{

/// Costs are in milliseconds of an answer's time, from the sites' engine figures.
constexpr double fullServerCost = 10.0; ///< A full engine against an idle one.
constexpr double warmTokensPerMs = 100.0; ///< Prompt tokens that an engine reads in a millisecond.
constexpr double slowServerRatio = 1.3; ///< Of the service's hold; below it a server is not slow.
constexpr double slowServerCost = 20.0; ///< For each whole multiple above the ratio.
/// For a server outside of the sender's zone: as much as three slots' difference in load. Bytes
/// between zones are billed, and such a difference moves the first event by few milliseconds.
constexpr double otherZoneCost = 4.0;
constexpr std::size_t warmPartsKept = 1024; ///< Of one server, in each of two generations.

} // namespace

std::uint32_t SlotBroker::slotsOf(const Server &server)
{
    if (server.onTrial) {
        return 1;
    }
    const std::uint32_t announced = server.info.slots;
    const std::uint32_t configured = server.capacity.slots;
    if (announced == 0 || configured == 0) {
        return std::max(announced, configured);
    }
    return std::min(announced, configured);
}

std::uint32_t SlotBroker::foreignOf(const Server &server, MonotonicTime now)
{
    return now < server.foreignUntil ? server.foreign : 0;
}

std::uint32_t SlotBroker::takenOf(const Server &server, MonotonicTime now)
{
    return server.online + server.batch + foreignOf(server, now);
}

bool SlotBroker::isUsable(const Server &server, MonotonicTime now)
{
    return !server.info.draining && now >= server.restsUntil;
}

bool SlotBroker::takes(const Server &server, std::uint64_t tokens, MonotonicTime now)
{
    if (!isUsable(server, now) || takenOf(server, now) >= slotsOf(server)) {
        return false;
    }
    const std::uint64_t room = server.capacity.cacheTokens;
    return room == 0 || server.tokens == 0 || server.tokens + tokens <= room;
}

double SlotBroker::costOf(const Server &server, const SlotRequest &request, double usualHoldMs,
                          MonotonicTime now)
{
    std::uint64_t warm = 0;
    for (const PromptPart &part : request.prompt) {
        if (!server.warm.contains(part.key) && !server.warmBefore.contains(part.key)) {
            break;
        }
        warm += part.tokens;
    }
    const double slots = std::max(1U, slotsOf(server));
    double cost = fullServerCost * takenOf(server, now) / slots
        - static_cast<double>(warm) / warmTokensPerMs;
    if (!request.availabilityZone.empty()
        && server.info.availabilityZone != request.availabilityZone) {
        cost += otherZoneCost;
    }
    if (usualHoldMs > 0 && server.holdMs > usualHoldMs * slowServerRatio) {
        cost += slowServerCost * (server.holdMs / usualHoldMs - slowServerRatio);
    }
    return cost;
}

const std::vector<SlotBroker::Server *> &SlotBroker::serversOf(const ServiceName &service) const
{
    static const std::vector<Server *> none;
    const auto known = services_.find(service);
    return known == services_.end() ? none : known->second.servers;
}

SlotBroker::Server *SlotBroker::bestFor(const SlotRequest &request)
{
    Server *best = nullptr;
    double lowest = 0;
    std::uint64_t equals = 0;
    const auto service = services_.find(request.service);
    const double usualHoldMs = service == services_.end() ? 0 : service->second.holdMs;
    const MonotonicTime now = clock_.monotonic();
    for (Server *candidate : serversOf(request.service)) {
        Server &server = *candidate;
        if (!takes(server, request.tokens, now)
            || std::ranges::find(request.excluded, server.info.id) != request.excluded.end()) {
            continue;
        }
        const double cost = costOf(server, request, usualHoldMs, now);
        if (best != nullptr && cost > lowest) {
            continue;
        }
        // Among equals by lot, so that the hosts that choose do not all take the first.
        equals = best != nullptr && cost == lowest ? equals + 1 : 1;
        if (equals == 1 || random_() % equals == 0) {
            best = &server;
            lowest = cost;
        }
    }
    return best;
}

void SlotBroker::warmUp(Server &server, const SlotRequest &request)
{
    for (const PromptPart &part : request.prompt) {
        server.warm.insert(part.key);
    }
    if (server.warm.size() > warmPartsKept) {
        server.warmBefore = std::move(server.warm);
        server.warm.clear();
    }
}

std::uint32_t SlotBroker::usableSlots(const ServiceName &service) const
{
    const MonotonicTime now = clock_.monotonic();
    std::uint32_t slots = 0;
    for (const Server *server : serversOf(service)) {
        if (isUsable(*server, now)) {
            slots += slotsOf(*server);
        }
    }
    return slots;
}

SlotUsage SlotBroker::usage(const ServiceName &service) const
{
    const MonotonicTime now = clock_.monotonic();
    SlotUsage usage;
    for (const Server *server : serversOf(service)) {
        const bool usable = isUsable(*server, now);
        ++usage.servers;
        usage.unusable += usable ? 0 : 1;
        usage.slots += usable ? slotsOf(*server) : 0;
        usage.online += server->online;
        usage.batch += server->batch;
        usage.foreign += foreignOf(*server, now);
    }
    usage.waiting = waiting(service);
    return usage;
}

std::vector<ServiceName> SlotBroker::services() const
{
    std::vector<ServiceName> names;
    for (const auto &[name, service] : services_) {
        names.push_back(name);
    }
    return names;
}

std::uint32_t SlotBroker::freeSlots(const ServiceName &service) const
{
    const MonotonicTime now = clock_.monotonic();
    std::uint32_t free = 0;
    for (const Server *server : serversOf(service)) {
        free += takes(*server, 0, now) ? slotsOf(*server) - takenOf(*server, now) : 0;
    }
    return free;
}

} // namespace persimmonlb
