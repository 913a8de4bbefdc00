#include "persimmonlb/routing/policy.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <numeric>
#include <vector>

#include "persimmonlb/base/digest.h"

namespace persimmonlb
{

namespace
{

double loadOf(const Candidate &candidate)
{
    return static_cast<double>(candidate.inFlight) / std::max(candidate.limit, 1U);
}

/// Returns the indexes of the candidates, highest score first.
std::vector<std::size_t> rendezvousOrder(const PolicyQuery &query,
                                         std::span<const Candidate> candidates)
{
    const std::uint64_t key = combineHash(stableHash(query.service.value), query.prefixHash);
    std::vector<std::uint64_t> scores;
    scores.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        scores.push_back(combineHash(key, stableHash(candidate.server.value)));
    }
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right) { return scores[left] > scores[right]; });
    return order;
}

/// Returns the mean of the requests in flight, the request to be placed included.
double meanInFlight(std::span<const Candidate> candidates)
{
    double sum = 1;
    for (const Candidate &candidate : candidates) {
        sum += candidate.inFlight;
    }
    return sum / static_cast<double>(candidates.size());
}

/// Returns the index of the least loaded candidate. Of equally loaded ones, it returns the first
/// one from `start` on.
std::size_t leastLoaded(std::span<const Candidate> candidates, std::size_t start)
{
    std::size_t best = start;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t index = (start + i) % candidates.size();
        if (loadOf(candidates[index]) < loadOf(candidates[best])) {
            best = index;
        }
    }
    return best;
}

} // namespace

RoutingPolicy affinityPolicy(AffinityOptions options)
{
    return [options](const PolicyQuery &query, std::span<const Candidate> candidates) {
        const std::vector<std::size_t> order = rendezvousOrder(query, candidates);
        const double loadBound = options.maxLoadFactor * meanInFlight(candidates);
        for (const std::size_t index : order) {
            const Candidate &candidate = candidates[index];
            const double allowed = std::max(loadBound, options.lightLoadFraction * candidate.limit);
            if (candidate.inFlight + 1 <= std::ceil(allowed)) {
                return index;
            }
        }
        return leastLoaded(candidates, order.front());
    };
}

RoutingPolicy leastInFlightPolicy(RandomSource random)
{
    return
        [random = std::move(random)](const PolicyQuery &, std::span<const Candidate> candidates) {
            return leastLoaded(candidates, random() % candidates.size());
        };
}

RoutingPolicy roundRobinPolicy()
{
    return [next = std::make_shared<std::size_t>(0)](const PolicyQuery &,
                                                     std::span<const Candidate> candidates) {
        return (*next)++ % candidates.size();
    };
}

RoutingPolicy randomPolicy(RandomSource random)
{
    return
        [random = std::move(random)](const PolicyQuery &, std::span<const Candidate> candidates) {
            return static_cast<std::size_t>(random() % candidates.size());
        };
}

std::optional<RoutingPolicy> routingPolicyByName(std::string_view name, RandomSource random)
{
    if (name == "affinity") {
        return affinityPolicy();
    }
    if (name == "least_in_flight") {
        return leastInFlightPolicy(std::move(random));
    }
    if (name == "round_robin") {
        return roundRobinPolicy();
    }
    if (name == "random") {
        return randomPolicy(std::move(random));
    }
    return std::nullopt;
}

} // namespace persimmonlb
