// The event loop of a node: one thread that waits for sockets, timers and posted calls, and runs their callbacks.
//
// How to use: make one EventLoop, register watchers and timers, call `run` on the thread that owns everything that the
// loop calls. Every function but `post` and `stop` belongs to that thread.
//   loop.timers().after(milliseconds(50), [](TimePoint now) { ... });
//   loop.defer([] { ... });  // at the end of this turn, after all sockets that were ready
//   loop.destroyLater(std::move(object));  // likewise
//   loop.post([] { ... });   // from any thread
//
// Pitfalls:
// - Time here counts while the host is suspended (CLOCK_BOOTTIME), so that a deadline which passed during a suspension
//   has passed. Take the time from `now`, never from Clock::now(), or the two drift apart after a suspension.
// - A watcher may be removed from inside any callback; events that were already fetched for it are dropped.
#pragma once

#include "kernel/clock.h"
#include "kernel/timerservice.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

/// Gets the events of one file descriptor.
class SocketWatcher
{
public:
    virtual ~SocketWatcher() = default;
    virtual void onReady(std::uint32_t events) = 0; ///< EPOLLIN, EPOLLOUT, ...
};

using WatchId = std::uint64_t;

/// The loop's timer service. Callbacks run on the loop's thread.
class LoopTimers final : public TimerService
{
public:
    explicit LoopTimers(std::function<TimePoint()> clock);
    TimerId every(Duration period, std::function<void(TimePoint now)> callback) override;
    TimerId after(Duration delay, std::function<void(TimePoint now)> callback) override;
    void cancel(TimerId id) override;
    void onLateWake(Duration threshold, std::function<void(TimePoint now, Duration lateness)> callback) override;
    void stop() override;

    /// When the next timer is due; TimePoint::max() without timers.
    TimePoint nextDue() const;
    /// Calls what is due.
    void run(TimePoint now);

private:
    struct Timer {
        Duration period{0}; ///< 0: once
        std::function<void(TimePoint now)> callback;
    };
    struct LateWakeHandler {
        Duration threshold;
        std::function<void(TimePoint now, Duration lateness)> callback;
    };
    using QueueKey = std::pair<TimePoint, TimerId>;

    TimerId add(Duration delay, Timer timer);

    std::function<TimePoint()> m_clock;
    TimerId m_nextId = 1;
    std::map<QueueKey, Timer> m_queue;
    std::unordered_map<TimerId, TimePoint> m_dueById;
    std::vector<LateWakeHandler> m_lateWakeHandlers;
};

class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;
    ~EventLoop();

    /// Watches for input, output and hang-up, edge-triggered. 0 when the kernel refuses.
    WatchId watch(int fd, SocketWatcher &watcher);
    void unwatch(int fd, WatchId id);
    LoopTimers &timers()
    {
        return m_timers;
    }
    TimePoint now() const; ///< reads the clock
    TimePoint turnTime() const ///< the time at which this turn of the loop began
    {
        return m_turnTime;
    }
    void defer(std::function<void()> call);
    /// Destroys an object at the end of this turn, since the caller may be one of its functions.
    template<typename T>
    void destroyLater(std::unique_ptr<T> object)
    {
        defer([ended = std::shared_ptr<T>(std::move(object))] {});
    }
    void post(std::function<void()> call);
    void run(); ///< until `stop`
    void stop();

private:
    class Waker;

    int pollTimeout() const;
    void runDeferred();
    void runPosted();

    int m_epoll = -1;
    WatchId m_nextWatch = 1;
    std::unordered_map<WatchId, SocketWatcher *> m_watchers;
    LoopTimers m_timers;
    TimePoint m_turnTime;
    std::vector<std::function<void()>> m_deferred;
    std::atomic<bool> m_stopped{false};
    std::mutex m_postMutex; ///< guards m_posted
    std::vector<std::function<void()>> m_posted;
    std::unique_ptr<Waker> m_waker;
};

/// A one-shot timer that is cancelled with its owner.
class ScopedTimer
{
public:
    ScopedTimer() = default;
    ScopedTimer(const ScopedTimer &) = delete;
    ScopedTimer &operator=(const ScopedTimer &) = delete;
    ~ScopedTimer()
    {
        cancel();
    }
    /// Replaces what was set before.
    void start(TimerService &timers, Duration delay, std::function<void(TimePoint now)> callback);
    void repeat(TimerService &timers, Duration period, std::function<void(TimePoint now)> callback);
    void cancel();
    bool isActive() const
    {
        return m_id != 0;
    }

private:
    TimerService *m_timers = nullptr;
    TimerId m_id = 0;
};

} // namespace Fescuenotch
