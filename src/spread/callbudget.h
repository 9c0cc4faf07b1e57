// Paces this node's calls to the platform, so that the sum over the whole fleet stays under the platform's rate.
//
// How to use: `take` before each call (a waiting watch is one call); `succeeded` or `refused` after each answer.
// The pace is `rate x share / hosts`: a token bucket that holds one token. A bucket that was idle gives its token after
// a random part of its refill time, so that a fleet which wakes up together still spreads its calls.
// Pitfall: before `setHosts` the fleet's size is unknown; the first call waits for a random part of `StartSpread`.
#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <random>

namespace Fescuenotch {

constexpr milliseconds StartSpread{3'000}; ///< ms; first calls of nodes that know no host yet are spread over this
constexpr milliseconds BackOffBase{200}; ///< ms; shortest pause after a refusal
constexpr milliseconds BackOffCap{10'000}; ///< ms; longest pause that this node chooses by itself

class CallBudget
{
public:
    CallBudget(double callsPerSecond, double share, std::uint64_t seed);
    /// Number of hosts that share the rate; counts from the next call on.
    void setHosts(std::size_t hosts);
    /// True when a call may go out now; it is then counted.
    bool take(TimePoint now);
    void succeeded();
    /// The platform refused or failed: pauses by decorrelated jitter, at least `retryAfter`.
    void refused(TimePoint now, milliseconds retryAfter);
    /// Time between two calls of this node.
    Duration interval() const;

private:
    Duration randomPart(Duration whole);

    double m_fleetRate; ///< calls a second over all nodes
    std::size_t m_hosts = 0; ///< 0: not known yet
    std::mt19937_64 m_random;
    bool m_armed = false; ///< a token is on its way, or has come, since the last idle time
    TimePoint m_lastTake{};
    TimePoint m_phaseEnd{}; ///< end of the random part after an idle time
    TimePoint m_pauseEnd{}; ///< end of the pause after a refusal
    Duration m_backOff{0}; ///< the last pause chosen; zero after a success
};

} // namespace Fescuenotch
