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
    Milliseconds demandWindow{500}; ///< Time constant of the smoothed demand.
    Milliseconds publishInterval{500}; ///< Interval between calls to publishDemand().
    Milliseconds demandLifetime{3000}; ///< Older demand of a peer is ignored.
    double evenFraction = 0.03; ///< Fraction of a quota split evenly, regardless of demand.
};

/// Limits each caller to its request quota in the sheet, divided among the entry hosts.
///
/// Example:
///   digest.demand = limiter.publishDemand();        // once per round of digests
///   limiter.setPeerDemand(peer, digest.demand);
///   if (auto admitted = limiter.admit(caller); !admitted.ok()) refuse(admitted.error());
///
/// Each host publishes the demand of its callers to its peers. A host's share of a quota is
/// proportional to its part of the demand that all hosts published last, so that the shares add up
/// to one without further messages. Live hosts whose demand has not been received keep an even
/// share. Not thread-safe.
class QuotaLimiter
{
public:
    QuotaLimiter(QuotaOptions options, Clock clock);

    /// Applies the quotas of the sheet in force.
    void setSheet(std::shared_ptr<const Sheet> sheet);
    /// Sets the number of live entry hosts, including this one.
    void setHostCount(std::uint32_t count);
    /// Stores the demand that a peer published. It replaces the peer's earlier demand.
    void setPeerDemand(const HostId &peer, const std::vector<CallerDemand> &demand);
    /// Returns the demand to send to the peers now, for callers with a quota only. Assumes that it
    /// is sent, so call it once per publication.
    std::vector<CallerDemand> publishDemand();

    /// Admits one request of the caller. Errors: QuotaExceeded with a retry time. A caller without
    /// a quota is not limited.
    Outcome<Done> admit(const CallerName &caller);

private:
    struct Bucket {
        double tokens = 0;
        MonotonicTime refilledAt;
        double demandPerSecond = 0;
        MonotonicTime demandUpdatedAt;
        double publishedDemand = 0;
        MonotonicTime publishedAt;
        bool isNew = true;
    };
    struct PeerDemand {
        MonotonicTime receivedAt;
        std::map<CallerName, double> demandPerSecond;
    };

    [[nodiscard]] double share(const CallerName &caller, const Bucket &bucket) const;
    [[nodiscard]] double decayedDemand(double demandPerSecond, MonotonicTime since) const;
    void refill(const SheetQuota &quota, Bucket &bucket);

    QuotaOptions options_;
    Clock clock_;
    std::shared_ptr<const Sheet> sheet_;
    std::uint32_t hostCount_ = 1;
    std::map<CallerName, Bucket> buckets_;
    std::map<HostId, PeerDemand> peers_;
};

} // namespace persimmonlb
