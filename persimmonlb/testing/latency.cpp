#include "persimmonlb/testing/latency.h"

#include <algorithm>
#include <cmath>

#include <boost/histogram.hpp>

namespace persimmonlb
{

namespace
{

constexpr double leastMs = 0.05;
constexpr double mostMs = 600000;
constexpr int bins = 1700;
constexpr double microsPerMilli = 1000;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log,
                                             boost::histogram::use_default,
                                             boost::histogram::axis::option::none_t>;
using Histogram = decltype(boost::histogram::make_histogram(std::declval<Axis>()));

} // namespace

struct LatencyHistogram::State {
    Histogram histogram = boost::histogram::make_histogram(Axis(bins, leastMs, mostMs));
    std::uint64_t count = 0;
    double maximum = 0;
};

LatencyHistogram::LatencyHistogram()
    : state_(std::make_unique<State>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(Microseconds latency)
{
    constexpr double belowMost = mostMs * 0.9999;
    const double milliseconds = static_cast<double>(latency.count()) / microsPerMilli;
    state_->histogram(std::clamp(milliseconds, leastMs, belowMost));
    state_->maximum = std::max(state_->maximum, milliseconds);
    ++state_->count;
}

std::uint64_t LatencyHistogram::count() const
{
    return state_->count;
}

double LatencyHistogram::quantileMs(double quantile) const
{
    const double wanted = std::ceil(quantile * static_cast<double>(state_->count));
    double seen = 0;
    for (const auto &cell : boost::histogram::indexed(state_->histogram)) {
        seen += *cell;
        if (*cell > 0 && seen >= wanted) {
            return std::sqrt(cell.bin().lower() * cell.bin().upper());
        }
    }
    return 0;
}

double LatencyHistogram::maximumMs() const
{
    return state_->maximum;
}

} // namespace persimmonlb
