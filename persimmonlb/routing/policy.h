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

/// A server that a request may go to.
struct Candidate {
    ServerId server;
    std::uint32_t inFlight = 0; ///< Online and batch, of every entry host as far as known.
    std::uint32_t limit = 0; ///< Most requests in flight that do not harm latency.
    bool hasRoom = false;

    bool operator==(const Candidate &) const = default;
};

/// What a policy may look at.
struct PolicyQuery {
    ServiceName service;
    std::uint64_t prefixHash = 0;

    bool operator==(const PolicyQuery &) const = default;
};

/// Returns the index of the chosen candidate; only candidates with room are given, at least one.
using RoutingPolicy
    = std::function<std::size_t(const PolicyQuery &query, std::span<const Candidate> candidates)>;

/// Rendezvous hash of service and prompt prefix, so that equal prefixes meet a warm cache. A winner
/// that is loaded above `bound` times the mean gives way to the less loaded of it and the second.
RoutingPolicy affinityPolicy(double bound = 1.25);
/// The server with the fewest requests in flight for its limit; ties by `random`.
RoutingPolicy leastInFlightPolicy(RandomSource random);
RoutingPolicy roundRobinPolicy();
RoutingPolicy randomPolicy(RandomSource random);

/// The policy of a settings value: "affinity", "least_in_flight", "round_robin" or "random";
/// nothing for another name.
std::optional<RoutingPolicy> routingPolicyByName(std::string_view name, RandomSource random);

} // namespace persimmonlb
