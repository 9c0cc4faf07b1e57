#include "request/decisions.h"
#include "request/retrybudget.h"

#include <algorithm>
#include <map>
#include <random>

namespace Fescuenotch {

namespace {

constexpr milliseconds MinRetryAfter{1'000}; ///< lower bound of the Retry-After for the caller

/// Decorrelated jitter: uniformly distributed between the base and three times the last delay, at most the cap.
Duration nextBackoff(std::mt19937_64 &random, const RetrySettings &settings, Duration last)
{
    const auto upperBound = std::max(settings.backoffBase, std::min(settings.backoffCap, last * 3));
    std::uniform_int_distribution<Duration::rep> pick(settings.backoffBase.count(), upperBound.count());
    return Duration(pick(random));
}

class BudgetedRetryPolicy final : public RetryPolicy
{
public:
    explicit BudgetedRetryPolicy(const RetrySettings &settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
    }

    void onRequest(TimePoint now, const std::string &serviceName) override
    {
        budgetOf(serviceName).onRequest(now);
    }

    RetryDecision
    afterFailure(TimePoint now, TimePoint deadline, const std::string &serviceName, const Rule &rule, const AttemptResult &result, RetryState &state) override
    {
        ++state.attempts;
        state.mayHaveRun = state.mayHaveRun || result.outcome != Outcome::NotRun;
        const auto delay = nextBackoff(m_random, m_settings, std::max(state.lastBackoff, m_settings.backoffBase));
        const auto stopReason = reasonToStop(now, deadline, rule, result, state, delay);
        if (stopReason != Reason::None) {
            return stopRetrying(result, state, stopReason);
        }
        if (!budgetOf(serviceName).tryConsume(now, state.depth)) {
            return stopRetrying(result, state, Reason::BudgetEmpty);
        }
        state.lastBackoff = delay;
        return {true, delay, Outcome::Unknown, result.reason, milliseconds(0)};
    }

private:
    /// Why the request must not be retried, apart from the retry budget; None when it may be.
    static Reason reasonToStop(TimePoint now, TimePoint deadline, const Rule &rule, const AttemptResult &result, const RetryState &state, Duration delay)
    {
        if (result.outcome == Outcome::Ran || result.bodyStarted || result.retriedBelow || result.reason == Reason::Cancelled) {
            return result.reason == Reason::None ? Reason::TargetBroke : result.reason;
        }
        if (!rule.idempotent && state.mayHaveRun) {
            return result.reason == Reason::None ? Reason::TargetBroke : result.reason;
        }
        if (now + delay >= deadline) {
            return Reason::DeadlinePassed;
        }
        return state.attempts >= rule.maxAttempts ? Reason::AttemptsUsed : Reason::None;
    }

    static RetryDecision stopRetrying(const AttemptResult &result, const RetryState &state, Reason reason)
    {
        const auto outcome = state.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        return {false, Duration(0), outcome, reason, std::max(result.retryAfter, MinRetryAfter)};
    }

    RetryBudget &budgetOf(const std::string &serviceName)
    {
        return m_budgets.try_emplace(serviceName, m_settings.budgetShare, m_settings.budgetMinPerSecond).first->second;
    }

    RetrySettings m_settings;
    std::mt19937_64 m_random;
    std::map<std::string, RetryBudget> m_budgets;
};

} // namespace

std::unique_ptr<RetryPolicy> makeRetryPolicy(const RetrySettings &settings)
{
    return std::make_unique<BudgetedRetryPolicy>(settings);
}

} // namespace Fescuenotch
