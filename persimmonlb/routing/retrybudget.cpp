#include "persimmonlb/routing/retrybudget.h"

#include <algorithm>

namespace persimmonlb
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : options_(options)
    , left_(options.initial)
{
}

void RetryBudget::succeeded()
{
    left_ = std::min(left_ + options_.perSuccess, options_.most);
}

bool RetryBudget::take()
{
    if (left_ < 1) {
        return false;
    }
    left_ -= 1;
    return true;
}

double RetryBudget::left() const
{
    return left_;
}

} // namespace persimmonlb
