#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/customers/customer.h"
#include "persimmonlb/quotas/quotatolerance.h"
#include "persimmonlb/quotas/slidingcount.h"

namespace persimmonlb
{

/// A request of a customer that an entry host asks the leader for.
struct QuotaRequest {
    HostId host;
    std::uint64_t ticket = 0; ///< Unique for the host.
    CustomerName customer;
    bool isCharged = false; ///< An earlier attempt of the same request was charged.
    /// Requests that the host admitted without the leader since it asked last.
    std::uint32_t admittedLocally = 0;

    bool operator==(const QuotaRequest &) const = default;
};

/// The quotas of all customers, kept by the leader, which every request of a limited customer asks.
///
/// Each limited customer has a token bucket of its quota, and beside it a small one for requests
/// that come somewhat faster; it takes up to a quarter of the tolerance in a window. Half of the
/// tolerance is kept for changes of leader: a new leader does not know what its predecessor
/// admitted and starts each bucket with a quarter of the tolerance. The rest covers what entry
/// hosts admit without a leader (localShareOf). Not thread-safe.
class QuotaLedger
{
public:
    QuotaLedger(QuotaTolerance tolerance, Clock clock);

    /// This host began to lead.
    void beginTerm();
    /// Sets the customers of the routes in force; the buckets of those known before go on.
    void setCustomers(const std::vector<Customer> &customers);

    /// Charges a request. Returns nothing if it is admitted; otherwise the time after which its
    /// caller should come back. No token is kept for it: that would refuse other requests which are
    /// within the quota.
    std::optional<Milliseconds> admit(const QuotaRequest &request);
    /// The request got a server: its charge is final. Returns the customer that was charged, or
    /// nothing.
    std::optional<CustomerName> confirm(const HostId &host, std::uint64_t ticket);
    /// The request was refused for another reason, or withdrawn before it got a server.
    void giveBack(const HostId &host, std::uint64_t ticket);
    void hostLost(const HostId &host);

    /// Returns how many requests of the customer an entry host may admit while it cannot ask the
    /// leader, as a share of those that it sent in the last window: what all hosts together admit
    /// so stays within the quota as long as the customer was well below it.
    [[nodiscard]] double localShareOf(const CustomerName &customer) const;
    /// True if the customer has a quota.
    [[nodiscard]] bool isLimited(const CustomerName &customer) const;

private:
    struct Account {
        double rate = 0; ///< Tokens per second.
        double burst = 0; ///< Most tokens.
        double extraRate = 0; ///< Of the bucket beside it.
        double extraBurst = 0;
        double extraTokens = 0;
        double tolerance = 0; ///< Requests in a window beyond the quota.
        double maxInWindow = 0; ///< Of the quota and the tolerance.
        double tokens = 0; ///< At updatedAt.
        MonotonicTime updatedAt = {};
        SlidingCount admitted;
        MonotonicTime lastReturn = {}; ///< When the caller that was refused last comes back.
    };
    using Charge = std::pair<HostId, std::uint64_t>;

    [[nodiscard]] Account makeAccount(const Customer &customer) const;
    static void refill(Account &account, MonotonicTime now);
    /// Returns when a refused caller should come back: callers are spread over the tokens to come.
    static Milliseconds returnTime(Account &account, MonotonicTime now);

    QuotaTolerance tolerance_;
    Clock clock_;
    MonotonicTime termBegan_;
    std::map<CustomerName, Account> accounts_;
    std::map<Charge, CustomerName> openCharges_; ///< Of requests that have no server yet.
};

} // namespace persimmonlb
