#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"

namespace persimmonlb
{

/// A backend server that may be chosen for a request.
struct Candidate {
    ServerId server;
    std::uint32_t inFlight = 0; ///< Online and batch requests of all entry hosts, as far as known.
    std::uint32_t limit = 1; ///< Requests in flight above this number increase latency.

    bool operator==(const Candidate &) const = default;
};

/// The properties of a request that a policy may use.
struct PolicyQuery {
    ServiceName service;
    std::uint64_t prefixHash = 0;

    bool operator==(const PolicyQuery &) const = default;
};

/// Returns the index of the chosen candidate. `candidates` is not empty and is sorted by server.
using RoutingPolicy
    = std::function<std::size_t(const PolicyQuery &query, std::span<const Candidate> candidates)>;

struct AffinityOptions {
    /// A server is skipped when its requests in flight exceed this multiple of the mean.
    double maxLoadFactor = 1.25;
    /// A server is never skipped while its load is below this fraction of its limit.
    double lightLoadFraction = 0.25;

    bool operator==(const AffinityOptions &) const = default;
};

/// Returns a policy that chooses by a rendezvous hash of service and prompt prefix, so that equal
/// prefixes go to a server that has them in its cache. Servers above the load bound are skipped in
/// the order of the hash; if all are above it, the least loaded server is chosen.
RoutingPolicy affinityPolicy(AffinityOptions options = {});
/// Returns a policy that chooses the server with the fewest requests in flight relative to its
/// limit, and breaks ties by `random`.
RoutingPolicy leastInFlightPolicy(RandomSource random);
/// Returns a policy that chooses the candidates in turn.
RoutingPolicy roundRobinPolicy();
/// Returns a policy that chooses uniformly by `random`.
RoutingPolicy randomPolicy(RandomSource random);

/// Returns the policy for a settings value, which is "affinity", "least_in_flight", "round_robin"
/// or "random", or nullopt for any other name.
std::optional<RoutingPolicy> routingPolicyByName(std::string_view name, RandomSource random);

} // namespace persimmonlb
