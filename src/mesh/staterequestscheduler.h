// When a node asks a peer for what it lacks of the platform's state, and which peers it asks.
//
// Patterns answered: a node that starts and to which every other node links at once; a change that all peers tell within
// the same pulse. A whole state is some 50 KB, so a node on a link of 6 Mbit/s that requested each of 75 peers would be cut
// off for five seconds by the answers, and each peer would pay for one of them. One question is open at a time.
//
// A node that knows nothing yet serves nobody, so it asks anyone, and anew as soon as an answer was empty.
//
// Otherwise peers of the own data centre are requested first, since traffic between data centres costs. Peers elsewhere are
// requested once the news are `otherDataCentreDelay` old and nobody near has brought them.
//
// How to use: `mayRequest` when a peer may have news, then `onRequested`; `onResponse` for each answer, also for an empty one;
// `onInSync` when news came another way; `onPeerLost` when the peer that was requested is lost.
// Pitfall: a peer that answers slowly is not requested again, another one is. Its answer is still welcome when it comes.
#pragma once

#include "kernel/clock.h"

#include <string>

namespace Fescuenotch {

struct StateRequestSettings {
    milliseconds responseTimeout{500}; ///< ms; a whole state needs 70 ms on a link of 6 Mbit/s, and its peer sends other answers too
    milliseconds maxResponseTimeout{4'000}; ///< ms; doubled up to this with each question that got no answer in time
    milliseconds minInterval{250}; ///< ms; between scheduler, so that views that differ for a moment are not requested for over and over
    milliseconds initialSyncInterval{20}; ///< ms; the same for a node that knows nothing yet
    milliseconds otherDataCentreDelay{300}; ///< ms; the store and one hop within the data centre need less
};

/// A peer that may have news.
struct StateOffer {
    bool isSameDataCentre = true; ///< it is in the own data centre
    bool isInitialSync = false; ///< the own node knows nothing yet
};

class StateRequestScheduler
{
public:
    explicit StateRequestScheduler(const StateRequestSettings &settings = {});
    /// Also notes that something is lacking since now, if nothing was before.
    bool mayRequest(TimePoint now, const StateOffer &offer);
    void onRequested(TimePoint now, const std::string &host);
    void onResponse();
    void onPeerLost(const std::string &host);
    void onInSync();

private:
    StateRequestSettings m_settings;
    milliseconds m_timeout; ///< ms; for the question that is open
    std::string m_pendingHost; ///< empty: no question is open
    TimePoint m_lastRequestAt = TimePoint::min(); ///< of the last question
    TimePoint m_behindSince = TimePoint::max(); ///< max: nothing is known to be lacking
};

} // namespace Fescuenotch
