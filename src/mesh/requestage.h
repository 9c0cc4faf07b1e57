// Estimates how long ago a caller first sent a request, from the remaining time that the caller states.
//
// A caller that retries after a refusal states less remaining time than on its first attempt. But timeouts differ
// between callers of one route by a fifth and more. So only a value below that of nearly all first attempts shows a retry. Its age is
// at least the difference to that, and on average the difference to the mean of first attempts; the estimate is halfway.
//
// In a shortage every second request may be a retry, so what first attempts state is learnt while no requests fail. Retries are at
// most MaxRetryShare of the requests: if more than that look like retries, the callers' timeouts have become shorter.
//
// Usage: call `estimate` for each request that states its remaining time, with the name of its route, and `onFailed` for each
// request that ends without an answer of a target, since its caller may retry.
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
    /// `remaining`: remaining time as stated by the caller. Returns the estimated age of the request; zero if it may be a first attempt.
    Duration estimate(const std::string &route, Duration remaining);
    void onFailed(const std::string &route);

private:
    struct Baseline {
        double lowQuantile = 0; ///< s; nearly all first attempts state more
        double learntLowQuantile = 0; ///< s; the same, as of the last time without failures
        double mean = 0; ///< s; of first attempts
        double failedShare = 0; ///< of the recent requests
        std::uint64_t samples = 0;
    };

    static double estimateAge(const Baseline &baseline, double time);
    static void learn(Baseline &baseline, double time);

    std::unordered_map<std::string, Baseline> m_baselines; ///< by route
};

} // namespace Fescuenotch
