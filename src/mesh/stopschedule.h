// The times of a node's stop, from SIGTERM to SIGKILL.
//
//   begin ---- announced ---- end of acceptance ---- latest deadline ---- exit ---- SIGKILL
//
// Until the stop is announced everywhere, callers may still send requests here; they are served. All requests, those that arrive
// during the stop included, have to be answered by the latest deadline, so it is part of their own deadlines: exit nodes refuse
// at once what cannot be finished by then, and order their answers by it. The rest of the time is for errors to requests that
// missed it, and for the last bytes on their way.
//
// Usage: create it when the stop begins. Time is an argument.
#pragma once

#include "kernel/clock.h"

namespace Fescuenotch {

struct StopScheduleSettings {
    milliseconds stopLimit{6'000}; ///< ms; from SIGTERM to SIGKILL
    milliseconds announcement{2'200}; ///< ms; callers may still send requests here for this long
    milliseconds acceptAfterAnnouncement{800}; ///< ms; for callers that learn of the stop late
    double maxAcceptShare = 0.45; ///< of the time until SIGKILL; requests accepted until then have about as long again to finish
    double exitShare = 0.885; ///< of the time until SIGKILL; the process exits then even with requests in flight
    double answerShare = 0.85; ///< of the time until SIGKILL; the latest deadline, after which errors are sent to what missed it
};

class StopSchedule
{
public:
    StopSchedule(TimePoint begin, const StopScheduleSettings &settings);
    TimePoint begin() const
    {
        return m_begin;
    }
    bool isAnnounced(TimePoint now) const;
    TimePoint acceptUntil() const; ///< new requests are refused after this
    TimePoint latestDeadline() const; ///< of any request
    TimePoint exitAt() const;

private:
    Duration share(double ofLimit) const;

    TimePoint m_begin;
    StopScheduleSettings m_settings;
};

} // namespace Fescuenotch
