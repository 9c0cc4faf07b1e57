// Records reach every node, whatever breaks on the way.
#include "fleet.h"

#include "spread/messages.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

BOOST_AUTO_TEST_SUITE(Spread)

BOOST_AUTO_TEST_CASE(herd_start_trustedEverywhereWithinSeconds)
{
    Fleet fleet;
    fleet.list(1, 2);
    fleet.list(2, 2);
    const auto version = fleet.publish(Key, "v1");
    fleet.startAll();
    const TimePoint begin = fleet.now();
    BOOST_TEST(fleet.runUntil([&] { return fleet.allTrusted() && fleet.allHold(Key, version); }, seconds(4)));
    BOOST_TEST_MESSAGE("ready after ms " << std::chrono::duration_cast<milliseconds>(fleet.now() - begin).count());
}

BOOST_AUTO_TEST_CASE(herd_start_onlyReadersAskForConfiguration)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(seed);
        fleet.list(1, 12);
        fleet.publish(Key, "v1");
        fleet.startAll();
        BOOST_TEST(fleet.runUntil([&] { return fleet.allTrusted(); }, seconds(8)));
        BOOST_TEST(fleet.watchers.size() <= 3U);
    }
}

BOOST_AUTO_TEST_CASE(change_published_heldEverywhere)
{
    TwoCentres fleet;
    const auto version = fleet.publish(Key, "v2");
    const TimePoint begin = fleet.now();
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHold(Key, version); }, Target));
    BOOST_TEST_MESSAGE("held after ms " << std::chrono::duration_cast<milliseconds>(fleet.now() - begin).count());
    BOOST_TEST(fleet.readersNow().size() == 6U);
}

BOOST_AUTO_TEST_CASE(bytesMode_fiveQuickRevisions_fewerBytesWithinTarget)
{
    std::map<std::string, std::uint64_t> pushed;
    for (const std::string mode : {"time", "bytes"}) {
        TwoCentres fleet;
        BOOST_REQUIRE(fleet.reaches(fleet.publish(Key, mode)));
        fleet.run(seconds(5));
        fleet.bytesByKind.clear();
        Version version;
        for (unsigned i = 0; i < 5; ++i) {
            version = fleet.publish(Key, mode + std::string(4'000, 'x'));
            fleet.run(milliseconds(300));
        }
        BOOST_TEST(fleet.reaches(version));
        pushed[mode] = fleet.bytesByKind["push"] + fleet.bytesByKind["records"];
    }
    BOOST_TEST(pushed["bytes"] * 2 < pushed["time"]);
}

BOOST_AUTO_TEST_CASE(largeValue_published_heldEverywhereInSmallMessages)
{
    TwoCentres fleet;
    const auto version = fleet.publish(Key, std::string(900'000, 'x'));
    const auto small = fleet.publish("profile/small", "v1");
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHold("profile/small", small); }, seconds(1)));
    BOOST_TEST(fleet.reaches(version));
    BOOST_TEST(fleet.largestMessage < 2 * ChunkBytes);
}

BOOST_AUTO_TEST_CASE(steadyFleet_idle_callsGrowWithDataCentresOnly)
{
    TwoCentres fleet;
    fleet.platformCalls = 0;
    fleet.bytesByKind.clear();
    fleet.run(seconds(60));
    std::uint64_t bytes = 0;
    for (const auto &[kind, n] : fleet.bytesByKind) {
        bytes += n;
    }
    // Three readers in each of two data centres: a watch each 5 s; a host list each 2 s by the first rank, so that a leaving
    // host is known in 3 s, and each 10 s by the others.
    BOOST_TEST(fleet.platformCalls <= 2U * (3 * (60 / 5 + 2) + 60 / 2 + 2 * 60 / 10));
    BOOST_TEST(bytes / 60 / 12 < 12'000U);
    BOOST_TEST_MESSAGE("idle bytes a second and node " << bytes / 60 / 12);
}

BOOST_DATA_TEST_CASE(everyWay_change_heldEverywhere, boost::unit_test::data::make({0, 1, 2, 3}), way)
{
    TwoCentres fleet(3, static_cast<SpreadWay>(way));
    BOOST_TEST(fleet.reaches(fleet.publish(Key, "v2")));
}

BOOST_AUTO_TEST_SUITE_END()
