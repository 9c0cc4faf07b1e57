#include "node/exitmetrics.h"

namespace Fescuenotch {

ExitMetrics::ExitMetrics(MetricsRegistry &registry)
{
    for (std::size_t o = 0; o < OutcomeCount; ++o) {
        const Labels labels{{"outcome", outcomeName(static_cast<Outcome>(o))}};
        m_outcomes[o] = &registry.counter("fescuenotch_exit_attempts_total", "Attempts that this exit node ended, by outcome.", labels);
    }
    for (const auto reason : allReasons()) {
        const Labels labels{{"reason", reasonName(reason)}};
        m_refusals[static_cast<std::size_t>(reason)]
            = &registry.counter("fescuenotch_exit_refusals_total", "Attempts that this exit node ended without a whole answer.", labels);
    }
    for (std::size_t c = 0; c < ClassCount; ++c) {
        const Labels labels{{"class", requestClassName(static_cast<RequestClass>(c))}};
        m_latency[c] = &registry.histogram("fescuenotch_target_seconds", "Time of the exchanges with the target.", labels);
    }
}

void ExitMetrics::onEnd(Outcome outcome, Reason reason)
{
    m_outcomes[static_cast<std::size_t>(outcome)]->add();
    if (outcome != Outcome::Ran) {
        m_refusals[static_cast<std::size_t>(reason)]->add();
    }
}

void ExitMetrics::onExchange(RequestClass requestClass, Duration took)
{
    m_latency[static_cast<std::size_t>(requestClass)]->record(took);
}

} // namespace Fescuenotch
