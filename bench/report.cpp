#include "bench/report.h"

#include "bench/results.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <limits>

namespace Fescuenotch::Bench {

namespace {

std::string seriesName(const RepeatedCase &item, const std::string &x)
{
    std::string name;
    for (const auto &[condition, value] : item.conditions) {
        if (condition != x) {
            name += (name.empty() ? "" : ", ") + value;
        }
    }
    return name;
}

std::string xOf(const RepeatedCase &item, const std::string &x)
{
    const auto it = std::find_if(item.conditions.begin(), item.conditions.end(), [&](const auto &condition) { return condition.first == x; });
    return it == item.conditions.end() ? std::string() : it->second;
}

std::size_t indexOf(std::vector<std::string> &names, const std::string &name)
{
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) {
        return static_cast<std::size_t>(it - names.begin());
    }
    names.push_back(name);
    return names.size() - 1;
}

PlotSeries &seriesOf(Plot &plot, const std::string &name)
{
    const auto it = std::find_if(plot.series.begin(), plot.series.end(), [&](const PlotSeries &series) { return series.name == name; });
    return it != plot.series.end() ? *it : *plot.series.insert(plot.series.end(), {name, {}});
}

Result<void> writeFile(const std::string &file, const std::string &text)
{
    std::ofstream out(file, std::ios::binary);
    out << text;
    out.close();
    if (!out) {
        return fail(ErrorKind::InvalidInput, file + ": cannot be written", "give --out a folder that can be written");
    }
    return {};
}

std::string escapedHtml(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
    }
    return out;
}

/// One experiment's part of the page; its plots are written beside it.
Result<std::string> experimentPart(const Experiment &experiment, const std::string &folder)
{
    BOOST_LEAF_AUTO(measurements, readResults(folder + "/" + experiment.name() + ".jsonl"));
    std::string html = "<h2>" + experiment.name() + "</h2>\n<p>" + escapedHtml(experiment.summary()) + "</p>\n";
    std::size_t n = 0;
    for (const auto &spec : experiment.plots()) {
        const Plot plot = makePlot(spec, measurements);
        if (plot.series.empty()) {
            continue;
        }
        const std::string name = experiment.name() + "-" + std::to_string(++n) + ".svg";
        BOOST_LEAF_CHECK(writeFile(folder + "/" + name, toSvg(plot)));
        html += "<img src=\"" + name + "\" alt=\"" + escapedHtml(spec.title) + "\">\n";
    }
    return html + "<pre>" + escapedHtml(tables(measurements)) + "</pre>\n";
}

} // namespace

Plot makePlot(const PlotSpec &spec, const std::vector<Measurement> &measurements)
{
    Plot plot{spec.title, spec.x, spec.y, {}, {}};
    for (const auto &item : groupRepeats(measurements)) {
        const auto it = item.values.find(spec.y);
        if (item.phase != spec.phase || it == item.values.end()) {
            continue;
        }
        auto &series = seriesOf(plot, seriesName(item, spec.x));
        const std::size_t n = indexOf(plot.x, xOf(item, spec.x));
        series.y.resize(std::max(series.y.size(), n + 1), std::numeric_limits<double>::quiet_NaN());
        series.y[n] = mean(it->second);
    }
    for (auto &series : plot.series) {
        series.y.resize(plot.x.size(), std::numeric_limits<double>::quiet_NaN());
    }
    return plot;
}

Result<void> writeReport(const std::string &folder)
{
    std::string html = "<!doctype html>\n<meta charset=\"utf-8\">\n<title>fescuenotch bench</title>\n<h1>fescuenotch bench</h1>\n";
    bool any = false;
    for (const auto &factory : experimentFactories()) {
        const auto experiment = factory();
        if (std::filesystem::exists(folder + "/" + experiment->name() + ".jsonl")) {
            BOOST_LEAF_AUTO(part, experimentPart(*experiment, folder));
            html += part;
            any = true;
        }
    }
    if (!any) {
        return fail(ErrorKind::InvalidInput, folder + ": no results", "run an experiment first, such as fescuenotch-bench spread");
    }
    return writeFile(folder + "/index.html", html);
}

} // namespace Fescuenotch::Bench
