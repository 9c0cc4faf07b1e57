// One run of a script: its fleet, what it published, its loads, and the steps it may use.
//
// How to use: `runScenario(path)` parses the file, does each step and ends with the checks of checks.h; it throws a
// ScenarioFailure that names the line. Each step is a pattern of the language (script.h) with the function that does it;
// docs/SCENARIOS.md lists every pattern, and a test compares the two.
#pragma once

#include "tests/scenarios/checks.h"
#include "tests/scenarios/fleet.h"
#include "tests/scenarios/load.h"
#include "tests/scenarios/published.h"
#include "tests/scenarios/script.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Fescuenotch::Scenarios {

class Scenario
{
public:
    explicit Scenario(const FleetSettings &settings)
        : fleet(settings)
    {
    }
    /// Publishes one value and remembers it.
    void publish(const std::string &key, const nlohmann::json &value, bool valid = true);
    void platformFault(const nlohmann::json &fault);
    nlohmann::json platformStats();
    nlohmann::json serviceDocument(const std::string &service);
    /// A profile with routes to every service that follows it; each call gives another edition.
    nlohmann::json profileDocument(const std::string &profile);
    void publishHosts();
    LoadResult &loadResult(const std::string &name); ///< of a load that has ended
    /// Polls until `met` gives an empty text; otherwise fails after `limit` with the last text.
    void waitUntil(milliseconds limit, const std::function<std::string()> &met);
    void note(const std::string &text); ///< into the run's output
    /// The checks that every scenario ends with.
    std::vector<std::string> finalFaults();

    Fleet fleet;
    Published published;
    std::map<std::string, std::unique_ptr<Load>> loads; ///< running
    std::map<std::string, LoadResult> results; ///< of loads that have ended
    std::mt19937_64 random{1};
    unsigned editions = 0; ///< profiles published so far
    std::string output;
};

struct StepKind {
    std::string pattern;
    std::function<void(Scenario &scenario, const StepArguments &arguments)> run;
};

std::vector<StepKind> processSteps();
std::vector<StepKind> platformSteps();
std::vector<StepKind> faultSteps();
std::vector<StepKind> loadSteps();
std::vector<StepKind> expectSteps();
std::vector<StepKind> allSteps();
std::vector<std::string> allPatterns();

/// Runs the script; `firstNet` keeps the addresses of scenarios apart. Gives the output; throws ScenarioFailure.
std::string runScenario(const std::string &path, unsigned firstNet);

} // namespace Fescuenotch::Scenarios
