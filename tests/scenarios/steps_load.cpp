// Steps that send load through nodes and judge what came of it.
#include "tests/scenarios/scenario.h"

namespace Fescuenotch::Scenarios {

namespace {

using Run = std::function<void(Scenario &, const StepArguments &)>;

void beginLoad(Scenario &scenario, const StepArguments &arguments, LoadKind kind, std::uint64_t archiveBytes = 0)
{
    const auto &name = arguments.names[0];
    LoadSettings settings;
    settings.name = name;
    settings.kind = kind;
    settings.rate = static_cast<unsigned>(arguments.numbers[0]);
    settings.archiveBytes = archiveBytes;
    for (const auto *host : scenario.fleet.resolve(arguments.processes[0])) {
        settings.urls.push_back(scenario.fleet.callerUrl(*host) + "/" + arguments.names[1]);
    }
    if (scenario.loads.contains(name) || scenario.results.contains(name)) {
        throw ScenarioFailure("there is a load " + name + " already; choose another name");
    }
    scenario.loads[name] = std::make_unique<Load>(settings);
}

void endLoad(Scenario &scenario, const StepArguments &arguments)
{
    const auto &name = arguments.names[0];
    const auto it = scenario.loads.find(name);
    if (it == scenario.loads.end()) {
        throw ScenarioFailure("no load is called " + name);
    }
    scenario.results[name] = it->second->finish();
    scenario.loads.erase(it);
    scenario.note(scenario.results[name].summary());
}

/// Fails when more requests of a load than `most` ended in one of `ends`.
void expectAtMost(Scenario &scenario, const StepArguments &arguments, const std::vector<CallEnd> &ends, std::uint64_t most)
{
    const auto &result = scenario.loadResult(arguments.names[0]);
    std::uint64_t found = 0;
    for (const auto end : ends) {
        found += result.count(end);
    }
    if (found > most) {
        throw ScenarioFailure(std::to_string(found) + " found, at most " + std::to_string(most) + " allowed: " + result.summary());
    }
}

void expectRan(Scenario &scenario, const StepArguments &arguments)
{
    const auto &result = scenario.loadResult(arguments.names[0]);
    if (result.count(CallEnd::Ran) < arguments.numbers[0]) {
        throw ScenarioFailure("too few ran: " + result.summary());
    }
}

/// Sends one request at a time until one ends as named.
void expectCall(Scenario &scenario, const StepArguments &arguments, LoadKind kind)
{
    static const std::map<std::string, CallEnd> ends{{"ran", CallEnd::Ran}, {"not-run", CallEnd::NotRun}, {"unknown", CallEnd::Unknown}};
    const auto wanted = ends.find(arguments.names[1]);
    if (wanted == ends.end()) {
        throw ScenarioFailure("'" + arguments.names[1] + "' is no outcome; use ran, not-run or unknown");
    }
    scenario.waitUntil(arguments.times[0], [&] {
        std::string unmet;
        for (const auto *host : scenario.fleet.runningNodes(arguments.processes[0])) {
            LoadSettings settings;
            settings.name = "call-" + std::to_string(scenario.results.size());
            settings.kind = kind;
            settings.count = 1;
            settings.urls = {scenario.fleet.callerUrl(*host) + "/" + arguments.names[0]};
            auto &result = scenario.results[settings.name] = Load(settings).finish();
            if (result.count(wanted->second) != 1) {
                unmet += host->node.name + ": " + result.summary() + "; ";
            }
        }
        return unmet;
    });
}

} // namespace

std::vector<StepKind> loadSteps()
{
    return {
        {"load <name> sends <name> <number> reads per second through <processes>",
         [](Scenario &scenario, const StepArguments &arguments) { beginLoad(scenario, arguments, LoadKind::Reads); }},
        {"load <name> sends <name> <number> writes per second through <processes>",
         [](Scenario &scenario, const StepArguments &arguments) { beginLoad(scenario, arguments, LoadKind::Writes); }},
        {"load <name> asks <name> for <number> archives per second of <number> bytes through <processes>",
         [](Scenario &scenario, const StepArguments &arguments) { beginLoad(scenario, arguments, LoadKind::Archives, arguments.numbers[1]); }},
        {"end load <name>", endLoad},
        {"expect load <name> cut nothing",
         [](Scenario &scenario, const StepArguments &arguments) {
             expectAtMost(scenario, arguments, {CallEnd::Cut, CallEnd::Unknown}, 0);
         }},
        {"expect load <name> refused at most <number>",
         [](Scenario &scenario, const StepArguments &arguments) {
             expectAtMost(scenario, arguments, {CallEnd::NotRun, CallEnd::Unreachable}, arguments.numbers[0]);
         }},
        {"expect load <name> failed at most <number>",
         [](Scenario &scenario, const StepArguments &arguments) {
             expectAtMost(scenario, arguments, {CallEnd::NotRun, CallEnd::Unreachable, CallEnd::Cut, CallEnd::Unknown}, arguments.numbers[0]);
         }},
        {"expect load <name> ran at least <number>", expectRan},
        {"expect read of <name> through <processes> to end <name> within <time>",
         [](Scenario &scenario, const StepArguments &arguments) { expectCall(scenario, arguments, LoadKind::Reads); }},
        {"expect write of <name> through <processes> to end <name> within <time>",
         [](Scenario &scenario, const StepArguments &arguments) { expectCall(scenario, arguments, LoadKind::Writes); }},
    };
}

} // namespace Fescuenotch::Scenarios
