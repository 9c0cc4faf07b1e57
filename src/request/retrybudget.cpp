#include "request/retrybudget.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr unsigned MaxCostDepth = 16; ///< deeper levels of a call tree cost as much as this one

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
}

} // namespace

RetryBudget::RetryBudget(double share, double minPerSecond)
    : m_share(share)
    , m_minPerSecond(minPerSecond)
{
}

void RetryBudget::configure(double share, double minPerSecond)
{
    m_share = share;
    m_minPerSecond = minPerSecond;
}

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint now)
{
    const auto second = secondOf(now);
    auto &bucket = m_buckets[static_cast<std::size_t>(second) % WindowSeconds];
    if (bucket.second != second) {
        bucket = {second, 0, 0};
    }
    return bucket;
}

void RetryBudget::onRequest(TimePoint now)
{
    ++bucketAt(now).requests;
}

double RetryBudget::costOf(unsigned depth)
{
    return std::exp2(std::min(depth, MaxCostDepth));
}

bool RetryBudget::covers(TimePoint now, unsigned depth)
{
    auto &current = bucketAt(now);
    double allowed = m_minPerSecond * static_cast<double>(WindowSeconds);
    double spent = 0;
    for (const auto &bucket : m_buckets) {
        if (current.second - bucket.second < static_cast<std::int64_t>(WindowSeconds)) {
            allowed += m_share * static_cast<double>(bucket.requests);
            spent += bucket.spent;
        }
    }
    return spent + costOf(depth) <= allowed;
}

bool RetryBudget::tryConsume(TimePoint now, unsigned depth)
{
    if (!covers(now, depth)) {
        return false;
    }
    bucketAt(now).spent += costOf(depth);
    return true;
}

} // namespace Fescuenotch
