// Selects which node of a data centre watches the platform's store. Calls to the store are counted and paid for, and its
// rate limits grow more slowly than the fleet, so one node per data centre watches and the others learn of changes from
// their peers.
//
// Each node ranks the nodes of its data centre: by link speed first, because the configuration is read in full from the
// store, then by a hash of the host. A node watches unless a node of a better rank reports a recent response of the store.
// There is no election and no shared state: for a short time two nodes may watch, which costs extra calls but never causes
// a wrong result.
//
// Usage: call `onHeartbeat` for each heartbeat of a peer in the own data centre, `onPeerLost` when its link is lost, and
// ask `shouldWatch` periodically.
#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds MaxStoreAge{3'500}; ///< ms; a watch is answered within 2 s or fails within 3 s
constexpr milliseconds MaxHeartbeatAge{1'300}; ///< ms; same as the time after which a silent link is closed
constexpr milliseconds TakeoverDelayPerRank{100}; ///< ms per rank; prevents all nodes from calling the store at once when the watching node is lost

class StoreWatcherSelection
{
public:
    StoreWatcherSelection(std::string host, unsigned linkMbps);
    /// `storeAge`: time since the store last answered that peer; Duration::max() when the peer does not watch.
    /// `linkMbps`: link speed of the peer's host in Mbit/s.
    void onHeartbeat(TimePoint now, const std::string &host, unsigned linkMbps, Duration storeAge);
    void onPeerLost(const std::string &host);
    /// `hosts`: all hosts of the own data centre, including this one. Peers that are not listed are forgotten.
    bool shouldWatch(TimePoint now, std::vector<std::string> hosts);

private:
    struct PeerState {
        TimePoint at;
        Duration storeAge{0};
        unsigned linkMbps = 0;
    };

    unsigned linkMbpsOf(const std::string &host) const;
    bool isFresh(TimePoint now, const std::string &host) const;

    std::string m_host;
    unsigned m_linkMbps;
    std::map<std::string, PeerState> m_peers; ///< by host
    TimePoint m_uncoveredSince = TimePoint::max(); ///< since no better-ranked peer reports a recent store response; TimePoint::max() while one does
};

} // namespace Fescuenotch
