#include "persimmonlb/dispatch/batchpolicy.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

constexpr std::uint32_t latencyReservePercent = 15;
constexpr std::uint32_t throughputReserveRequests = 1;

std::uint32_t remainingCapacity(std::uint32_t capacity, std::uint32_t used)
{
    return capacity > used ? capacity - used : 0;
}

} // namespace

std::uint32_t latencyPolicy(const BatchLoad &load)
{
    const std::uint32_t reserve = (load.capacity * latencyReservePercent + 99) / 100;
    const std::uint32_t online = std::max(load.onlineInFlight, load.onlinePeak);
    return remainingCapacity(load.capacity, online + reserve);
}

std::uint32_t throughputPolicy(const BatchLoad &load)
{
    return remainingCapacity(load.capacity, load.onlineInFlight + throughputReserveRequests);
}

BatchPolicy batchPolicyFor(BatchPreset preset)
{
    switch (preset) {
    case BatchPreset::Throughput:
        return throughputPolicy;
    case BatchPreset::Latency:
        break;
    }
    return latencyPolicy;
}

} // namespace persimmonlb
