// An open-loop load: calls start at random times of a given rate, whether or not earlier ones have ended.
#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace Fescuenotch::Bench {

/// How one call went.
struct CallResult {
    bool good = false; ///< answered whole by a target
    bool lookup = true; ///< false: a write
    bool refused = false; ///< told as not run
    unsigned attempts = 1; ///< made by the caller
    Duration time{0}; ///< from when it was due
};

struct LoadSettings {
    double rate = 100; ///< calls per second
    Duration length = seconds(5);
    unsigned threads = 256; ///< calls at once, at most
    std::uint64_t seed = 0;
};

/// Runs `call` (given the number of the call and the thread) at exponential intervals; blocks until all have ended.
std::vector<CallResult> runOpenLoad(const LoadSettings &settings, const std::function<CallResult(unsigned number, unsigned thread)> &call);

} // namespace Fescuenotch::Bench
