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
    std::uint32_t limit = 1; ///< Most requests in flight that do not harm latency.

    bool operator==(const Candidate &) const = default;
};

/// What a policy may look at.
struct PolicyQuery {
    ServiceName service;
    std::uint64_t prefixHash = 0;

    bool operator==(const PolicyQuery &) const = default;
};

/// Returns the index of the chosen candidate. At least one is given, ordered by server.
using RoutingPolicy
    = std::function<std::size_t(const PolicyQuery &query, std::span<const Candidate> candidates)>;

struct AffinityOptions {
    double bound = 1.25; ///< Load above this multiple of the mean sends a request on.
    double freeShare = 0.25; ///< Load below this share of the limit never does.

    bool operator==(const AffinityOptions &) const = default;
};

/// Rendezvous hash of service and prompt prefix, so that equal prefixes meet a warm cache. A server
/// that is loaded above the bound gives way to the next in the order of the hash; when all are, the
/// least loaded is taken.
RoutingPolicy affinityPolicy(AffinityOptions options = {});
/// The server with the fewest requests in flight for its limit; ties by `random`.
RoutingPolicy leastInFlightPolicy(RandomSource random);
RoutingPolicy roundRobinPolicy();
RoutingPolicy randomPolicy(RandomSource random);

/// The policy of a settings value: "affinity", "least_in_flight", "round_robin" or "random";
/// nothing for another name.
std::optional<RoutingPolicy> routingPolicyByName(std::string_view name, RandomSource random);

} // namespace persimmonlb
