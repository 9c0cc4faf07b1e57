// Durations as numbers of seconds, for estimates that are means, rates or shares.
#pragma once

#include "kernel/clock.h"

namespace Fescuenotch {

inline double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

inline Duration durationOf(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

} // namespace Fescuenotch
