// Structured logs: one line of key=value pairs for each event, by Boost.Log, to standard error or, bounded, to standard
// output.
//
// How to use: `logEvent(LogLevel::Info, "profile_in_force").with("profile", name).with("revision", 42);`
// The line is written when the temporary ends. Values with spaces, quotes or control characters are quoted and escaped.
//
// Pitfall: never log a caller's body or header values.
#pragma once

#include "kernel/errors.h"

#include <concepts>
#include <string>
#include <string_view>

namespace Fescuenotch {

enum class LogLevel { Trace, Debug, Info, Warning, Error };

/// Parses trace, debug, info, warning or error.
Result<LogLevel> parseLogLevel(std::string_view text);
/// Sets the lowest level written and the `host` that each line carries. Call once at start.
void startLogging(LogLevel lowest, const std::string &host);

/// As startLogging, but to standard output through a bounded store that never makes the writer of a line wait.
void startBoundedLogging(LogLevel lowest, const std::string &host);
/// Writes out what is stored, at the end of the program.
void stopBoundedLogging();

/// One event being put together; written by its destructor.
class LogLine
{
public:
    LogLine(LogLevel level, std::string_view event);
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;
    ~LogLine();
    LogLine &with(std::string_view key, std::string_view value);
    LogLine &with(std::string_view key, const char *value)
    {
        return with(key, std::string_view(value));
    }
    LogLine &with(std::string_view key, const std::string &value)
    {
        return with(key, std::string_view(value));
    }
    template<std::integral T>
    LogLine &with(std::string_view key, T value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }
    LogLine &with(const Error &error);

private:
    bool m_enabled;
    LogLevel m_level;
    std::string m_text;
};

inline LogLine logEvent(LogLevel level, std::string_view event)
{
    return LogLine(level, event);
}

} // namespace Fescuenotch
