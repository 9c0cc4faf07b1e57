// Types shared by all request decisions: outcomes, reasons, target load and attempt results.
//
// How to use: an attempt ends with an AttemptResult. Its `outcome` says whether the request was executed, its `reason`
// why it failed. Log lines, metrics and answers use the texts of `outcomeName`, `reasonName` and `reasonRemedy`.
//
// Pitfall: `NotRun` permits a retry of a request that is not idempotent. Set it only when the target cannot have executed
// the request; use `Unknown` in every other case.
#pragma once

#include "config/documents.h"
#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Fescuenotch {

/// Whether a request was executed, as reported to the caller. `NotRun` needs proof; without proof it is `Unknown`.
enum class Outcome { Ran, NotRun, Unknown };
const char *outcomeName(Outcome outcome); ///< "ran", "not-run", "unknown"

/// Why a request or an attempt was refused or failed. Each reason has its own counter.
enum class Reason {
    None,
    NoProfile, ///< this node has no profile in force
    NoRoute, ///< no route matches; status 404
    NoTarget, ///< the service has no target that accepts requests
    ViewNotTrusted, ///< this node was paused and its membership view is not refreshed yet
    Leaving, ///< the node or its target is shutting down
    QueueFull, ///< the queue of the target is full
    WaitTooLong, ///< the expected wait in the queue is too long for the deadline
    ClassLimit, ///< the queue share of this request class is used up
    TargetShed, ///< the target refused the request and reported not-run
    ConnectFailed, ///< the exit node could not connect; no byte was sent
    DeadlinePassed,
    Cancelled,
    LinkLost, ///< the peer link was closed or timed out
    TargetBroke, ///< the target closed the connection before its answer was complete
    AttemptsUsed, ///< the attempts that the rule allows are used up
    BudgetEmpty, ///< the retry budget of the service is empty
    BadRequest, ///< malformed request; status 400
    TooLarge, ///< request body or head above its limit; status 413 or 431
    WrongHost, ///< the target does not run on the host of this exit node
    TargetLimit, ///< the target accepts only so many requests a second
    Quarantined, ///< requests like this one have crashed the targets that ran them
    Evacuated, ///< the data centre of the targets is evacuated
    TargetCold, ///< the target is cold and takes only so many requests a second
    TargetHung, ///< the target did not answer the request well beyond its usual time
    MemoryFull, ///< the node's budget for buffered bytes is used up
};
const char *reasonName(Reason reason); ///< "no-profile", "queue-full", ...
const char *reasonRemedy(Reason reason); ///< one sentence of advice for the caller
std::vector<Reason> allReasons(); ///< in the order of the enum

/// Load of a target as measured by its exit node; sent with answers and heartbeats.
struct TargetLoad {
    unsigned inUse = 0; ///< slots in use
    unsigned slots = 0; ///< slots that may be used now; 0: load not known
    unsigned queued = 0; ///< requests waiting in the queue
    bool leaving = false; ///< accepts no new requests
};

/// How one attempt ended, as the entry node sees it.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool bodyStarted = false; ///< part of the answer was already sent to the caller, so no retry is possible
    bool retriedBelow = false; ///< a service further down the call tree already retried: do not retry again here
    milliseconds retryAfter{0}; ///< ms; 0 when none was given
    TargetLoad load;
};

} // namespace Fescuenotch
