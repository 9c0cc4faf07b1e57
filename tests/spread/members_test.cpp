// Who is in the fleet: leaving, dying, coming back, being wrongly suspected.
#include "fleet.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

bool allSee(Fleet &fleet, const std::string &host, MemberState state)
{
    const auto viewers = fleet.hosts();
    return std::all_of(viewers.begin(), viewers.end(), [&](const std::string &viewer) { return viewer == host || fleet.stateOf(viewer, host) == state; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Members)

BOOST_AUTO_TEST_CASE(node_leaving_knownEverywhereWithinThreeSeconds)
{
    TwoCentres fleet;
    const auto host = fleet.first.at(2);
    fleet.leave(host);
    BOOST_TEST(fleet.runUntil([&] { return allSee(fleet, host, MemberState::Leaving); }, seconds(3)));
    fleet.run(seconds(10));
    BOOST_TEST(allSee(fleet, host, MemberState::Leaving));
}

BOOST_AUTO_TEST_CASE(node_leavingWhileFifthOfMessagesIsLost_knownEverywhereWithinThreeSeconds)
{
    TwoCentres fleet;
    fleet.loss = 0.2;
    const auto host = fleet.second.at(2);
    fleet.leave(host);
    BOOST_TEST(fleet.runUntil([&] { return allSee(fleet, host, MemberState::Leaving); }, seconds(3)));
}

BOOST_AUTO_TEST_CASE(node_leaving_newsDoesNotWaitForDigests)
{
    Fleet fleet;
    fleet.adjust = [](SpreadSettings &settings) { settings.digestPeriod = seconds(60); };
    const auto first = fleet.list(1, 6);
    fleet.list(2, 6);
    fleet.publish(Key, "v1");
    fleet.startAll();
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.allTrusted(); }, seconds(8)));
    fleet.run(seconds(2));
    fleet.leave(first.at(2));
    BOOST_TEST(fleet.runUntil([&] { return allSee(fleet, first.at(2), MemberState::Leaving); }, seconds(3)));
}

BOOST_AUTO_TEST_CASE(node_killed_suspectBeforeDead)
{
    TwoCentres fleet;
    const auto host = fleet.first.at(1);
    const auto viewer = fleet.first.at(4);
    fleet.kill(host);
    bool suspected = false;
    const auto dead = [&] {
        suspected = suspected || fleet.stateOf(viewer, host) == MemberState::Suspect;
        return allSee(fleet, host, MemberState::Dead);
    };
    BOOST_TEST(fleet.runUntil(dead, seconds(8)));
    BOOST_TEST(suspected);
}

BOOST_AUTO_TEST_CASE(node_pausedBriefly_refutesAndIsNeverDead)
{
    TwoCentres fleet;
    const auto host = fleet.first.at(3);
    fleet.pause(host);
    const auto suspect = [&] { return fleet.stateOf(fleet.first.front(), host) == MemberState::Suspect; };
    BOOST_REQUIRE(fleet.runUntil(suspect, seconds(6)));
    fleet.resume(host);
    BOOST_TEST(fleet.runUntil([&] { return allSee(fleet, host, MemberState::Alive); }, seconds(3)));
    BOOST_TEST(fleet.core(host).counts().refutations > 0U);
}

BOOST_AUTO_TEST_CASE(host_replacedAtSameAddress_newProcessIsAlive)
{
    TwoCentres fleet;
    const auto host = fleet.first.at(3);
    fleet.leave(host);
    fleet.run(seconds(1));
    fleet.kill(host);
    fleet.run(seconds(1));
    fleet.start(host);
    BOOST_TEST(fleet.runUntil([&] { return allSee(fleet, host, MemberState::Alive); }, seconds(4)));
}

BOOST_AUTO_TEST_CASE(host_deadAndUnlisted_forgotten)
{
    TwoCentres fleet;
    const auto host = fleet.first.at(1);
    fleet.kill(host);
    fleet.unlist(host);
    fleet.run(seconds(90));
    for (const auto &viewer : fleet.hosts()) {
        BOOST_TEST(!fleet.stateOf(viewer, host).has_value());
    }
}

BOOST_AUTO_TEST_CASE(members_steady_nobodySuspected)
{
    TwoCentres fleet;
    fleet.run(seconds(60));
    for (const auto &host : fleet.hosts()) {
        BOOST_TEST(fleet.core(host).counts().suspicions == 0U);
        BOOST_TEST(allSee(fleet, host, MemberState::Alive));
    }
}

BOOST_AUTO_TEST_CASE(dataCentres_cutFromEachOther_thirdVouchesForBoth)
{
    Fleet fleet;
    const auto first = fleet.list(1, 4);
    const auto second = fleet.list(2, 4);
    fleet.list(3, 4);
    const auto begun = fleet.publish(Key, "v1");
    fleet.startAll();
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.allTrusted() && fleet.allHold(Key, begun); }, seconds(8)));
    fleet.cut(1, 2);
    fleet.cut(0, 1);
    fleet.run(seconds(30));
    for (const auto &host : second) {
        BOOST_TEST((fleet.stateOf(first.front(), host) != MemberState::Dead));
    }
    const auto version = fleet.publish(Key, "v2");
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHold(Key, version); }, Target));
}

BOOST_AUTO_TEST_CASE(report_nodeKilled_countedSilentAndNotInForce)
{
    TwoCentres fleet;
    const auto host = fleet.first.at(1);
    fleet.kill(host);
    const auto version = fleet.publish(Key, "v2");
    BOOST_TEST(fleet.reaches(version));
    const auto settled = [&] {
        const auto lines = fleet.core(fleet.second.back()).report(fleet.now());
        unsigned right = 0;
        for (const auto &it : lines) {
            const bool hit = it.dataCentre == "centre-1";
            right += it.newest == version && it.inForce == (hit ? 5U : 6U) && it.silent == (hit ? 1U : 0U) && it.behind == 0 ? 1 : 0;
        }
        return lines.size() == 2 && right == 2;
    };
    BOOST_TEST(fleet.runUntil(settled, seconds(10)));
}

BOOST_AUTO_TEST_CASE(report_badVersion_countsRejecting)
{
    TwoCentres fleet;
    fleet.publish(Key, "bad");
    const auto settled = [&] {
        const auto lines = fleet.core(fleet.first.back()).report(fleet.now());
        return lines.size() == 2 && lines[0].rejecting == 6 && lines[1].rejecting == 6 && lines[0].inForce == 6;
    };
    BOOST_TEST(fleet.runUntil(settled, seconds(8)));
}

BOOST_AUTO_TEST_SUITE_END()
