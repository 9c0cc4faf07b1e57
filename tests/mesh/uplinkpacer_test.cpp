#include "mesh/uplinkpacer.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

constexpr std::size_t Piece = 16 * 1024;

/// Bytes of large responses sent within `time` when there is always one to send.
std::size_t sendWhileAllowed(UplinkPacer &pacer, TimePoint from, Duration time)
{
    std::size_t sent = 0;
    for (auto now = from; now < from + time; now = std::max(now + milliseconds(1), pacer.nextAt(now))) {
        while (pacer.maySend(now)) {
            pacer.onSent(now, Piece);
            sent += Piece;
        }
    }
    return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UplinkPacerTest)

/// Continuous downloads on a 6 Mbit/s link. More than the link can carry must not reach the kernel, where it would delay
/// small responses.
BOOST_AUTO_TEST_CASE(largeResponses_continuous_areSentAtLinkSpeed)
{
    UplinkPacer pacer(6);
    const auto sent = sendWhileAllowed(pacer, TimePoint(seconds(100)), seconds(10));
    BOOST_TEST(sent <= 6e6 / 8 * 10);
    BOOST_TEST(sent >= 6e6 / 8 * 10 * 0.8);
}

BOOST_AUTO_TEST_CASE(smallResponses_useMostOfTheLink_largeOnesGetTheRest)
{
    UplinkPacer pacer(6);
    auto now = TimePoint(seconds(100));
    std::size_t large = 0;
    std::size_t small = 0;
    for (const auto until = now + seconds(10); now < until; now += milliseconds(10)) {
        pacer.onSent(now, 4'000); // 400 KB/s of small responses
        small += 4'000;
        while (pacer.maySend(now)) {
            pacer.onSent(now, Piece);
            large += Piece;
        }
    }
    BOOST_TEST(large + small <= 6e6 / 8 * 10);
    BOOST_TEST(large > 0U);
}

BOOST_AUTO_TEST_CASE(fastLink_oneLargeResponse_isNotDelayed)
{
    UplinkPacer pacer(1'000);
    const auto now = TimePoint(seconds(100));
    pacer.maySend(now);
    pacer.onSent(now, 500'000);
    BOOST_TEST(pacer.maySend(now));
}

/// Guards against answers to peers that stop for a minute because 300 callers that read slowly were given 256 KB each: those bytes wait in
/// send buffers and do not occupy the link.
BOOST_AUTO_TEST_CASE(otherTraffic_farBeyondTheLink_holdsLargeResponsesBackBriefly)
{
    UplinkPacer pacer(10);
    const auto now = TimePoint(seconds(100));
    for (int n = 0; n < 300; ++n) {
        pacer.onSent(now, 256 * 1024);
    }
    BOOST_TEST((pacer.nextAt(now) - now <= milliseconds(250)));
    BOOST_TEST(!pacer.maySend(now));
}

BOOST_AUTO_TEST_CASE(backlogDelay_afterBurst_endsWithTheTimeOfTheLink)
{
    UplinkPacer pacer(10);
    const auto now = TimePoint(seconds(100));
    BOOST_TEST((pacer.backlogDelay(now) == Duration(0)));
    pacer.onSent(now, 32 * 1024 + 112'500); // the burst that is free, and 0.1 s of the link
    BOOST_TEST((pacer.backlogDelay(now) > milliseconds(95)));
    BOOST_TEST((pacer.backlogDelay(now) < milliseconds(105)));
    BOOST_TEST((pacer.backlogDelay(now + milliseconds(110)) == Duration(0)));
}

BOOST_AUTO_TEST_SUITE_END()
