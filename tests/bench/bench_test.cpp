#include "bench/processstats.h"
#include "bench/report.h"
#include "bench/results.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>

using namespace Fescuenotch;
using namespace Fescuenotch::Bench;

namespace {

struct ResultsFixture {
    std::vector<Measurement> measurements;

    void add(const std::string &mode, const std::string &nodes, double last, unsigned run = 1)
    {
        measurements.push_back({"spread", "change", {{"mode", mode}, {"nodes", nodes}}, {{"last_ms", last}}, run, run});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BenchResults, ResultsFixture)

BOOST_AUTO_TEST_CASE(line_writtenAndRead_isTheSame)
{
    add("tree", "25", 12.5, 3);
    const std::string file = (std::filesystem::temp_directory_path() / ("bench-" + std::to_string(getpid()) + ".jsonl")).string();
    std::ofstream(file) << toJsonLine(measurements[0]) << "\n";
    const auto read = valueOrError([&] { return readResults(file); });
    std::ofstream(file) << "{\"experiment\":7}\n";
    const auto broken = valueOrError([&] { return readResults(file); });
    std::filesystem::remove(file);
    BOOST_REQUIRE_EQUAL(read.index(), 0U);
    BOOST_TEST(toJsonLine(std::get<0>(read).at(0)) == toJsonLine(measurements[0]));
    BOOST_REQUIRE_EQUAL(broken.index(), 1U);
    BOOST_TEST(std::get<1>(broken).what.find(":1: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(repeats_ofOneCase_areGroupedWithTheirRange)
{
    add("tree", "25", 10, 1);
    add("gossip", "25", 40, 1);
    add("tree", "25", 20, 2);
    const auto cases = groupRepeats(measurements);
    BOOST_REQUIRE_EQUAL(cases.size(), 2U);
    BOOST_TEST(cases[0].values.at("last_ms") == (std::vector<double>{10, 20}), boost::test_tools::per_element());
    BOOST_TEST(tables(measurements).find("15 [10..20]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(comparison_rangesApartOrNot_isTold)
{
    add("tree", "25", 10, 1);
    add("tree", "25", 12, 2);
    const auto a = measurements;
    measurements.clear();
    add("tree", "25", 11, 1);
    add("tree", "25", 14, 2);
    BOOST_TEST(comparison(a, measurements).find("within spread") != std::string::npos);
    measurements[0].values[0].second = 13;
    BOOST_TEST(comparison(a, measurements).find("apart") != std::string::npos);
    measurements.pop_back();
    BOOST_TEST(comparison(a, measurements).find("one run only") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(quantile_ofFewValues_isAValueThatWasSeen)
{
    BOOST_TEST(quantile({3, 1, 2, 4}, 0.5) == 2.0);
    BOOST_TEST(quantile({3, 1, 2, 4}, 0.99) == 4.0);
    BOOST_TEST(quantile({}, 0.5) == 0.0);
}

BOOST_AUTO_TEST_CASE(plot_missingCase_isLeftOut)
{
    add("tree", "25", 10);
    add("tree", "50", 20);
    add("gossip", "50", 40);
    const Plot plot = makePlot({"Last", "change", "nodes", "last_ms"}, measurements);
    BOOST_REQUIRE_EQUAL(plot.series.size(), 2U);
    BOOST_TEST(std::isnan(plot.series[1].y[0]));
    const std::string svg = toSvg(plot);
    BOOST_TEST(svg.find("polyline") != std::string::npos);
    BOOST_TEST(svg.find("nan") == std::string::npos);
    BOOST_TEST(toSvg({"a<b", "mode", "ms", {"tree", "gossip"}, {{"x", {1, 2}}}}).find("a&lt;b") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(logLine_inForce_givesTimeAndVersion)
{
    const auto event = parseInForceEvent("time=2026-01-31T12:00:00.123Z level=info event=profile_in_force host=127.21.1.10 profile=mesh epoch=2 revision=42");
    BOOST_REQUIRE(event.has_value());
    BOOST_TEST(event->epoch == 2U);
    BOOST_TEST(event->revision == 42U);
    BOOST_TEST(std::chrono::duration_cast<milliseconds>(event->at.time_since_epoch()).count() == 1'769'860'800'123);
    BOOST_TEST(!parseInForceEvent("time=2026-01-31T12:00:00.123Z level=info event=node_started").has_value());
}

BOOST_AUTO_TEST_CASE(metric_samplesWithLabel_areSummed)
{
    const std::string text
        = "# TYPE bytes counter\nbytes{direction=\"in\",kind=\"a\"} 5\nbytes{direction=\"out\",kind=\"a\"} 7\nbytes{direction=\"out\",kind=\"b\"} 2\n"
          "bytes_total 100\n";
    BOOST_TEST(sumMetric(text, "bytes", "direction=\"out\"") == 9.0);
    BOOST_TEST(sumMetric(text, "bytes_total", "") == 100.0);
}

BOOST_AUTO_TEST_SUITE_END()
