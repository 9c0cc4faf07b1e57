#include "mesh/meshretrypolicy.h"

#include <algorithm>
#include <cmath>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxCallDepth = 4; ///< levels of nested calls that the budget covers, the caller's request included
constexpr double UsableShare = 0.7; ///< of the fleet's share; the rest covers repeats that no node counts, such as resends on connections found closed
constexpr double UsableSlackShare = 0.5; ///< of the fleet's slack; a node does not know the exact number of nodes

bool isIdempotent(const MeshRoute &route)
{
    return route.kind != RouteKind::NotIdempotent;
}

} // namespace

MeshRetrySettings meshRetrySettingsFor(const FleetRetryBudget &fleet, std::size_t nodes, std::size_t services)
{
    MeshRetrySettings settings;
    // Retries of all levels multiply: with the share x on each of n levels, the deepest service gets (1 + x)^n arrivals per request.
    const auto levels = static_cast<double>(std::clamp<std::size_t>(services, 1, MaxCallDepth));
    settings.budgetShare = std::pow(1 + UsableShare * fleet.share, 1 / levels) - 1;
    const double windowSeconds = std::chrono::duration<double>(fleet.window).count();
    const double usableSlack = fleet.slack * UsableSlackShare / levels;
    settings.budgetMinPerSecond = usableSlack / static_cast<double>(std::max<std::size_t>(1, nodes)) / windowSeconds;
    return settings;
}

MeshRetryPolicy::MeshRetryPolicy(const MeshRetrySettings &settings)
    : m_settings(settings)
{
}

void MeshRetryPolicy::configure(const MeshRetrySettings &settings)
{
    m_settings = settings;
    for (auto &[service, budget] : m_budgets) {
        budget.configure(settings.budgetShare, settings.budgetMinPerSecond);
    }
}

RetryBudget &MeshRetryPolicy::budgetOf(const std::string &service)
{
    return m_budgets.try_emplace(service, m_settings.budgetShare, m_settings.budgetMinPerSecond).first->second;
}

void MeshRetryPolicy::onRequest(TimePoint now, const std::string &service)
{
    budgetOf(service).onRequest(now);
}

NextStep
MeshRetryPolicy::next(TimePoint now, TimePoint deadline, const MeshRoute &route, const std::string &service, const DeliveryResult &end, MeshRetryState &state)
{
    ++state.deliveries;
    state.offered += end.offered ? 1 : 0;
    state.mayHaveRun = state.mayHaveRun || end.outcome != Outcome::NotRun;
    if (end.responseStarted || deadline - now < m_settings.minRemainingTime) {
        return NextStep::End;
    }
    const bool provenNotRun = end.outcome == Outcome::NotRun;
    if (!provenNotRun && !isIdempotent(route)) {
        return NextStep::End;
    }
    if (provenNotRun && !end.offered) {
        return state.deliveries < m_settings.maxDeliveries ? NextStep::Reroute : NextStep::End;
    }
    const bool allowed = state.offered < route.maxAttempts && budgetOf(service).tryConsume(now, 0);
    return allowed ? NextStep::Retry : NextStep::End;
}

bool MeshRetryPolicy::mayRetry(TimePoint now, const MeshRoute &route, const std::string &service, const MeshRetryState &state)
{
    return isIdempotent(route) && state.offered + 1 < route.maxAttempts && budgetOf(service).covers(now, 0);
}

} // namespace Fescuenotch
