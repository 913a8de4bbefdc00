#pragma once

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

struct RetryBudgetOptions {
    double perSuccess = 0.1; ///< Retries earned by one success.
    double most = 20; ///< Retries that may be saved up.
    double initial = 3;
};

/// Bounds retries to a share of the successes, so that failing servers meet no storm.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options);

    void succeeded();
    /// Takes one retry; false when none is left.
    bool take();
    [[nodiscard]] double left() const;

private:
    RetryBudgetOptions options_;
    double left_;
};

} // namespace persimmonlb
