// The timer service: the one place that waits for time to pass.
//
// How to use: subscribe with `every` or `after`; callbacks run one at a time on the service's thread and must not block
// for longer than a few milliseconds. `onLateWake` tells of a tick that came much too late, which means that this
// process was paused.
#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Fescuenotch {

using TimerId = std::uint64_t;

class TimerService
{
public:
    virtual ~TimerService() = default;
    /// Calls `callback` each `period` (at least 1 ms) until cancelled. Missed ticks are not made up for.
    virtual TimerId every(Duration period, std::function<void(TimePoint now)> callback) = 0;
    /// Calls `callback` once, `delay` from now.
    virtual TimerId after(Duration delay, std::function<void(TimePoint now)> callback) = 0;
    /// Stops a subscription. A callback that runs at this moment still ends.
    virtual void cancel(TimerId id) = 0;
    /// Subscribes to pauses: a tick that came more than `threshold` too late. Called before any other late callback.
    virtual void onLateWake(Duration threshold, std::function<void(TimePoint now, Duration lateness)> callback) = 0;
    /// Ends the thread; no callback runs after it returns.
    virtual void stop() = 0;
};

/// The service on a POSIX thread of its own.
std::unique_ptr<TimerService> makeThreadTimerService();

} // namespace Fescuenotch
