#pragma once

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// By how much the requests of a customer may exceed its quota in any window:
/// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaTolerance {
    Milliseconds window{5000};
    double overshoot = 0; ///< Fraction of the quota.
    double slack = 0; ///< Requests.

    bool operator==(const QuotaTolerance &) const = default;
};

} // namespace persimmonlb
