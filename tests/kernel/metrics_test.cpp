#include "kernel/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

BOOST_AUTO_TEST_SUITE(Metrics)

BOOST_AUTO_TEST_CASE(counter_registered_isShownWithZero)
{
    const auto metrics = makeMetricsRegistry();
    metrics->counter("fescuenotch_example_total", "An example.", {{"reason", "none"}});
    BOOST_TEST(metrics->text().find("fescuenotch_example_total{reason=\"none\"} 0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(histogram_records_quantileIsWithinOneBucket)
{
    const auto metrics = makeMetricsRegistry();
    auto &histogram = metrics->histogram("fescuenotch_example_seconds", "An example.");
    for (int n = 1; n <= 100; ++n) {
        histogram.record(milliseconds(n));
    }
    BOOST_TEST(histogram.quantile(0.5) >= milliseconds(50));
    BOOST_TEST(histogram.quantile(0.5) <= milliseconds(65));
}

BOOST_AUTO_TEST_SUITE_END()
