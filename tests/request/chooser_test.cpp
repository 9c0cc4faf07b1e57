#include "request/decisions.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Fescuenotch;

namespace {

struct ChooserFixture {
    ChooserFixture()
    {
        ChooserSettings settings;
        settings.dataCentre = "lk-south-1";
        settings.seed = 11;
        chooser = makeTargetChooser(settings);
    }

    void add(const std::string &host, const std::string &dataCentre = "lk-south-1", unsigned slots = 10)
    {
        service.targets.push_back({host, dataCentre, {host, 9000}, slots, slots});
    }
    std::string choose(const std::vector<std::string> &tried = {})
    {
        const auto target = chooser->choose(now, "bookdesk", service, tried);
        return target ? target->host : "none";
    }
    std::map<std::string, int> chooseMany(int times)
    {
        std::map<std::string, int> counts;
        for (int n = 0; n < times; ++n) {
            ++counts[choose()];
        }
        return counts;
    }
    void failAttempts(const std::string &host, int times)
    {
        AttemptResult result;
        result.reason = Reason::LinkLost;
        for (int n = 0; n < times; ++n) {
            chooser->onStart(now, host);
            chooser->onEnd(now, host, result);
        }
    }

    TimePoint now = TimePoint(seconds(1'000));
    Service service;
    std::unique_ptr<TargetChooser> chooser;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Chooser, ChooserFixture)

BOOST_AUTO_TEST_CASE(targets_localDataCentreHasCapacity_remoteGetsNothing)
{
    add("a");
    add("b");
    add("far", "lk-south-2");
    auto counts = chooseMany(300);
    BOOST_TEST(counts["far"] == 0);
    BOOST_TEST(counts["a"] > 0);
    BOOST_TEST(counts["b"] > 0);
}

BOOST_AUTO_TEST_CASE(localDataCentre_noCapacity_spillsOverAndReturns)
{
    add("a");
    add("far", "lk-south-2");
    chooser->onLoad(now, "a", {10, 10, 3, false});
    BOOST_TEST(choose() == "far");
    chooser->onLoad(now, "a", {4, 10, 0, false});
    BOOST_TEST(choose() == "a");
    chooser->onLoad(now, "a", {10, 10, 3, false});
    chooser->onLoad(now, "far", {10, 10, 3, false});
    BOOST_TEST(choose() == "a");
}

BOOST_AUTO_TEST_CASE(load_reportedAsZeroWhileBusy_ownInFlightStillCounts)
{
    add("busy");
    add("b");
    for (int n = 0; n < 6; ++n) {
        chooser->onStart(now, "busy");
    }
    chooser->onLoad(now, "busy", {0, 10, 0, false});
    chooser->onLoad(now, "b", {3, 10, 0, false});
    BOOST_TEST(chooseMany(50)["busy"] == 0);
}

BOOST_AUTO_TEST_CASE(load_reportedByExitNode_isNotAddedToOwnInFlight)
{
    add("a");
    add("far", "lk-south-2");
    for (int n = 0; n < 6; ++n) {
        chooser->onStart(now, "a");
    }
    chooser->onLoad(now, "a", {6, 10, 0, false});
    BOOST_TEST(choose() == "a");
}

BOOST_AUTO_TEST_CASE(load_stale_isIgnored)
{
    add("a");
    add("far", "lk-south-2");
    chooser->onLoad(now, "a", {10, 10, 9, false});
    now += seconds(4);
    BOOST_TEST(choose() == "a");
}

BOOST_AUTO_TEST_CASE(target_consecutiveFailures_isEjectedAndReadmitted)
{
    add("a");
    add("b");
    failAttempts("a", 5);
    BOOST_TEST(chooseMany(50)["a"] == 0);
    now += seconds(6);
    BOOST_TEST(chooseMany(50)["a"] > 0);
    failAttempts("a", 5);
    now += seconds(6);
    BOOST_TEST(chooseMany(50)["a"] == 0);
}

BOOST_AUTO_TEST_CASE(targets_allFail_ejectFloorKeepsHalf)
{
    for (const char *host : {"a", "b", "c", "d"}) {
        add(host);
        failAttempts(host, 5);
        now += milliseconds(10);
    }
    auto counts = chooseMany(200);
    BOOST_TEST(counts.size() == 2U);
    BOOST_TEST(counts["none"] == 0);
}

BOOST_AUTO_TEST_CASE(target_shedsLoad_isNotCountedAsFault)
{
    add("a");
    add("b");
    AttemptResult shed;
    shed.outcome = Outcome::NotRun;
    shed.reason = Reason::TargetShed;
    for (int n = 0; n < 20; ++n) {
        chooser->onStart(now, "a");
        chooser->onEnd(now, "a", shed);
    }
    BOOST_TEST(chooseMany(50)["a"] > 0);
}

BOOST_AUTO_TEST_CASE(target_leaving_getsNoWorkUntilAlive)
{
    add("a");
    add("b");
    chooser->onLeaving(now, "a");
    chooser->onLoad(now, "b", {0, 10, 0, true});
    BOOST_TEST(choose() == "none");
    chooser->onLoad(now, "b", {0, 10, 0, false});
    BOOST_TEST(choose() == "b");
    chooser->onLoad(now, "a", {0, 10, 0, false});
    BOOST_TEST(choose({"b"}) == "b");
    chooser->onAlive(now, "a");
    BOOST_TEST(choose({"b"}) == "a");
}

BOOST_AUTO_TEST_CASE(retry_untriedTargetExists_isPreferred)
{
    add("a");
    add("far", "lk-south-2");
    BOOST_TEST(choose({"a"}) == "far");
    BOOST_TEST(choose({"a", "far"}) == "a");
}

BOOST_AUTO_TEST_CASE(target_coldWithFewSlots_getsLessWork)
{
    add("a");
    add("b");
    chooser->onLoad(now, "a", {0, 2, 0, false});
    chooser->onLoad(now, "b", {0, 10, 0, false});
    std::map<std::string, int> counts;
    for (int n = 0; n < 8; ++n) {
        const auto host = choose();
        chooser->onStart(now, host);
        ++counts[host];
    }
    BOOST_TEST(counts["a"] <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
