#include "tests/scenarios/checks.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>
#include <sstream>

namespace Fescuenotch::Scenarios {

namespace {

/// Value of `key` in a line of key=value pairs; values of the keys asked for here are never quoted.
std::optional<std::string> fieldOf(const std::string &line, const std::string &key)
{
    const auto at = line.find(" " + key + "=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto start = at + key.size() + 2;
    return line.substr(start, line.find(' ', start) - start);
}

std::uint64_t numberField(const std::string &line, const std::string &key)
{
    std::uint64_t n = 0;
    if (const auto text = fieldOf(line, key)) {
        std::from_chars(text->data(), text->data() + text->size(), n);
    }
    return n;
}

} // namespace

NodeLife readInForceLines(const std::string &log)
{
    NodeLife life;
    std::istringstream lines(log);
    std::string line;
    while (std::getline(lines, line)) {
        if (fieldOf(line, "event") == "profile_in_force") {
            life.push_back({fieldOf(line, "profile").value_or(""), {numberField(line, "epoch"), numberField(line, "revision")}});
        }
    }
    return life;
}

std::vector<std::string> versionFaults(const std::string &node, const std::vector<NodeLife> &lives, const std::set<Version> &published)
{
    std::vector<std::string> faults;
    std::map<std::string, Version> highest;
    for (std::size_t life = 0; life < lives.size(); ++life) {
        for (const auto &line : lives[life]) {
            auto &before = highest[line.profile];
            const auto what = node + ", life " + std::to_string(life + 1) + ": profile " + line.profile + " in force at " + toString(line.version);
            if (line.version < before) {
                faults.push_back(what + " after " + toString(before));
            }
            if (!published.contains(line.version)) {
                faults.push_back(what + ", which was never published");
            }
            before = std::max(before, line.version);
        }
    }
    return faults;
}

void readJournal(const std::string &text, Journal &runs)
{
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object() || json.value("method", "") != "POST") {
            continue;
        }
        auto &run = runs[json.value("token", "")];
        const auto event = json.value("event", "");
        run.started += event == "started" ? 1 : 0;
        run.finished += event == "finished" ? 1 : 0;
    }
}

std::vector<std::string> writeFaults(const std::map<std::string, CallEnd> &writes, const Journal &runs)
{
    std::vector<std::string> faults;
    for (const auto &[token, end] : writes) {
        const auto it = runs.find(token);
        const auto run = it == runs.end() ? TokenRuns{} : it->second;
        if (run.started > 1) {
            faults.push_back("write " + token + " ran " + std::to_string(run.started) + " times");
        }
        const bool saidNotRun = end == CallEnd::NotRun || end == CallEnd::Unreachable;
        if (saidNotRun && run.started > 0) {
            faults.push_back("write " + token + " was answered not-run and ran");
        }
        if (end == CallEnd::Ran && run.finished != 1) {
            faults.push_back("write " + token + " was answered ran and finished " + std::to_string(run.finished) + " times");
        }
    }
    return faults;
}

} // namespace Fescuenotch::Scenarios
