// The part of SlotBroker that selects servers.
#include <algorithm>
#include <limits>
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

// Of the choice by learned speeds; slottrial --uneven compares values.
constexpr double initialMeanHoldMs = 300.0; ///< Until the first response of a service ends.
/// A step of a full engine takes 3.6 ms per token, and of one with a single request 2.3 ms.
constexpr double fullServerSlowdown = 0.565;
/// Prompt tokens per ms of a server of mean speed: that of the slowest known site. The broker is
/// told hold times only, in which reading a prompt is too small a part to learn a rate from.
constexpr double learnedPrefillTokensPerMs = 50.0;
/// Weight of the time until completion compared with that until the first event, which is due in
/// 300 ms. With a weight of 1, differences in occupancy outweigh cached prompt parts and more
/// prompt tokens are read again than without learned speeds.
constexpr double completionWeight = 0.12;
/// Makes the times comparable to `otherZoneCostMs`. With a factor of 1, half of the requests leave
/// their zone on engines whose speeds differ by a factor of 2.4; with this one, as many as without
/// learned speeds.
constexpr double completionCostScale = 1.0 / 6;

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

bool SlotBroker::canAcceptBatch(const Server &server, std::uint64_t tokens, MonotonicTime now)
{
    const std::uint64_t memory = server.capacity.cacheTokens;
    const bool isLargeEnough = memory == 0 || tokens <= memory;
    return isLargeEnough && canAccept(server, tokens, now) && server.limiter.allowsBurst(now);
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

std::uint64_t SlotBroker::prefixMemory(const Server &server)
{
    const std::uint64_t memory = server.capacity.cacheTokens;
    return memory == 0 ? std::numeric_limits<std::uint64_t>::max()
                       : memory - std::min(memory, server.tokens);
}

double SlotBroker::slowdown(const Server &server, std::uint32_t requests)
{
    const double others = std::max(requests, 1U) - 1;
    return 1 + fullServerSlowdown * others / std::max(slotLimit(server), 2U);
}

double SlotBroker::learnedCostMs(const Server &server, const SlotRequest &request,
                                 double meanHoldMs, MonotonicTime now)
{
    const std::uint32_t occupied = occupiedSlots(server, now);
    const double hold = server.speed.expectedHoldMs(meanHoldMs, slowdown(server, occupied), now);
    double promptTokens = 0;
    for (const PromptPart &part : request.prompt) {
        promptTokens += static_cast<double>(part.tokens);
    }
    const double uncachedTokens
        = promptTokens - server.prefixes.expectedTokens(request.prompt, prefixMemory(server));
    const double nextSlowdown = slowdown(server, occupied + 1);
    const double addedSlowdown = nextSlowdown - slowdown(server, occupied);
    // Reading a prompt stops the other requests of the engine, and each request slows them down.
    const double prefillMs
        = uncachedTokens / learnedPrefillTokensPerMs * hold / meanHoldMs * (1 + occupied);
    const double completionMs = hold * (nextSlowdown + addedSlowdown * occupied);
    double cost = completionCostScale * (prefillMs + completionWeight * completionMs);
    if (!request.availabilityZone.empty()
        && server.info.availabilityZone != request.availabilityZone) {
        cost += otherZoneCostMs;
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
    // With learned speeds, batch runs go to the least occupied servers whatever their speed: on the
    // fastest ones they would take the slots that online requests gain most from.
    const double serviceAverageHoldMs
        = service == services_.end() || options_.learnsSpeeds ? 0 : service->second.averageHoldMs;
    const double learnedMeanMs = service == services_.end() ? 0 : service->second.holdTime.meanMs();
    const double meanHoldMs = learnedMeanMs > 0 ? learnedMeanMs : initialMeanHoldMs;
    const MonotonicTime now = clock_.monotonic();
    for (Server *candidate : serversOf(request.service)) {
        Server &server = *candidate;
        const bool isAccepted = isBatch ? canAcceptBatch(server, request.tokens, now)
                                        : canAccept(server, request.tokens, now);
        if (!isAccepted
            || std::ranges::find(request.excluded, server.info.id) != request.excluded.end()) {
            continue;
        }
        const double cost = options_.learnsSpeeds && !isBatch
            ? learnedCostMs(server, request, meanHoldMs, now)
            : serverCostMs(server, request, serviceAverageHoldMs, now);
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
    if (options_.learnsSpeeds) {
        Service &service = services_[server.info.service];
        for (const PromptPart &part : request.prompt) {
            service.promptTokens += part.tokens;
        }
        const std::uint64_t memory = prefixMemory(server);
        service.expectedCachedTokens += server.prefixes.expectedTokens(request.prompt, memory);
        server.prefixes.recordPrompt(request.prompt, memory);
        return;
    }
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
    if (const auto known = services_.find(service); known != services_.end()) {
        usage.promptTokens = known->second.promptTokens;
        usage.expectedCachedTokens = static_cast<std::uint64_t>(known->second.expectedCachedTokens);
    }
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
