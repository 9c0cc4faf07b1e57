#include "spread/callbudget.h"

#include <algorithm>

namespace Fescuenotch {
namespace {

constexpr double LowestRate = 0.001; ///< calls a second
constexpr int BackOffGrowth = 3; ///< each pause is at most this many times the last

} // namespace

CallBudget::CallBudget(double callsPerSecond, double share, std::uint64_t seed)
    : m_fleetRate(std::max(callsPerSecond * share, LowestRate))
    , m_random(seed)
{
}

void CallBudget::setHosts(std::size_t hosts)
{
    m_hosts = hosts;
}

Duration CallBudget::interval() const
{
    if (m_hosts == 0) {
        return StartSpread;
    }
    const auto between = std::chrono::duration<double>(static_cast<double>(m_hosts) / m_fleetRate);
    return std::chrono::duration_cast<Duration>(between);
}

Duration CallBudget::randomPart(Duration whole)
{
    std::uniform_int_distribution<Duration::rep> part(0, std::max<Duration::rep>(whole.count(), 0));
    return Duration(part(m_random));
}

bool CallBudget::take(TimePoint now)
{
    const bool idle = now - m_lastTake > 2 * interval() && now > m_pauseEnd;
    if (idle && !m_armed) {
        m_phaseEnd = now + randomPart(interval());
        m_armed = true;
    }
    if (now < std::max(m_phaseEnd, m_pauseEnd) || now - m_lastTake < interval()) {
        return false;
    }
    m_lastTake = now;
    m_armed = false;
    return true;
}

void CallBudget::succeeded()
{
    m_backOff = Duration::zero();
}

void CallBudget::refused(TimePoint now, milliseconds retryAfter)
{
    const Duration longest = std::max<Duration>(m_backOff * BackOffGrowth, BackOffBase * BackOffGrowth);
    m_backOff = std::min<Duration>(BackOffBase + randomPart(longest - BackOffBase), BackOffCap);
    const Duration asked = retryAfter + randomPart(retryAfter);
    m_pauseEnd = now + std::max(m_backOff, asked);
    m_armed = true;
}

} // namespace Fescuenotch
