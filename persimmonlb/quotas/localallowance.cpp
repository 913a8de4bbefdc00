#include "persimmonlb/quotas/localallowance.h"

#include <cmath>
#include <utility>

namespace persimmonlb
{

LocalAllowance::LocalAllowance(Milliseconds window, Clock clock, RandomSource random)
    : window_(window)
    , clock_(std::move(clock))
    , random_(std::move(random))
    , startedAt_(clock_.monotonic())
{
}

void LocalAllowance::recordGrant(const CustomerName &customer, std::uint32_t sharePermille)
{
    constexpr double permille = 1000;
    Account &account
        = accounts_.try_emplace(customer, Account{.sent = SlidingCount(window_)}).first->second;
    account.sent.add(1, clock_.monotonic());
    account.share = sharePermille / permille;
    account.left.reset();
}

bool LocalAllowance::take(const CustomerName &customer)
{
    const auto found = accounts_.find(customer);
    if (found == accounts_.end()) {
        return false;
    }
    Account &account = found->second;
    if (!account.left) {
        constexpr std::uint64_t steps = 1000;
        const double allowed = account.share * account.sent.total(clock_.monotonic());
        const double whole = std::floor(allowed);
        // The fraction is rounded at random, so that many hosts with little traffic each still
        // admit their share together.
        const double dice = static_cast<double>(random_() % steps) / static_cast<double>(steps);
        account.left = static_cast<std::uint32_t>(whole) + (dice < allowed - whole ? 1 : 0);
    }
    if (*account.left == 0) {
        return false;
    }
    --*account.left;
    ++account.unreported;
    account.sent.add(1, clock_.monotonic());
    return true;
}

std::uint32_t LocalAllowance::takeReport(const CustomerName &customer)
{
    const auto found = accounts_.find(customer);
    return found == accounts_.end() ? 0 : std::exchange(found->second.unreported, 0);
}

void LocalAllowance::restoreReport(const CustomerName &customer, std::uint32_t requests)
{
    const auto found = accounts_.find(customer);
    if (found != accounts_.end()) {
        found->second.unreported += requests;
    }
}

SentHistory LocalAllowance::history() const
{
    constexpr std::chrono::seconds interval{1};
    const auto seconds
        = static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(window_).count());
    const MonotonicTime now = clock_.monotonic();
    SentHistory history{.isWhole = now - startedAt_ >= window_};
    for (const auto &[customer, account] : accounts_) {
        history.customers.push_back(
            {.customer = customer, .sentBySecond = account.sent.history(seconds, interval, now)});
    }
    return history;
}

void LocalAllowance::tick()
{
    const MonotonicTime now = clock_.monotonic();
    std::erase_if(accounts_, [now](const auto &entry) {
        return entry.second.unreported == 0 && entry.second.sent.total(now) == 0;
    });
}

} // namespace persimmonlb
