// Sections: [fixture] [reach] [patterns of load]
#include "mesh/targetpicker.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Fescuenotch;

namespace {

// ---- [fixture] --------------------------------------------------------------------------------------------------

struct PickerFixture {
    TimePoint now = TimePoint(seconds(1'000));
    std::vector<TargetRecord> targets;
    PickRequest request{"read", milliseconds(300), {}};

    TargetPicker makePicker(std::uint64_t seed = 1) const
    {
        PickerSettings settings;
        settings.dataCentre = "one";
        settings.host = "127.9.9.9";
        settings.seed = seed;
        TargetPicker picker(settings);
        for (const auto &target : targets) {
            picker.onReachable(target.id);
        }
        return picker;
    }

    void addTargets(const std::string &dataCentre, unsigned count, unsigned slots = 10)
    {
        for (unsigned n = 0; n < count; ++n) {
            TargetRecord r;
            r.id = dataCentre + std::to_string(n);
            r.service = "desk";
            r.address = {"127.1." + std::to_string(targets.size()) + ".1", 9'000};
            r.dataCentre = dataCentre;
            r.slots = slots;
            targets.push_back(r);
        }
    }

    static TargetReport report(unsigned running, milliseconds service, unsigned waiting = 0)
    {
        TargetReport r;
        r.running = running;
        r.limit = 10;
        r.waiting = waiting;
        r.meanServiceTime = service;
        return r;
    }

    std::map<std::string, unsigned> chooseMany(TargetPicker &picker, unsigned times)
    {
        std::map<std::string, unsigned> counts;
        for (unsigned n = 0; n < times; ++n) {
            const auto chosen = picker.choose(now, targets, request);
            ++counts[chosen ? chosen->id : ""];
        }
        return counts;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetPickerTest, PickerFixture)

// ---- [reach] ----------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(choose_allExcluded_givesNothing)
{
    addTargets("one", 2);
    auto picker = makePicker();
    request.excluded = {"one0", "one1"};
    BOOST_TEST(!picker.choose(now, targets, request).has_value());
}

BOOST_AUTO_TEST_CASE(choose_linkLost_isLeftOutUntilItIsBack)
{
    addTargets("one", 2);
    auto picker = makePicker();
    picker.onUnreachable(now, "one0");
    BOOST_TEST(chooseMany(picker, 50)["one0"] == 0U);
    picker.onReachable("one0");
    BOOST_TEST(chooseMany(picker, 50)["one0"] > 0U);
}

BOOST_AUTO_TEST_CASE(choose_noHostIsLinkedYet_stillGivesOne)
{
    addTargets("one", 2);
    TargetPicker picker(PickerSettings{});
    BOOST_TEST(picker.choose(now, targets, request).has_value());
}

BOOST_AUTO_TEST_CASE(choose_exitNodeSaysLeaving_isLeftOut)
{
    addTargets("one", 2);
    auto picker = makePicker();
    auto leaving = report(0, milliseconds(50));
    leaving.leaving = true;
    picker.onReport(now, "one0", leaving);
    BOOST_TEST(chooseMany(picker, 50)["one0"] == 0U);
}

BOOST_AUTO_TEST_CASE(choose_anotherLifetimeRunsThere_isLeftOutUntilItsEntryLapses)
{
    addTargets("one", 2);
    auto picker = makePicker();
    picker.onSent(now, "one0");
    picker.onEnded(now, "one0", SendResult::NotThere);
    BOOST_TEST(chooseMany(picker, 50)["one0"] == 0U);
}

// ---- [patterns of load] -----------------------------------------------------------------------------------------

/// Pattern: targets of one service differ in speed by a factor of two and more.
BOOST_AUTO_TEST_CASE(choose_oneTargetTwiceAsFast_isPreferredWhileItHasRoom)
{
    addTargets("one", 2);
    auto picker = makePicker();
    picker.onReport(now, "one0", report(2, milliseconds(60)));
    picker.onReport(now, "one1", report(2, milliseconds(140)));
    BOOST_TEST(chooseMany(picker, 50)["one0"] == 50U);
    picker.onReport(now, "one0", report(10, milliseconds(60), 20));
    BOOST_TEST(chooseMany(picker, 50)["one1"] == 50U);
}

/// Pattern: the own data centre has room; then it is full, and another takes over.
BOOST_AUTO_TEST_CASE(choose_ownDataCentreFull_spillsOver)
{
    addTargets("one", 1);
    addTargets("two", 1);
    auto picker = makePicker();
    picker.onReport(now, "one0", report(3, milliseconds(100)));
    picker.onReport(now, "two0", report(3, milliseconds(100)));
    for (int n = 0; n < 50; ++n) {
        picker.onAnswerSize("read", 90 * 1'024);
    }
    BOOST_TEST(chooseMany(picker, 20)["one0"] == 20U);
    picker.onReport(now, "one0", report(10, milliseconds(100), 30));
    BOOST_TEST(chooseMany(picker, 20)["two0"] == 20U);
}

/// Pattern: two data centres with the same load and targets of different speed. Small answers stay at home too, as long as
/// that costs no goal; a slow target at home does not keep them.
BOOST_AUTO_TEST_CASE(choose_smallAnswersAndSameLoadEverywhere_stayInTheOwnDataCentre)
{
    addTargets("one", 4);
    addTargets("two", 4);
    request.timeToGoal = milliseconds(300);
    auto picker = makePicker();
    for (unsigned n = 0; n < targets.size(); ++n) {
        picker.onReport(now, targets[n].id, report(n % 4, milliseconds(100 + 5 * (n % 4))));
    }
    for (const auto &[id, count] : chooseMany(picker, 100)) {
        BOOST_TEST(id.substr(0, 3) == "one");
    }
    for (unsigned n = 0; n < 4; ++n) {
        picker.onReport(now, targets[n].id, report(8, milliseconds(250)));
    }
    for (const auto &[id, count] : chooseMany(picker, 100)) {
        BOOST_TEST(id.substr(0, 3) == "two");
    }
}

/// Pattern: downloads on slow links. A target whose host's link is busy with others is left alone; its small answers are not.
BOOST_AUTO_TEST_CASE(choose_linkOfOneHostIsBusy_largeAnswersGoElsewhereAndSmallOnesDont)
{
    addTargets("one", 2);
    auto picker = makePicker();
    auto busy = report(2, milliseconds(100));
    busy.uplinkDelay = milliseconds(800);
    picker.onReport(now, "one0", busy);
    picker.onReport(now, "one1", report(4, milliseconds(100)));
    picker.onAnswerSize("read", 2'000);
    BOOST_TEST(chooseMany(picker, 50)["one0"] > 0U);
    request.kind = "download";
    picker.onAnswerSize("download", 90'000);
    BOOST_TEST(chooseMany(picker, 50)["one0"] == 0U);
}

/// Pattern: a target fails half of its requests although its health probe is good.
BOOST_AUTO_TEST_CASE(choose_targetFailsHalf_getsHardlyAnythingWhileOthersHaveRoom)
{
    addTargets("one", 3);
    auto picker = makePicker();
    for (int n = 0; n < 40; ++n) {
        picker.onSent(now, "one0");
        picker.onEnded(now, "one0", n % 2 == 0 ? SendResult::Failed : SendResult::Served);
    }
    BOOST_TEST(chooseMany(picker, 100)["one0"] == 0U);
}

/// Pattern: a target turns slow; its exit node's reports say so.
BOOST_AUTO_TEST_CASE(choose_targetTurnsSlow_getsHardlyAnythingWhileOthersHaveRoom)
{
    addTargets("one", 3);
    auto picker = makePicker();
    picker.onReport(now, "one0", report(4, milliseconds(900)));
    picker.onReport(now, "one1", report(4, milliseconds(100)));
    picker.onReport(now, "one2", report(4, milliseconds(100)));
    BOOST_TEST(chooseMany(picker, 100)["one0"] == 0U);
}

/// Pattern: one report says that a target is free, and a burst follows before the next one.
BOOST_AUTO_TEST_CASE(choose_burstBetweenTwoReports_spreadsByWhatWasSentMeanwhile)
{
    addTargets("one", 4);
    auto picker = makePicker();
    for (const auto &target : targets) {
        picker.onReport(now, target.id, report(0, milliseconds(100)));
    }
    std::map<std::string, unsigned> sent;
    for (int n = 0; n < 40; ++n) {
        const auto chosen = picker.choose(now, targets, request);
        picker.onSent(now, chosen->id);
        ++sent[chosen->id];
    }
    for (const auto &target : targets) {
        BOOST_TEST(sent[target.id] >= 7U);
        BOOST_TEST(sent[target.id] <= 13U);
    }
}

/// Pattern: a target joins; nobody has reported on it.
BOOST_AUTO_TEST_CASE(choose_newTargetAmongBusyOnes_getsWork)
{
    addTargets("one", 3);
    auto picker = makePicker();
    picker.onReport(now, "one0", report(9, milliseconds(100)));
    picker.onReport(now, "one1", report(9, milliseconds(100)));
    BOOST_TEST(chooseMany(picker, 30)["one2"] == 30U);
}

BOOST_AUTO_TEST_SUITE_END()
