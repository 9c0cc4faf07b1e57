#include "mesh/repeatpolicy.h"
#include "mesh/requestage.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct RepeatFixture {
    TimePoint now = TimePoint(seconds(1'000));
    TimePoint deadline = now + seconds(1);
    RepeatPolicy policy{RepeatSettings{}};
    RepeatState state;
    MeshRoute route;

    RepeatFixture()
    {
        route.maxAttempts = 2;
        for (int n = 0; n < 100; ++n) {
            policy.onRequest(now, "desk");
        }
    }

    NextStep next(Outcome outcome, bool offered)
    {
        return policy.next(now, deadline, route, "desk", {outcome, Reason::TargetBroke, offered, false, 0}, state);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RepeatPolicyTest, RepeatFixture)

BOOST_AUTO_TEST_CASE(next_refusedByExitNodeBeforeItsTargetSawIt_isPlacedAgainWithoutBudget)
{
    RepeatSettings none;
    none.budgetShare = 0;
    none.budgetMinPerSecond = 0;
    policy.configure(none);
    BOOST_TEST((next(Outcome::NotRun, false) == NextStep::PlaceAgain));
    BOOST_TEST(!state.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(next_refusedByManyExitNodes_ends)
{
    for (unsigned n = 1; n < RepeatSettings{}.mostPlacements; ++n) {
        BOOST_TEST((next(Outcome::NotRun, false) == NextStep::PlaceAgain));
    }
    BOOST_TEST((next(Outcome::NotRun, false) == NextStep::End));
}

BOOST_AUTO_TEST_CASE(next_unknownOutcomeOfNotIdempotent_endsAndMayHaveRun)
{
    route.kind = RouteKind::NotIdempotent;
    BOOST_TEST((next(Outcome::Unknown, true) == NextStep::End));
    BOOST_TEST(state.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(next_targetTurnedNotIdempotentAway_isRepeatedOnceUnderTwoAttempts)
{
    route.kind = RouteKind::NotIdempotent;
    BOOST_TEST((next(Outcome::NotRun, true) == NextStep::Repeat));
    BOOST_TEST((next(Outcome::NotRun, true) == NextStep::End));
    BOOST_TEST(!state.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(next_answerHasStarted_ends)
{
    BOOST_TEST((policy.next(now, deadline, route, "desk", {Outcome::Unknown, Reason::TargetBroke, true, true, 200}, state) == NextStep::End));
}

BOOST_AUTO_TEST_CASE(next_noTimeLeft_ends)
{
    deadline = now + milliseconds(5);
    BOOST_TEST((next(Outcome::NotRun, false) == NextStep::End));
}

/// Pattern: every request fails for seconds; the repeats must stay within their share.
BOOST_AUTO_TEST_CASE(next_everyRequestFails_repeatsStayWithinTheBudget)
{
    RepeatPolicy fresh{RepeatSettings{}};
    unsigned repeats = 0;
    for (int n = 0; n < 1'000; ++n) {
        now += milliseconds(10);
        fresh.onRequest(now, "desk");
        RepeatState each;
        repeats += fresh.next(now, now + seconds(1), route, "desk", {Outcome::Unknown, Reason::TargetBroke, true, false, 0}, each) == NextStep::Repeat ? 1 : 0;
    }
    BOOST_TEST(repeats <= 1'000 * RepeatSettings{}.budgetShare + 10 * RepeatSettings{}.budgetMinPerSecond + 1);
    BOOST_TEST(repeats >= 50U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestAgesTest)

BOOST_AUTO_TEST_CASE(age_callerComesBackWithLessTime_isTheDifference)
{
    RequestAges ages;
    BOOST_TEST((ages.ageOf("read", milliseconds(800)) == Duration(0)));
    const auto age = ages.ageOf("read", milliseconds(500));
    BOOST_TEST((age > milliseconds(295)));
    BOOST_TEST((age <= milliseconds(300)));
    BOOST_TEST((ages.ageOf("read", milliseconds(800)) == Duration(0)));
}

BOOST_AUTO_TEST_CASE(age_otherRoute_isLearntApart)
{
    RequestAges ages;
    ages.ageOf("slow", milliseconds(5'000));
    BOOST_TEST((ages.ageOf("quick", milliseconds(100)) == Duration(0)));
}

BOOST_AUTO_TEST_SUITE_END()
