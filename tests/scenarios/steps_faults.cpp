// Steps that disturb links and targets.
#include "tests/scenarios/scenario.h"

namespace Fescuenotch::Scenarios {

namespace {

using Run = std::function<void(Scenario &, const StepArguments &)>;

Run linkFault(const nlohmann::json &fault)
{
    return [=](Scenario &scenario, const StepArguments &arguments) { scenario.fleet.setLink(arguments.links[0], fault); };
}

Run targetFault(const nlohmann::json &fault)
{
    return [=](Scenario &scenario, const StepArguments &arguments) { scenario.fleet.setTarget(arguments.processes[0], fault); };
}

} // namespace

std::vector<StepKind> faultSteps()
{
    return {
        {"cut <link>", linkFault({{"cut", true}})},
        {"silence <link>", linkFault({{"silent", true}})},
        {"silence open connections of <link>", linkFault({{"silence_open", true}})},
        {"delay <link> by <time>",
         [](Scenario &scenario, const StepArguments &arguments) {
             scenario.fleet.setLink(arguments.links[0], {{"delay_ms", arguments.times[0].count()}});
         }},
        {"heal <link>", linkFault({{"heal", true}})},
        {"let <processes> take requests and stay silent", targetFault({{"silent", true}})},
        {"let <processes> run requests and stay silent", targetFault({{"silent_after", true}})},
        {"let <processes> refuse connections", targetFault({{"refuse", true}})},
        {"let <processes> refuse work", targetFault({{"shed", true}})},
        {"let <processes> drain", targetFault({{"drain", true}})},
        {"let <processes> lie about load", targetFault({{"lying_load", true}})},
        {"let <processes> break <number> answers midway",
         [](Scenario &scenario, const StepArguments &arguments) {
             scenario.fleet.setTarget(arguments.processes[0], {{"break_midway", arguments.numbers[0]}});
         }},
        {"slow <processes> by <time>",
         [](Scenario &scenario, const StepArguments &arguments) {
             scenario.fleet.setTarget(arguments.processes[0], {{"slow_ms", arguments.times[0].count()}});
         }},
        {"heal <processes>", targetFault({{"heal", true}})},
    };
}

} // namespace Fescuenotch::Scenarios
