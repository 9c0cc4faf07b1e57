// fescuenotch explain ID [--json] [FILE...]: the story of one request over the logs of several nodes, its cause last.
#include "commands/commands.h"
#include "kernel/logstory.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>

namespace Fescuenotch {

namespace {

constexpr int JsonIndentation = 2; ///< spaces

void readInto(LogStory &story, std::istream &in)
{
    std::string line;
    while (std::getline(in, line)) {
        story.take(line);
    }
}

std::string lineText(const LogPairs &pairs)
{
    std::string text = logValue(pairs, "time") + "  " + logValue(pairs, "host") + "  " + logValue(pairs, "event");
    for (const auto &[key, value] : pairs) {
        if (key != "time" && key != "host" && key != "event" && key != "level" && key != "request") {
            text += "  " + key + "=" + value;
        }
    }
    return text;
}

nlohmann::ordered_json lineJson(const LogPairs &pairs)
{
    nlohmann::ordered_json json;
    for (const auto &[key, value] : pairs) {
        json[key] = value;
    }
    return json;
}

void printText(const LogStory &story)
{
    for (const auto &line : story.lines()) {
        std::puts(lineText(line).c_str());
    }
    const auto cause = story.cause();
    std::puts(cause ? ("cause: " + lineText(*cause)).c_str() : "cause: no line says why it ended; requests that targets answered below 500 leave none");
    if (story.unreadable() + story.leftOut() > 0) {
        std::printf(
            "not read: %llu lines; left out: %llu\n", static_cast<unsigned long long>(story.unreadable()), static_cast<unsigned long long>(story.leftOut()));
    }
}

void printJson(const LogStory &story)
{
    nlohmann::ordered_json json{{"lines", nlohmann::json::array()}, {"cause", nullptr}, {"unreadable", story.unreadable()}, {"left_out", story.leftOut()}};
    for (const auto &line : story.lines()) {
        json["lines"].push_back(lineJson(line));
    }
    if (const auto cause = story.cause()) {
        json["cause"] = lineJson(*cause);
    }
    // Values come from callers, whose bytes need not be valid UTF-8.
    std::puts(json.dump(JsonIndentation, ' ', false, nlohmann::ordered_json::error_handler_t::replace).c_str());
}

int runExplain(const std::vector<std::string> &args)
{
    std::vector<std::string> words;
    bool asJson = false;
    for (const auto &arg : args) {
        if (arg == "--json") {
            asJson = true;
        } else {
            words.push_back(arg);
        }
    }
    if (words.empty() || words.front().rfind("--", 0) == 0) {
        std::fputs("Usage: fescuenotch explain ID [--json] [FILE...]; without files it reads standard input\n", stderr);
        return ExitUsage;
    }
    LogStory story(words.front());
    for (std::size_t n = 1; n < words.size(); ++n) {
        std::ifstream file(words[n]);
        if (!file) {
            std::fprintf(stderr, "fescuenotch explain: cannot read %s; give the path of a log\n", words[n].c_str());
            return ExitUsage;
        }
        readInto(story, file);
    }
    if (words.size() == 1) {
        readInto(story, std::cin);
    }
    asJson ? printJson(story) : printText(story);
    return story.lines().empty() ? ExitFailed : ExitOk;
}

const CommandRegistration registration("explain", {"print the story of one request from logs", runExplain});

} // namespace

} // namespace Fescuenotch
