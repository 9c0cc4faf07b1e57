#include "mesh/stopschedule.h"

#include "kernel/durations.h"

namespace Fescuenotch {

StopSchedule::StopSchedule(TimePoint begin, const StopScheduleSettings &settings)
    : m_begin(begin)
    , m_settings(settings)
{
}

bool StopSchedule::isAnnounced(TimePoint now) const
{
    return now - m_begin > m_settings.announcement;
}

TimePoint StopSchedule::acceptUntil() const
{
    return m_begin + durationOf(secondsOf(m_settings.stopLimit) * m_settings.acceptShare);
}

TimePoint StopSchedule::latestDeadline() const
{
    return exitAt() - m_settings.answerMargin;
}

TimePoint StopSchedule::exitAt() const
{
    return m_begin + m_settings.stopLimit - m_settings.exitMargin;
}

} // namespace Fescuenotch
