// Decisions about one link, without sockets: when to send a heartbeat, when the link is dead, and how long a message was
// on its way. Time is passed in.
//
// A link is active for `ActiveFor` after the last message in either direction and while it carries attempts. Both sides
// of an active link send heartbeats; an idle link is free of traffic and is closed after `IdleLimit`.
#pragma once

#include "kernel/clock.h"

#include <algorithm>

namespace Fescuenotch {

class LinkHealth
{
public:
    static constexpr Duration ActiveFor = seconds(2); ///< heartbeats go on after the last message
    static constexpr Duration IdleLimit = seconds(20); ///< a link without messages is closed

    LinkHealth(Duration heartbeatPeriod, unsigned heartbeatsMissed, TimePoint now)
        : m_period(heartbeatPeriod)
        , m_deadAfter(heartbeatPeriod * heartbeatsMissed)
        , m_lastReceived(now)
        , m_lastHeartbeat(now)
        , m_lastMessage(now)
        , m_activeSince(now)
    {
    }

    /// A message (not a heartbeat) went out or came in.
    void onMessage(TimePoint now)
    {
        if (!isActive(now)) {
            m_activeSince = now;
        }
        m_lastMessage = now;
    }
    /// Any bytes came in.
    void onReceived(TimePoint now)
    {
        m_lastReceived = now;
    }
    /// Attempts are open on the link.
    void setBusy(TimePoint now, bool busy)
    {
        if (busy || m_busy) {
            onMessage(now);
        }
        m_busy = busy;
    }
    /// This process was paused: what the other side sent meanwhile is not read yet, so its silence proves nothing.
    void onWake(TimePoint now)
    {
        m_lastReceived = now;
        m_activeSince = now;
    }
    bool isActive(TimePoint now) const
    {
        return m_busy || now - m_lastMessage <= ActiveFor;
    }
    bool heartbeatDue(TimePoint now) const
    {
        return isActive(now) && now - m_lastHeartbeat >= m_period;
    }
    void onHeartbeatSent(TimePoint now)
    {
        m_lastHeartbeat = now;
    }
    /// The other side has missed its heartbeats. `ActiveFor` is shortened by the wait, as the other side may have gone idle first.
    bool isDead(TimePoint now) const
    {
        const bool expected = m_busy || now - m_lastMessage <= ActiveFor - m_deadAfter;
        return expected && now - std::max(m_lastReceived, m_activeSince) > m_deadAfter;
    }
    bool isIdle(TimePoint now) const
    {
        return !m_busy && now - m_lastMessage > IdleLimit;
    }

private:
    Duration m_period;
    Duration m_deadAfter;
    TimePoint m_lastReceived;
    TimePoint m_lastHeartbeat;
    TimePoint m_lastMessage;
    TimePoint m_activeSince;
    bool m_busy = false;
};

/// Works out how long a message was on its way, from the sender's clock and the fastest message seen lately.
/// The two clocks need not agree; only the time beyond the fastest way is seen, which is what a pause adds.
class TransitClock
{
public:
    static constexpr Duration WindowLength = seconds(60); ///< clocks drift apart by little in this time

    /// Time on the way beyond the fastest message; never negative.
    Duration transit(TimePoint received, Duration sentAt)
    {
        const Duration delta = received.time_since_epoch() - sentAt;
        if (!m_started || received - m_windowStart > WindowLength) {
            m_lastMin = m_started ? m_min : delta;
            m_min = delta;
            m_windowStart = received;
            m_started = true;
        }
        m_min = std::min(m_min, delta);
        return delta - std::min(m_min, m_lastMin);
    }

private:
    bool m_started = false;
    TimePoint m_windowStart;
    Duration m_min{0};
    Duration m_lastMin{0};
};

} // namespace Fescuenotch
