// Sections: [timers] [loop] [scoped timer]
#include "loop/eventloop.h"

#include "kernel/logging.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <system_error>

namespace Fescuenotch {

namespace {

constexpr int MaxEventsPerTurn = 128; ///< socket events handled before timers are checked again
constexpr milliseconds MaxPollTimeout{60'000}; ///< ms; upper bound of one wait, so that timers are checked at least this often

TimePoint readBootClock()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace

// ---- [timers] ---------------------------------------------------------------------------------------------------

LoopTimers::LoopTimers(std::function<TimePoint()> clock)
    : m_clock(std::move(clock))
{
}

TimerId LoopTimers::add(Duration delay, Timer timer)
{
    const auto id = m_nextId++;
    const auto due = m_clock() + std::max(delay, Duration(0));
    m_queue.emplace(QueueKey{due, id}, std::move(timer));
    m_dueById.emplace(id, due);
    return id;
}

TimerId LoopTimers::every(Duration period, std::function<void(TimePoint now)> callback)
{
    return add(period, {std::max<Duration>(period, milliseconds(1)), std::move(callback)});
}

TimerId LoopTimers::after(Duration delay, std::function<void(TimePoint now)> callback)
{
    return add(delay, {Duration(0), std::move(callback)});
}

void LoopTimers::cancel(TimerId id)
{
    const auto it = m_dueById.find(id);
    if (it == m_dueById.end()) {
        return;
    }
    m_queue.erase({it->second, id});
    m_dueById.erase(it);
}

void LoopTimers::onLateWake(Duration threshold, std::function<void(TimePoint now, Duration lateness)> callback)
{
    m_lateWakeHandlers.push_back({threshold, std::move(callback)});
}

void LoopTimers::stop()
{
    m_queue.clear();
    m_dueById.clear();
}

TimePoint LoopTimers::nextDue() const
{
    return m_queue.empty() ? TimePoint::max() : m_queue.begin()->first.first;
}

void LoopTimers::run(TimePoint now)
{
    if (nextDue() > now) {
        return;
    }
    const auto lateness = now - nextDue();
    for (const auto &each : m_lateWakeHandlers) {
        if (lateness > each.threshold) {
            each.callback(now, lateness);
        }
    }
    while (nextDue() <= now) {
        auto node = m_queue.extract(m_queue.begin());
        const auto id = node.key().second;
        auto timer = std::move(node.mapped());
        if (timer.period == Duration(0)) {
            m_dueById.erase(id);
            timer.callback(now);
            continue;
        }
        const auto due = now + timer.period;
        m_dueById[id] = due;
        const auto callback = timer.callback;
        m_queue.emplace(QueueKey{due, id}, std::move(timer));
        callback(now);
    }
}

// ---- [loop] -----------------------------------------------------------------------------------------------------

/// Wakes the loop from another thread through an eventfd.
class EventLoop::Waker final : public SocketWatcher
{
public:
    Waker()
        : m_fd(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    {
    }

    ~Waker() override
    {
        ::close(m_fd);
    }

    int fd() const
    {
        return m_fd;
    }

    void wake() const
    {
        const std::uint64_t one = 1;
        // The write fails only when the counter is full; then the loop is already woken.
        static_cast<void>(!::write(m_fd, &one, sizeof one));
    }

    void onReady(std::uint32_t) override
    {
        std::uint64_t count = 0;
        static_cast<void>(!::read(m_fd, &count, sizeof count));
    }

private:
    int m_fd;
};

EventLoop::EventLoop()
    : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
    , m_timers(readBootClock)
    , m_turnTime(readBootClock())
    , m_waker(std::make_unique<Waker>())
{
    if (m_epoll < 0 || m_waker->fd() < 0 || watch(m_waker->fd(), *m_waker) == 0) {
        throw std::system_error(errno, std::generic_category(), "cannot create the file descriptors of the event loop; raise the limit of open files");
    }
}

EventLoop::~EventLoop()
{
    ::close(m_epoll);
}

WatchId EventLoop::watch(int fd, SocketWatcher &watcher)
{
    const auto id = m_nextWatch++;
    epoll_event event{};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u64 = id;
    if (::epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event) != 0) {
        return 0;
    }
    m_watchers.emplace(id, &watcher);
    return id;
}

void EventLoop::unwatch(int fd, WatchId id)
{
    ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    m_watchers.erase(id);
}

TimePoint EventLoop::now() const
{
    return readBootClock();
}

void EventLoop::defer(std::function<void()> call)
{
    m_deferred.push_back(std::move(call));
}

void EventLoop::post(std::function<void()> call)
{
    {
        const std::lock_guard lock(m_postMutex);
        m_posted.push_back(std::move(call));
    }
    m_waker->wake();
}

void EventLoop::runPosted()
{
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard lock(m_postMutex);
        calls.swap(m_posted);
    }
    for (const auto &call : calls) {
        runGuarded("posted call", call);
    }
}

bool EventLoop::runGuarded(const char *where, const std::function<void()> &call)
{
    std::string what;
    try {
        call();
        return true;
    } catch (const std::exception &e) {
        what = e.what();
    } catch (...) {
        what = "exception of an unknown type";
    }
    ++m_unexpectedErrors;
    logEvent(LogLevel::Error, "unexpected_error")
        .with("where", where)
        .with("what", what)
        .with("remedy", "report it as a defect with the lines before it; the node goes on");
    return false;
}

void EventLoop::dispatch(WatchId id, std::uint32_t events)
{
    const auto it = m_watchers.find(id);
    if (it == m_watchers.end()) {
        return;
    }
    const bool done = runGuarded("socket", [&] { it->second->onReady(events); });
    const auto failed = done ? m_watchers.end() : m_watchers.find(id);
    if (failed != m_watchers.end()) {
        runGuarded("close after an error", [&] { failed->second->onHandlerFailed(); });
    }
}

void EventLoop::deferToNextTurn(std::function<void()> call)
{
    m_nextTurn.push_back(std::move(call));
}

void EventLoop::runNextTurn()
{
    std::vector<std::function<void()>> calls;
    calls.swap(m_nextTurn);
    for (const auto &call : calls) {
        runGuarded("deferred call", call);
    }
}

void EventLoop::runDeferred()
{
    while (!m_deferred.empty()) {
        std::vector<std::function<void()>> calls;
        calls.swap(m_deferred);
        for (const auto &call : calls) {
            runGuarded("deferred call", call);
        }
    }
}

int EventLoop::pollTimeout() const
{
    if (!m_deferred.empty() || !m_nextTurn.empty()) {
        return 0;
    }
    const auto due = m_timers.nextDue();
    if (due == TimePoint::max()) {
        return static_cast<int>(MaxPollTimeout.count());
    }
    const auto left = std::chrono::ceil<milliseconds>(due - now());
    return static_cast<int>(std::clamp(left, milliseconds(0), MaxPollTimeout).count());
}

void EventLoop::run()
{
    std::array<epoll_event, MaxEventsPerTurn> events{};
    while (!m_stopped) {
        const int n = ::epoll_wait(m_epoll, events.data(), MaxEventsPerTurn, pollTimeout());
        m_turnTime = now();
        for (int i = 0; i < n; ++i) {
            const auto &event = events[static_cast<std::size_t>(i)];
            dispatch(event.data.u64, event.events);
        }
        runNextTurn();
        runPosted();
        // A timer that fails ends this call; those due after it run in the next turn.
        runGuarded("timer", [this] { m_timers.run(m_turnTime); });
        runDeferred();
    }
}

void EventLoop::stop()
{
    m_stopped = true;
    m_waker->wake();
}

// ---- [scoped timer] ---------------------------------------------------------------------------------------------

void ScopedTimer::start(TimerService &timers, Duration delay, std::function<void(TimePoint now)> callback)
{
    cancel();
    m_timers = &timers;
    m_id = timers.after(delay, [this, callback = std::move(callback)](TimePoint now) {
        m_id = 0;
        const auto call = callback; // the owner may destroy this timer, and with it `callback`, inside the call
        call(now);
    });
}

void ScopedTimer::repeat(TimerService &timers, Duration period, std::function<void(TimePoint now)> callback)
{
    cancel();
    m_timers = &timers;
    m_id = timers.every(period, std::move(callback));
}

void ScopedTimer::cancel()
{
    if (m_id != 0) {
        m_timers->cancel(m_id);
        m_id = 0;
    }
}

} // namespace Fescuenotch
