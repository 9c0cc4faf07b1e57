#include "mesh/readerduty.h"

#include <xxhash.h>

#include <algorithm>

namespace Fescuenotch {

namespace {

std::uint64_t rankHash(const std::string &host)
{
    return XXH64(host.data(), host.size(), 0);
}

} // namespace

ReaderDuty::ReaderDuty(std::string host, unsigned linkMbps)
    : m_host(std::move(host))
    , m_linkMbps(linkMbps)
{
}

void ReaderDuty::onPulse(TimePoint now, const std::string &host, unsigned linkMbps, Duration storeAge)
{
    m_heard[host] = {now, storeAge, linkMbps};
}

void ReaderDuty::onGone(const std::string &host)
{
    m_heard.erase(host);
}

unsigned ReaderDuty::linkOf(const std::string &host) const
{
    if (host == m_host) {
        return m_linkMbps;
    }
    const auto it = m_heard.find(host);
    return it == m_heard.end() ? 0 : it->second.linkMbps;
}

bool ReaderDuty::isFresh(TimePoint now, const std::string &host) const
{
    const auto it = m_heard.find(host);
    return it != m_heard.end() && now - it->second.at < FreshPulseAge && it->second.storeAge < FreshStoreAge;
}

bool ReaderDuty::shouldWatch(TimePoint now, std::vector<std::string> hosts)
{
    std::erase_if(m_heard, [&](const auto &each) { return std::find(hosts.begin(), hosts.end(), each.first) == hosts.end(); });
    std::sort(
        hosts.begin(), hosts.end(), [this](const auto &a, const auto &b) { return std::pair(linkOf(b), rankHash(a)) < std::pair(linkOf(a), rankHash(b)); });
    const auto own = std::find(hosts.begin(), hosts.end(), m_host);
    const bool covered = std::any_of(hosts.begin(), own, [&](const auto &host) { return isFresh(now, host); });
    if (covered) {
        m_missedSince = TimePoint::max();
        return false;
    }
    m_missedSince = std::min(m_missedSince, now);
    const auto rank = std::distance(hosts.begin(), own);
    return now - m_missedSince >= DutyStep * rank;
}

} // namespace Fescuenotch
