// Steps that wait for a condition, each with a limit in time.
#include "tests/scenarios/scenario.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace Fescuenotch::Scenarios {

namespace {

constexpr milliseconds StatusLimit{1'000}; ///< ms; for one status page
constexpr milliseconds WatchPeriod{50}; ///< ms; between looks at something that must not change

nlohmann::json statusOf(Scenario &scenario, const Host &host)
{
    auto status = scenario.fleet.http().getJson(scenario.fleet.operatorUrl(host) + "/status", StatusLimit);
    return status.is_object() ? status : nlohmann::json::object();
}

/// The version of a profile in force as a status page tells it; nothing when there is none.
std::optional<Version> inForce(const nlohmann::json &status, const std::string &profile)
{
    for (const auto &line : status.value("in_force", nlohmann::json::array())) {
        if (line.value("profile", "") == profile) {
            return Version{line.value("epoch", std::uint64_t{0}), line.value("revision", std::uint64_t{0})};
        }
    }
    return std::nullopt;
}

std::string describeVersion(const std::optional<Version> &version)
{
    return version ? toString(*version) : "none";
}

/// Waits until each running node of the set satisfies `met`, which tells what it lacks or gives an empty text.
void expectNodes(Scenario &scenario, const ProcessSet &set, milliseconds limit, const std::function<std::string(const Host &)> &met)
{
    scenario.waitUntil(limit, [&] {
        std::string unmet;
        for (const auto *host : scenario.fleet.runningNodes(set)) {
            const auto lacks = met(*host);
            unmet += lacks.empty() ? "" : host->node.name + ": " + lacks + "; ";
        }
        return unmet;
    });
}

void expectInForce(Scenario &scenario, const StepArguments &arguments)
{
    const auto &profile = arguments.names[0];
    const auto wanted = scenario.published.expected(profile);
    expectNodes(scenario, arguments.processes[0], arguments.times[0], [&](const Host &host) {
        const auto found = inForce(statusOf(scenario, host), profile);
        return found == wanted ? std::string() : describeVersion(found) + " rather than " + describeVersion(wanted);
    });
}

void expectGone(Scenario &scenario, const StepArguments &arguments)
{
    expectNodes(scenario, arguments.processes[0], arguments.times[0], [&](const Host &host) {
        const auto status = statusOf(scenario, host);
        const auto found = inForce(status, arguments.names[0]);
        return status.empty() ? std::string("no status") : found ? describeVersion(found) : std::string();
    });
}

void expectRefused(Scenario &scenario, const StepArguments &arguments)
{
    const auto key = "profile/" + arguments.names[0];
    expectNodes(scenario, arguments.processes[0], arguments.times[0], [&](const Host &host) {
        const auto rejected = statusOf(scenario, host).value("rejected", nlohmann::json::array());
        const bool found = std::any_of(rejected.begin(), rejected.end(), [&](const auto &line) { return line.value("key", "") == key; });
        return found ? std::string() : "refuses " + rejected.dump();
    });
}

void expectNoChange(Scenario &scenario, const StepArguments &arguments)
{
    std::map<std::string, nlohmann::json> before;
    const auto until = Clock::now() + arguments.times[0];
    do {
        for (const auto *host : scenario.fleet.runningNodes(arguments.processes[0])) {
            const auto status = statusOf(scenario, *host);
            if (status.empty()) {
                continue;
            }
            const auto now = status.value("in_force", nlohmann::json::array());
            const auto it = before.try_emplace(host->node.name, now).first;
            if (it->second != now) {
                throw ScenarioFailure(host->node.name + " changed from " + it->second.dump() + " to " + now.dump());
            }
        }
        std::this_thread::sleep_for(WatchPeriod);
    } while (Clock::now() < until);
}

void expectReady(Scenario &scenario, const StepArguments &arguments, bool wanted)
{
    expectNodes(scenario, arguments.processes[0], arguments.times[0], [&](const Host &host) {
        Standins::ClientCall call;
        call.url = scenario.fleet.operatorUrl(host) + "/readyz";
        call.timeout = StatusLimit;
        const auto reply = scenario.fleet.http().run(call);
        const bool ready = reply.status == 200;
        return reply.status != 0 && ready == wanted ? std::string() : "status " + std::to_string(reply.status) + " " + reply.body;
    });
}

void expectEnded(Scenario &scenario, const StepArguments &arguments)
{
    const auto &set = arguments.processes[0];
    for (auto *host : scenario.fleet.resolve(set)) {
        auto &process = set.kind == ProcessKind::Target ? host->target : host->node;
        if (!process.child || !process.child->waitForEnd(arguments.times[0])) {
            throw ScenarioFailure(process.name + " has not ended");
        }
        if (process.child->exitCode() != 0) {
            throw ScenarioFailure(process.name + " ended with code " + std::to_string(process.child->exitCode()));
        }
    }
}

/// A figure of the platform's statistics may not pass a bound.
std::function<void(Scenario &, const StepArguments &)> expectPlatform(const std::string &figure)
{
    return [=](Scenario &scenario, const StepArguments &arguments) {
        const auto stats = scenario.platformStats();
        scenario.note("platform: " + stats.dump());
        if (stats.value(figure, std::uint64_t{0}) > arguments.numbers[0]) {
            throw ScenarioFailure("the platform counted " + stats.dump());
        }
    };
}

/// Sum of a field over the status page's spread lines of a profile, of the wanted version only when `version` is given.
std::uint64_t sumSpread(const nlohmann::json &status, const std::string &profile, const std::string &field, const std::optional<Version> &version)
{
    std::uint64_t sum = 0;
    for (const auto &line : status.value("spread", nlohmann::json::array())) {
        const Version found{line.value("epoch", std::uint64_t{0}), line.value("revision", std::uint64_t{0})};
        if (line.value("profile", "") == profile && (!version || found == *version)) {
            sum += line.value(field, std::uint64_t{0});
        }
    }
    return sum;
}

void expectReported(Scenario &scenario, const StepArguments &arguments, const std::string &field)
{
    const auto &profile = arguments.names[0];
    const auto version = field == "in_force" ? scenario.published.expected(profile) : std::nullopt;
    expectNodes(scenario, arguments.processes[0], arguments.times[0], [&](const Host &host) {
        const auto status = statusOf(scenario, host);
        const bool met = sumSpread(status, profile, field, version) == arguments.numbers[0];
        return met ? std::string() : "spread " + status.value("spread", nlohmann::json()).dump();
    });
}

/// Sum over all label values of a counter in the metrics text.
double sumCounter(const std::string &metrics, const std::string &name)
{
    double sum = 0;
    std::istringstream lines(metrics);
    std::string line;
    while (std::getline(lines, line)) {
        const bool named = line.rfind(name + " ", 0) == 0 || line.rfind(name + "{", 0) == 0;
        if (named) {
            sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return sum;
}

void expectCounter(Scenario &scenario, const StepArguments &arguments)
{
    expectNodes(scenario, arguments.processes[0], arguments.times[0], [&](const Host &host) {
        Standins::ClientCall call;
        call.url = scenario.fleet.operatorUrl(host) + "/metrics";
        const auto found = sumCounter(scenario.fleet.http().run(call).body, arguments.names[0]);
        return found >= static_cast<double>(arguments.numbers[0]) ? std::string() : arguments.names[0] + " is " + std::to_string(found);
    });
}

std::uint64_t startsOf(Scenario &scenario, const std::vector<Host *> &hosts)
{
    std::uint64_t starts = 0;
    for (const auto *host : hosts) {
        starts += scenario.fleet.http().getJson("http://" + host->ip + ":9001/stats").value("started", std::uint64_t{0});
    }
    return starts;
}

/// The targets get no new work in a second that begins after the given time.
void expectNoNewWork(Scenario &scenario, const StepArguments &arguments)
{
    const auto hosts = scenario.fleet.resolve(arguments.processes[0]);
    std::this_thread::sleep_for(arguments.times[0]);
    const auto before = startsOf(scenario, hosts);
    std::this_thread::sleep_for(seconds(1));
    const auto after = startsOf(scenario, hosts);
    if (after != before) {
        throw ScenarioFailure(std::to_string(after - before) + " requests were started in the second after");
    }
}

void expectWork(Scenario &scenario, const StepArguments &arguments)
{
    const auto hosts = scenario.fleet.resolve(arguments.processes[0]);
    const auto before = startsOf(scenario, hosts);
    scenario.waitUntil(arguments.times[0], [&] { return startsOf(scenario, hosts) > before ? std::string() : std::string("no new work"); });
}

} // namespace

std::vector<StepKind> expectSteps()
{
    using A = const StepArguments &;
    return {
        {"expect profile <name> in force on <processes> within <time>", expectInForce},
        {"expect profile <name> gone from <processes> within <time>", expectGone},
        {"expect profile <name> refused by <processes> within <time>", expectRefused},
        {"expect no change in force on <processes> for <time>", expectNoChange},
        {"expect <processes> ready within <time>", [](Scenario &scenario, A arguments) { expectReady(scenario, arguments, true); }},
        {"expect <processes> not ready within <time>", [](Scenario &scenario, A arguments) { expectReady(scenario, arguments, false); }},
        {"expect <processes> ended within <time>", expectEnded},
        {"expect at most <number> platform calls in any second", expectPlatform("busiest_second")},
        {"expect at most <number> platform calls in all", expectPlatform("calls")},
        {"expect at most <number> watches at the platform", expectPlatform("waiting_most")},
        {"expect profile <name> reported by <processes> as in force on <number> nodes within <time>",
         [](Scenario &scenario, A arguments) { expectReported(scenario, arguments, "in_force"); }},
        {"expect profile <name> reported by <processes> as silent on <number> nodes within <time>",
         [](Scenario &scenario, A arguments) { expectReported(scenario, arguments, "silent"); }},
        {"expect counter <name> on <processes> at least <number> within <time>", expectCounter},
        {"expect no new work on <processes> after <time>", expectNoNewWork},
        {"expect new work on <processes> within <time>", expectWork},
    };
}

} // namespace Fescuenotch::Scenarios
