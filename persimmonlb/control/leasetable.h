#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/state/command.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct LeaseTableOptions {
    Milliseconds lease{5000};
    Milliseconds clockMargin{
        200}; ///< Clock rates of two hosts differ by less than this in one lease.
};

/// What the leader has in force when it answers a lease request.
struct InForce {
    std::uint64_t sheetNumber = 0;
    std::uint64_t entryStateVersion = 0;
    std::set<HostId> draining;
    std::vector<EntryHostInfo> registered; ///< Every registered start of an entry host.
    std::vector<ServiceName> pendingServices; ///< Services with batch items that wait.

    bool operator==(const InForce &) const = default;
};

/// The leader's table of the leases of entry hosts. Held in memory: a new leader knows none, and
/// therefore treats no host as lapsed until one full lease after it began to lead. Not thread-safe.
class LeaseTable
{
public:
    LeaseTable(LeaseTableOptions options, Clock clock, HostId self);

    /// Forgets everything; leases that an earlier leader granted may still hold for one lease.
    void leadershipBegan();

    /// Grants or refuses (leaseMs 0: an older incarnation than one known).
    LeaseGrant renew(const HostId &from, const LeaseRequest &request, const InForce &inForce);

    /// Hosts that hold a lease, those that may still hold one from an earlier leader (with versions
    /// 0), and those that lapsed since this leader began (with no lease left).
    [[nodiscard]] std::vector<EntryHostInfo>
    hosts(const std::vector<EntryHostInfo> &registered) const;

    /// Of `known`, the owners whose lease has run out for certain.
    [[nodiscard]] std::vector<Owner> lapsed(const std::vector<Owner> &known) const;

private:
    struct Row {
        EntryHostInfo info;
        MonotonicTime leaseEnd;
        bool stopped = false;
    };

    [[nodiscard]] std::uint64_t msUntil(MonotonicTime end) const;

    LeaseTableOptions options_;
    Clock clock_;
    HostId self_;
    MonotonicTime began_;
    std::map<HostId, Row> rows_;
    std::uint64_t hostsVersion_ = 1;
};

} // namespace persimmonlb
