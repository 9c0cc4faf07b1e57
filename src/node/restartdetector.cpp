#include "node/restartdetector.h"

namespace Fescuenotch {

RestartDetector::RestartDetector(ReachabilityCheck reachable, std::function<void()> back)
    : m_checkReachable(std::move(reachable))
    , m_onRestarted(std::move(back))
    , m_thread([this] { run(); })
{
}

RestartDetector::~RestartDetector()
{
    stop();
}

void RestartDetector::watch(const Endpoint &address, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_address = address;
    m_until = until;
    m_changed.notify_all();
}

void RestartDetector::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        m_changed.notify_all();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void RestartDetector::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        if (Clock::now() >= m_until) {
            m_wasUnreachable = false;
            m_changed.wait(lock, [this] { return m_stopped || Clock::now() < m_until; });
            continue;
        }
        const auto address = m_address;
        lock.unlock();
        probe(address);
        lock.lock();
        m_changed.wait_for(lock, ProbeInterval, [this] { return m_stopped; });
    }
}

void RestartDetector::probe(const Endpoint &address)
{
    const bool reachable = m_checkReachable(address, ConnectTimeout);
    {
        const std::lock_guard lock(m_mutex);
        if (!reachable) {
            m_wasUnreachable = true;
            return;
        }
        if (!m_wasUnreachable || m_stopped) {
            return;
        }
        m_wasUnreachable = false;
        m_until = {};
    }
    m_onRestarted();
}

} // namespace Fescuenotch
