#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "persimmonlb/base/clock.h"
#include "persimmonlb/base/ids.h"
#include "persimmonlb/customers/customer.h"
#include "persimmonlb/quotas/customerhistory.h"
#include "persimmonlb/quotas/quotatolerance.h"
#include "persimmonlb/quotas/requestlog.h"

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

/// What is counted of a customer's quota.
struct QuotaUsage {
    std::uint64_t admitted = 0; ///< Requests in the window that ends now.
    std::uint64_t limit = 0;

    bool operator==(const QuotaUsage &) const = default;
};

/// The quotas of all customers, kept by the leader, which every request of a limited customer asks.
///
/// A customer may send rate x window + burst requests in any window, and half of the tolerance
/// beyond that. A new leader learns from the entry hosts what they sent before (takeHistory). As
/// some of them may be cut off, it admits less in its first window: the quota times the share of
/// hosts that told it, or, without most of them, half of the tolerance and the rate from the
/// beginning of its term. The
/// rest of the tolerance covers what entry hosts admit without a leader (localShareOf). Not
/// thread-safe.
class QuotaLedger
{
public:
    QuotaLedger(QuotaTolerance tolerance, Clock clock);

    /// This host began to lead.
    void beginTerm();
    /// Sets the customers of the routes in force; the accounts of those known before go on.
    void setCustomers(const std::vector<Customer> &customers);
    /// Sets the number of entry hosts.
    void setHostCount(std::size_t hosts);
    /// An entry host tells what it sent before this term. Counts once for each host, and only in
    /// the first window of a term.
    void takeHistory(const HostId &host, const SentHistory &history);

    /// Charges a request. Returns nothing if it is admitted; otherwise the time after which its
    /// caller should come back. Nothing is kept for it: that would refuse other requests which are
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
    /// Returns what is counted of a customer's quota now; zeros if it has none.
    [[nodiscard]] QuotaUsage usage(const CustomerName &customer) const;
    /// True if the customer has a quota.
    [[nodiscard]] bool isLimited(const CustomerName &customer) const;

private:
    struct Account {
        double rate = 0; ///< Requests per second.
        double quota = 0; ///< Requests in a window.
        double tolerance = 0; ///< Requests in a window beyond the quota.
        RequestLog admitted; ///< By this leader and, as far as known, before its term.
        std::uint32_t admittedInTerm = 0;
        MonotonicTime lastReturn = {}; ///< When the caller that was refused last comes back.
    };
    struct Charge {
        CustomerName customer;
        MonotonicTime at;
    };

    [[nodiscard]] Account makeAccount(const Customer &customer) const;
    [[nodiscard]] bool isFirstWindow(MonotonicTime now) const;
    /// Returns the share of entry hosts that told their history.
    [[nodiscard]] double coverage() const;
    /// Returns how many requests the account may have admitted in a window that ends now.
    [[nodiscard]] double limitOf(const Account &account, MonotonicTime now) const;
    void count(Account &account, std::uint32_t requests, MonotonicTime now) const;
    [[nodiscard]] Milliseconds returnTime(Account &account, MonotonicTime now) const;

    QuotaTolerance tolerance_;
    Clock clock_;
    MonotonicTime termBegan_;
    std::size_t hostCount_ = 0;
    std::set<HostId> toldHistory_;
    std::map<CustomerName, Account> accounts_;
    /// Of requests that have no server yet, by host and ticket.
    std::map<std::pair<HostId, std::uint64_t>, Charge> openCharges_;
};

} // namespace persimmonlb
