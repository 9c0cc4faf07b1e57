#include "spread/platformquestions.h"

namespace Fescuenotch {

PlatformQuestions::PlatformQuestions(double callsPerSecond, double share, std::uint64_t seed)
    : m_budget(callsPerSecond, share, seed)
{
}

bool PlatformQuestions::hostsDue(TimePoint now, bool reader, bool fleetKnown) const
{
    return !fleetKnown || (reader && (!m_hostsRead || now - m_hostsAt >= HostsPeriod));
}

PlatformQuestions::Question PlatformQuestions::next(TimePoint now, bool reader, bool fleetKnown)
{
    if (m_out != Kind::None) {
        if (now - m_askedAt < WatchWait + AnswerLimit) {
            return {};
        }
        onError(now, milliseconds(0));
    }
    const bool hosts = hostsDue(now, reader, fleetKnown);
    if ((!hosts && !reader) || !m_budget.take(now)) {
        return {};
    }
    m_out = hosts ? Kind::Hosts : Kind::Config;
    m_askedAt = now;
    if (hosts) {
        return {Kind::Hosts, 0, milliseconds(0)};
    }
    return {Kind::Config, m_cursor, m_firstWatch ? milliseconds(0) : WatchWait};
}

bool PlatformQuestions::onConfigPage(TimePoint now, const ConfigPage &page)
{
    m_out = Kind::None;
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
    m_out = Kind::None;
    m_answeredAt = now;
    m_hostsAt = now;
    m_hostsRead = true;
    m_budget.succeeded();
    setHosts(hosts);
}

void PlatformQuestions::onError(TimePoint now, milliseconds retryAfter)
{
    m_out = Kind::None;
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
