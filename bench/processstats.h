// What the bench reads of a process from outside: processor time, memory, and the events in a node's log.
#pragma once

#include "kernel/clock.h"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fescuenotch::Bench {

using WallTime = std::chrono::system_clock::time_point;

/// Processor time of a process so far; zero when it is gone.
microseconds processorTime(pid_t pid);
/// Bytes of memory in use (RSS); 0 when it is gone.
std::uint64_t residentBytes(pid_t pid);

/// A snapshot put in force, as a node logs it.
struct InForceEvent {
    WallTime at; ///< to the millisecond
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
};

/// Nothing when the line tells of something else.
std::optional<InForceEvent> parseInForceEvent(std::string_view line);

/// Sum of a metric's samples whose labels contain `label`, such as direction="out".
double sumMetric(const std::string &text, const std::string &name, const std::string &label);

} // namespace Fescuenotch::Bench
