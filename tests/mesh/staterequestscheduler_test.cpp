#include "mesh/staterequestscheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace Fescuenotch;

namespace {

constexpr std::size_t Peers = 75;
constexpr double StateBytes = 50'000; ///< bytes; configuration and targets of about 80 hosts, compressed
constexpr double LinkBytesPerSecond = 6e6 / 8; ///< bytes per second; link of the slowest hosts
constexpr milliseconds HeartbeatPeriod{400};

/// A node that just started on a slow link. All peers connect at once and send heartbeats from then on.
struct StartFixture {
    TimePoint now = TimePoint(seconds(1'000));
    StateRequestScheduler scheduler;
    std::vector<TimePoint> responsesDue; ///< arrival of the last byte of each response
    TimePoint linkFreeAt = now;
    unsigned requested = 0;

    bool request(std::size_t peer, bool isSameDataCentre, bool isInitialSync = false)
    {
        if (!scheduler.mayRequest(now, {isSameDataCentre, isInitialSync})) {
            return false;
        }
        scheduler.onRequested(now, "127.1.0." + std::to_string(peer));
        ++requested;
        linkFreeAt = std::max(linkFreeAt, now) + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(StateBytes / LinkBytesPerSecond));
        responsesDue.push_back(linkFreeAt);
        return true;
    }

    /// All peers offer state with each heartbeat until the first response has arrived. Returns the time until then.
    Duration syncState()
    {
        const auto begin = now;
        for (; now - begin < seconds(10); now += milliseconds(1)) {
            if (!responsesDue.empty() && now >= responsesDue.front()) {
                scheduler.onResponse();
                return now - begin;
            }
            const auto sinceHeartbeat = std::chrono::duration_cast<milliseconds>(now - begin).count() % HeartbeatPeriod.count();
            for (std::size_t peer = 0; sinceHeartbeat == 0 && peer < Peers; ++peer) {
                request(peer, peer % 3 == 0, true);
            }
        }
        return now - begin;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StateRequestSchedulerTest, StartFixture)

BOOST_AUTO_TEST_CASE(startingNode_allPeersConnectAtOnce_sendsOneRequest)
{
    const auto took = syncState();
    BOOST_TEST(requested == 1);
    BOOST_TEST(std::chrono::duration<double>(took).count() < 0.2);
}

BOOST_AUTO_TEST_CASE(requestInFlight_responseTimesOut_nextPeerIsAskedAndTimeoutDoubles)
{
    BOOST_TEST(request(1, true));
    now += milliseconds(499);
    BOOST_TEST(!request(2, true));
    now += milliseconds(1);
    BOOST_TEST(request(2, true));
    now += milliseconds(999);
    BOOST_TEST(!request(3, true));
    now += milliseconds(1);
    BOOST_TEST(request(3, true));
}

BOOST_AUTO_TEST_CASE(requestInFlight_peerLost_nextPeerIsAskedAfterMinInterval)
{
    BOOST_TEST(request(1, true));
    scheduler.onPeerLost("127.1.0.2");
    now += milliseconds(250);
    BOOST_TEST(!request(3, true));
    scheduler.onPeerLost("127.1.0.1");
    BOOST_TEST(request(3, true));
}

BOOST_AUTO_TEST_CASE(requestAnswered_statesStillDiffer_nextRequestWaitsForMinInterval)
{
    BOOST_TEST(request(1, true));
    scheduler.onResponse();
    now += milliseconds(249);
    BOOST_TEST(!request(2, true));
    now += milliseconds(1);
    BOOST_TEST(request(2, true));
}

/// After a power failure all hosts start together, so the first peers to connect have no state either.
BOOST_AUTO_TEST_CASE(startingNode_remotePeerRespondsEmpty_nextPeerIsAskedAtOnce)
{
    BOOST_TEST(request(1, false, true));
    scheduler.onResponse();
    now += milliseconds(20);
    BOOST_TEST(request(2, false, true));
}

BOOST_AUTO_TEST_CASE(remotePeer_nodeBehindForAMoment_ownDataCentreIsPreferred)
{
    BOOST_TEST(!request(1, false));
    now += milliseconds(299);
    BOOST_TEST(!request(1, false));
    BOOST_TEST(request(2, true));
}

BOOST_AUTO_TEST_CASE(remotePeer_noUpdateFromOwnDataCentre_isAsked)
{
    BOOST_TEST(!request(1, false));
    now += milliseconds(300);
    BOOST_TEST(request(1, false));
}

BOOST_AUTO_TEST_CASE(remotePeer_nodeInSyncMeanwhile_delayStartsOver)
{
    BOOST_TEST(!request(1, false));
    scheduler.onInSync();
    now += milliseconds(300);
    BOOST_TEST(!request(1, false));
}

BOOST_AUTO_TEST_SUITE_END()
