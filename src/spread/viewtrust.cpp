#include "spread/viewtrust.h"

#include <algorithm>

namespace Fescuenotch {

void ViewTrust::beginStart(TimePoint now)
{
    m_trusted = false;
    m_wake = false;
    m_since = now;
}

void ViewTrust::beginWake(TimePoint now)
{
    if (!m_trusted) {
        // A start, or an earlier wake, goes on: its limits count from here, and its answers are too old to rely on.
        m_since = now;
    } else {
        m_trusted = false;
        m_wake = true;
        m_since = now;
    }
    m_lastAsk = {};
    m_asked.clear();
    m_answered.clear();
    m_silent.clear();
    m_trustedPeers.clear();
    m_compared.clear();
}

void ViewTrust::onAsked(const std::string &host)
{
    m_asked.insert(host);
}

void ViewTrust::onSilent(const std::string &host)
{
    if (!m_answered.contains(host)) {
        m_silent.insert(host);
    }
}

void ViewTrust::onMarks(const std::string &host, Version highest, bool trusted, bool equal)
{
    m_answered.insert(host);
    m_silent.erase(host);
    m_highest = std::max(m_highest, highest);
    if (trusted) {
        m_trustedPeers.insert(host);
    }
    if (equal) {
        onNothingLacking(host);
    }
}

void ViewTrust::onNothingLacking(const std::string &host)
{
    m_compared.insert(host);
}

void ViewTrust::onPlatformRead()
{
    m_platformRead = true;
}

bool ViewTrust::everyoneAnswered(std::size_t peers) const
{
    return m_answered.size() + m_silent.size() >= peers;
}

bool ViewTrust::startIsOver(Duration waited, Version held, std::size_t peers) const
{
    const auto compared = [this](const std::string &host) { return m_compared.contains(host); };
    const std::size_t enough = std::min<std::size_t>(AsksPerRound, peers);
    const bool asked = m_answered.size() >= enough || everyoneAnswered(peers) || waited > AloneLimit;
    if (asked && std::any_of(m_trustedPeers.begin(), m_trustedPeers.end(), compared)) {
        return true;
    }
    const bool noneTrusted = m_trustedPeers.empty();
    const bool settled = everyoneAnswered(peers) || waited > SettleLimit;
    const bool alone = m_answered.empty() && waited > AloneLimit;
    if (m_platformRead && noneTrusted && (settled || alone)) {
        return true;
    }
    const bool best = !m_compared.empty() && held > Version{};
    return waited > GiveUpLimit && noneTrusted && best;
}

bool ViewTrust::wakeIsOver(Duration waited, Version held) const
{
    if (m_answered.empty()) {
        return waited > WakeLimit;
    }
    const std::size_t enough = std::min<std::size_t>(2, m_asked.size());
    const bool compared = m_answered.size() >= enough || waited > WakeLimit;
    return (compared && !m_compared.empty() && held >= m_highest) || waited > WakeRepairLimit;
}

void ViewTrust::update(TimePoint now, Version held, std::size_t peers)
{
    if (m_trusted) {
        return;
    }
    const Duration waited = now - m_since;
    if (m_wake) {
        m_trusted = wakeIsOver(waited, held);
    } else {
        m_trusted = held >= m_highest && startIsOver(waited, held, peers);
    }
    if (m_trusted) {
        m_asked.clear();
    }
}

bool ViewTrust::trusted() const
{
    return m_trusted;
}

bool ViewTrust::asks(TimePoint now)
{
    const Duration period = now - m_since > GiveUpLimit ? AskPeriodLater : AskPeriod;
    if (m_trusted || now - m_lastAsk < period) {
        return false;
    }
    m_lastAsk = now;
    return true;
}

Version ViewTrust::highestHeard() const
{
    return m_highest;
}

} // namespace Fescuenotch
