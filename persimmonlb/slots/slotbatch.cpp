// The part of SlotBroker that allocates slots to batch runs.
#include <algorithm>
#include <cmath>
#include <optional>

#include "persimmonlb/slots/slotbroker.h"

namespace persimmonlb
{

std::optional<ServerId> SlotBroker::takeForBatch(const ServiceName &service, std::uint64_t tokens,
                                                 bool urgent)
{
    if (freeSlotsForBatch(service, urgent) == 0) {
        return std::nullopt;
    }
    SlotRequest request;
    request.service = service;
    request.availabilityZone = options_.availabilityZone;
    request.tokens = tokens;
    Server *server = bestServerFor(request, true);
    if (server == nullptr) {
        return std::nullopt;
    }
    ++server->batch;
    server->limiter.take(clock_.monotonic());
    updatePeak(*server);
    server->tokens += tokens;
    return server->info.id;
}

std::uint32_t SlotBroker::freeSlotsForBatch(const ServiceName &service, bool urgent) const
{
    if (waiting(service) > 0) {
        return 0;
    }
    const std::uint32_t free = freeSlots(service);
    if (urgent) {
        return free;
    }
    const MonotonicTime now = clock_.monotonic();
    std::uint32_t slots = 0;
    std::uint32_t orphaned = 0;
    for (const Server *server : serversOf(service)) {
        slots += slotLimit(*server);
        orphaned += server->capacity.stopsRuns ? orphanedRequestsOn(*server, now) : 0;
    }
    const auto reserve = static_cast<std::uint32_t>(std::ceil(options_.batchReserve * slots));
    // Runs that the previous leader left behind are stopped by moving them to another server, which
    // needs free slots.
    return orphaned > 0 || free <= reserve ? 0 : free - reserve;
}

std::optional<std::uint64_t> SlotBroker::maxBatchTokens(const ServiceName &service) const
{
    std::optional<std::uint64_t> most;
    const MonotonicTime now = clock_.monotonic();
    for (const Server *server : serversOf(service)) {
        if (canAcceptBatch(*server, 0, now)) {
            most = std::max(most.value_or(0), prefixMemory(*server));
        }
    }
    return most;
}

std::optional<std::uint64_t> SlotBroker::largestMemory(const ServiceName &service) const
{
    std::optional<std::uint64_t> largest;
    for (const Server *server : serversOf(service)) {
        const std::uint64_t memory = server->capacity.cacheTokens;
        if (memory == 0) {
            return std::nullopt;
        }
        largest = std::max(largest.value_or(0), memory);
    }
    return largest;
}

void SlotBroker::releaseBatch(const BatchRunSlot &run)
{
    const auto found = servers_.find(run.server);
    if (found == servers_.end()) {
        return;
    }
    updatePeak(found->second);
    found->second.batch -= std::min(found->second.batch, 1U);
    found->second.tokens -= std::min(found->second.tokens, run.tokens);
}

void SlotBroker::batchEnded(const BatchRunSlot &run, SlotOutcome outcome)
{
    const auto found = servers_.find(run.server);
    if (found == servers_.end()) {
        return;
    }
    releaseBatch(run);
    recordOutcome(found->second, outcome);
    changeState([this, service = found->second.info.service] { serveQueue(service); });
}

} // namespace persimmonlb
