#include "mesh/meshretrypolicy.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr double CallDepth = 4; ///< a request, its calls and their calls; the fourth part covers retries of retries, which multiply
constexpr double UsableSlackShare = 0.5; ///< of the fleet's slack; a node does not know the exact number of nodes

bool isIdempotent(const MeshRoute &route)
{
    return route.kind != RouteKind::NotIdempotent;
}

} // namespace

MeshRetrySettings meshRetrySettingsFor(double share, double slack, Duration window, std::size_t nodes)
{
    MeshRetrySettings settings;
    settings.budgetShare = share / CallDepth;
    const double windowSeconds = std::chrono::duration<double>(window).count();
    settings.budgetMinPerSecond = slack * UsableSlackShare / static_cast<double>(std::max<std::size_t>(1, nodes)) / windowSeconds;
    return settings;
}

MeshRetryPolicy::MeshRetryPolicy(const MeshRetrySettings &settings)
    : m_settings(settings)
{
}

void MeshRetryPolicy::configure(const MeshRetrySettings &settings)
{
    const bool sameBudget = settings.budgetShare == m_settings.budgetShare && settings.budgetMinPerSecond == m_settings.budgetMinPerSecond;
    m_settings = settings;
    if (!sameBudget) {
        m_budgets.clear();
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

} // namespace Fescuenotch
