// fescuenotch-capacity: reads the result file of the spread experiment and prints, as Markdown, each figure's points, its
// straight line over the number of nodes, and what the line gives for the fleet that decides the design.
#include "bench/results.h"
#include "kernel/errors.h"

#include <boost/math/statistics/linear_regression.hpp>
#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

using namespace Fescuenotch;
using namespace Fescuenotch::Bench;

namespace {

constexpr double FleetNodes = 2'800;
constexpr double ChangesPerSecond = 2'100.0 / 86'400;

/// A figure of the spread experiment and the bound that it is held against.
struct Figure {
    std::string phase;
    std::string value;
    std::string title; ///< with the unit
    double bound = 0; ///< at most this for the fleet; 0: none is stated
};

const std::vector<Figure> &figures()
{
    static const std::vector<Figure> all{
        {"idle", "control_bytes_per_s_per_node", "control bytes a second of an idle node", 12'000},
        {"idle", "core_percent_per_node", "processor share of an idle node, % of a core", 5},
        {"idle", "rss_mib_per_node", "memory of a node, MiB", 256},
        {"idle", "platform_calls_per_s", "platform calls a second of the idle fleet", 2'000},
        {"change", "control_bytes_per_change_per_node", "control bytes of one change, per node", 0},
        {"change", "platform_calls_per_change", "platform calls of one change, fleet", 0},
        {"change", "last_ms", "change in force on the last node, ms", 6'000},
        {"herd", "busiest_second_calls", "platform calls in the busiest second of the whole fleet's return", 2'000},
    };
    return all;
}

struct Points {
    std::vector<double> nodes;
    std::vector<double> values;
};

Points pointsOf(const std::vector<RepeatedCase> &cases, const Figure &figure, const std::string &mode)
{
    Points points;
    for (const auto &it : cases) {
        const auto found = it.values.find(figure.value);
        if (it.phase != figure.phase || found == it.values.end()) {
            continue;
        }
        std::string caseMode;
        double nodes = 0;
        for (const auto &[name, value] : it.conditions) {
            caseMode = name == "mode" ? value : caseMode;
            nodes = name == "nodes" ? std::strtod(value.c_str(), nullptr) : nodes;
        }
        if (caseMode == mode) {
            points.nodes.push_back(nodes);
            points.values.push_back(mean(found->second));
        }
    }
    return points;
}

std::string pointText(const Points &points)
{
    std::string text;
    for (std::size_t n = 0; n < points.nodes.size(); ++n) {
        char buf[64];
        std::snprintf(buf, sizeof buf, "%s%.0f: %.4g", n == 0 ? "" : ", ", points.nodes[n], points.values[n]);
        text += buf;
    }
    return text;
}

std::string verdict(double atFleet, double bound)
{
    if (bound == 0) {
        return "no bound stated";
    }
    char buf[64];
    std::snprintf(buf, sizeof buf, "%s %.6g", atFleet <= bound ? "within" : "**passes**", bound);
    return buf;
}

void printRow(const Figure &figure, const Points &points)
{
    if (points.nodes.size() < 2) {
        std::printf("| %s | %s | not fitted: fewer than two sizes | | |\n", figure.title.c_str(), pointText(points).c_str());
        return;
    }
    const auto [start, slope] = boost::math::statistics::simple_ordinary_least_squares(points.nodes, points.values);
    const bool grows = slope > 0;
    const double largest = *std::max_element(points.values.begin(), points.values.end());
    const double atFleet = grows ? start + slope * FleetNodes : largest;
    std::printf("| %s | %s | %.4g + %.4g n%s | %.4g | %s |\n",
                figure.title.c_str(),
                pointText(points).c_str(),
                start,
                slope,
                grows ? "" : "; no growth seen, the largest point is taken",
                atFleet,
                verdict(atFleet, figure.bound).c_str());
}

int print(const std::string &file, const std::string &mode)
{
    const auto read = valueOrError([&] { return readResults(file); });
    if (const auto *error = std::get_if<Error>(&read)) {
        std::fprintf(stderr, "fescuenotch-capacity: %s\n", describe(*error).c_str());
        return 1;
    }
    const auto cases = groupRepeats(std::get<0>(read));
    std::printf("| figure | measured at nodes | line | at %.0f nodes | bound |\n|---|---|---|---|---|\n", FleetNodes);
    for (const auto &figure : figures()) {
        printRow(figure, pointsOf(cases, figure, mode));
    }
    std::printf("\nChanges come %.4f times a second.\n", ChangesPerSecond);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    char *results = nullptr;
    char *mode = nullptr;
    const std::vector<poptOption> table{
        {"results", 0, POPT_ARG_STRING, &results, 0, "result file of the spread experiment (default: build/report/spread.jsonl)", "FILE"},
        {"mode", 0, POPT_ARG_STRING, &mode, 0, "way to spread (default: tree-digest)", "MODE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<std::remove_pointer_t<poptContext>, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, argc, const_cast<const char **>(argv), table.data(), 0), poptFreeContext);
    if (const int code = poptGetNextOpt(context.get()); code < -1) {
        std::fprintf(stderr, "fescuenotch-capacity: %s: %s; see --help\n", poptBadOption(context.get(), 0), poptStrerror(code));
        return 2;
    }
    return print(results == nullptr ? "build/report/spread.jsonl" : results, mode == nullptr ? "tree-digest" : mode);
}
