// Who watches the platform's store in a data centre. Calls to the store are counted and paid for, and its rates grow more
// slowly than the fleet, so one node of a data centre watches and the others hear of changes from their peers.
//
// The nodes of a data centre rank themselves: those with fast links first, since the configuration comes whole from the
// store, then by a hash of their hosts. A node watches unless one that ranks before it
// tells that the store has answered it lately. Two nodes may both watch for a while: that costs calls, never a wrong
// answer. Nothing is elected and nothing is written.
//
// How to use: `onHeartbeat` for each pulse of a peer of the own data centre, `onPeerLost` when its link is lost, `shouldWatch`.
#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds MaxStoreAge{3'500}; ///< ms; a watch is answered within two seconds, or fails within three
constexpr milliseconds MaxHeartbeatAge{1'300}; ///< ms; as the limit of silence on links
constexpr milliseconds TakeoverDelayPerRank{100}; ///< ms a rank; nodes that miss their reader don't all ask at once

class StoreWatcherSelection
{
public:
    StoreWatcherSelection(std::string host, unsigned linkMbps);
    /// `storeAge`: since the store answered that peer; Duration::max() when it does not watch.
    void onHeartbeat(TimePoint now, const std::string &host, unsigned linkMbps, Duration storeAge);
    void onPeerLost(const std::string &host);
    /// `hosts` are those of the own data centre, this one among them.
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
    TimePoint m_uncoveredSince = TimePoint::max(); ///< no peer that ranks before is fresh
};

} // namespace Fescuenotch
