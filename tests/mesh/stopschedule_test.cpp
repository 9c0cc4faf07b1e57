#include "mesh/stopschedule.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

const TimePoint Begin{seconds(1'000)};

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
    BOOST_TEST((schedule.latestDeadline() + settings.answerMargin == schedule.exitAt()));
}

BOOST_AUTO_TEST_CASE(isAnnounced_announcementTimeIsOver_isTrue)
{
    BOOST_TEST(!schedule.isAnnounced(Begin + settings.announcement));
    BOOST_TEST(schedule.isAnnounced(Begin + settings.announcement + milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
