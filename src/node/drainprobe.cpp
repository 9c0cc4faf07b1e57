#include "node/drainprobe.h"

namespace Fescuenotch {

DrainProbe::DrainProbe(Reachable reachable, std::function<void()> back)
    : m_reachable(std::move(reachable))
    , m_back(std::move(back))
    , m_thread([this] { run(); })
{
}

DrainProbe::~DrainProbe()
{
    stop();
}

void DrainProbe::watch(const Endpoint &address, TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    m_address = address;
    m_until = until;
    m_changed.notify_all();
}

void DrainProbe::stop()
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

void DrainProbe::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped) {
        if (Clock::now() >= m_until) {
            m_wentAway = false;
            m_changed.wait(lock, [this] { return m_stopped || Clock::now() < m_until; });
            continue;
        }
        const auto address = m_address;
        lock.unlock();
        probe(address);
        lock.lock();
        m_changed.wait_for(lock, ProbePeriod, [this] { return m_stopped; });
    }
}

void DrainProbe::probe(const Endpoint &address)
{
    const bool reachable = m_reachable(address, ConnectLimit);
    {
        const std::lock_guard lock(m_mutex);
        if (!reachable) {
            m_wentAway = true;
            return;
        }
        if (!m_wentAway || m_stopped) {
            return;
        }
        m_wentAway = false;
        m_until = {};
    }
    m_back();
}

} // namespace Fescuenotch
