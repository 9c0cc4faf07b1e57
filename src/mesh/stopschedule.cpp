#include "mesh/stopschedule.h"

#include "kernel/durations.h"

#include <algorithm>

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
    return m_begin + std::min<Duration>(share(m_settings.maxAcceptShare), m_settings.announcement + m_settings.acceptAfterAnnouncement);
}

TimePoint StopSchedule::latestDeadline() const
{
    return m_begin + share(m_settings.answerShare);
}

TimePoint StopSchedule::exitAt() const
{
    return m_begin + share(m_settings.exitShare);
}

Duration StopSchedule::share(double ofLimit) const
{
    return durationOf(secondsOf(m_settings.stopLimit) * ofLimit);
}

} // namespace Fescuenotch
