#include "mesh/stopschedule.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

constexpr TimePoint Begin{seconds(1'000)};

struct ScheduleFixture {
    StopScheduleSettings settings;
    StopSchedule schedule{Begin, settings};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StopScheduleTest, ScheduleFixture)

BOOST_AUTO_TEST_CASE(times_defaultLimits_followEachOther)
{
    BOOST_TEST((schedule.acceptUntil() > Begin + settings.announcement));
    BOOST_TEST((schedule.latestDeadline() > schedule.acceptUntil()));
    BOOST_TEST((schedule.exitAt() > schedule.latestDeadline()));
    BOOST_TEST((Begin + settings.stopLimit > schedule.exitAt()));
}

/// Guards against the cut answers of incident inc1: a request of four seconds, accepted 1.9 s after the stop began, could outlast it.
BOOST_AUTO_TEST_CASE(latestDeadline_requestAcceptedDuringTheStop_isBeforeTheExit)
{
    const auto requestDeadline = Begin + milliseconds(1'900) + seconds(4);
    BOOST_TEST((requestDeadline > schedule.exitAt()));
    BOOST_TEST((schedule.latestDeadline() < schedule.exitAt()));
}

/// Targets get at least five sixths of the time to stop, and errors to what missed the latest deadline have time to leave.
BOOST_AUTO_TEST_CASE(times_limitsFromOneToThirtySeconds_followEachOther)
{
    for (const auto limit : {1, 2, 3, 5, 6, 10, 30}) {
        settings.stopLimit = seconds(limit);
        settings.announcement = std::min<milliseconds>(milliseconds(2'200), settings.stopLimit / 3);
        const StopSchedule each(Begin, settings);
        BOOST_TEST((each.acceptUntil() > Begin + settings.announcement), "limit " << limit << " s");
        BOOST_TEST((each.latestDeadline() > each.acceptUntil()), "limit " << limit << " s");
        BOOST_TEST((each.latestDeadline() >= Begin + settings.stopLimit * 5 / 6), "limit " << limit << " s");
        BOOST_TEST((each.exitAt() > each.latestDeadline()), "limit " << limit << " s");
        BOOST_TEST((each.exitAt() < Begin + settings.stopLimit), "limit " << limit << " s");
    }
}

BOOST_AUTO_TEST_CASE(acceptUntil_longLimit_isSoonAfterTheAnnouncement)
{
    settings.stopLimit = seconds(30);
    const StopSchedule each(Begin, settings);
    BOOST_TEST((each.acceptUntil() == Begin + settings.announcement + settings.acceptAfterAnnouncement));
}

BOOST_AUTO_TEST_CASE(isAnnounced_announcementTimeIsOver_isTrue)
{
    BOOST_TEST(!schedule.isAnnounced(Begin + settings.announcement));
    BOOST_TEST(schedule.isAnnounced(Begin + settings.announcement + milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
