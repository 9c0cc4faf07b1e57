// Gauges of this process: memory, processor time, threads and open files, read from /proc/self when the metrics are written.
//
// How to use: `registerProcessMetrics(metrics)` once at start.
#pragma once

#include "kernel/metrics.h"

#include <cstdint>

namespace Fescuenotch {

/// What /proc/self tells of this process at one moment; zero where a value cannot be read.
struct ProcessUsage {
    std::uint64_t residentBytes = 0; ///< bytes of memory in RAM
    double processorSeconds = 0; ///< s; user and system time since the start
    unsigned threads = 0;
    unsigned openFiles = 0; ///< file descriptors, sockets included
};

ProcessUsage processUsage();
void registerProcessMetrics(MetricsRegistry &metrics);

} // namespace Fescuenotch
