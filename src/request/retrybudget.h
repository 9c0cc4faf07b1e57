// The retry budget of one service: limits retries to a share of the requests of the last ten seconds.
//
// How to use: `onRequest` for each request, `tryConsume` before each retry. Time is passed in.
// A retry at a deeper level of a call tree costs more (2^depth), so that all levels of a tree together stay within about
// one share.
//
// Pitfall: there is no lock; the owner guards the object.
#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstdint>

namespace Fescuenotch {

class RetryBudget
{
public:
    /// `share`: retries per request. `minPerSecond`: retries per second that are allowed at any request rate.
    RetryBudget(double share, double minPerSecond);
    /// Changes the limits; what was counted stays.
    void configure(double share, double minPerSecond);
    void onRequest(TimePoint now);
    bool covers(TimePoint now, unsigned depth); ///< the cost of one retry at `depth`
    /// Consumes the cost of one retry at `depth`. False when the budget does not cover it; then nothing is consumed.
    bool tryConsume(TimePoint now, unsigned depth);

private:
    /// Counts of one second.
    struct Bucket {
        std::int64_t second = 0; ///< s since the epoch of the clock
        std::uint64_t requests = 0;
        double spent = 0; ///< retries, weighted by depth
    };
    static constexpr std::size_t WindowSeconds = 10;

    Bucket &bucketAt(TimePoint now);
    static double costOf(unsigned depth);

    double m_share;
    double m_minPerSecond;
    std::array<Bucket, WindowSeconds> m_buckets{};
};

} // namespace Fescuenotch
