#include "request/decisions.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>
#include <vector>

using namespace Fescuenotch;

namespace {

struct RetryFixture {
    RetryFixture()
    {
        rule.idempotent = true;
        rule.maxAttempts = 3;
        policy->onRequest(now, "bookdesk");
    }

    static AttemptResult result(Outcome outcome, Reason reason = Reason::LinkLost)
    {
        AttemptResult result;
        result.outcome = outcome;
        result.reason = reason;
        return result;
    }
    RetryDecision fail(const AttemptResult &attempt)
    {
        return policy->afterFailure(now, now + remaining, "bookdesk", rule, attempt, state);
    }

    TimePoint now = TimePoint(seconds(1'000));
    Duration remaining = seconds(1);
    std::unique_ptr<RetryPolicy> policy = makeRetryPolicy({});
    Rule rule;
    RetryState state;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Retry, RetryFixture)

BOOST_AUTO_TEST_CASE(write_attemptMayHaveRun_isNeverRetried)
{
    rule.idempotent = false;
    const auto decision = fail(result(Outcome::Unknown));
    BOOST_TEST(!decision.retry);
    BOOST_TEST((decision.outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(write_attemptProvedNotRun_isRetriedThenReportedNotRun)
{
    rule.idempotent = false;
    rule.maxAttempts = 2;
    BOOST_TEST(fail(result(Outcome::NotRun)).retry);
    const auto decision = fail(result(Outcome::NotRun));
    BOOST_TEST(!decision.retry);
    BOOST_TEST((decision.outcome == Outcome::NotRun));
    BOOST_TEST((decision.reason == Reason::AttemptsUsed));
}

BOOST_AUTO_TEST_CASE(read_unknownThenNotRun_staysUnknown)
{
    rule.maxAttempts = 2;
    BOOST_TEST(fail(result(Outcome::Unknown)).retry);
    BOOST_TEST((fail(result(Outcome::NotRun)).outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(retry_bodyStartedOrRetriedBelowOrCancelled_isNotMade)
{
    auto attempt = result(Outcome::Unknown);
    attempt.bodyStarted = true;
    BOOST_TEST(!fail(attempt).retry);
    attempt = result(Outcome::NotRun);
    attempt.retriedBelow = true;
    BOOST_TEST(!fail(attempt).retry);
    BOOST_TEST(!fail(result(Outcome::NotRun, Reason::Cancelled)).retry);
}

BOOST_AUTO_TEST_CASE(retry_deadlineTooNearOrPassed_isNotMade)
{
    remaining = milliseconds(4);
    BOOST_TEST((fail(result(Outcome::NotRun)).reason == Reason::DeadlinePassed));
    remaining = milliseconds(-1);
    BOOST_TEST(!fail(result(Outcome::NotRun)).retry);
}

BOOST_AUTO_TEST_CASE(outage_everyAttemptFails_retriesStayWithinBudgetShare)
{
    unsigned attempts = 0;
    constexpr unsigned Requests = 20'000;
    for (unsigned n = 0; n < Requests; ++n) {
        now += milliseconds(1);
        policy->onRequest(now, "bookdesk");
        state = {};
        do {
            ++attempts;
        } while (fail(result(Outcome::NotRun)).retry);
    }
    BOOST_TEST(attempts <= Requests * 1.1 + 30);
    BOOST_TEST(attempts >= Requests * 1.08);
}

BOOST_AUTO_TEST_CASE(callTree_everyLevelFails_retriesDoNotMultiply)
{
    // Guards against retry amplification: each level calls the next one and the deepest always fails. In the worst case no
    // target passes on the header Fescuenotch-Retried.
    constexpr unsigned Depth = 29;
    std::vector<std::unique_ptr<RetryPolicy>> levels;
    for (unsigned n = 0; n < Depth; ++n) {
        levels.push_back(makeRetryPolicy({}));
    }
    std::uint64_t calls = 0;
    const std::function<void(unsigned)> call = [&](unsigned depth) {
        RetryState levelState;
        levelState.depth = depth;
        levels[depth]->onRequest(now, "bookdesk");
        do {
            if (depth + 1 < Depth) {
                call(depth + 1);
            } else {
                ++calls;
            }
        } while (levels[depth]->afterFailure(now, now + seconds(1), "bookdesk", rule, result(Outcome::NotRun), levelState).retry);
    };
    constexpr unsigned Requests = 5'000;
    for (unsigned n = 0; n < Requests; ++n) {
        now += milliseconds(1);
        call(0);
    }
    BOOST_TEST(static_cast<double>(calls) / Requests <= 1.5);
}

BOOST_AUTO_TEST_CASE(backoff_manyRetries_hasJitterWithinBounds)
{
    rule.maxAttempts = 10;
    RetrySettings settings;
    settings.budgetMinPerSecond = 100;
    policy = makeRetryPolicy(settings);
    std::set<Duration> seen;
    for (int n = 0; n < 9; ++n) {
        const auto decision = fail(result(Outcome::NotRun));
        BOOST_REQUIRE(decision.retry);
        BOOST_TEST(decision.delay.count() >= Duration(milliseconds(5)).count());
        BOOST_TEST(decision.delay.count() <= Duration(milliseconds(200)).count());
        seen.insert(decision.delay);
    }
    BOOST_TEST(seen.size() >= 8U);
}

BOOST_AUTO_TEST_SUITE_END()
