// Metrics of the exit node's request handling.
//
// How to use: create one per MetricsRegistry; the constructor registers all label values. Updates are lock-free.
#pragma once

#include "kernel/metrics.h"
#include "request/types.h"

#include <array>
#include <cstddef>

namespace Fescuenotch {

class ExitMetrics
{
public:
    explicit ExitMetrics(MetricsRegistry &registry);
    void onEnd(Outcome outcome, Reason reason);
    void onExchange(RequestClass requestClass, Duration took);

private:
    static constexpr std::size_t ClassCount = 4;
    static constexpr std::size_t OutcomeCount = 3;
    static constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::WrongHost) + 1;

    std::array<Counter *, OutcomeCount> m_outcomes{};
    std::array<Counter *, ReasonCount> m_refusals{};
    std::array<LatencyHistogram *, ClassCount> m_latency{};
};

} // namespace Fescuenotch
