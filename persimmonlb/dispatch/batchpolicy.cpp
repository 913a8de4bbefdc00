#include "persimmonlb/dispatch/batchpolicy.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

constexpr std::uint32_t latencyReservePercent = 15;
constexpr std::uint32_t throughputReserve = 1;

std::uint32_t leftOf(std::uint32_t capacity, std::uint32_t used)
{
    return capacity > used ? capacity - used : 0;
}

} // namespace

std::uint32_t latencyPolicy(const BatchLoad &load)
{
    const std::uint32_t reserve = (load.capacity * latencyReservePercent + 99) / 100;
    const std::uint32_t online = std::max(load.onlineInFlight, load.onlinePeak);
    return leftOf(load.capacity, online + reserve);
}

std::uint32_t throughputPolicy(const BatchLoad &load)
{
    return leftOf(load.capacity, load.onlineInFlight + throughputReserve);
}

BatchPolicy policyFor(BatchPreset preset)
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
