#include "mesh/staterequestscheduler.h"

#include <algorithm>

namespace Fescuenotch {

StateRequestScheduler::StateRequestScheduler(const StateRequestSettings &settings)
    : m_settings(settings)
    , m_timeout(settings.responseTimeout)
{
}

bool StateRequestScheduler::mayRequest(TimePoint now, const StateOffer &offer)
{
    m_behindSince = std::min(m_behindSince, now);
    const auto period = offer.isInitialSync ? m_settings.initialSyncInterval : m_settings.minInterval;
    const auto interval = m_pendingHost.empty() ? period : m_timeout;
    const bool requestedRecently = m_lastRequestAt != TimePoint::min() && now - m_lastRequestAt < interval;
    const bool prefersOwnDataCentre = !offer.isSameDataCentre && !offer.isInitialSync && now - m_behindSince < m_settings.otherDataCentreDelay;
    return !requestedRecently && !prefersOwnDataCentre;
}

void StateRequestScheduler::onRequested(TimePoint now, const std::string &host)
{
    const bool previousTimedOut = !m_pendingHost.empty();
    m_timeout = previousTimedOut ? std::min(m_timeout * 2, m_settings.maxResponseTimeout) : m_settings.responseTimeout;
    m_pendingHost = host;
    m_lastRequestAt = now;
}

void StateRequestScheduler::onResponse()
{
    m_pendingHost.clear();
    onInSync();
}

void StateRequestScheduler::onPeerLost(const std::string &host)
{
    if (host == m_pendingHost) {
        m_pendingHost.clear();
    }
}

void StateRequestScheduler::onInSync()
{
    m_behindSince = TimePoint::max();
}

} // namespace Fescuenotch
