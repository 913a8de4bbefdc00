#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/error.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/sheet/sheet.h"
#include "persimmonlb/wire/message.h"

namespace persimmonlb
{

struct QuotaOptions {
    Milliseconds demandWindow{500}; ///< Over which demand is smoothed.
    Milliseconds publishInterval{500}; ///< Between two calls of publishDemand().
    Milliseconds demandLifetime{3000}; ///< A peer's demand that is older no longer counts.
    double evenPart = 0.03; ///< Part of a quota that is split evenly, whatever the demand.
};

/// Limits the requests of each caller to its quota in the sheet, split over the entry hosts.
///
/// Example:
///   digest.demand = gate.publishDemand();           // once per round of digests
///   gate.setPeerDemand(peer, digest.demand);
///   if (auto taken = gate.take(caller); !taken.ok()) refuse(taken.error());
///
/// Each host tells its peers the demand of its callers; its share of a quota is its part of the
/// demand that all hosts last told, so that the shares add up to one without asking anybody.
/// Hosts that are live but not heard keep an even share. Not thread-safe.
class QuotaGate
{
public:
    QuotaGate(QuotaOptions options, Clock clock);

    /// Takes the quotas of a sheet that came into force.
    void setSheet(std::shared_ptr<const Sheet> sheet);
    /// Number of live entry hosts, this one included.
    void setHosts(std::uint32_t hosts);
    /// Takes what a peer told; it replaces what that peer told before.
    void setPeerDemand(const HostId &peer, const std::vector<CallerDemand> &demand);
    /// The demand that this host tells its peers now; callers with a quota only.
    std::vector<CallerDemand> publishDemand();

    /// Takes one request of the caller. Errors: QuotaExceeded with a retry time. A caller without
    /// quota is not limited.
    Outcome<Done> take(const CallerName &caller);

private:
    struct Bucket {
        double tokens = 0;
        MonotonicTime filledAt;
        double perSecond = 0;
        MonotonicTime demandAt;
        double published = 0;
        MonotonicTime publishedAt;
        bool isNew = true;
    };
    struct PeerDemand {
        MonotonicTime at;
        std::map<CallerName, double> perSecond;
    };

    [[nodiscard]] double share(const CallerName &caller, const Bucket &bucket) const;
    [[nodiscard]] double decayed(double perSecond, MonotonicTime since) const;
    void refill(const SheetQuota &quota, Bucket &bucket);

    QuotaOptions options_;
    Clock clock_;
    std::shared_ptr<const Sheet> sheet_;
    std::uint32_t hosts_ = 1;
    std::map<CallerName, Bucket> buckets_;
    std::map<HostId, PeerDemand> peers_;
};

} // namespace persimmonlb
