#include "persimmonlb/control/leasetable.h"

#include <utility>

namespace persimmonlb
{

namespace
{

/// The fields that directory answers depend on.
bool sameListing(const EntryHostInfo &left, const EntryHostInfo &right)
{
    return left.address == right.address && left.meshAddress == right.meshAddress
        && left.availabilityZone == right.availabilityZone && left.region == right.region
        && left.incarnation == right.incarnation && left.draining == right.draining;
}

/// Versions of two leaders never coincide by chance within one lease.
std::uint64_t firstVersion(MonotonicTime now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count());
}

} // namespace

LeaseTable::LeaseTable(LeaseTableOptions options, Clock clock, HostId self)
    : options_(options)
    , clock_(std::move(clock))
    , self_(std::move(self))
    , began_(clock_.monotonic())
    , hostsVersion_(firstVersion(began_))
{
}

void LeaseTable::leadershipBegan()
{
    began_ = clock_.monotonic();
    rows_.clear();
    hostsVersion_ = firstVersion(began_);
}

LeaseGrant LeaseTable::renew(const HostId &from, const LeaseRequest &request,
                             const InForce &inForce)
{
    const MonotonicTime now = clock_.monotonic();
    LeaseGrant grant{.sequence = request.sequence,
                     .leaseMs = 0,
                     .leader = self_,
                     .sheetNumber = inForce.sheetNumber,
                     .entryStateVersion = inForce.entryStateVersion,
                     .draining = inForce.draining.contains(from),
                     .hostsVersion = hostsVersion_,
                     .pendingServices = inForce.pendingServices,
                     .hasHosts = false,
                     .hosts = {}};
    const auto known = rows_.find(from);
    if (known != rows_.end() && known->second.info.incarnation > request.incarnation) {
        return grant;
    }
    const EntryHostInfo info{.host = from,
                             .address = request.address,
                             .availabilityZone = request.availabilityZone,
                             .region = request.region,
                             .incarnation = request.incarnation,
                             .sheetNumber = request.sheetNumber,
                             .entryStateVersion = request.entryStateVersion,
                             .meshAddress = request.meshAddress,
                             .draining = request.draining || grant.draining,
                             .leaseLeftMs = 0};
    const bool listed = known != rows_.end() && known->second.leaseEnd > now;
    if (!listed || !sameListing(known->second.info, info)
        || known->second.stopped != request.stopped) {
        ++hostsVersion_;
    }
    const MonotonicTime leaseEnd
        = request.stopped ? now : now + options_.lease + options_.clockMargin;
    rows_[from] = Row{info, leaseEnd, request.stopped};
    grant.leaseMs = request.stopped ? 0 : static_cast<std::uint64_t>(options_.lease.count());
    grant.hostsVersion = hostsVersion_;
    if (request.wantHosts || request.hostsVersion != hostsVersion_) {
        grant.hasHosts = true;
        grant.hosts = hosts(inForce.registered);
    }
    return grant;
}

std::uint64_t LeaseTable::msUntil(MonotonicTime end) const
{
    const MonotonicTime now = clock_.monotonic();
    if (end <= now) {
        return 0;
    }
    return static_cast<std::uint64_t>(std::chrono::ceil<Milliseconds>(end - now).count());
}

std::vector<EntryHostInfo> LeaseTable::hosts(const std::vector<EntryHostInfo> &registered) const
{
    std::vector<EntryHostInfo> result;
    for (const auto &[host, row] : rows_) {
        if (row.stopped) {
            continue;
        }
        EntryHostInfo info = row.info;
        info.leaseLeftMs = msUntil(row.leaseEnd);
        result.push_back(std::move(info));
    }
    const std::uint64_t earlierLeaseLeftMs
        = msUntil(began_ + options_.lease + options_.clockMargin);
    for (const EntryHostInfo &known : registered) {
        if (earlierLeaseLeftMs == 0 || rows_.contains(known.host)) {
            continue;
        }
        EntryHostInfo info = known;
        info.sheetNumber = 0;
        info.entryStateVersion = 0;
        info.leaseLeftMs = earlierLeaseLeftMs;
        result.push_back(std::move(info));
    }
    return result;
}

std::vector<Owner> LeaseTable::lapsed(const std::vector<Owner> &known) const
{
    const MonotonicTime now = clock_.monotonic();
    const bool earlierLeasesEnded = now >= began_ + options_.lease + options_.clockMargin;
    std::vector<Owner> result;
    for (const Owner &owner : known) {
        const auto row = rows_.find(owner.host);
        if (row == rows_.end()) {
            if (earlierLeasesEnded) {
                result.push_back(owner);
            }
            continue;
        }
        const bool replaced = row->second.info.incarnation > owner.incarnation;
        if (replaced || row->second.leaseEnd <= now) {
            result.push_back(owner);
        }
    }
    return result;
}

} // namespace persimmonlb
