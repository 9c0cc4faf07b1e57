#include "spread/platformquestions.h"

#include <algorithm>

namespace Fescuenotch {

PlatformQuestions::PlatformQuestions(double callsPerSecond, double share, std::uint64_t seed)
    : m_budget(callsPerSecond, share, seed)
{
}

Duration PlatformQuestions::hostsPeriod(Role role) const
{
    if (role != Role::FirstReader) {
        return HostsPeriod;
    }
    return std::clamp<Duration>(m_budget.interval() * HostsPeriodCalls, FirstRankHostsPeriod, HostsPeriod);
}

bool PlatformQuestions::hostsDue(TimePoint now, Role role, bool fleetKnown) const
{
    return !fleetKnown || (role != Role::None && (!m_hostsRead || now - m_hostsAt >= hostsPeriod(role)));
}

void PlatformQuestions::giveUpLate(TimePoint now)
{
    const auto isLate = [now](const std::optional<TimePoint> &askedAt) { return askedAt && now - *askedAt >= WatchWait + AnswerLimit; };
    if (isLate(m_configAsked)) {
        onError(now, Kind::Config, milliseconds(0));
    }
    if (isLate(m_hostsAsked)) {
        onError(now, Kind::Hosts, milliseconds(0));
    }
}

PlatformQuestions::Question PlatformQuestions::next(TimePoint now, Role role, bool fleetKnown)
{
    giveUpLate(now);
    if (!m_hostsAsked && hostsDue(now, role, fleetKnown)) {
        if (!m_budget.take(now)) {
            return {};
        }
        m_hostsAsked = now;
        return {Kind::Hosts, 0, milliseconds(0)};
    }
    if (role == Role::None || !fleetKnown || m_configAsked || !m_budget.take(now)) {
        return {};
    }
    m_configAsked = now;
    return {Kind::Config, m_cursor, m_firstWatch ? milliseconds(0) : WatchWait};
}

bool PlatformQuestions::onConfigPage(TimePoint now, const ConfigPage &page)
{
    m_configAsked.reset();
    m_answeredAt = now;
    m_budget.succeeded();
    if (page.epoch != m_epoch) {
        m_epoch = page.epoch;
        m_wholeRead = false;
        m_cursor = 0;
        m_firstWatch = true;
        if (!page.complete) {
            return false;
        }
    }
    const bool partial = page.more && !page.changes.empty();
    m_cursor = partial ? page.changes.back().version.revision : page.revision;
    m_firstWatch = partial;
    m_wholeRead = m_wholeRead || !partial;
    return m_wholeRead;
}

void PlatformQuestions::onHostList(TimePoint now, std::size_t hosts)
{
    m_hostsAsked.reset();
    m_answeredAt = now;
    m_hostsAt = now;
    m_hostsRead = true;
    m_budget.succeeded();
    setHosts(hosts);
}

void PlatformQuestions::onError(TimePoint now, Kind kind, milliseconds retryAfter)
{
    (kind == Kind::Hosts ? m_hostsAsked : m_configAsked).reset();
    ++m_refusals;
    m_budget.refused(now, retryAfter);
}

void PlatformQuestions::setHosts(std::size_t hosts)
{
    m_budget.setHosts(hosts);
}

Duration PlatformQuestions::platformAge(TimePoint now) const
{
    return now - m_answeredAt;
}

std::uint64_t PlatformQuestions::refusals() const
{
    return m_refusals;
}

} // namespace Fescuenotch
