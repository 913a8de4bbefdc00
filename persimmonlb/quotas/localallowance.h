#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/quotas/customerhistory.h"
#include "persimmonlb/quotas/slidingcount.h"

namespace persimmonlb
{

/// What an entry host may admit of limited customers while it cannot ask the leader: with each
/// grant the leader names a share of the requests that the host sent in the last window (see
/// QuotaLedger::localShareOf). It is spent once, until the next grant. Not thread-safe.
class LocalAllowance
{
public:
    LocalAllowance(Milliseconds window, Clock clock, RandomSource random);

    /// The leader granted a request and named a share, in thousandths.
    void recordGrant(const CustomerName &customer, std::uint32_t sharePermille);
    /// Takes one request from the allowance; false if nothing is left of it.
    bool take(const CustomerName &customer);
    /// Returns the requests that were taken since the last call, to be told to the leader.
    std::uint32_t takeReport(const CustomerName &customer);
    /// Adds to the next report what a report said that could not be sent.
    void restoreReport(const CustomerName &customer, std::uint32_t requests);
    /// Returns what was sent in the last window, for a new leader.
    [[nodiscard]] SentHistory history() const;
    /// Forgets customers without requests in the last window. Call now and then.
    void tick();

private:
    struct Account {
        SlidingCount sent;
        double share = 0;
        std::optional<std::uint32_t> left = {}; ///< Set when the allowance is first used.
        std::uint32_t unreported = 0;
    };

    Milliseconds window_;
    Clock clock_;
    RandomSource random_;
    MonotonicTime startedAt_;
    std::map<CustomerName, Account> accounts_;
};

} // namespace persimmonlb
