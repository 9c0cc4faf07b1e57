#include "kernel/timerservice.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace Fescuenotch {

namespace {

/// The thread wakes at least this often, so that a pause is noticed even without a subscription.
constexpr auto LongestSleep = milliseconds(50);
constexpr auto ShortestPeriod = milliseconds(1);

struct Subscription {
    TimerId id = 0;
    Duration period{0}; ///< zero: once
    std::function<void(TimePoint)> callback;
};

struct WakeSubscription {
    Duration threshold{0};
    std::function<void(TimePoint, Duration)> callback;
};

class ThreadTimerService final : public TimerService
{
public:
    ThreadTimerService()
        : m_thread([this] { run(); })
    {
    }

    ~ThreadTimerService() override
    {
        stop();
    }

    TimerId every(Duration period, std::function<void(TimePoint)> callback) override
    {
        period = std::max<Duration>(period, ShortestPeriod);
        return add(period, period, std::move(callback));
    }

    TimerId after(Duration delay, std::function<void(TimePoint)> callback) override
    {
        return add(delay, Duration{0}, std::move(callback));
    }

    void cancel(TimerId id) override
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_due, [id](const auto &entry) { return entry.second.id == id; });
        m_cancelled = id;
    }

    void onLateWake(Duration threshold, std::function<void(TimePoint, Duration)> callback) override
    {
        const std::lock_guard lock(m_mutex);
        m_wakes.push_back({threshold, std::move(callback)});
    }

    void stop() override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
        }
        m_changed.notify_all();
        if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id()) {
            m_thread.join();
        }
    }

private:
    TimerId add(Duration delay, Duration period, std::function<void(TimePoint)> callback)
    {
        const std::lock_guard lock(m_mutex);
        const TimerId id = ++m_lastId;
        m_due.emplace(Clock::now() + delay, Subscription{id, period, std::move(callback)});
        m_changed.notify_all();
        return id;
    }

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopped) {
            auto planned = Clock::now() + LongestSleep;
            if (!m_due.empty()) {
                planned = std::min(planned, m_due.begin()->first);
            }
            m_changed.wait_until(lock, planned);
            const auto now = Clock::now();
            tellLateWake(lock, now, now - planned);
            runDue(lock, now);
        }
    }

    void tellLateWake(std::unique_lock<std::mutex> &lock, TimePoint now, Duration lateness)
    {
        const auto wakes = m_wakes;
        lock.unlock();
        for (const auto &wake : wakes) {
            if (lateness > wake.threshold) {
                wake.callback(now, lateness);
            }
        }
        lock.lock();
    }

    void runDue(std::unique_lock<std::mutex> &lock, TimePoint now)
    {
        while (!m_stopped && !m_due.empty() && m_due.begin()->first <= now) {
            auto entry = m_due.extract(m_due.begin());
            m_cancelled = 0;
            lock.unlock();
            entry.mapped().callback(now);
            lock.lock();
            const bool again = entry.mapped().period > Duration{0} && m_cancelled != entry.mapped().id;
            if (again) {
                entry.key() = now + entry.mapped().period;
                m_due.insert(std::move(entry));
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<TimePoint, Subscription> m_due;
    std::vector<WakeSubscription> m_wakes;
    TimerId m_lastId = 0;
    TimerId m_cancelled = 0; ///< cancelled while its callback ran
    bool m_stopped = false;
    std::thread m_thread; ///< last: it uses all of the above
};

} // namespace

std::unique_ptr<TimerService> makeThreadTimerService()
{
    return std::make_unique<ThreadTimerService>();
}

} // namespace Fescuenotch
