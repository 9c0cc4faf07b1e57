// The number of slots of a target that may be used now: its configured slots, fewer while it is cold or sheds load.
//
// How to use: call `onCold` when the target has just started, `onShed` or `onSuccess` after each exchange, `limit` before
// a request is started. The limit is at least 1 and at most the configured slots. It shrinks by a factor when the target
// sheds load and grows with each success and with time (additive increase, multiplicative decrease).
//
// Pitfall: there is no lock; the owner guards the object.
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
    void onShed(TimePoint now, unsigned inUse); ///< the target refused a request while `inUse` slots were in use
    void onSuccess(TimePoint now);
    unsigned limit(TimePoint now) const; ///< slots

private:
    double coldShare(TimePoint now) const; ///< share of the slots that slow start allows, 0 to 1
    double recoveredLimit(TimePoint now) const; ///< slots; m_shedLimit plus the recovery since m_limitUpdatedAt

    unsigned m_slots;
    Duration m_slowStart;
    std::optional<TimePoint> m_coldSince;
    double m_shedLimit; ///< slots; at most m_slots
    TimePoint m_limitUpdatedAt; ///< m_shedLimit includes the recovery up to this time
    TimePoint m_lastShed;
};

} // namespace Fescuenotch
