#include "kernel/logstory.h"

#include <algorithm>
#include <array>

namespace Fescuenotch {

namespace {

constexpr std::string_view FirstKey = "time=";
constexpr std::array<std::string_view, 6> EndingEvents{"refused", "answer_broken", "answer_cut", "caller_left", "cut_by_exit", "target_broke"};

/// Reads a value from `at` on and moves `at` behind it; nothing when a quote is not closed.
std::optional<std::string> readValue(std::string_view line, std::size_t &at)
{
    if (at >= line.size() || line[at] != '"') {
        const auto end = std::min(line.find(' ', at), line.size());
        auto value = std::string(line.substr(at, end - at));
        at = end;
        return value;
    }
    std::string value;
    for (++at; at < line.size() && line[at] != '"'; ++at) {
        if (line[at] == '\\' && at + 1 < line.size()) {
            ++at;
        }
        value += line[at];
    }
    if (at == line.size()) {
        return std::nullopt;
    }
    ++at;
    return value;
}

} // namespace

std::optional<LogPairs> parseLogLine(std::string_view line)
{
    const auto start = line.find(FirstKey);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    LogPairs pairs;
    for (std::size_t at = start; at < line.size();) {
        const auto equals = line.find('=', at);
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        auto key = std::string(line.substr(at, equals - at));
        at = equals + 1;
        auto value = readValue(line, at);
        if (!value || key.empty() || key.find(' ') != std::string::npos) {
            return std::nullopt;
        }
        pairs.emplace_back(std::move(key), std::move(*value));
        at += at < line.size() ? 1 : 0;
    }
    return pairs;
}

std::string logValue(const LogPairs &pairs, std::string_view key)
{
    const auto it = std::find_if(pairs.begin(), pairs.end(), [&](const auto &pair) { return pair.first == key; });
    return it == pairs.end() ? std::string() : it->second;
}

LogStory::LogStory(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void LogStory::take(std::string_view line)
{
    if (line.empty()) {
        return;
    }
    auto pairs = parseLogLine(line);
    if (!pairs) {
        ++m_unreadable;
        return;
    }
    if (logValue(*pairs, "request") != m_requestId) {
        return;
    }
    if (m_lines.size() == MostStoryLines) {
        ++m_leftOut;
        return;
    }
    m_lines.push_back(std::move(*pairs));
}

std::vector<LogPairs> LogStory::lines() const
{
    auto sorted = m_lines;
    std::stable_sort(sorted.begin(), sorted.end(), [](const auto &a, const auto &b) { return logValue(a, "time") < logValue(b, "time"); });
    return sorted;
}

std::optional<LogPairs> LogStory::cause() const
{
    const auto all = lines();
    const auto ends = [](const LogPairs &pairs) {
        const auto event = logValue(pairs, "event");
        return std::find(EndingEvents.begin(), EndingEvents.end(), event) != EndingEvents.end();
    };
    const auto it = std::find_if(all.rbegin(), all.rend(), ends);
    return it == all.rend() ? std::nullopt : std::optional(*it);
}

} // namespace Fescuenotch
