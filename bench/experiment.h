// Experiments of the bench. Each registers itself by name; fescuenotch-bench runs them.
//
// How to use: derive from Experiment, fill members from the popt table that `options` gives, report a Measurement for each
// case, and register in the .cpp file:
//   static const ExperimentRegistration registration([] { return std::make_unique<SpreadExperiment>(); });
// Measurements of one phase have the same conditions and values, so that they make one table. Value names end in their unit.
// Pitfall: popt writes through the pointers of `options`, so the experiment must stay where it is.
#pragma once

#include "kernel/errors.h"

#include <popt.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Fescuenotch::Bench {

/// What one case gave.
struct Measurement {
    std::string experiment; ///< filled in by the bench
    std::string phase; ///< what was measured, such as "idle"
    std::vector<std::pair<std::string, std::string>> conditions; ///< such as mode and nodes
    std::vector<std::pair<std::string, double>> values; ///< such as "convergence_p99_ms"
    unsigned run = 0; ///< number of the repeat; filled in by the bench
    std::uint64_t seed = 0; ///< filled in by the bench
};

/// One plot: values of a phase over one condition; the other conditions make the series.
struct PlotSpec {
    std::string title;
    std::string phase;
    std::string x; ///< name of a condition: a line when all its values are numbers, else bars
    std::string y; ///< name of a value
};

/// Where an experiment sends what it found.
class Reporter
{
public:
    virtual ~Reporter() = default;
    virtual void add(Measurement measurement) = 0;
    virtual void progress(const std::string &text) = 0; ///< what runs now, in one line
};

class Experiment
{
public:
    virtual ~Experiment() = default;
    virtual std::string name() const = 0;
    virtual std::string summary() const = 0;
    virtual std::vector<poptOption> options() = 0; ///< without an end mark
    virtual std::vector<PlotSpec> plots() const = 0;
    virtual Result<void> run(std::uint64_t seed, Reporter &reporter) = 0;
};

using ExperimentFactory = std::function<std::unique_ptr<Experiment>()>;
std::vector<ExperimentFactory> &experimentFactories();
/// Null when no experiment has this name.
std::unique_ptr<Experiment> makeExperiment(const std::string &name);

class ExperimentRegistration
{
public:
    explicit ExperimentRegistration(ExperimentFactory factory);
};

} // namespace Fescuenotch::Bench
