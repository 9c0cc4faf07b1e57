#include "mesh/meshretrypolicy.h"
#include "mesh/requestage.h"

#include <boost/test/unit_test.hpp>

#include <functional>

#include <random>

using namespace Fescuenotch;

namespace {

struct RetryFixture {
    TimePoint now = TimePoint(seconds(1'000));
    TimePoint deadline = now + seconds(1);
    MeshRetryPolicy policy{MeshRetrySettings{}};
    MeshRetryState state;
    MeshRoute route;

    RetryFixture()
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

BOOST_FIXTURE_TEST_SUITE(MeshRetryPolicyTest, RetryFixture)

BOOST_AUTO_TEST_CASE(next_refusedByExitNodeBeforeReachingTarget_isReroutedWithoutBudget)
{
    MeshRetrySettings none;
    none.budgetShare = 0;
    none.budgetMinPerSecond = 0;
    policy.configure(none);
    BOOST_TEST((next(Outcome::NotRun, false) == NextStep::Reroute));
    BOOST_TEST(!state.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(next_refusedByManyExitNodes_ends)
{
    for (unsigned n = 1; n < MeshRetrySettings{}.maxDeliveries; ++n) {
        BOOST_TEST((next(Outcome::NotRun, false) == NextStep::Reroute));
    }
    BOOST_TEST((next(Outcome::NotRun, false) == NextStep::End));
}

/// Guards against an exit node that ends a run for another target although the entry node may not turn to one.
BOOST_AUTO_TEST_CASE(mayRetry_lastAttemptOrBudgetUsedUp_isFalse)
{
    BOOST_TEST(policy.mayRetry(now, route, "desk", state));
    BOOST_TEST((next(Outcome::Unknown, true) == NextStep::Retry));
    BOOST_TEST(!policy.mayRetry(now, route, "desk", state));
    state = {};
    while (policy.next(now, deadline, route, "desk", {Outcome::Unknown, Reason::TargetBroke, true, false, 0}, state) == NextStep::Retry) {
        state = {};
    }
    BOOST_TEST(!policy.mayRetry(now, route, "desk", {}));
    route.kind = RouteKind::NotIdempotent;
    policy.configure(MeshRetrySettings{});
    BOOST_TEST(!policy.mayRetry(now + seconds(20), route, "desk", {}));
}

BOOST_AUTO_TEST_CASE(next_nonIdempotentWithUnknownOutcome_endsAndMayHaveRun)
{
    route.kind = RouteKind::NotIdempotent;
    BOOST_TEST((next(Outcome::Unknown, true) == NextStep::End));
    BOOST_TEST(state.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(next_nonIdempotentRejectedByTarget_isRetriedOnceWithTwoAttempts)
{
    route.kind = RouteKind::NotIdempotent;
    BOOST_TEST((next(Outcome::NotRun, true) == NextStep::Retry));
    BOOST_TEST((next(Outcome::NotRun, true) == NextStep::End));
    BOOST_TEST(!state.mayHaveRun);
}

BOOST_AUTO_TEST_CASE(next_responseStarted_ends)
{
    BOOST_TEST((policy.next(now, deadline, route, "desk", {Outcome::Unknown, Reason::TargetBroke, true, true, 200}, state) == NextStep::End));
}

BOOST_AUTO_TEST_CASE(next_deadlineTooClose_ends)
{
    deadline = now + milliseconds(5);
    BOOST_TEST((next(Outcome::NotRun, false) == NextStep::End));
}

/// Every request fails for ten seconds. Retries must stay within the budget instead of doubling the load.
BOOST_AUTO_TEST_CASE(next_everyRequestFails_retriesStayWithinBudget)
{
    MeshRetryPolicy fresh{MeshRetrySettings{}};
    unsigned retries = 0;
    for (int n = 0; n < 1'000; ++n) {
        now += milliseconds(10);
        fresh.onRequest(now, "desk");
        MeshRetryState each;
        retries += fresh.next(now, now + seconds(1), route, "desk", {Outcome::Unknown, Reason::TargetBroke, true, false, 0}, each) == NextStep::Retry ? 1 : 0;
    }
    BOOST_TEST(retries <= 1'000 * MeshRetrySettings{}.budgetShare + 10 * MeshRetrySettings{}.budgetMinPerSecond + 1);
    BOOST_TEST(retries >= 50U);
}

/// Nested calls, of which the deepest always fails. A retried request makes its calls again, which are retried themselves, so
/// retries multiply. Together they must stay within the fleet's budget, however many services call each other.
BOOST_AUTO_TEST_CASE(next_nestedCallsAllFail_retriesOfAllLevelsStayWithinShare)
{
    constexpr double Share = 0.2;
    constexpr double Slack = 64;
    constexpr int Requests = 6'000;
    route.maxAttempts = 2;
    for (const std::size_t levels : {1U, 2U, 3U, 4U}) {
        const auto settings = meshRetrySettingsFor({Share, Slack, seconds(10)}, 1, levels);
        std::vector<MeshRetryPolicy> policies(levels, MeshRetryPolicy(settings));
        int arrivals = 0;
        const std::function<void(std::size_t)> fail = [&](std::size_t level) {
            if (level == levels) {
                ++arrivals;
                return;
            }
            const auto service = "service" + std::to_string(level);
            policies[level].onRequest(now, service);
            MeshRetryState each;
            do {
                fail(level + 1);
            } while (policies[level].next(now, now + seconds(1), route, service, {Outcome::Unknown, Reason::TargetBroke, true, false, 0}, each)
                     == NextStep::Retry);
        };
        for (int n = 0; n < Requests; ++n) {
            now += microseconds(10'000'000 / Requests);
            fail(0);
        }
        BOOST_TEST(arrivals - Requests <= Share * Requests + Slack, levels << " levels: " << arrivals - Requests << " retries");
        BOOST_TEST(arrivals - Requests >= Share * Requests / 2, levels << " levels: " << arrivals - Requests << " retries");
        now += seconds(20);
    }
}

/// Hosts join and leave during a release: the retries made before a change of the fleet's size still count.
BOOST_AUTO_TEST_CASE(configure_fleetSizeChangesEachSecond_retriesStayWithinBudget)
{
    constexpr double Slack = 400;
    constexpr std::size_t Nodes = 100;
    MeshRetryPolicy changing(meshRetrySettingsFor({0.0, Slack, seconds(10)}, Nodes, 1));
    unsigned retries = 0;
    for (int n = 0; n < 1'000; ++n) {
        now += milliseconds(10);
        changing.configure(meshRetrySettingsFor({0.0, Slack, seconds(10)}, Nodes + static_cast<std::size_t>(n / 100), 1));
        changing.onRequest(now, "desk");
        MeshRetryState each;
        retries
            += changing.next(now, now + seconds(1), route, "desk", {Outcome::Unknown, Reason::TargetBroke, true, false, 0}, each) == NextStep::Retry ? 1 : 0;
    }
    BOOST_TEST(retries <= Slack / Nodes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestAgeEstimatorTest)

BOOST_AUTO_TEST_CASE(estimate_retryWithLessRemainingTime_isTheDifference)
{
    RequestAgeEstimator ages;
    BOOST_TEST((ages.estimate("read", milliseconds(800)) == Duration(0)));
    const auto age = ages.estimate("read", milliseconds(500));
    BOOST_TEST((age > milliseconds(295)));
    BOOST_TEST((age <= milliseconds(300)));
    BOOST_TEST((ages.estimate("read", milliseconds(800)) == Duration(0)));
}

/// First attempts of callers whose timeouts differ by a seventh must not be mistaken for retries.
BOOST_AUTO_TEST_CASE(estimate_firstAttemptsWithDifferentTimeouts_isZeroForNearlyAll)
{
    RequestAgeEstimator ages;
    std::minstd_rand random(3);
    std::uniform_int_distribution<int> stated(3'400, 4'000);
    unsigned aged = 0;
    Duration longest{0};
    for (int n = 0; n < 2'000; ++n) {
        const auto age = ages.estimate("read", milliseconds(stated(random)));
        if (n >= 200) {
            aged += age > Duration(0) ? 1 : 0;
            longest = std::max(longest, age);
        }
    }
    BOOST_TEST(aged <= 180U); // a tenth; twice the share that the estimate aims for
    BOOST_TEST((longest < milliseconds(120))); // an eighth of a latency goal of 1 s
}

/// The same callers; one of them retries with at least 0.7 s less than any first attempt.
BOOST_AUTO_TEST_CASE(estimate_retryAmongDifferentTimeouts_isMostOfTheAge)
{
    RequestAgeEstimator ages;
    std::minstd_rand random(3);
    std::uniform_int_distribution<int> stated(3'400, 4'000);
    for (int n = 0; n < 2'000; ++n) {
        ages.estimate("read", milliseconds(stated(random)));
    }
    const auto age = ages.estimate("read", milliseconds(2'700));
    BOOST_TEST((age > milliseconds(600)));
    BOOST_TEST((age < milliseconds(1'000)));
}

/// Callers use a longer timeout after a change of the route.
BOOST_AUTO_TEST_CASE(estimate_timeoutsGrow_adaptsToNewTimeouts)
{
    RequestAgeEstimator ages;
    for (int n = 0; n < 1'000; ++n) {
        ages.estimate("read", milliseconds(1'000));
    }
    for (int n = 0; n < 20'000; ++n) {
        ages.estimate("read", milliseconds(4'000));
    }
    BOOST_TEST((ages.estimate("read", milliseconds(3'000)) > milliseconds(500)));
}

/// A lasting shortage: every second request is refused, and nearly all that were refused come back once. Guards against taking what
/// retries state for the usual remaining time: then they count as first attempts and get slots although they are late.
BOOST_AUTO_TEST_CASE(estimate_shortageWithManyRetries_retriesAreToldFromFirstAttempts)
{
    constexpr std::uint64_t Seed = 5;
    BOOST_TEST_MESSAGE("seed " << Seed);
    RequestAgeEstimator ages;
    std::minstd_rand random(Seed);
    std::uniform_int_distribution<int> stated(1'275, 1'500);
    std::uniform_int_distribution<int> sinceFirst(100, 350);
    for (int n = 0; n < 500; ++n) {
        ages.estimate("read", milliseconds(stated(random)));
    }
    unsigned retries = 0;
    unsigned recognized = 0;
    unsigned firstAttempts = 0;
    unsigned mistaken = 0;
    for (int n = 0; n < 5'000; ++n) {
        const bool isRetry = std::bernoulli_distribution(0.45)(random);
        const auto remaining = milliseconds(stated(random) - (isRetry ? sinceFirst(random) : 0));
        const bool isAged = ages.estimate("read", remaining) > Duration(0);
        (isRetry ? retries : firstAttempts) += 1;
        (isRetry ? recognized : mistaken) += isAged ? 1 : 0;
        if (std::bernoulli_distribution(0.5)(random)) {
            ages.onFailed("read");
        }
    }
    BOOST_TEST(recognized * 10 >= retries * 7); // a quarter state as much as first attempts
    BOOST_TEST(mistaken * 10 <= firstAttempts);
}

/// Guards against callers who look old for as long as a shortage lasts, since they have shorter timeouts than those before it.
BOOST_AUTO_TEST_CASE(estimate_timeoutsBecomeShorterInShortage_mostCountAsFirstAttemptsAgain)
{
    RequestAgeEstimator ages;
    std::minstd_rand random(5);
    std::uniform_int_distribution<int> before(1'275, 1'500);
    std::uniform_int_distribution<int> after(850, 1'000);
    for (int n = 0; n < 500; ++n) {
        ages.estimate("read", milliseconds(before(random)));
    }
    unsigned aged = 0;
    Duration longest{0};
    for (int n = 0; n < 2'000; ++n) {
        const auto age = ages.estimate("read", milliseconds(after(random)));
        ages.onFailed("read");
        if (n >= 1'000) {
            aged += age > Duration(0) ? 1 : 0;
            longest = std::max(longest, age);
        }
    }
    BOOST_TEST(aged <= 700U);
    BOOST_TEST((longest < milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(estimate_otherRoute_isIndependent)
{
    RequestAgeEstimator ages;
    ages.estimate("slow", milliseconds(5'000));
    BOOST_TEST((ages.estimate("quick", milliseconds(100)) == Duration(0)));
}

BOOST_AUTO_TEST_SUITE_END()
