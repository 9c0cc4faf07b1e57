#include "mesh/requestage.h"

#include "kernel/durations.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double BelowLeast = 0.05; ///< share of requests that tell less than the least usual time
constexpr double FirstStep = 0.02; ///< of the time told; of the first correction
constexpr double LastStep = 0.002; ///< of the time told; ten requests below the estimate move it by a fiftieth
constexpr double StepMemory = 50; ///< requests after which steps begin to shrink
constexpr std::size_t MostRoutes = 4'096; ///< routes that are told apart

} // namespace

Duration RequestAges::ageOf(const std::string &route, Duration told)
{
    if (m_usual.size() > MostRoutes) {
        m_usual.clear();
    }
    auto &usual = m_usual[route];
    const double time = secondsOf(told);
    if (usual.seen++ == 0) {
        usual.least = time;
        return Duration(0);
    }
    const double age = std::max(0.0, usual.least - time);
    // Moves the estimate towards the time that a share of BelowLeast is below (stochastic approximation of a quantile).
    const double step = time * std::max(LastStep, FirstStep * std::min(1.0, StepMemory / static_cast<double>(usual.seen)));
    usual.least += step * (time < usual.least ? BelowLeast - 1 : BelowLeast);
    return durationOf(age);
}

} // namespace Fescuenotch
