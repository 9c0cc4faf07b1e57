#include "mesh/requestage.h"

#include "kernel/durations.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double LowQuantile = 0.05; ///< share of requests that tell less than the lowQuantile baseline time
constexpr double InitialStep = 0.02; ///< of the time remaining; of the first correction
constexpr double MinStep = 0.002; ///< of the time remaining; ten requests below the estimate move it by a fiftieth
constexpr double StepDecayStart = 50; ///< requests after which steps begin to shrink
constexpr std::size_t MaxRoutes = 4'096; ///< routes that are remaining apart

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
    // Moves the estimate towards the time that a share of LowQuantile is below (stochastic approximation of a quantile).
    const double step = time * std::max(MinStep, InitialStep * std::min(1.0, StepDecayStart / static_cast<double>(baseline.samples)));
    baseline.lowQuantile += step * (time < baseline.lowQuantile ? LowQuantile - 1 : LowQuantile);
    return durationOf(age);
}

} // namespace Fescuenotch
