#include "node/entrymetrics.h"

namespace Fescuenotch {

namespace {

template<typename E>
std::size_t indexOf(E value)
{
    return static_cast<std::size_t>(value);
}

} // namespace

EntryMetrics::EntryMetrics(MetricsRegistry &registry)
    : lateAnswers(registry.counter("fescuenotch_late_answers_total", "Answers that came after their request had ended; dropped."))
    , callersLeft(registry.counter("fescuenotch_callers_left_total", "Callers that closed before their answer was known."))
    , bodiesResumed(registry.counter("fescuenotch_bodies_resumed_total", "Answer bodies cut short and resumed by range from another target."))
    , bodiesBroken(registry.counter("fescuenotch_bodies_broken_total", "Answer bodies cut short after bytes were relayed; the connection was closed."))
{
    for (std::size_t c = 0; c < ClassCount; ++c) {
        const std::string name = requestClassName(static_cast<RequestClass>(c));
        m_latency[c] = &registry.histogram("fescuenotch_request_seconds", "Time from a request's arrival to its answer's head.", {{"class", name}});
        for (std::size_t o = 0; o < OutcomeCount; ++o) {
            const std::string outcome = outcomeName(static_cast<Outcome>(o));
            m_requests[c][o] = &registry.counter("fescuenotch_requests_total", "Requests by outcome.", {{"class", name}, {"outcome", outcome}});
        }
    }
    for (std::size_t o = 0; o < OutcomeCount; ++o) {
        const std::string outcome = outcomeName(static_cast<Outcome>(o));
        m_attempts[o] = &registry.counter("fescuenotch_attempts_total", "Attempts sent to exit nodes by outcome.", {{"outcome", outcome}});
    }
    for (const auto reason : allReasons()) {
        const Labels labels{{"reason", reasonName(reason)}};
        m_refusals[indexOf(reason)] = &registry.counter("fescuenotch_refusals_total", "Requests that got no answer of a target.", labels);
        m_retries[indexOf(reason)] = &registry.counter("fescuenotch_retries_total", "Further attempts, by why the one before failed.", labels);
        m_retriesStopped[indexOf(reason)]
            = &registry.counter("fescuenotch_retries_stopped_total", "Failed requests, by why there was no further attempt.", labels);
    }
}

void EntryMetrics::onAnswer(RequestClass requestClass, Outcome outcome, Duration took)
{
    m_requests[indexOf(requestClass)][indexOf(outcome)]->add();
    m_latency[indexOf(requestClass)]->record(took);
}

void EntryMetrics::onRefusal(Reason reason)
{
    m_refusals[indexOf(reason)]->add();
}

void EntryMetrics::onRetry(Reason reason)
{
    m_retries[indexOf(reason)]->add();
}

void EntryMetrics::onRetryStopped(Reason reason)
{
    m_retriesStopped[indexOf(reason)]->add();
}

void EntryMetrics::onAttempt(Outcome outcome)
{
    m_attempts[indexOf(outcome)]->add();
}

} // namespace Fescuenotch
