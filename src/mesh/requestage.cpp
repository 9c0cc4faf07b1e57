#include "mesh/requestage.h"

#include "kernel/durations.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double LowQuantile = 0.05; ///< share of first attempts that state less than the estimate
constexpr double MarginShare = 0.25; ///< of the distance from the quantile to the mean; a request that is further below the quantile is a retry
constexpr double MeanAgeShare = 0.5; ///< of the same distance, added to the age of a retry; less than the mean, so that few are taken for older than they are
constexpr double MaxRetryShare = 0.6; ///< of the requests, while some fail
constexpr double FailedWeight = 0.05; ///< of the newest request in the share of failed ones
constexpr double MaxFailedShare = 0.02; ///< a failure stops the learning for about twenty requests, within which its caller has retried
constexpr double MeanWeight = 0.02; ///< of the newest first attempt
constexpr double InitialStep = 0.02; ///< share of the stated time
constexpr double MinStep = 0.002; ///< share of the stated time; ten requests below the estimate lower it by a fiftieth
constexpr double StepDecayStart = 50; ///< requests after which the step begins to shrink
constexpr std::size_t MaxRoutes = 4'096; ///< bounds memory; beyond this all estimates start over

} // namespace

Duration RequestAgeEstimator::estimate(const std::string &route, Duration remaining)
{
    if (m_baselines.size() > MaxRoutes) {
        m_baselines.clear();
    }
    auto &baseline = m_baselines[route];
    const double time = secondsOf(remaining);
    if (baseline.samples++ == 0) {
        baseline.lowQuantile = baseline.learntLowQuantile = baseline.mean = time;
        return Duration(0);
    }
    const double age = estimateAge(baseline, time);
    baseline.failedShare *= 1 - FailedWeight;
    learn(baseline, time);
    return durationOf(age);
}

/// In seconds. A few first attempts are below the quantile too.
double RequestAgeEstimator::estimateAge(const Baseline &baseline, double time)
{
    const double atLeast = std::max(0.0, baseline.lowQuantile - time);
    const double spread = baseline.mean - baseline.lowQuantile;
    const bool mayBeFirst = baseline.failedShare <= MaxFailedShare || atLeast < MarginShare * spread;
    return mayBeFirst ? atLeast : atLeast + MeanAgeShare * spread;
}

/// Stochastic approximation of a quantile: moves the estimate towards the value that a share of the requests is below.
void RequestAgeEstimator::learn(Baseline &baseline, double time)
{
    const auto samples = static_cast<double>(baseline.samples);
    const double step = time * std::max(MinStep, InitialStep * std::min(1.0, StepDecayStart / samples));
    const bool isBelow = time < baseline.lowQuantile;
    if (baseline.failedShare > MaxFailedShare && samples > StepDecayStart) {
        const double moved = baseline.lowQuantile + step * (isBelow ? MaxRetryShare - 1 : MaxRetryShare);
        const double limited = std::min(moved, baseline.learntLowQuantile);
        baseline.mean += limited - baseline.lowQuantile;
        baseline.lowQuantile = limited;
        return;
    }
    if (!isBelow) {
        baseline.mean += MeanWeight * (time - baseline.mean);
    }
    baseline.lowQuantile += step * (isBelow ? LowQuantile - 1 : LowQuantile);
    baseline.learntLowQuantile = baseline.lowQuantile;
    baseline.mean = std::max(baseline.mean, baseline.lowQuantile);
}

void RequestAgeEstimator::onFailed(const std::string &route)
{
    const auto it = m_baselines.find(route);
    if (it != m_baselines.end()) {
        it->second.failedShare += FailedWeight;
    }
}

} // namespace Fescuenotch
