// The operator's pages: /healthz, /readyz, /status, /metrics.
#pragma once

#include "node/spreaddriver.h"
#include "plugins/interfaces.h"

#include <functional>
#include <memory>

namespace Fescuenotch {

/// What the pages show. The node owns all of it and outlives the handler.
struct StatusDependencies {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    SpreadDriver *spread = nullptr;
    std::function<bool()> leaving;
    std::function<std::size_t()> inFlight; ///< requests not yet answered whole
    std::uint64_t incarnation = 0;
};

std::unique_ptr<OperatorHandler> makeStatusPages(const StatusDependencies &dependencies);

} // namespace Fescuenotch
