// A moving average of failures that also decays with time. A target that was avoided for its failures so gets requests again; if it
// still fails, the first of them raises the average again.
//
// Usage: `add` for each result, `at` for the share now.
#pragma once

#include "kernel/clock.h"
#include "kernel/durations.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

constexpr milliseconds FailureHalfLife{450}; ///< ms; a share of failures halves in this time without new results

/// `share` after `age`.
inline double faded(double share, Duration age)
{
    return share * std::exp2(-secondsOf(age) / secondsOf(FailureHalfLife));
}

class FadingShare
{
public:
    /// `weight` of the new result in the moving average. It doubles with each further failure in a row, so that a target that fails
    /// every request is avoided for about as long after a single further failure as after many.
    void add(TimePoint now, bool failed, double weight)
    {
        const double used = failed ? std::min(MaxFailureWeight, weight * std::exp2(m_failuresInARow)) : weight;
        m_share = (1 - used) * at(now) + used * (failed ? 1 : 0);
        m_failuresInARow = failed ? std::min(m_failuresInARow + 1, MaxDoublings) : 0;
        m_at = now;
    }
    double at(TimePoint now) const ///< 0 to 1
    {
        return faded(m_share, now - m_at);
    }

private:
    static constexpr double MaxFailureWeight = 0.8; ///< 0 to 1; of one result
    static constexpr int MaxDoublings = 10; ///< failures in a row that are counted

    double m_share = 0;
    int m_failuresInARow = 0;
    TimePoint m_at;
};

} // namespace Fescuenotch
