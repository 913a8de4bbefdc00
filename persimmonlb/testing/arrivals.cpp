#include "persimmonlb/testing/arrivals.h"

#include <cmath>
#include <utility>

namespace persimmonlb
{

namespace
{

constexpr double microsPerSecond = 1e6;

} // namespace

double uniformShare(const RandomSource &random)
{
    constexpr unsigned unusedBits = 11;
    constexpr double steps = 9007199254740992.0; // 2 to the 53
    return static_cast<double>(random() >> unusedBits) / steps;
}

PoissonArrivals::PoissonArrivals(ArrivalRate rate, RandomSource random)
    : rate_(rate)
    , random_(std::move(random))
{
}

Microseconds PoissonArrivals::next()
{
    if (rate_.perSecond <= 0) {
        return Microseconds::max();
    }
    // Arrivals of a unit process, stretched by the rate; each stretch of constant rate uses up its
    // part of the exponential gap.
    double gap = -std::log(1 - uniformShare(random_));
    while (true) {
        const double perMicro = rateAt(time_) / microsPerSecond;
        const Microseconds change = nextChange(time_);
        const double needed = gap / perMicro;
        const bool fits = change == Microseconds::max()
            || needed < static_cast<double>((change - time_).count());
        if (fits) {
            time_ += Microseconds(static_cast<std::int64_t>(needed));
            return time_;
        }
        gap -= perMicro * static_cast<double>((change - time_).count());
        time_ = change;
    }
}

double PoissonArrivals::rateAt(Microseconds time) const
{
    const bool bursts = rate_.burstEvery.count() > 0;
    const bool inBurst = bursts && time % rate_.burstEvery < rate_.burstLength;
    return inBurst ? rate_.perSecond * rate_.burstFactor : rate_.perSecond;
}

Microseconds PoissonArrivals::nextChange(Microseconds time) const
{
    if (rate_.burstEvery.count() <= 0 || rate_.burstLength >= rate_.burstEvery) {
        return Microseconds::max();
    }
    const Microseconds period = time - time % rate_.burstEvery;
    const Microseconds burstEnd = period + rate_.burstLength;
    return time < burstEnd ? burstEnd : period + rate_.burstEvery;
}

} // namespace persimmonlb
