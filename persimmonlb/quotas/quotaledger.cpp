#include "persimmonlb/quotas/quotaledger.h"

#include <algorithm>

namespace persimmonlb
{

namespace
{

/// Of the tolerance: admitted beyond the quota. The rest is for requests that the leader does not
/// see, and because the sending of a request and its arrival at the leader are some time apart.
constexpr double extraShare = 0.5;
/// Of the entry hosts that must have told their history, so that the others may be taken to have
/// sent in proportion.
constexpr double historyCoverage = 0.6;
/// Of the tolerance: admitted at the beginning of a term without enough history.
constexpr double unknownHistoryShare = 0.5;
/// Of what a host sent in the last window: more than its usual traffic during a change of leader.
constexpr double maxLocalShare = 0.75;
/// A host may have been told its share this long ago. A customer whose callers become many at once
/// must not have more admitted by such shares than is left of its quota: with shares that did not
/// count this, 473 and 485 requests ran in a window that allows 456.
constexpr Milliseconds shareAge{500};
constexpr double growth = 1; ///< Of the traffic within shareAge.
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
    toldHistory_.clear();
    accounts_.clear();
    openCharges_.clear();
}

QuotaLedger::Account QuotaLedger::makeAccount(const Customer &customer) const
{
    const double windowSeconds = std::chrono::duration<double>(tolerance_.window).count();
    Account account{.admitted = RequestLog(tolerance_.window)};
    account.rate = customer.requestsPerSecond;
    account.quota = std::max(1.0, customer.requestsPerSecond * windowSeconds + customer.burst);
    account.tolerance = account.quota * tolerance_.overshoot + tolerance_.slack;
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
            account.admitted = known->second.admitted;
            account.admittedInTerm = known->second.admittedInTerm;
            account.lastReturn = known->second.lastReturn;
        }
        next.insert_or_assign(customer.name, std::move(account));
    }
    accounts_ = std::move(next);
}

void QuotaLedger::setHostCount(std::size_t hosts)
{
    hostCount_ = hosts;
}

bool QuotaLedger::isFirstWindow(MonotonicTime now) const
{
    return now - termBegan_ < tolerance_.window;
}

void QuotaLedger::takeHistory(const HostId &host, const SentHistory &history)
{
    const MonotonicTime now = clock_.monotonic();
    if (!history.isWhole || !isFirstWindow(now) || !toldHistory_.insert(host).second) {
        return;
    }
    for (const CustomerHistory &sent : history.customers) {
        const auto found = accounts_.find(sent.customer);
        if (found == accounts_.end()) {
            continue;
        }
        MonotonicTime at = now;
        for (const std::uint64_t requests : sent.sentBySecond) {
            found->second.admitted.add(static_cast<std::uint32_t>(requests), at, now);
            at -= std::chrono::seconds(1);
        }
    }
}

double QuotaLedger::limitOf(const Account &account, MonotonicTime now) const
{
    if (!isFirstWindow(now)) {
        return account.quota + extraShare * account.tolerance;
    }
    return account.quota * coverage();
}

double QuotaLedger::coverage() const
{
    if (hostCount_ == 0) {
        return 0;
    }
    return std::min(1.0,
                    static_cast<double>(toldHistory_.size()) / static_cast<double>(hostCount_));
}

void QuotaLedger::count(Account &account, std::uint32_t requests, MonotonicTime now) const
{
    account.admitted.add(requests, now, now);
    account.admittedInTerm += requests;
}

std::optional<Milliseconds> QuotaLedger::admit(const QuotaRequest &request)
{
    const auto found = accounts_.find(request.customer);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    Account &account = found->second;
    const MonotonicTime now = clock_.monotonic();
    if (request.admittedLocally > 0) {
        count(account, request.admittedLocally, now);
    }
    if (request.isCharged) {
        return std::nullopt;
    }
    bool isAdmitted = static_cast<double>(account.admitted.total(now)) + 1 <= limitOf(account, now);
    if (isFirstWindow(now) && coverage() < historyCoverage) {
        const std::chrono::duration<double> inTerm = now - termBegan_;
        isAdmitted = account.admittedInTerm + 1
            <= unknownHistoryShare * account.tolerance + account.rate * inTerm.count();
    }
    if (!isAdmitted) {
        return returnTime(account, now);
    }
    count(account, 1, now);
    openCharges_[{request.host, request.ticket}] = {.customer = request.customer, .at = now};
    return std::nullopt;
}

Milliseconds QuotaLedger::returnTime(Account &account, MonotonicTime now) const
{
    const auto limit = static_cast<std::size_t>(std::max(1.0, limitOf(account, now)));
    const MonotonicTime earliest = account.admitted.whenBelow(limit, now);
    account.lastReturn = std::clamp(account.lastReturn + secondsToTime(1 / account.rate), earliest,
                                    std::max(earliest, now + maxReturnTime));
    return std::max(std::chrono::ceil<Milliseconds>(account.lastReturn - now), Milliseconds(1));
}

std::optional<CustomerName> QuotaLedger::confirm(const HostId &host, std::uint64_t ticket)
{
    const auto charge = openCharges_.extract({host, ticket});
    return charge.empty() ? std::nullopt : std::optional(charge.mapped().customer);
}

void QuotaLedger::giveBack(const HostId &host, std::uint64_t ticket)
{
    const auto charge = openCharges_.extract({host, ticket});
    if (charge.empty()) {
        return;
    }
    const auto account = accounts_.find(charge.mapped().customer);
    if (account != accounts_.end()) {
        account->second.admitted.remove(charge.mapped().at);
        account->second.admittedInTerm -= std::min(account->second.admittedInTerm, 1U);
    }
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
    if (found == accounts_.end() || isFirstWindow(now)) {
        return 0;
    }
    const Account &account = found->second;
    const double admitted = std::max(1.0, static_cast<double>(account.admitted.total(now)));
    const auto recent = static_cast<double>(account.admitted.countAfter(now - shareAge));
    const double room = account.quota - admitted - growth * recent;
    return std::clamp(room / admitted, 0.0, maxLocalShare);
}

QuotaUsage QuotaLedger::usage(const CustomerName &customer) const
{
    const auto found = accounts_.find(customer);
    if (found == accounts_.end()) {
        return {};
    }
    const MonotonicTime now = clock_.monotonic();
    return {.admitted = found->second.admitted.total(now),
            .limit = static_cast<std::uint64_t>(limitOf(found->second, now))};
}

bool QuotaLedger::isLimited(const CustomerName &customer) const
{
    return accounts_.contains(customer);
}

} // namespace persimmonlb
