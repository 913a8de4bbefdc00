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
    std::uint64_t fencing = 0; ///< 0 until withFencing().

    bool operator==(const ServerOrder &) const = default;
};

struct ReconcileOptions {
    Milliseconds leaderLease{5000}; ///< Longest time for which an earlier leader may still order.
    Milliseconds orderTimeout{60000}; ///< An order without effect is repeated after this.
    double loadsPerMinute = 6; ///< What the weight store allows for the whole fleet.
    double loadBurst = 2;

    bool operator==(const ReconcileOptions &) const = default;
};

/// An order that was sent and has not shown in the server's announcements.
struct PendingOrder {
    ServerOrder order;
    std::uint64_t serverIncarnation = 0;
    MonotonicTime sentAt;

    bool operator==(const PendingOrder &) const = default;
};

/// What a leader remembers between two rounds. A new leader starts with an empty one.
struct ReconcileState {
    MonotonicTime leaderSince;
    MonotonicTime bucketFilledAt;
    double loadTokens = 0;
    std::map<ServerId, PendingOrder> pending;

    bool operator==(const ReconcileState &) const = default;
};

struct ReconcilePlan {
    std::vector<ServerOrder> orders; ///< At most one for each server.
    ReconcileState state; ///< For the next round, as if the orders were sent.

    bool operator==(const ReconcilePlan &) const = default;
};

/// State of a leader that has just begun to lead: a full bucket and no pending orders.
ReconcileState newLeader(const ReconcileOptions &options, MonotonicTime now);

/// Compares what servers announce with the sheet and says which orders to send now.
///
/// - Nothing is sent at or after `leaseEnd`, the end of this leader's own lease.
/// - A server that ignores fencing numbers gets nothing until an earlier leader's lease has run
///   out; by then its announcement shows what that leader ordered, and it is compared anew. A
///   server that checks them refuses the earlier leader by itself.
/// - A server that serves what the sheet wants is taken away only while its service keeps
///   `minReady` others that do. One that announces another version gets no requests, and is
///   loaded while `minReady` servers of its service are ready in any version, else one at a time:
///   so every sheet is reached, and never by emptying a service at once.
/// - Loads of models and adapters share the weight store's token bucket. Roles need no token.
/// - A server that is leaving or runs a plain service gets no orders.
///
/// Pure: the same arguments give the same plan.
ReconcilePlan reconcile(const Sheet &sheet, const std::vector<ServerAnnouncement> &servers,
                        const ReconcileState &state, const ReconcileOptions &options,
                        MonotonicTime now, MonotonicTime leaseEnd);

/// Gives the orders the fencing numbers first, first + 1, ...
std::vector<ServerOrder> withFencing(std::vector<ServerOrder> orders, std::uint64_t first);

} // namespace persimmonlb
