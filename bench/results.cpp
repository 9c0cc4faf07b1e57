// Sections: [lines] [repeats] [tables] [comparison]
#include "bench/results.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <numeric>

namespace Fescuenotch::Bench {

namespace {

using nlohmann::ordered_json;

// ---- [lines] ----------------------------------------------------------------------------------------------------

Measurement toMeasurement(const ordered_json &line)
{
    Measurement found;
    found.experiment = line.at("experiment").get<std::string>();
    found.phase = line.at("phase").get<std::string>();
    found.run = line.at("run").get<unsigned>();
    found.seed = line.at("seed").get<std::uint64_t>();
    for (const auto &[name, value] : line.at("conditions").items()) {
        found.conditions.emplace_back(name, value.get<std::string>());
    }
    for (const auto &[name, value] : line.at("values").items()) {
        found.values.emplace_back(name, value.get<double>());
    }
    return found;
}

// ---- [tables] ---------------------------------------------------------------------------------------------------

using Row = std::vector<std::string>;

std::string shown(double value)
{
    std::array<char, 32> buf{};
    const bool isWhole = value == std::floor(value) && std::abs(value) < 1e9;
    const char *format = isWhole ? "%.0f" : std::abs(value) < 10 ? "%.3f" : "%.1f";
    std::snprintf(buf.data(), buf.size(), format, value);
    return buf.data();
}

std::string shownRange(const std::vector<double> &values)
{
    if (values.size() < 2) {
        return values.empty() ? "-" : shown(values[0]);
    }
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    return shown(mean(values)) + " [" + shown(*low) + ".." + shown(*high) + "]";
}

std::string padded(const std::string &text, std::size_t width)
{
    return text + std::string(width - text.size(), ' ');
}

std::string table(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths(rows[0].size(), 0);
    for (const auto &row : rows) {
        for (std::size_t n = 0; n < widths.size() && n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    std::string text;
    for (const auto &row : rows) {
        for (std::size_t n = 0; n < widths.size() && n < row.size(); ++n) {
            text += padded(row[n], widths[n]) + "  ";
        }
        text += "\n";
    }
    return text;
}

Row headRow(const RepeatedCase &item)
{
    Row row;
    for (const auto &[name, value] : item.conditions) {
        row.push_back(name);
    }
    row.insert(row.end(), item.valueNames.begin(), item.valueNames.end());
    return row;
}

Row valueRow(const RepeatedCase &item)
{
    Row row;
    for (const auto &[name, value] : item.conditions) {
        row.push_back(value);
    }
    for (const auto &name : item.valueNames) {
        row.push_back(shownRange(item.values.at(name)));
    }
    return row;
}

std::string caseName(const RepeatedCase &item)
{
    std::string text = item.experiment + " " + item.phase;
    for (const auto &[name, value] : item.conditions) {
        text += " " + name + "=" + value;
    }
    return text;
}

// ---- [comparison] -----------------------------------------------------------------------------------------------

bool liesApart(const std::vector<double> &a, const std::vector<double> &b)
{
    const auto [lowA, highA] = std::minmax_element(a.begin(), a.end());
    const auto [lowB, highB] = std::minmax_element(b.begin(), b.end());
    return *highA < *lowB || *highB < *lowA;
}

Row comparedRow(const RepeatedCase &a, const RepeatedCase &b, const std::string &name)
{
    const auto &valuesA = a.values.at(name);
    const auto &valuesB = b.values.at(name);
    const double meanA = mean(valuesA);
    const std::string change = meanA == 0 ? "-" : shown(100 * (mean(valuesB) - meanA) / meanA);
    const bool single = valuesA.size() < 2 || valuesB.size() < 2;
    const std::string verdict = single ? "one run only" : liesApart(valuesA, valuesB) ? "apart" : "within spread";
    return {caseName(a), name, shownRange(valuesA), shownRange(valuesB), change, verdict};
}

} // namespace

std::string toJsonLine(const Measurement &measurement)
{
    ordered_json conditions = ordered_json::object();
    for (const auto &[name, value] : measurement.conditions) {
        conditions[name] = value;
    }
    ordered_json values = ordered_json::object();
    for (const auto &[name, value] : measurement.values) {
        values[name] = value;
    }
    const ordered_json line{{"experiment", measurement.experiment},
                            {"phase", measurement.phase},
                            {"run", measurement.run},
                            {"seed", measurement.seed},
                            {"conditions", conditions},
                            {"values", values}};
    return line.dump();
}

Result<std::vector<Measurement>> readResults(const std::string &file)
{
    std::ifstream in(file);
    if (!in.is_open()) {
        return fail(ErrorKind::InvalidInput, file + ": cannot be read", "name a result file, such as build/report/spread.jsonl");
    }
    std::vector<Measurement> found;
    std::string text;
    for (unsigned n = 1; std::getline(in, text); ++n) {
        try {
            found.push_back(toMeasurement(ordered_json::parse(text)));
        } catch (const nlohmann::json::exception &error) {
            return fail(ErrorKind::InvalidInput, file + ":" + std::to_string(n) + ": " + error.what(), "use a file that fescuenotch-bench wrote");
        }
    }
    return found;
}

// ---- [repeats] --------------------------------------------------------------------------------------------------

std::vector<RepeatedCase> groupRepeats(const std::vector<Measurement> &measurements)
{
    std::vector<RepeatedCase> cases;
    for (const auto &measurement : measurements) {
        auto it = std::find_if(cases.begin(), cases.end(), [&](const RepeatedCase &item) {
            return item.experiment == measurement.experiment && item.phase == measurement.phase && item.conditions == measurement.conditions;
        });
        if (it == cases.end()) {
            it = cases.insert(cases.end(), {measurement.experiment, measurement.phase, measurement.conditions, {}, {}});
        }
        for (const auto &[name, value] : measurement.values) {
            if (it->values[name].empty()) {
                it->valueNames.push_back(name);
            }
            it->values[name].push_back(value);
        }
    }
    return cases;
}

double mean(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

std::string tables(const std::vector<Measurement> &measurements)
{
    std::map<std::string, std::vector<Row>> rowsOf;
    std::vector<std::string> order;
    for (const auto &item : groupRepeats(measurements)) {
        const std::string title = item.experiment + ": " + item.phase;
        auto &rows = rowsOf[title];
        if (rows.empty()) {
            order.push_back(title);
            rows.push_back(headRow(item));
        }
        rows.push_back(valueRow(item));
    }
    std::string text;
    for (const auto &title : order) {
        text += title + "\n" + table(rowsOf[title]) + "\n";
    }
    return text;
}

std::string comparison(const std::vector<Measurement> &a, const std::vector<Measurement> &b)
{
    const auto casesB = groupRepeats(b);
    std::vector<Row> rows{{"case", "value", "A", "B", "change %", "ranges"}};
    for (const auto &item : groupRepeats(a)) {
        const auto it = std::find_if(casesB.begin(), casesB.end(), [&](const RepeatedCase &other) { return caseName(other) == caseName(item); });
        if (it == casesB.end()) {
            continue;
        }
        for (const auto &name : item.valueNames) {
            if (it->values.contains(name)) {
                rows.push_back(comparedRow(item, *it, name));
            }
        }
    }
    return rows.size() == 1 ? "no case is in both files\n" : table(rows);
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

} // namespace Fescuenotch::Bench
