// Estimates how long ago a caller first sent a request, from the remaining time that the caller states.
//
// A caller that retries after a rejection states less remaining time than on its first attempt. But timeouts differ
// between callers of one route by a fifth and more. So only a value below that of nearly all recent requests of the route
// is meaningful, and the difference is a lower bound of the age.
//
// Usage: call `estimate` for each request that states its remaining time, with the name of its route.
// Pitfall: zero does not prove a first attempt; it may be a retry of a caller with a long timeout.
#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Fescuenotch {

class RequestAgeEstimator
{
public:
    /// `remaining`: remaining time as stated by the caller. Returns a lower bound of the request's age.
    Duration estimate(const std::string &route, Duration remaining);

private:
    struct Baseline {
        double lowQuantile = 0; ///< s; nearly all requests state more
        std::uint64_t samples = 0;
    };

    std::unordered_map<std::string, Baseline> m_baselines; ///< by route
};

} // namespace Fescuenotch
