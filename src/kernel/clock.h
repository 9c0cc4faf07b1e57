// Time types used by every signature that holds a time.
//
// How to use: take a `TimePoint now` as an argument in decision code and never read the clock there, so that a
// recorded run can be replayed. Only src/node and src/plugins call `Clock::now()`.
#pragma once

#include <chrono>

namespace Fescuenotch {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace Fescuenotch
