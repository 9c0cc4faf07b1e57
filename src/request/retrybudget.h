// The retry budget of one service: retries may be a share of the requests of the last ten seconds.
//
// How to use: `onRequest` for each request, `tryConsume` before each retry. Time is passed in; the owner holds the lock.
// A retry deep in a call tree costs more (2^depth), so that the levels of a tree together stay within about one share.
#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstdint>

namespace Fescuenotch {

class RetryBudget
{
public:
    /// `share` is retries per request, `minPerSecond` retries that are always allowed.
    RetryBudget(double share, double minPerSecond);
    void onRequest(TimePoint now);
    /// Takes the cost of one retry at `depth`; false, and nothing taken, when the budget is empty.
    bool tryConsume(TimePoint now, unsigned depth);

private:
    struct Bucket {
        std::int64_t second = 0; ///< s since the clock's start
        std::uint64_t requests = 0;
        double spent = 0; ///< retries, weighed by depth
    };
    static constexpr std::size_t WindowSeconds = 10;

    Bucket &bucketAt(TimePoint now);

    double m_share;
    double m_minPerSecond;
    std::array<Bucket, WindowSeconds> m_buckets{};
};

} // namespace Fescuenotch
