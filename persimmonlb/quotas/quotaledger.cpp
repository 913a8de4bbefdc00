#include "persimmonlb/quotas/quotaledger.h"

#include <algorithm>
#include <utility>

namespace persimmonlb
{

namespace
{

/// Of the tolerance: size of the bucket for requests beyond the quota, and what flows into it in a
/// window.
constexpr double extraShare = 0.125;
constexpr double newTermShare = 0.25; ///< Of the tolerance: tokens of a bucket under a new leader.
/// Of the tolerance: left for two changes of leader when hosts are told what they may admit alone.
constexpr double changesShare = 0.5;
/// Of what a host sent in the last window: some 4 s of its usual traffic, more than a change of
/// leader takes.
constexpr double maxLocalShare = 0.75;
/// Longer times to come back are useless: callers give up before.
constexpr Milliseconds maxReturnTime{10000};

Microseconds secondsToTime(double seconds)
{
    constexpr double microseconds = 1e6;
    return Microseconds(static_cast<std::int64_t>(seconds * microseconds));
}

} // namespace

QuotaLedger::QuotaLedger(QuotaTolerance tolerance, Clock clock)
    : tolerance_(tolerance)
    , clock_(std::move(clock))
    , termBegan_(clock_.monotonic())
{
}

void QuotaLedger::beginTerm()
{
    termBegan_ = clock_.monotonic();
    accounts_.clear();
    openCharges_.clear();
}

QuotaLedger::Account QuotaLedger::makeAccount(const Customer &customer) const
{
    const double windowSeconds = std::chrono::duration<double>(tolerance_.window).count();
    const double quota = customer.requestsPerSecond * windowSeconds + customer.burst;
    Account account{.admitted = SlidingCount(tolerance_.window)};
    account.rate = customer.requestsPerSecond;
    account.tolerance = quota * tolerance_.overshoot + tolerance_.slack;
    account.maxInWindow = quota + account.tolerance;
    account.burst = std::max(1.0, customer.burst);
    account.extraBurst = extraShare * account.tolerance;
    account.extraRate = account.extraBurst / windowSeconds;
    account.tokens = std::min(account.burst, newTermShare * account.tolerance);
    account.updatedAt = clock_.monotonic();
    return account;
}

void QuotaLedger::setCustomers(const std::vector<Customer> &customers)
{
    std::map<CustomerName, Account> next;
    for (const Customer &customer : customers) {
        if (!customer.isLimited()) {
            continue;
        }
        Account account = makeAccount(customer);
        const auto known = accounts_.find(customer.name);
        if (known != accounts_.end()) {
            refill(known->second, clock_.monotonic());
            account.tokens = std::min(known->second.tokens, account.burst);
            account.extraTokens = std::min(known->second.extraTokens, account.extraBurst);
            account.admitted = known->second.admitted;
            account.lastReturn = known->second.lastReturn;
        }
        next.insert_or_assign(customer.name, std::move(account));
    }
    accounts_ = std::move(next);
}

void QuotaLedger::refill(Account &account, MonotonicTime now)
{
    const std::chrono::duration<double> elapsed = now - account.updatedAt;
    account.tokens = std::min(account.burst, account.tokens + account.rate * elapsed.count());
    account.extraTokens
        = std::min(account.extraBurst, account.extraTokens + account.extraRate * elapsed.count());
    account.updatedAt = now;
}

std::optional<Milliseconds> QuotaLedger::admit(const QuotaRequest &request)
{
    const auto found = accounts_.find(request.customer);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    Account &account = found->second;
    const MonotonicTime now = clock_.monotonic();
    refill(account, now);
    if (request.admittedLocally > 0) {
        account.tokens -= static_cast<double>(request.admittedLocally);
        account.admitted.add(request.admittedLocally, now);
    }
    if (request.isCharged) {
        return std::nullopt;
    }
    if (account.tokens < 1 && account.extraTokens < 1) {
        return returnTime(account, now);
    }
    (account.tokens < 1 ? account.extraTokens : account.tokens) -= 1;
    account.admitted.add(1, now);
    openCharges_[{request.host, request.ticket}] = request.customer;
    return std::nullopt;
}

Milliseconds QuotaLedger::returnTime(Account &account, MonotonicTime now)
{
    const MonotonicTime tokenAt
        = now + secondsToTime(std::max(0.0, 1 - account.tokens) / account.rate);
    account.lastReturn = std::clamp(account.lastReturn + secondsToTime(1 / account.rate), tokenAt,
                                    std::max(tokenAt, now + maxReturnTime));
    return std::max(std::chrono::ceil<Milliseconds>(account.lastReturn - now), Milliseconds(1));
}

std::optional<CustomerName> QuotaLedger::confirm(const HostId &host, std::uint64_t ticket)
{
    const auto charge = openCharges_.extract({host, ticket});
    return charge.empty() ? std::nullopt : std::optional(charge.mapped());
}

void QuotaLedger::giveBack(const HostId &host, std::uint64_t ticket)
{
    const auto charge = openCharges_.find({host, ticket});
    if (charge == openCharges_.end()) {
        return;
    }
    const auto account = accounts_.find(charge->second);
    if (account != accounts_.end()) {
        account->second.tokens = std::min(account->second.burst, account->second.tokens + 1);
    }
    openCharges_.erase(charge);
}

void QuotaLedger::hostLost(const HostId &host)
{
    // The host may still send the requests that were granted to it, so nothing is given back.
    std::erase_if(openCharges_, [&host](const auto &charge) { return charge.first.first == host; });
}

double QuotaLedger::localShareOf(const CustomerName &customer) const
{
    const auto found = accounts_.find(customer);
    const MonotonicTime now = clock_.monotonic();
    if (found == accounts_.end() || now - termBegan_ < tolerance_.window) {
        return 0;
    }
    const Account &account = found->second;
    const double admitted = std::max(1.0, static_cast<double>(account.admitted.total(now)));
    const double room = account.maxInWindow - changesShare * account.tolerance - admitted;
    return std::clamp(room / admitted, 0.0, maxLocalShare);
}

bool QuotaLedger::isLimited(const CustomerName &customer) const
{
    return accounts_.contains(customer);
}

} // namespace persimmonlb
