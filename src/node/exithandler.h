// Handles attempts at the exit node: admits them to the target's slots, sends each to the target once, relays the answer
// and reports the outcome.
//
// How to use: pass every InboundAttempt to `onAttempt`, which never blocks, and call `configure` when the entry of this
// host's target changes. If the target is removed from the configuration, the last entry stays in use until the process
// ends. Call `stop` when nothing is in flight.
#pragma once

#include "plugins/interfaces.h"
#include "request/decisions.h"

#include <memory>
#include <string>

namespace Fescuenotch {

/// Objects that the handler uses; the node owns them, and they must outlive the handler.
struct ExitHandlerDependencies {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    TimerService *timers = nullptr;
    TargetClient *target = nullptr;
};

class ExitHandler
{
public:
    virtual ~ExitHandler() = default;
    virtual void onAttempt(std::shared_ptr<InboundAttempt> attempt) = 0;
    virtual void configure(const TargetEntry &target) = 0; ///< applies the address, slots and connections of this host's target
    virtual void onWake(TimePoint now) = 0; ///< after a pause of this process: refuses queued attempts whose deadline has passed
    virtual void beginLeaving() = 0; ///< new attempts are refused with the outcome not-run
    virtual TargetLoad load() const = 0;
    virtual std::size_t inFlight() const = 0; ///< attempts that have not ended
    virtual void stop() = 0; ///< joins the worker threads; call when nothing is in flight
};

std::unique_ptr<ExitHandler> makeExitHandler(const ExitHandlerDependencies &dependencies);

} // namespace Fescuenotch
