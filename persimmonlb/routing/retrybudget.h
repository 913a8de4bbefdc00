#pragma once

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

struct RetryBudgetOptions {
    double retriesPerSuccess = 0.1; ///< Added to the budget by each successful request.
    double maxRetries = 20; ///< Upper bound of the budget.
    double initialRetries = 3;
};

/// Limits retries to a fraction of the successful requests, so that retries do not overload servers
/// that are failing. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    /// Adds `retriesPerSuccess` to the budget.
    void recordSuccess();
    /// Takes one retry from the budget. Returns false if less than one is left.
    bool tryTake();
    /// Returns the retries that are left.
    [[nodiscard]] double remaining() const;

private:
    RetryBudgetOptions options_;
    double remaining_;
};

} // namespace persimmonlb
