// Steps that declare the fleet and start or signal its processes.
#include "tests/scenarios/scenario.h"

#include <csignal>
#include <thread>

namespace Fescuenotch::Scenarios {

namespace {

constexpr const char *FirstProfile = "desk"; ///< followed by every service that says nothing else

void declareHosts(Scenario &scenario, const StepArguments &arguments)
{
    const auto &service = arguments.names[1];
    scenario.fleet.addHosts(arguments.names[0], static_cast<unsigned>(arguments.numbers[0]), service);
    if (!scenario.published.knows(service)) {
        scenario.published.setFollows(service, FirstProfile);
    }
}

void putLink(Scenario &scenario, const StepArguments &arguments)
{
    const auto &link = arguments.links[0];
    if (link.target == 0) {
        scenario.fleet.addPlatformLink(link.dataCentre);
    } else {
        scenario.fleet.addTargetLink({ProcessKind::Target, link.dataCentre, link.target});
    }
}

void startProcesses(Scenario &scenario, const StepArguments &arguments)
{
    scenario.fleet.start(arguments.processes[0]);
    if (arguments.processes[0].kind == ProcessKind::Platform) {
        scenario.publishHosts();
    }
}

std::function<void(Scenario &, const StepArguments &)> sendSignal(int number, ProcessState after)
{
    return [=](Scenario &scenario, const StepArguments &arguments) { scenario.fleet.signal(arguments.processes[0], number, after); };
}

ProcessSet onlyHost(ProcessKind kind, const Host &host)
{
    return {kind, host.dataCentre, host.number};
}

/// One fault after another on processes drawn by the seed; the one before is undone first.
void disturb(Scenario &scenario, const StepArguments &arguments, int fault, ProcessState after)
{
    const auto &set = arguments.processes[0];
    const auto hosts = scenario.fleet.resolve(set);
    const auto undo = [&](const ProcessSet &victim) {
        if (fault == SIGKILL) {
            scenario.fleet.start(victim);
        } else {
            scenario.fleet.signal(victim, SIGCONT, ProcessState::Running);
        }
    };
    const auto start = Clock::now();
    for (auto due = start; due - start < arguments.times[1]; due += arguments.times[0]) {
        std::this_thread::sleep_until(due);
        const auto &victim = *hosts[std::uniform_int_distribution<std::size_t>(0, hosts.size() - 1)(scenario.random)];
        const auto name = onlyHost(set.kind, victim);
        const auto at = std::chrono::duration_cast<milliseconds>(due - start).count();
        scenario.note("at " + std::to_string(at) + " ms: " + (fault == SIGKILL ? "kill " : "stop ") + (set.kind == ProcessKind::Target ? "target " : "node ")
                      + victim.label());
        scenario.fleet.signal(name, fault, after);
        std::this_thread::sleep_until(due + arguments.times[0] / 2);
        undo(name);
    }
}

} // namespace

std::vector<StepKind> processSteps()
{
    return {
        {"data-centre <name> has <number> hosts of <name>", declareHosts},
        {"service <name> follows profile <name>",
         [](Scenario &scenario, const StepArguments &arguments) { scenario.published.setFollows(arguments.names[0], arguments.names[1]); }},
        {"targets have <number> slots",
         [](Scenario &scenario, const StepArguments &arguments) { scenario.fleet.slots = static_cast<unsigned>(arguments.numbers[0]); }},
        {"targets take <time>",
         [](Scenario &scenario, const StepArguments &arguments) { scenario.fleet.serviceTime = "fixed:" + std::to_string(arguments.times[0].count()); }},
        {"nodes run with <name> <name>",
         [](Scenario &scenario, const StepArguments &arguments) {
             scenario.fleet.nodeFlags.insert(scenario.fleet.nodeFlags.end(), arguments.names.begin(), arguments.names.end());
         }},
        {"seed <number>", [](Scenario &scenario, const StepArguments &arguments) { scenario.random.seed(arguments.numbers[0]); }},
        {"put <link>", putLink},
        {"start <processes>", startProcesses},
        {"kill <processes>", sendSignal(SIGKILL, ProcessState::Down)},
        {"terminate <processes>", sendSignal(SIGTERM, ProcessState::Down)},
        {"stop <processes>", sendSignal(SIGSTOP, ProcessState::Stopped)},
        {"continue <processes>", sendSignal(SIGCONT, ProcessState::Running)},
        {"disturb <processes> by killing one every <time> for <time>",
         [](Scenario &scenario, const StepArguments &arguments) { disturb(scenario, arguments, SIGKILL, ProcessState::Down); }},
        {"disturb <processes> by stopping one every <time> for <time>",
         [](Scenario &scenario, const StepArguments &arguments) { disturb(scenario, arguments, SIGSTOP, ProcessState::Stopped); }},
        {"let <time> pass", [](Scenario &, const StepArguments &arguments) { std::this_thread::sleep_for(arguments.times[0]); }},
    };
}

} // namespace Fescuenotch::Scenarios
