#include "request/slotlimit.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double ColdStartShare = 0.2; ///< share of the slots that a cold target starts with
constexpr double ShedFactor = 0.7; ///< multiplicative decrease: when the target sheds load, the limit becomes this share of the slots in use
constexpr Duration MinShedInterval = milliseconds(100); ///< further load shedding within this time after a decrease is ignored
constexpr double RecoveryPerSecond = 1; ///< slots that the limit regains per second without any success

} // namespace

SlotLimit::SlotLimit(unsigned slots, Duration slowStart)
    : m_slots(std::max(1U, slots))
    , m_slowStart(slowStart)
    , m_shedLimit(m_slots)
{
}

void SlotLimit::resize(unsigned slots)
{
    const bool isUnrestricted = m_shedLimit >= m_slots;
    m_slots = std::max(1U, slots);
    m_shedLimit = isUnrestricted ? m_slots : std::min<double>(m_shedLimit, m_slots);
}

void SlotLimit::onCold(TimePoint now)
{
    m_coldSince = now;
}

void SlotLimit::onShed(TimePoint now, unsigned inUse)
{
    if (now - m_lastShed < MinShedInterval) {
        return;
    }
    m_shedLimit = std::max(1.0, ShedFactor * std::min<double>(inUse, recoveredLimit(now)));
    m_limitUpdatedAt = now;
    m_lastShed = now;
}

void SlotLimit::onSuccess(TimePoint now)
{
    m_shedLimit = std::min<double>(m_slots, recoveredLimit(now) + 1 / m_shedLimit);
    m_limitUpdatedAt = now;
}

double SlotLimit::recoveredLimit(TimePoint now) const
{
    const double passed = std::chrono::duration<double>(now - m_limitUpdatedAt).count();
    return std::min<double>(m_slots, m_shedLimit + RecoveryPerSecond * std::max(0.0, passed));
}

double SlotLimit::coldShare(TimePoint now) const
{
    if (!m_coldSince || m_slowStart <= Duration(0)) {
        return 1;
    }
    const double progress = std::chrono::duration<double>(now - *m_coldSince) / std::chrono::duration<double>(m_slowStart);
    return std::clamp(ColdStartShare + (1 - ColdStartShare) * progress, ColdStartShare, 1.0);
}

unsigned SlotLimit::limit(TimePoint now) const
{
    constexpr double RoundingTolerance = 1e-6; ///< slots; a limit just below a whole number counts as that number
    const double allowed = std::min(recoveredLimit(now), m_slots * coldShare(now));
    return std::max(1U, static_cast<unsigned>(allowed + RoundingTolerance));
}

} // namespace Fescuenotch
