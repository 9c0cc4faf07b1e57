// Guesses how long ago a caller first tried a request, from the time that it says it has left.
//
// A caller that comes back after a refusal tells less time than one that comes for the first time. The longest time told
// for a route lately is what first tries have; the difference is the age.
//
// How to use: `ageOf` for each request that tells a time, with the name of its route.
#pragma once

#include "kernel/clock.h"

#include <string>
#include <unordered_map>

namespace Fescuenotch {

class RequestAges
{
public:
    /// `told` is the time left as the caller told it.
    Duration ageOf(const std::string &route, Duration told);

private:
    std::unordered_map<std::string, Duration> m_longest; ///< by route
};

} // namespace Fescuenotch
