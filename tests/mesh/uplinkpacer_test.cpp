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

BOOST_AUTO_TEST_SUITE_END()
