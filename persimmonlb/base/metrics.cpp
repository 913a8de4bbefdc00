#include "persimmonlb/base/metrics.h"

#include <sstream>

#include <boost/histogram.hpp>

namespace persimmonlb
{

namespace
{

constexpr std::size_t maxSeries = 4096;
constexpr double leastBucketSeconds = 0.0005;
constexpr double mostBucketSeconds = 131.072;
constexpr unsigned bucketCount = 36; // Two buckets per doubling.

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

struct LatencySeries {
    decltype(boost::histogram::make_histogram(LogAxis())) buckets
        = boost::histogram::make_histogram(
            LogAxis(bucketCount, leastBucketSeconds, mostBucketSeconds));
    double sum = 0;
    std::uint64_t count = 0;
};

std::string escapeLabel(const std::string &value)
{
    std::string text;
    for (const char byte : value) {
        if (byte == '\n') {
            text += "\\n";
            continue;
        }
        if (byte == '"' || byte == '\\') {
            text += '\\';
        }
        text += byte;
    }
    return text;
}

std::string formatLabels(const MetricLabels &labels, const std::string &last = "")
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name + "=\"" + escapeLabel(value) + "\"";
    }
    if (!last.empty()) {
        text += text.empty() ? "" : ",";
        text += last;
    }
    return text.empty() ? text : "{" + text + "}";
}

void writeLatency(std::ostream &out, const std::string &name, const MetricLabels &labels,
                  const LatencySeries &series)
{
    std::uint64_t upTo = static_cast<std::uint64_t>(series.buckets.at(-1));
    for (int i = 0; i < static_cast<int>(bucketCount); ++i) {
        upTo += static_cast<std::uint64_t>(series.buckets.at(i));
        std::ostringstream bound;
        bound << series.buckets.axis().bin(i).upper();
        out << name << "_bucket" << formatLabels(labels, "le=\"" + bound.str() + "\"") << ' '
            << upTo << '\n';
    }
    out << name << "_bucket" << formatLabels(labels, "le=\"+Inf\"") << ' ' << series.count << '\n';
    out << name << "_sum" << formatLabels(labels) << ' ' << series.sum << '\n';
    out << name << "_count" << formatLabels(labels) << ' ' << series.count << '\n';
}

} // namespace

struct Metrics::State {
    template <typename Series>
    using Family = std::map<std::string, std::map<MetricLabels, Series>, std::less<>>;

    Family<std::uint64_t> counters;
    Family<double> gauges;
    Family<LatencySeries> latencies;
    std::size_t series = 0;
    std::uint64_t dropped = 0;

    /// The series, or nothing when the bound is reached.
    template <typename Series>
    Series *find(Family<Series> &family, std::string_view name, const MetricLabels &labels)
    {
        auto &byLabels = family.try_emplace(std::string(name)).first->second;
        const auto known = byLabels.find(labels);
        if (known != byLabels.end()) {
            return &known->second;
        }
        if (series >= maxSeries) {
            ++dropped;
            return nullptr;
        }
        ++series;
        return &byLabels[labels];
    }
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, const MetricLabels &labels, std::uint64_t by)
{
    if (std::uint64_t *value = state_->find(state_->counters, name, labels)) {
        *value += by;
    }
}

void Metrics::set(std::string_view name, const MetricLabels &labels, double value)
{
    if (double *gauge = state_->find(state_->gauges, name, labels)) {
        *gauge = value;
    }
}

void Metrics::observe(std::string_view name, const MetricLabels &labels, double seconds)
{
    LatencySeries *latency = state_->find(state_->latencies, name, labels);
    if (latency == nullptr) {
        return;
    }
    latency->buckets(seconds);
    latency->sum += seconds;
    ++latency->count;
}

std::uint64_t Metrics::counter(std::string_view name, const MetricLabels &labels) const
{
    const auto family = state_->counters.find(name);
    if (family == state_->counters.end()) {
        return 0;
    }
    const auto series = family->second.find(labels);
    return series == family->second.end() ? 0 : series->second;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    for (const auto &[name, byLabels] : state_->counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : byLabels) {
            out << name << formatLabels(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, byLabels] : state_->gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto &[labels, value] : byLabels) {
            out << name << formatLabels(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, byLabels] : state_->latencies) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, series] : byLabels) {
            writeLatency(out, name, labels, series);
        }
    }
    out << "# TYPE persimmonlb_metric_series_dropped_total counter\n"
        << "persimmonlb_metric_series_dropped_total " << state_->dropped << '\n';
    return out.str();
}

} // namespace persimmonlb
