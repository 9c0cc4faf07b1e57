#include "mesh/repeatpolicy.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double LevelsOfCalls = 4; ///< a request, its calls and theirs; the fourth part is for repeats of repeats, which multiply
constexpr double ShareOfSlack = 0.5; ///< of the fleet's slack; nodes don't know exactly how many they are

bool mayRunTwice(const MeshRoute &route)
{
    return route.kind != RouteKind::NotIdempotent;
}

} // namespace

RepeatSettings repeatSettingsFor(double share, double slack, Duration window, std::size_t nodes)
{
    RepeatSettings settings;
    settings.budgetShare = share / LevelsOfCalls;
    const double windowSeconds = std::chrono::duration<double>(window).count();
    settings.budgetMinPerSecond = slack * ShareOfSlack / static_cast<double>(std::max<std::size_t>(1, nodes)) / windowSeconds;
    return settings;
}

RepeatPolicy::RepeatPolicy(const RepeatSettings &settings)
    : m_settings(settings)
{
}

void RepeatPolicy::configure(const RepeatSettings &settings)
{
    const bool sameBudget = settings.budgetShare == m_settings.budgetShare && settings.budgetMinPerSecond == m_settings.budgetMinPerSecond;
    m_settings = settings;
    if (!sameBudget) {
        m_budgets.clear();
    }
}

RetryBudget &RepeatPolicy::budgetOf(const std::string &service)
{
    return m_budgets.try_emplace(service, m_settings.budgetShare, m_settings.budgetMinPerSecond).first->second;
}

void RepeatPolicy::onRequest(TimePoint now, const std::string &service)
{
    budgetOf(service).onRequest(now);
}

NextStep RepeatPolicy::next(TimePoint now, TimePoint deadline, const MeshRoute &route, const std::string &service, const SendEnd &end, RepeatState &state)
{
    ++state.placements;
    state.offered += end.offered ? 1 : 0;
    state.mayHaveRun = state.mayHaveRun || end.outcome != Outcome::NotRun;
    if (end.answerStarted || deadline - now < m_settings.leastTime) {
        return NextStep::End;
    }
    const bool provenNotRun = end.outcome == Outcome::NotRun;
    if (!provenNotRun && !mayRunTwice(route)) {
        return NextStep::End;
    }
    if (provenNotRun && !end.offered) {
        return state.placements < m_settings.mostPlacements ? NextStep::PlaceAgain : NextStep::End;
    }
    const bool allowed = state.offered < route.maxAttempts && budgetOf(service).tryConsume(now, 0);
    return allowed ? NextStep::Repeat : NextStep::End;
}

} // namespace Fescuenotch
