#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonlb
{

/// Label names and values of one series, in order.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Counters, gauges and latency histograms of one process, written as Prometheus text.
///
/// Example:
///   metrics.count("persimmonlb_requests_total", {{"code", "ok"}});
///   metrics.observe("persimmonlb_request_seconds", {{"service", "chat"}}, 0.120);
/// Not thread-safe: used on the decision thread. The number of series is bounded; past the bound a
/// new series is dropped and persimmonlb_metric_series_dropped_total counts it.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// Adds to a counter.
    void count(std::string_view name, const MetricLabels &labels, std::uint64_t by = 1);
    /// Sets a gauge.
    void set(std::string_view name, const MetricLabels &labels, double value);
    /// Adds one observation, in seconds, to a histogram with buckets from 0.5 ms to 131 s.
    void observe(std::string_view name, const MetricLabels &labels, double seconds);

    /// The value of a counter; 0 when it was never counted.
    [[nodiscard]] std::uint64_t counter(std::string_view name, const MetricLabels &labels) const;
    /// All series as Prometheus text.
    [[nodiscard]] std::string text() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace persimmonlb
