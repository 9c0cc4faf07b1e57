// Decides when a node requests missing platform state (configuration and targets) from a peer, and from which peer.
//
// A full state is about 50 KB. If a starting node, to which all peers connect at once, requested it from each of 75 peers,
// a 6 Mbit/s link would be saturated by the responses for five seconds, and each peer would bear the cost of one
// response. The same burst follows when all peers advertise a change within one heartbeat period. So only one request is in
// flight at a time.
//
// A node without any state cannot serve requests: it asks any peer, and asks again as soon as a response was empty.
// Otherwise peers in the own data centre are asked first, because traffic between data centres is paid for. Peers in other
// data centres are asked once the node has been behind for `otherDataCentreDelay` without an update from its own.
//
// Usage: call `mayRequest` when a peer may have newer state, then `onRequested`; call `onResponse` for every response,
// empty ones included; `onInSync` when the missing state arrived another way; `onPeerLost` when a peer is lost.
//
// Pitfall: when a response does not arrive in time, the next request goes to another peer. The late response is still
// valid when it arrives.
#pragma once

#include "kernel/clock.h"

#include <string>

namespace Fescuenotch {

struct StateRequestSettings {
    milliseconds responseTimeout{500}; ///< ms; a full state takes 70 ms on a 6 Mbit/s link, and the peer sends other responses as well
    milliseconds maxResponseTimeout{4'000}; ///< ms; the timeout doubles up to this with each request that is not answered in time
    milliseconds minInterval{250}; ///< ms; between requests, so that a short-lived difference between two views does not cause a series of requests
    milliseconds initialSyncInterval{20}; ///< ms; between requests of a node that has no state yet
    milliseconds otherDataCentreDelay{300}; ///< ms; the store and one hop within the data centre take less
};

/// A peer that may have newer state.
struct StateOffer {
    bool isSameDataCentre = true; ///< the peer is in the own data centre
    bool isInitialSync = false; ///< the own node has no state yet
};

class StateRequestScheduler
{
public:
    explicit StateRequestScheduler(const StateRequestSettings &settings = {});
    /// Whether a request may be sent to this peer now. The first call since the node was in sync starts `otherDataCentreDelay`.
    bool mayRequest(TimePoint now, const StateOffer &offer);
    void onRequested(TimePoint now, const std::string &host);
    void onResponse();
    void onPeerLost(const std::string &host);
    void onInSync();

private:
    StateRequestSettings m_settings;
    milliseconds m_timeout; ///< ms; for the request in flight
    std::string m_pendingHost; ///< peer of the request in flight; empty: none
    TimePoint m_lastRequestAt = TimePoint::min(); ///< TimePoint::min() before the first request
    TimePoint m_behindSince = TimePoint::max(); ///< TimePoint::max() while nothing is known to be missing
};

} // namespace Fescuenotch
