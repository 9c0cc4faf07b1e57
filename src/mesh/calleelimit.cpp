// Sections: [failed calls] [limit]
#include "mesh/calleelimit.h"

#include "kernel/durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Fescuenotch {

namespace {

constexpr milliseconds CauseWindow{100}; ///< ms; a target ends a run this soon after a call that it needs was refused
constexpr std::size_t MaxRefusals = 1'024; ///< refused calls that are remembered
constexpr std::size_t MaxRoutes = 1'024; ///< bounds memory; beyond this all counts start over
constexpr double GoldenRatio = 0.618'034; ///< multiples of it, modulo 1, are spread evenly
constexpr double FirstShare = 0.9; ///< admitted share when a limit begins

} // namespace

// ---- [failed calls] ---------------------------------------------------------------------------------------------

void FailedCalls::onRefused(TimePoint now, const std::string &service)
{
    while (!m_refusals.empty() && (m_refusals.size() >= MaxRefusals || now - m_refusals.front().at > CauseWindow)) {
        m_refusals.pop_front();
    }
    m_refusals.push_back({now, service});
}

std::string FailedCalls::takeCause(TimePoint now, TimePoint startedAt)
{
    const auto earliest = std::max(startedAt, now - CauseWindow);
    const auto it = std::find_if(m_refusals.begin(), m_refusals.end(), [&](const Refusal &refusal) { return refusal.at >= earliest; });
    if (it == m_refusals.end()) {
        return {};
    }
    auto service = std::move(it->service);
    m_refusals.erase(it);
    return service;
}

// ---- [limit] ----------------------------------------------------------------------------------------------------

CalleeLimit::CalleeLimit(const CalleeLimitSettings &settings)
    : m_settings(settings)
{
}

CalleeLimit::Route &CalleeLimit::decayed(TimePoint now, const std::string &name)
{
    if (m_routes.size() > MaxRoutes) {
        m_routes.clear();
    }
    auto &route = m_routes.try_emplace(name, Route{now, now, 0, 0, 1, 0, {}, false}).first->second;
    const double factor = std::exp(-secondsOf(now - route.updatedAt) / secondsOf(m_settings.averagingTime));
    route.served *= factor;
    route.failed *= factor;
    route.updatedAt = now;
    return route;
}

bool CalleeLimit::isSaturated(TimePoint now, const std::string &service) const
{
    const auto it = m_lastRefusal.find(service);
    return it != m_lastRefusal.end() && now - it->second < m_settings.saturationMemory;
}

void CalleeLimit::change(const std::string &name, Route &route, bool begins)
{
    route.limited = begins;
    route.credit = 0;
    m_changes.push_back({begins, name, route.callee, route.share, route.served / secondsOf(m_settings.averagingTime)});
}

/// Spreads the returns evenly over the whole time, whatever the number of refusals.
milliseconds CalleeLimit::nextRetryAfter()
{
    m_spread = std::fmod(m_spread + GoldenRatio, 1);
    const auto range = m_settings.maxRetryAfter - m_settings.minRetryAfter;
    return m_settings.minRetryAfter + std::chrono::duration_cast<milliseconds>(m_spread * range);
}

CalleeVerdict CalleeLimit::admit(TimePoint now, const std::string &name, const std::string &service)
{
    const auto it = m_routes.find(name);
    if (it == m_routes.end() || !it->second.limited) {
        return {};
    }
    auto &route = decayed(now, name);
    const double elapsed = secondsOf(now - std::exchange(route.shareAt, now));
    if (isSaturated(now, service)) {
        route.share = std::max(m_settings.minShare, route.share * std::exp(-elapsed / secondsOf(m_settings.shrinkTime)));
    } else {
        route.share += elapsed * m_settings.growthPerSecond;
    }
    if (route.share >= 1) {
        route.share = 1;
        change(name, route, false);
        return {};
    }
    route.credit = std::min(1 + route.share, route.credit + route.share);
    if (route.credit >= 1) {
        route.credit -= 1;
        return {};
    }
    return {false, nextRetryAfter()};
}

void CalleeLimit::onServed(TimePoint now, const std::string &route)
{
    decayed(now, route).served += 1;
}

void CalleeLimit::onCallRefused(TimePoint now, const std::string &name, const std::string &service, const std::string &callee)
{
    auto &route = decayed(now, name);
    route.failed += 1;
    route.callee = callee;
    const bool failing = route.failed >= m_settings.minFailures && route.failed >= m_settings.beginShare * (route.served + route.failed);
    if (!route.limited && failing && isSaturated(now, service)) {
        route.share = FirstShare;
        route.shareAt = now;
        change(name, route, true);
    }
}

void CalleeLimit::onServiceRefused(TimePoint now, const std::string &service)
{
    if (m_lastRefusal.size() > MaxRoutes) {
        m_lastRefusal.clear();
    }
    m_lastRefusal[service] = now;
}

std::vector<CalleeLimitChange> CalleeLimit::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t CalleeLimit::limitedRoutes() const
{
    return static_cast<std::size_t>(std::count_if(m_routes.begin(), m_routes.end(), [](const auto &each) { return each.second.limited; }));
}

} // namespace Fescuenotch
