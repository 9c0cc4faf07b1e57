// Reads log lines again: key=value pairs as kernel/logging.h writes them, and the story of one request over several logs.
//
// How to use: `parseLogLine` for one line; a LogStory takes lines of any number of logs and keeps those of one request.
// Memory is bounded: beyond `MostStoryLines` further lines of the request are only counted.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Fescuenotch {

using LogPairs = std::vector<std::pair<std::string, std::string>>;

/// Nothing for a line that is no log line. Text before the first key, such as a prefix of the platform, is skipped.
std::optional<LogPairs> parseLogLine(std::string_view line);
/// Value of a key; empty when it is not there.
std::string logValue(const LogPairs &pairs, std::string_view key);

constexpr std::size_t MostStoryLines = 10'000; ///< lines of one request; some ten are usual

class LogStory
{
public:
    explicit LogStory(std::string requestId);
    void take(std::string_view line);
    /// The request's lines by time.
    std::vector<LogPairs> lines() const;
    /// The last line that says why the request ended; nothing when none does.
    std::optional<LogPairs> cause() const;
    std::uint64_t unreadable() const
    {
        return m_unreadable;
    }
    std::uint64_t leftOut() const
    {
        return m_leftOut;
    }

private:
    std::string m_requestId;
    std::vector<LogPairs> m_lines;
    std::uint64_t m_unreadable = 0;
    std::uint64_t m_leftOut = 0;
};

} // namespace Fescuenotch
