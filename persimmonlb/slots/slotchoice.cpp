// The part of SlotBroker that selects servers.
#include <algorithm>
#include <utility>

#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

namespace
{

/// Costs are in milliseconds of response time, derived from the engine figures of the sites.
constexpr double fullServerCostMs = 10.0; ///< Of a full engine, compared with an idle one.
constexpr double prefillTokensPerMs = 100.0; ///< Prompt tokens that an engine processes per ms.
constexpr double slowServerRatio = 1.3; ///< Hold time over the service average; up to it no cost.
constexpr double slowServerCostMs = 20.0; ///< Per unit of the ratio above it.
/// For a server outside the sender's zone: equal to a load difference of three slots. Traffic
/// between zones is billed, and such a load difference delays the first event of a response by only
/// a few milliseconds.
constexpr double otherZoneCostMs = 4.0;
constexpr std::size_t maxPromptPartsPerGeneration = 1024; ///< Per server.

} // namespace

std::uint32_t SlotBroker::slotLimit(const Server &server)
{
    if (server.halfOpen) {
        return 1;
    }
    const std::uint32_t announced = server.info.slots;
    const std::uint32_t configured = server.capacity.slots;
    if (announced == 0 || configured == 0) {
        return std::max(announced, configured);
    }
    return std::min(announced, configured);
}

std::uint32_t SlotBroker::orphanedRequestsOn(const Server &server, MonotonicTime now)
{
    return now < server.orphanedUntil ? server.orphaned : 0;
}

std::uint32_t SlotBroker::occupiedSlots(const Server &server, MonotonicTime now)
{
    return server.online + server.batch + orphanedRequestsOn(server, now);
}

bool SlotBroker::isUsable(const Server &server, MonotonicTime now)
{
    return !server.info.draining && now >= server.backoffUntil;
}

bool SlotBroker::canAccept(const Server &server, std::uint64_t tokens, MonotonicTime now)
{
    if (!isUsable(server, now) || occupiedSlots(server, now) >= slotLimit(server)
        || !server.limiter.allowsRequest(now)) {
        return false;
    }
    const std::uint64_t maxTokens = server.capacity.cacheTokens;
    return maxTokens == 0 || server.tokens == 0 || server.tokens + tokens <= maxTokens;
}

double SlotBroker::serverCostMs(const Server &server, const SlotRequest &request,
                                double serviceAverageHoldMs, MonotonicTime now)
{
    std::uint64_t cachedTokens = 0;
    for (const PromptPart &part : request.prompt) {
        if (!server.recentPromptParts.contains(part.key)
            && !server.previousPromptParts.contains(part.key)) {
            break;
        }
        cachedTokens += part.tokens;
    }
    const double slots = std::max(1U, slotLimit(server));
    double cost = fullServerCostMs * occupiedSlots(server, now) / slots
        - static_cast<double>(cachedTokens) / prefillTokensPerMs;
    if (!request.availabilityZone.empty()
        && server.info.availabilityZone != request.availabilityZone) {
        cost += otherZoneCostMs;
    }
    if (serviceAverageHoldMs > 0 && server.averageHoldMs > serviceAverageHoldMs * slowServerRatio) {
        cost += slowServerCostMs * (server.averageHoldMs / serviceAverageHoldMs - slowServerRatio);
    }
    return cost;
}

const std::vector<SlotBroker::Server *> &SlotBroker::serversOf(const ServiceName &service) const
{
    static const std::vector<Server *> noServers;
    const auto known = services_.find(service);
    return known == services_.end() ? noServers : known->second.servers;
}

SlotBroker::Server *SlotBroker::bestServerFor(const SlotRequest &request, bool isBatch)
{
    Server *best = nullptr;
    double lowest = 0;
    std::uint64_t equalCount = 0;
    const auto service = services_.find(request.service);
    const double serviceAverageHoldMs
        = service == services_.end() ? 0 : service->second.averageHoldMs;
    const MonotonicTime now = clock_.monotonic();
    for (Server *candidate : serversOf(request.service)) {
        Server &server = *candidate;
        if (!canAccept(server, request.tokens, now) || (isBatch && !server.limiter.allowsBurst(now))
            || std::ranges::find(request.excluded, server.info.id) != request.excluded.end()) {
            continue;
        }
        const double cost = serverCostMs(server, request, serviceAverageHoldMs, now);
        if (best != nullptr && cost > lowest) {
            continue;
        }
        // Ties are broken at random, so that hosts that choose locally do not all pick the same
        // one.
        equalCount = best != nullptr && cost == lowest ? equalCount + 1 : 1;
        if (equalCount == 1 || random_() % equalCount == 0) {
            best = &server;
            lowest = cost;
        }
    }
    return best;
}

void SlotBroker::recordPromptParts(Server &server, const SlotRequest &request)
{
    for (const PromptPart &part : request.prompt) {
        server.recentPromptParts.insert(part.key);
    }
    if (server.recentPromptParts.size() > maxPromptPartsPerGeneration) {
        server.previousPromptParts = std::move(server.recentPromptParts);
        server.recentPromptParts.clear();
    }
}

double SlotBroker::limitedRequestRate(const ServiceName &service) const
{
    const MonotonicTime now = clock_.monotonic();
    const double holdSeconds = std::chrono::duration<double>(typicalHoldTime(service)).count();
    double total = 0;
    bool isLimited = false;
    for (const Server *server : serversOf(service)) {
        if (!isUsable(*server, now)) {
            continue;
        }
        const double limit = server->limiter.rate();
        const double bySlots = slotLimit(*server) / std::max(holdSeconds, 0.001);
        total += limit > 0 ? std::min(limit, bySlots) : bySlots;
        isLimited = isLimited || limit > 0;
    }
    return isLimited ? total : 0;
}

std::uint32_t SlotBroker::usableSlots(const ServiceName &service) const
{
    const MonotonicTime now = clock_.monotonic();
    std::uint32_t slots = 0;
    for (const Server *server : serversOf(service)) {
        if (isUsable(*server, now)) {
            slots += slotLimit(*server);
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
        usage.slots += usable ? slotLimit(*server) : 0;
        usage.online += server->online;
        usage.batch += server->batch;
        usage.orphaned += orphanedRequestsOn(*server, now);
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
        free += canAccept(*server, 0, now) ? slotLimit(*server) - occupiedSlots(*server, now) : 0;
    }
    return free;
}

} // namespace persimmonlb
