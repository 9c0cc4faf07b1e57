// The exit node's part of a request: admit it to the target's slots, run it once, relay the answer, tell the outcome.
//
// How to use: hand every InboundAttempt to `onAttempt` (it never blocks), and call `configure` when the document of
// this host's target changes. A target that left the documents keeps serving until the process ends.
#pragma once

#include "plugins/interfaces.h"
#include "request/decisions.h"

#include <memory>
#include <string>

namespace Fescuenotch {

/// What the handler works with. The node owns all of it and outlives the handler.
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
    virtual void configure(const TargetEntry &target) = 0; ///< address, slots and connections of this host's target
    virtual void onWake(TimePoint now) = 0; ///< this process was paused: end what passed its deadline
    virtual void beginLeaving() = 0; ///< refuse new attempts as not run
    virtual TargetLoad load() const = 0;
    virtual std::size_t inFlight() const = 0; ///< attempts not yet ended
    virtual void stop() = 0; ///< ends the worker threads; call when nothing is in flight
};

std::unique_ptr<ExitHandler> makeExitHandler(const ExitHandlerDependencies &dependencies);

} // namespace Fescuenotch
