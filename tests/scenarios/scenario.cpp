#include "tests/scenarios/scenario.h"

#include <filesystem>
#include <thread>

namespace Fescuenotch::Scenarios {

namespace {

constexpr milliseconds PollPeriod{25}; ///< ms

std::string describeMs(Duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + " ms";
}

nlohmann::json route(const std::string &prefix, const std::vector<std::string> &methods, const std::string &service, const std::string &rule)
{
    return {{"path_prefix", prefix}, {"methods", methods}, {"service", service}, {"rule", rule}};
}

nlohmann::json rule(bool idempotent, unsigned timeoutMs, const std::string &requestClass)
{
    return {{"idempotent", idempotent}, {"timeout_ms", timeoutMs}, {"max_attempts", 3}, {"class", requestClass}};
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &line : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace

// ---- [publishing] -----------------------------------------------------------------------------------------------

void Scenario::publish(const std::string &key, const nlohmann::json &value, bool valid)
{
    const auto url = fleet.platformOperator() + "/publish";
    Standins::ClientCall call;
    call.method = "POST";
    call.url = url;
    call.body = nlohmann::json{{"key", key}, {"value", value}}.dump();
    const auto reply = fleet.http().run(call);
    const auto answer = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !answer.is_object()) {
        throw ScenarioFailure("the platform did not take " + key + ": " + reply.error + reply.body);
    }
    published.onPublish(key, answer["revision"].get<std::uint64_t>(), valid, value.is_null());
}

void Scenario::platformFault(const nlohmann::json &fault)
{
    if (!fleet.http().postJson(fleet.platformOperator() + "/fault", fault)) {
        throw ScenarioFailure("the platform did not take the fault");
    }
}

nlohmann::json Scenario::platformStats()
{
    auto stats = fleet.http().getJson(fleet.platformOperator() + "/stats");
    if (!stats.is_object()) {
        throw ScenarioFailure("the platform gives no statistics; is it running?");
    }
    return stats;
}

nlohmann::json Scenario::serviceDocument(const std::string &service)
{
    auto targets = nlohmann::json::array();
    for (const auto &host : fleet.hosts()) {
        if (host.service == service) {
            targets.push_back(
                {{"host", host.ip}, {"data_centre", host.dataCentre}, {"address", fleet.targetAddress(host)}, {"slots", fleet.slots}, {"connections", 130}});
        }
    }
    return {{"profile", published.followedBy(service)}, {"targets", targets}};
}

nlohmann::json Scenario::profileDocument(const std::string &profile)
{
    ++editions;
    auto routes = nlohmann::json::array();
    for (const auto &service : published.servicesOf(profile)) {
        const std::string prefix = "/" + service;
        routes.push_back(route(prefix + "/echo", {"GET"}, service, "lookup"));
        routes.push_back(route(prefix + "/run", {"POST"}, service, "write"));
        routes.push_back(route(prefix + "/archive", {"GET"}, service, "bulk"));
        routes.push_back(route(prefix + "/edition/" + std::to_string(editions), {"GET"}, service, "lookup"));
    }
    const nlohmann::json rules{{"lookup", rule(true, 2'000, "lookup")}, {"write", rule(false, 4'000, "write")}, {"bulk", rule(true, 20'000, "bulk")}};
    return {{"spread", "time"}, {"routes", routes}, {"rules", rules}};
}

void Scenario::publishHosts()
{
    auto list = nlohmann::json::array();
    for (const auto &host : fleet.hosts()) {
        list.push_back({{"host", host.ip},
                        {"data_centre", host.dataCentre},
                        {"service", host.service},
                        {"peer", host.ip + ":7400"},
                        {"state", host.leaving ? "leaving" : "live"}});
    }
    if (!fleet.http().postJson(fleet.platformOperator() + "/hosts", list)) {
        throw ScenarioFailure("the platform did not take the host list");
    }
}

// ---- [waiting and checking] -------------------------------------------------------------------------------------

void Scenario::waitUntil(milliseconds limit, const std::function<std::string()> &met)
{
    const auto start = Clock::now();
    std::string last = met();
    while (!last.empty() && Clock::now() - start < limit) {
        std::this_thread::sleep_for(PollPeriod);
        last = met();
    }
    if (!last.empty()) {
        throw ScenarioFailure("not met within " + describeMs(limit) + "; last seen: " + last);
    }
    note("met after " + describeMs(Clock::now() - start));
}

void Scenario::note(const std::string &text)
{
    output += "    " + text + "\n";
}

LoadResult &Scenario::loadResult(const std::string &name)
{
    const auto it = results.find(name);
    if (it == results.end()) {
        throw ScenarioFailure("load " + name + " has not ended; write 'end load " + name + "' first");
    }
    return it->second;
}

std::vector<std::string> Scenario::finalFaults()
{
    std::vector<std::string> faults = fleet.unexpectedEnds();
    const auto add = [&](const std::vector<std::string> &more) { faults.insert(faults.end(), more.begin(), more.end()); };
    Journal runs;
    for (const auto &host : fleet.hosts()) {
        readJournal(Standins::readFile(fleet.journalOf(host)), runs);
        const auto log = Standins::readFile(fleet.logOf(host.node));
        std::vector<NodeLife> lives;
        for (std::size_t n = 0; n < host.node.lives.size(); ++n) {
            const auto end = n + 1 < host.node.lives.size() ? host.node.lives[n + 1] : log.size();
            lives.push_back(readInForceLines(log.substr(host.node.lives[n], end - host.node.lives[n])));
        }
        add(versionFaults(host.node.name, lives, published.versions()));
    }
    for (const auto &[name, result] : results) {
        add(result.wrong);
        add(writeFaults(result.writes, runs));
    }
    return faults;
}

// ---- [running] --------------------------------------------------------------------------------------------------

std::vector<StepKind> allSteps()
{
    std::vector<StepKind> all;
    for (const auto &some : {processSteps(), platformSteps(), faultSteps(), loadSteps(), expectSteps()}) {
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

std::vector<std::string> allPatterns()
{
    std::vector<std::string> patterns;
    for (const auto &step : allSteps()) {
        patterns.push_back(step.pattern);
    }
    return patterns;
}

std::string runScenario(const std::string &path, unsigned firstNet)
{
    const auto parsed = parseScript(Standins::readFile(path), allPatterns());
    if (const auto *fault = std::get_if<ScriptFault>(&parsed)) {
        throw ScenarioFailure(path + ":" + std::to_string(fault->line) + ":" + std::to_string(fault->column) + ": " + fault->what);
    }
    const auto steps = allSteps();
    const auto name = std::filesystem::path(path).stem().string();
    Scenario scenario({Standins::buildFolder() + "/scenarios/" + name, firstNet});
    for (const auto &step : std::get<0>(parsed)) {
        scenario.output += std::to_string(step.line) + ": " + step.text + "\n";
        try {
            steps[step.pattern].run(scenario, step.arguments);
        } catch (const ScenarioFailure &failure) {
            throw ScenarioFailure(path + ":" + std::to_string(step.line) + ": " + step.text + "\n" + failure.what() + "\n" + scenario.output);
        }
    }
    if (const auto faults = scenario.finalFaults(); !faults.empty()) {
        throw ScenarioFailure(path + ": the checks at the end found\n" + joinLines(faults) + scenario.output);
    }
    return scenario.output;
}

} // namespace Fescuenotch::Scenarios
