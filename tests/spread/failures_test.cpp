// What breaks while a revision spreads: readers, data centres, links, the platform, single nodes.
#include "fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace Fescuenotch;

namespace {

std::uint64_t callsInBusiestSecond(const Fleet &fleet)
{
    unsigned most = 0;
    for (const auto &[second, calls] : fleet.callsPerSecond) {
        most = std::max(most, calls);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Failures)

BOOST_DATA_TEST_CASE(readers_killedMidSpread_othersTakeOver, boost::unit_test::data::xrange(1, 6), seed)
{
    TwoCentres fleet(static_cast<std::uint64_t>(seed));
    const auto version = fleet.publish(Key, "v2");
    fleet.run(milliseconds(5));
    for (const auto &host : fleet.readersNow()) {
        fleet.kill(host);
    }
    BOOST_TEST(fleet.reaches(version));
}

BOOST_AUTO_TEST_CASE(readers_frozen_othersTakeOver)
{
    TwoCentres fleet;
    const auto frozen = fleet.readersNow();
    for (const auto &host : frozen) {
        fleet.pause(host);
    }
    const auto version = fleet.publish(Key, "v2");
    auto left = fleet.hosts();
    std::erase_if(left, [&](const std::string &host) { return std::find(frozen.begin(), frozen.end(), host) != frozen.end(); });
    BOOST_TEST(fleet.reaches(version, left));
}

BOOST_AUTO_TEST_CASE(dataCentre_backAsStorm_callsStayUnderShare)
{
    TwoCentres fleet;
    for (const auto &host : fleet.first) {
        fleet.kill(host);
    }
    fleet.run(seconds(8));
    fleet.callsPerSecond.clear();
    const auto version = fleet.publish(Key, "v2");
    for (const auto &host : fleet.first) {
        fleet.start(host);
    }
    BOOST_TEST(fleet.reaches(version));
    BOOST_TEST(fleet.runUntil([&] { return fleet.allTrusted(); }, seconds(4)));
    BOOST_TEST(callsInBusiestSecond(fleet) <= 12U);
}

BOOST_AUTO_TEST_CASE(herd_platformDown_nobodyTrustedUntilItIsBack)
{
    Fleet fleet;
    fleet.list(1, 4);
    const auto version = fleet.publish(Key, "v1");
    fleet.platformDown = true;
    fleet.startAll();
    fleet.run(seconds(20));
    BOOST_TEST(!fleet.allTrusted());
    fleet.platformDown = false;
    BOOST_TEST(fleet.runUntil([&] { return fleet.allTrusted() && fleet.allHold(Key, version); }, seconds(15)));
}

BOOST_AUTO_TEST_CASE(platform_stale_nothingGoesDown)
{
    TwoCentres fleet;
    const auto version = fleet.publish(Key, "v2");
    BOOST_TEST(fleet.reaches(version));
    fleet.platformStale(1);
    const auto back = fleet.first.front();
    fleet.kill(back);
    fleet.run(seconds(1));
    fleet.start(back);
    const bool held = fleet.runUntil([&] { return fleet.core(back).viewTrusted(fleet.now()); }, Target);
    BOOST_TEST(held);
    BOOST_TEST(fleet.allHold(Key, version));
}

BOOST_AUTO_TEST_CASE(revisions_crossing_newestWins)
{
    TwoCentres fleet;
    fleet.cut(0, 1);
    const auto one = fleet.publish(Key, "v2");
    fleet.run(milliseconds(300));
    fleet.cut(0, 1, false);
    fleet.cut(0, 2);
    const auto two = fleet.publish(Key, "v3");
    BOOST_TEST(fleet.reaches(two));
    BOOST_TEST((one < two));
}

BOOST_AUTO_TEST_CASE(badVersion_restartOfAllButOne_lastGoodComesBack)
{
    TwoCentres fleet;
    const auto bad = fleet.publish(Key, "bad");
    BOOST_TEST(fleet.reaches(bad));
    const auto kept = fleet.second.front();
    for (const auto &host : fleet.hosts()) {
        if (host != kept) {
            fleet.kill(host);
        }
    }
    fleet.run(milliseconds(500));
    fleet.startAll();
    BOOST_TEST(fleet.reaches(Version{1, 1}));
    BOOST_TEST(fleet.allHold(Key, bad));
}

BOOST_AUTO_TEST_CASE(node_pausedForThreeRevisions_untrustedUntilNewestHeld)
{
    TwoCentres fleet;
    const auto host = fleet.first.at(3);
    fleet.pause(host);
    Version version;
    for (const char *value : {"v2", "v3", "v4"}) {
        version = fleet.publish(Key, value);
        fleet.run(seconds(5));
    }
    fleet.resume(host);
    BOOST_TEST(!fleet.core(host).viewTrusted(fleet.now()));
    BOOST_TEST(fleet.runUntil([&] { return fleet.core(host).viewTrusted(fleet.now()); }, milliseconds(300)));
    BOOST_TEST(fleet.allHold(Key, version, {host}));
    BOOST_TEST(fleet.runUntil([&] { return fleet.stateOf(fleet.second.front(), host) == MemberState::Alive; }, seconds(3)));
}

BOOST_AUTO_TEST_CASE(fleet_pausedTogether_trustsWithinBound)
{
    TwoCentres fleet;
    const auto host = fleet.first.front();
    for (const auto &it : fleet.hosts()) {
        fleet.pause(it);
    }
    fleet.run(seconds(15));
    fleet.resume(host);
    BOOST_TEST(fleet.runUntil([&] { return fleet.core(host).viewTrusted(fleet.now()); }, milliseconds(500)));
}

BOOST_DATA_TEST_CASE(dataCentre_cutFromPlatform_followsThroughOthers, boost::unit_test::data::xrange(1, 6), seed)
{
    TwoCentres fleet(static_cast<std::uint64_t>(seed));
    fleet.cut(0, 1);
    fleet.run(seconds(1));
    const auto version = fleet.publish(Key, "v2");
    BOOST_TEST(fleet.reaches(version));
}

BOOST_DATA_TEST_CASE(dataCentre_cutFromAllAndHealed_catchesUp, boost::unit_test::data::xrange(1, 6), seed)
{
    TwoCentres fleet(static_cast<std::uint64_t>(seed));
    fleet.cut(0, 1);
    fleet.cut(1, 2);
    const auto version = fleet.publish(Key, "v2");
    BOOST_TEST(fleet.reaches(version, fleet.second));
    fleet.run(seconds(30));
    BOOST_TEST(!fleet.allHold(Key, version, fleet.first));
    BOOST_TEST(fleet.allTrusted(fleet.first));
    fleet.cut(1, 2, false);
    BOOST_TEST(fleet.reaches(version));
    const auto alive = [&] { return fleet.stateOf(fleet.first.back(), fleet.second.back()) == MemberState::Alive; };
    BOOST_TEST(fleet.runUntil(alive, seconds(10)));
}

BOOST_AUTO_TEST_CASE(dataCentre_cutFromOthersOnly_followsPlatform)
{
    TwoCentres fleet;
    fleet.cut(1, 2);
    fleet.run(seconds(10));
    BOOST_TEST(fleet.reaches(fleet.publish(Key, "v2")));
    fleet.cut(1, 2, false);
    BOOST_TEST(fleet.reaches(fleet.publish(Key, "v3")));
}

BOOST_DATA_TEST_CASE(messages_fifthLost_heldWithinTarget, boost::unit_test::data::xrange(1, 11), seed)
{
    TwoCentres fleet(static_cast<std::uint64_t>(seed));
    fleet.loss = 0.2;
    BOOST_TEST(fleet.reaches(fleet.publish(Key, "v2")));
}

BOOST_DATA_TEST_CASE(fifthOfNodes_frozenMidSpread_restHoldsWithinTarget, boost::unit_test::data::xrange(1, 11), seed)
{
    TwoCentres fleet(static_cast<std::uint64_t>(seed));
    const auto version = fleet.publish(Key, "v2");
    std::vector<std::string> left = fleet.hosts();
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::shuffle(left.begin(), left.end(), random);
    for (unsigned i = 0; i < 3; ++i) {
        fleet.pause(left.back());
        left.pop_back();
    }
    BOOST_TEST(fleet.reaches(version, left));
}

BOOST_AUTO_TEST_CASE(linksOfAReader_silent_othersRepair)
{
    TwoCentres fleet;
    const auto reader = fleet.readersNow().front();
    for (const auto &host : fleet.first) {
        fleet.silence(reader, host);
    }
    BOOST_TEST(fleet.reaches(fleet.publish(Key, "v2")));
}

BOOST_DATA_TEST_CASE(herd_platformDownAndOneSurvivor_comesBackFromIt, boost::unit_test::data::xrange(1, 6), seed)
{
    TwoCentres fleet(static_cast<std::uint64_t>(seed));
    const auto kept = fleet.first.back();
    for (const auto &host : fleet.hosts()) {
        if (host != kept) {
            fleet.kill(host);
        }
    }
    fleet.platformDown = true;
    fleet.run(seconds(2));
    fleet.startAll();
    BOOST_TEST(fleet.reaches(Version{1, 1}));
    BOOST_TEST(fleet.runUntil([&] { return fleet.allTrusted(); }, seconds(2)));
}

BOOST_AUTO_TEST_CASE(readersKilledAndPlatformCut_together_catchesUpOnHeal)
{
    TwoCentres fleet;
    fleet.cut(0, 1);
    const auto version = fleet.publish(Key, "v2");
    for (const auto &host : fleet.readersNow()) {
        fleet.kill(host);
    }
    BOOST_TEST(fleet.reaches(version));
}

BOOST_AUTO_TEST_SUITE_END()
