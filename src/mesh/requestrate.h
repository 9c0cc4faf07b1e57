// The rate limit that an overloaded target states in its answers, and the limiter that enforces it.
//
// The limit is in requests per second from all nodes together, and holds for as long as the target states it. Only the exit node
// on its host sends requests to the target, so a limiter there enforces it for the whole fleet without shared state, also while
// data centres are cut off.
//
// Usage: pass what each answer states to `StatedRate::onAnswer`, and the rate in force to `RateLimiter::setRate`. Ask `maySend`
// before each request and call `onSent` for each one that is sent, whether allowed by `maySend` or not.
#pragma once

#include "kernel/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace Fescuenotch {

/// Decimal digits with an optional fraction, such as "36" or "11.5". Anything else, and a number too large to be a rate, is none.
std::optional<double> parseRequestRate(std::string_view text);
/// For a log line; "none" without a rate.
std::string requestRateText(std::optional<double> perSecond);

/// The rate limit that one lifetime of a target states. It ends when `AnswersToEnd` answers in a row, to requests sent after it
/// was last stated, state none.
class StatedRate
{
public:
    static constexpr unsigned AnswersToEnd = 2; ///< answers; a single one may come from an error path of the target that leaves the header out
    void onAnswer(TimePoint now, TimePoint requestSentAt, std::optional<double> stated);
    /// The rate limit that a peer knows; ignored once the target has answered this node.
    void onTold(TimePoint now, double perSecond);
    void reset(); ///< another target runs at the address
    std::optional<double> perSecond() const ///< none: not limited
    {
        return m_perSecond;
    }

private:
    std::optional<double> m_perSecond;
    TimePoint m_statedAt = TimePoint::min();
    unsigned m_answersWithout = 0;
    bool m_hasAnswered = false;
};

/// Spaces requests to a rate, with a small burst. A rate below `ProbeRate`, also zero, still lets single requests pass at
/// `ProbeRate`: their answers show when the target has recovered.
class RateLimiter
{
public:
    static constexpr double ProbeRate = 0.25; ///< requests per second
    void setRate(TimePoint now, std::optional<double> perSecond); ///< none: no limit
    bool maySend(TimePoint now) const;
    void onSent(TimePoint now);
    /// Another process runs at the target's address, or what reached it before is not known: starts without a burst.
    void restart(TimePoint now);
    /// When the next request may be sent; TimePoint::min() without a limit.
    TimePoint nextAt() const;
    /// Until a request with `ahead` others before it may be sent; zero without a limit.
    Duration waitFor(TimePoint now, std::size_t ahead) const;
    bool isLimited() const
    {
        return m_perSecond > 0;
    }

private:
    double tokensAt(TimePoint now) const;
    double capacity() const;

    double m_perSecond = 0; ///< 0: no limit
    double m_tokens = 0; ///< requests that may be sent at m_countedAt; negative after requests that were sent without asking
    TimePoint m_countedAt;
};

} // namespace Fescuenotch
