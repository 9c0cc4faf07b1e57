// Metrics of the entry node's request handling.
//
// How to use: create one per MetricsRegistry; the constructor registers all label values. Updates are lock-free.
#pragma once

#include "kernel/metrics.h"
#include "request/types.h"

#include <array>
#include <cstddef>

namespace Fescuenotch {

class EntryMetrics
{
public:
    explicit EntryMetrics(MetricsRegistry &registry);
    void onAnswer(RequestClass requestClass, Outcome outcome, Duration took);
    void onRefusal(Reason reason);
    void onRetry(Reason reason); ///< `reason`: why the previous attempt failed
    void onRetryStopped(Reason reason); ///< `reason`: why there is no further attempt
    void onAttempt(Outcome outcome);
    Counter &lateAnswers; ///< answers that arrived after their attempt was cancelled
    Counter &callersLeft; ///< callers that disconnected before their answer was known
    Counter &bodiesResumed; ///< answer bodies resumed with a range request
    Counter &bodiesBroken; ///< answer bodies cut short after bytes were relayed, and not resumed

private:
    static constexpr std::size_t ClassCount = 4;
    static constexpr std::size_t OutcomeCount = 3;
    static constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::WrongHost) + 1;

    std::array<std::array<Counter *, OutcomeCount>, ClassCount> m_requests{};
    std::array<LatencyHistogram *, ClassCount> m_latency{};
    std::array<Counter *, OutcomeCount> m_attempts{};
    std::array<Counter *, ReasonCount> m_refusals{};
    std::array<Counter *, ReasonCount> m_retries{};
    std::array<Counter *, ReasonCount> m_retriesStopped{};
};

} // namespace Fescuenotch
