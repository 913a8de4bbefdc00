#include <boost/test/unit_test.hpp>

#include "persimmonlb/base/metrics.h"

namespace persimmonlb
{

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(histogramBucketsAreCumulative)
{
    Metrics metrics;
    for (const double seconds : {0.0001, 0.010, 0.010, 500.0}) {
        metrics.observe("t_seconds", {{"service", "a\"b"}}, seconds);
    }
    const std::string text = metrics.text();
    BOOST_TEST(text.find("t_seconds_bucket{service=\"a\\\"b\",le=\"0.000707107\"} 1\n")
               != std::string::npos);
    BOOST_TEST(text.find("t_seconds_bucket{service=\"a\\\"b\",le=\"131.072\"} 3\n")
               != std::string::npos);
    BOOST_TEST(text.find("t_seconds_bucket{service=\"a\\\"b\",le=\"+Inf\"} 4\n")
               != std::string::npos);
}

BOOST_AUTO_TEST_CASE(callersCannotGrowTheSeriesWithoutBound)
{
    Metrics metrics;
    for (int i = 0; i < 10000; ++i) {
        metrics.count("refusals_total", {{"caller", std::to_string(i)}});
    }
    BOOST_TEST(metrics.text().find("persimmonlb_metric_series_dropped_total 5904")
               != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace persimmonlb
