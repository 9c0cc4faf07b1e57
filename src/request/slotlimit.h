// How many slots of a target may be used now: its stated slots, fewer while it is cold or sheds load.
//
// How to use: `onCold` when the target has just started, `onShed` and `onSuccess` after each exchange, `limit` before
// each start. The limit is at least 1 and never above the stated slots.
#pragma once

#include "kernel/clock.h"

#include <optional>

namespace Fescuenotch {

class SlotLimit
{
public:
    SlotLimit(unsigned slots, Duration slowStart);
    void resize(unsigned slots);
    void onCold(TimePoint now);
    void onShed(TimePoint now, unsigned inUse); ///< the target refused while `inUse` of its slots were used
    void onSuccess(TimePoint now);
    unsigned limit(TimePoint now) const; ///< slots

private:
    double coldShare(TimePoint now) const;
    double recoveredLimit(TimePoint now) const; ///< slots; m_shedLimit with what came back since

    unsigned m_slots;
    Duration m_slowStart;
    std::optional<TimePoint> m_coldSince;
    double m_shedLimit; ///< slots; at most m_slots
    TimePoint m_limitUpdatedAt; ///< up to when the recovery is part of m_shedLimit
    TimePoint m_lastShed;
};

} // namespace Fescuenotch
