#include "persimmonlb/routing/retrybudget.h"

#include <algorithm>

namespace persimmonlb
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options)
    , remaining_(options.initialRetries)
{
}

void RetryBudget::recordSuccess()
{
    remaining_ = std::min(remaining_ + options_.retriesPerSuccess, options_.maxRetries);
}

bool RetryBudget::tryTake()
{
    if (remaining_ < 1) {
        return false;
    }
    remaining_ -= 1;
    return true;
}

double RetryBudget::remaining() const
{
    return remaining_;
}

} // namespace persimmonlb
