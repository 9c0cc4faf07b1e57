// Steps that publish, withdraw, and disturb the platform.
#include "tests/scenarios/scenario.h"

namespace Fescuenotch::Scenarios {

namespace {

void publishService(Scenario &scenario, const std::string &service)
{
    scenario.publish("service/" + service, scenario.serviceDocument(service));
}

void publishServices(Scenario &scenario, const StepArguments &)
{
    std::set<std::string> services;
    for (const auto &host : scenario.fleet.hosts()) {
        services.insert(host.service);
    }
    for (const auto &service : services) {
        publishService(scenario, service);
    }
}

void publishBroken(Scenario &scenario, const StepArguments &arguments)
{
    auto document = scenario.profileDocument(arguments.names[0]);
    document["routes"][0]["rule"] = "missing";
    scenario.publish("profile/" + arguments.names[0], document, false);
}

void listLeaving(Scenario &scenario, const StepArguments &arguments)
{
    for (auto *host : scenario.fleet.resolve(arguments.processes[0])) {
        host->leaving = true;
    }
    scenario.publishHosts();
}

void answerLate(Scenario &scenario, const StepArguments &arguments)
{
    scenario.platformFault({{"stale", scenario.published.lastRevision() - arguments.numbers[0]}});
}

void restore(Scenario &scenario, const StepArguments &arguments)
{
    const auto last = scenario.published.lastRevision() - arguments.numbers[0];
    scenario.platformFault({{"restore", last}});
    scenario.published.onRestore(last);
}

void resetCalls(Scenario &scenario, const StepArguments &)
{
    if (!scenario.fleet.http().postJson(scenario.fleet.platformOperator() + "/reset", nlohmann::json::object())) {
        throw ScenarioFailure("the platform did not reset its counts");
    }
}

std::function<void(Scenario &, const StepArguments &)> fault(const nlohmann::json &json)
{
    return [=](Scenario &scenario, const StepArguments &) { scenario.platformFault(json); };
}

} // namespace

std::vector<StepKind> platformSteps()
{
    return {
        {"publish services", publishServices},
        {"publish service <name>", [](Scenario &scenario, const StepArguments &arguments) { publishService(scenario, arguments.names[0]); }},
        {"publish profile <name>",
         [](Scenario &scenario, const StepArguments &arguments) {
             scenario.publish("profile/" + arguments.names[0], scenario.profileDocument(arguments.names[0]));
         }},
        {"publish broken profile <name>", publishBroken},
        {"withdraw profile <name>", [](Scenario &scenario, const StepArguments &arguments) { scenario.publish("profile/" + arguments.names[0], nullptr); }},
        {"withdraw service <name>", [](Scenario &scenario, const StepArguments &arguments) { scenario.publish("service/" + arguments.names[0], nullptr); }},
        {"list <processes> as leaving", listLeaving},
        {"begin platform outage", fault({{"outage", true}})},
        {"end platform outage", fault({{"outage", false}})},
        {"let platform forget the last <number> revisions", answerLate},
        {"let platform answer the newest revision", fault({{"stale", 0}})},
        {"restore platform without the last <number> revisions", restore},
        {"limit platform to <number> calls per second",
         [](Scenario &scenario, const StepArguments &arguments) {
             scenario.platformFault({{"rate", arguments.numbers[0]}});
         }},
        {"count platform calls from now", resetCalls},
    };
}

} // namespace Fescuenotch::Scenarios
