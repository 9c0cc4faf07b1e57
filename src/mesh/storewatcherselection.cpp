#include "mesh/storewatcherselection.h"

#include <xxhash.h>

#include <algorithm>

namespace Fescuenotch {

namespace {

std::uint64_t rankHash(const std::string &host)
{
    return XXH64(host.data(), host.size(), 0);
}

} // namespace

StoreWatcherSelection::StoreWatcherSelection(std::string host, unsigned linkMbps)
    : m_host(std::move(host))
    , m_linkMbps(linkMbps)
{
}

void StoreWatcherSelection::onHeartbeat(TimePoint now, const std::string &host, unsigned linkMbps, Duration storeAge)
{
    m_peers[host] = {now, storeAge, linkMbps};
}

void StoreWatcherSelection::onPeerLost(const std::string &host)
{
    m_peers.erase(host);
}

unsigned StoreWatcherSelection::linkMbpsOf(const std::string &host) const
{
    if (host == m_host) {
        return m_linkMbps;
    }
    const auto it = m_peers.find(host);
    return it == m_peers.end() ? 0 : it->second.linkMbps;
}

bool StoreWatcherSelection::isFresh(TimePoint now, const std::string &host) const
{
    const auto it = m_peers.find(host);
    return it != m_peers.end() && now - it->second.at < MaxHeartbeatAge && it->second.storeAge < MaxStoreAge;
}

bool StoreWatcherSelection::shouldWatch(TimePoint now, std::vector<std::string> hosts)
{
    std::erase_if(m_peers, [&](const auto &each) { return std::find(hosts.begin(), hosts.end(), each.first) == hosts.end(); });
    std::sort(hosts.begin(), hosts.end(), [this](const auto &a, const auto &b) {
        return std::pair(linkMbpsOf(b), rankHash(a)) < std::pair(linkMbpsOf(a), rankHash(b));
    });
    const auto own = std::find(hosts.begin(), hosts.end(), m_host);
    const bool covered = std::any_of(hosts.begin(), own, [&](const auto &host) { return isFresh(now, host); });
    if (covered) {
        m_uncoveredSince = TimePoint::max();
        return false;
    }
    m_uncoveredSince = std::min(m_uncoveredSince, now);
    const auto rank = std::distance(hosts.begin(), own);
    return now - m_uncoveredSince >= TakeoverDelayPerRank * rank;
}

} // namespace Fescuenotch
