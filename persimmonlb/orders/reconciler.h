#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/membership/server.h"
#include "persimmonlb/sheet/sheet.h"

namespace persimmonlb
{

enum class OrderKind : std::uint8_t { LoadModel, LoadAdapter, SetRole };

/// One order to a backend server (POST /v1/orders).
struct ServerOrder {
    ServerId server;
    std::string address;
    OrderKind kind = OrderKind::LoadModel;
    ModelName model;
    std::string version;
    std::string adapter; ///< LoadAdapter only.
    std::string role; ///< SetRole only.
    std::uint64_t fencing = 0; ///< 0 until withFencing() sets it.

    bool operator==(const ServerOrder &) const = default;
};

struct ReconcileOptions {
    Milliseconds leaderLease{5000}; ///< Longest time into a term for which an earlier leader may
                                    ///< still send orders.
    Milliseconds orderTimeout{60000}; ///< An order without visible effect is repeated after this.
    double loadsPerMinute = 6; ///< Rate limit of the weight store for the whole fleet.
    double loadBurst = 2; ///< Capacity of the token bucket for loads.

    bool operator==(const ReconcileOptions &) const = default;
};

/// An order that was sent and whose effect the server has not announced yet.
struct PendingOrder {
    ServerOrder order;
    std::uint64_t serverIncarnation = 0;
    MonotonicTime sentAt;

    bool operator==(const PendingOrder &) const = default;
};

/// State that a leader keeps between two rounds. A new leader starts with initialReconcileState().
struct ReconcileState {
    MonotonicTime leaderSince;
    MonotonicTime bucketRefilledAt;
    double loadTokens = 0;
    std::map<ServerId, PendingOrder> pending;

    bool operator==(const ReconcileState &) const = default;
};

struct ReconcilePlan {
    std::vector<ServerOrder> orders; ///< At most one for each server.
    ReconcileState state; ///< For the next round; counts `orders` as sent.

    bool operator==(const ReconcilePlan &) const = default;
};

/// Returns the state of a leader whose term has just begun: a full token bucket and no pending
/// orders.
ReconcileState initialReconcileState(const ReconcileOptions &options, MonotonicTime now);

/// Compares the announcements of the servers with the sheet and returns the orders to send now.
///
/// - No orders are sent at or after `leaseEnd`, the end of this leader's own lease.
/// - A server that ignores fencing numbers gets no orders until the lease of any earlier leader has
///   ended. By then its announcement shows the effect of that leader's orders and is compared with
///   the sheet again. A server that checks fencing numbers refuses late orders itself.
/// - A server that runs the version given in the sheet is taken out of service (by a model load or
///   a role change) only while at least `minReady` others of its service run that version.
/// - A server that announces another version gets no requests. It is loaded while `minReady` other
///   servers of its service are ready in any version, otherwise only one server of the service is
///   loaded at a time. So the fleet can reach every sheet, and a service that cannot keep
///   `minReady` is not loaded all at once.
/// - Loads of models and adapters take tokens from one bucket, the rate limit of the weight store.
///   Role changes need no token.
/// - A server that is leaving or runs a plain service gets no orders.
///
/// Pure function: the same arguments give the same plan.
ReconcilePlan reconcile(const Sheet &sheet, const std::vector<ServerAnnouncement> &servers,
                        const ReconcileState &state, const ReconcileOptions &options,
                        MonotonicTime now, MonotonicTime leaseEnd);

/// Returns the orders with the fencing numbers `first`, `first` + 1, ...
std::vector<ServerOrder> withFencing(std::vector<ServerOrder> orders, std::uint64_t first);

} // namespace persimmonlb
