// Result files: one measurement per line as JSON; tables of them; comparison of two files.
#pragma once

#include "bench/experiment.h"

#include <map>
#include <string>
#include <vector>

namespace Fescuenotch::Bench {

std::string toJsonLine(const Measurement &measurement);
/// Error InvalidInput names the file and line.
Result<std::vector<Measurement>> readResults(const std::string &file);

/// The repeats of one case.
struct RepeatedCase {
    std::string experiment;
    std::string phase;
    std::vector<std::pair<std::string, std::string>> conditions;
    std::vector<std::string> valueNames; ///< in the order of the first measurement
    std::map<std::string, std::vector<double>> values; ///< one per repeat
};

/// Groups measurements by case, in the order of their first appearance.
std::vector<RepeatedCase> groupRepeats(const std::vector<Measurement> &measurements);
double mean(const std::vector<double> &values);
/// One table per phase: conditions, then values; of several repeats the mean and, in brackets, lowest and highest.
std::string tables(const std::vector<Measurement> &measurements);
/// For each case in both files and each value: both means and ranges, and whether the ranges lie apart.
std::string comparison(const std::vector<Measurement> &a, const std::vector<Measurement> &b);
/// The value below which `share` (0 to 1) of the values lie; 0 without values.
double quantile(std::vector<double> values, double share);

} // namespace Fescuenotch::Bench
