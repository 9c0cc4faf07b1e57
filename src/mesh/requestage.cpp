#include "mesh/requestage.h"

#include "kernel/durations.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double LowQuantile = 0.05; ///< share of requests that state less than the estimate
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
        baseline.lowQuantile = time;
        return Duration(0);
    }
    const double age = std::max(0.0, baseline.lowQuantile - time);
    // Stochastic approximation of the quantile: moves the estimate towards the value that a share of LowQuantile is below.
    const double step = time * std::max(MinStep, InitialStep * std::min(1.0, StepDecayStart / static_cast<double>(baseline.samples)));
    baseline.lowQuantile += step * (time < baseline.lowQuantile ? LowQuantile - 1 : LowQuantile);
    return durationOf(age);
}

} // namespace Fescuenotch
