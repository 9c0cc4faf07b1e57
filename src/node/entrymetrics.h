// Counters and histograms of the entry node's part of a request.
//
// How to use: made once; all label values are registered at construction. Counting is lock-free.
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
    void onRetry(Reason reason); ///< why the last attempt failed
    void onRetryStopped(Reason reason); ///< why there is no further attempt
    void onAttempt(Outcome outcome);
    Counter &lateAnswers; ///< answers that came after their request had ended
    Counter &callersLeft; ///< callers that closed before their answer was whole
    Counter &bodiesResumed; ///< answer bodies that were resumed by range
    Counter &bodiesBroken; ///< answer bodies that broke off after bytes were relayed

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
