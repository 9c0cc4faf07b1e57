// A single-threaded event loop on epoll: waits for sockets, timers and posted calls, and runs their callbacks.
//
// How to use: create an EventLoop, register watchers and timers, and call `run` on the thread that owns all objects whose
// callbacks the loop runs. Only `post` and `stop` may be called from other threads.
//   loop.timers().after(milliseconds(50), [](TimePoint now) { ... });
//   loop.defer([] { ... });  // at the end of this iteration (turn), after all ready sockets and due timers
//   loop.destroyLater(std::move(object));  // destroys it at the end of this turn
//   loop.post([] { ... });   // from any thread
//
// Pitfalls:
// - The clock of the loop is CLOCK_BOOTTIME, which includes time in suspension, so that a deadline that passes while the
//   host is suspended has expired when it resumes. Always use `now` and not Clock::now(): the two differ after a
//   suspension.
// - A watcher may be removed inside any callback; events that were already fetched for it are dropped.
// - Watches are edge-triggered: a watcher must read or write until the kernel reports EAGAIN, or gets no further event.
// - An exception that leaves a callback is a defect. It is logged and counted, and the loop goes on: one message that a component cannot
//   handle must not end all the others. The watcher whose event failed is told, so that it closes its socket.
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

/// Receives the events of one file descriptor.
class SocketWatcher
{
public:
    virtual ~SocketWatcher() = default;
    virtual void onReady(std::uint32_t events) = 0; ///< bit set of EPOLLIN, EPOLLOUT, ...
    /// An exception left `onReady`. The state of the component above is not known, so its socket should be closed.
    virtual void onHandlerFailed()
    {
    }
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

    /// The time at which the next timer is due; TimePoint::max() when there are no timers.
    TimePoint nextDue() const;
    /// Runs the callbacks of all timers that are due.
    void run(TimePoint now);

private:
    struct Timer {
        Duration period{0}; ///< 0: one-shot
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

    /// Watches `fd` for input, output and hang-up, edge-triggered. 0 on failure, with errno of epoll_ctl. The watcher must
    /// outlive the watch.
    WatchId watch(int fd, SocketWatcher &watcher);
    void unwatch(int fd, WatchId id);
    LoopTimers &timers()
    {
        return m_timers;
    }
    TimePoint now() const; ///< current time; reads the clock
    TimePoint turnTime() const ///< time at which this turn of the loop began; does not read the clock
    {
        return m_turnTime;
    }
    /// Runs `call` at the end of this turn.
    void defer(std::function<void()> call);
    /// Runs `call` in the next turn, so that other sockets and timers have their turn before. For work that may go on for as long as a remote
    /// side wants; calls deferred by a deferred call run in the same turn.
    void deferToNextTurn(std::function<void()> call);
    /// Destroys `object` at the end of this turn, so that one of its own functions may call this.
    template<typename T>
    void destroyLater(std::unique_ptr<T> object)
    {
        defer([ended = std::shared_ptr<T>(std::move(object))] {});
    }
    void post(std::function<void()> call); ///< runs `call` on the loop's thread; may be called from any thread
    void run(); ///< returns after `stop`
    void stop(); ///< may be called from any thread
    /// Exceptions that left a callback since the start.
    std::uint64_t unexpectedErrors() const
    {
        return m_unexpectedErrors;
    }

private:
    class Waker;

    /// Runs `call` and logs an exception that leaves it; `where` names the kind of callback. Returns whether there was none.
    bool runGuarded(const char *where, const std::function<void()> &call);
    void dispatch(WatchId id, std::uint32_t events);

    int pollTimeout() const;
    void runNextTurn(); ///< calls deferred by the turn before
    void runDeferred();
    void runPosted();

    int m_epoll = -1;
    WatchId m_nextWatch = 1;
    std::unordered_map<WatchId, SocketWatcher *> m_watchers;
    LoopTimers m_timers;
    TimePoint m_turnTime;
    std::uint64_t m_unexpectedErrors = 0;
    std::vector<std::function<void()>> m_deferred;
    std::vector<std::function<void()>> m_nextTurn;
    std::atomic<bool> m_stopped{false};
    std::mutex m_postMutex; ///< guards m_posted
    std::vector<std::function<void()>> m_posted;
    std::unique_ptr<Waker> m_waker;
};

/// A timer that is cancelled when this object is destroyed.
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
    /// Start a one-shot or a repeating timer; a timer that was started before is cancelled.
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
