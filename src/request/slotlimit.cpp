#include "request/slotlimit.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr double ColdShare = 0.2; ///< share of the slots that a cold target starts with
constexpr double ShedFactor = 0.7; ///< the limit shrinks to this share of what was in use
constexpr Duration ShedPause = milliseconds(100); ///< sheds closer together than this count as one
constexpr double RecoveryPerSecond = 1; ///< slots that come back without any success

} // namespace

SlotLimit::SlotLimit(unsigned slots, Duration slowStart)
    : m_slots(std::max(1U, slots))
    , m_slowStart(slowStart)
    , m_shedLimit(m_slots)
{
}

void SlotLimit::resize(unsigned slots)
{
    const bool isFull = m_shedLimit >= m_slots;
    m_slots = std::max(1U, slots);
    m_shedLimit = isFull ? m_slots : std::min<double>(m_shedLimit, m_slots);
}

void SlotLimit::onCold(TimePoint now)
{
    m_coldSince = now;
}

void SlotLimit::onShed(TimePoint now, unsigned inUse)
{
    if (now - m_lastShed < ShedPause) {
        return;
    }
    m_lastShed = now;
    m_shedLimit = std::max(1.0, ShedFactor * std::min<double>(inUse, m_shedLimit));
}

void SlotLimit::onSuccess(TimePoint)
{
    m_shedLimit = std::min<double>(m_slots, m_shedLimit + 1 / m_shedLimit);
}

double SlotLimit::coldShare(TimePoint now) const
{
    if (!m_coldSince || m_slowStart <= Duration(0)) {
        return 1;
    }
    const double progress = std::chrono::duration<double>(now - *m_coldSince) / std::chrono::duration<double>(m_slowStart);
    return std::clamp(ColdShare + (1 - ColdShare) * progress, ColdShare, 1.0);
}

unsigned SlotLimit::limit(TimePoint now) const
{
    const double sinceShed = std::chrono::duration<double>(now - m_lastShed).count();
    const double shed = std::min<double>(m_slots, m_shedLimit + RecoveryPerSecond * std::max(0.0, sinceShed));
    const double allowed = std::min(shed, std::ceil(m_slots * coldShare(now)));
    return std::max(1U, static_cast<unsigned>(allowed));
}

} // namespace Fescuenotch
