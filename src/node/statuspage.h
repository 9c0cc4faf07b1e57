// The operator's HTTP pages.
//
// /healthz: the process is alive. /readyz: 503 with the reason while the node is leaving, has no profile in force or does
// not trust its membership view. /status: state as JSON. /metrics: metrics in Prometheus text format.
#pragma once

#include "node/spreaddriver.h"
#include "plugins/interfaces.h"

#include <functional>
#include <memory>

namespace Fescuenotch {

/// Objects and callbacks that the pages read; the node owns them, and they must outlive the handler.
struct StatusDependencies {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    SpreadDriver *spread = nullptr;
    std::function<bool()> leaving;
    std::function<std::size_t()> inFlight; ///< requests and attempts that have not ended
    std::uint64_t incarnation = 0;
};

std::unique_ptr<OperatorHandler> makeStatusPages(const StatusDependencies &dependencies);

} // namespace Fescuenotch
