// Guesses how long ago a caller first tried a request, from the time that it says it has left.
//
// A caller that comes back after a refusal tells less time than one that comes for the first time. But callers are not all
// equally patient: first tries of one route tell times that differ by a fifth and more. So only a time below that of nearly
// all recent requests of the route says anything, and the difference is the lowQuantile age that it can be.
//
// How to use: `estimate` for each request that tells a time, with the name of its route.
// Pitfall: an age of zero may also be that of a patient caller that has come back.
#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Fescuenotch {

class RequestAgeEstimator
{
public:
    /// `remaining` is the time left as the caller remaining it.
    Duration estimate(const std::string &route, Duration remaining);

private:
    struct Baseline {
        double lowQuantile = 0; ///< s; nearly all requests tell more
        std::uint64_t samples = 0; ///< requests
    };

    std::unordered_map<std::string, Baseline> m_baselines; ///< by route
};

} // namespace Fescuenotch
