#pragma once

#include <cstdint>

#include "persimmonlb/base/clock.h"

namespace persimmonlb
{

/// Rate of an open-loop load. Without bursts it is constant.
struct ArrivalRate {
    double perSecond = 0; ///< Between bursts; 0: no arrivals.
    Microseconds burstEvery{0}; ///< From start to start; 0: no bursts.
    Microseconds burstLength{0};
    double burstFactor = 1; ///< Rate in a burst, as a multiple of perSecond.

    bool operator==(const ArrivalRate &) const = default;
};

/// Times of a Poisson process, from its start. The same seed gives the same times.
///
/// Example:
///   PoissonArrivals arrivals({.perSecond = 40}, seededRandom(1));
///   at(start + arrivals.next(), sendRequest);
class PoissonArrivals
{
public:
    PoissonArrivals(ArrivalRate rate, RandomSource random);

    /// Time of the next arrival; Microseconds::max() when there will be none.
    Microseconds next();

private:
    [[nodiscard]] double rateAt(Microseconds time) const;
    [[nodiscard]] Microseconds nextChange(Microseconds time) const;

    ArrivalRate rate_;
    RandomSource random_;
    Microseconds time_{0};
};

/// A number from 0 (included) to 1 (not included).
double uniformShare(const RandomSource &random);

} // namespace persimmonlb
