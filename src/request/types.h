// Words that all request decisions share: outcomes, attempt results, reasons.
#pragma once

#include "config/documents.h"
#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Fescuenotch {

/// What a caller is told. `NotRun` is said only with proof; anything unproven is `Unknown`.
enum class Outcome { Ran, NotRun, Unknown };
const char *outcomeName(Outcome outcome); ///< "ran", "not-run", "unknown"

/// Why a request or an attempt was refused or failed. Each has its counter.
enum class Reason {
    None,
    NoProfile, ///< no profile in force
    NoRoute, ///< 404
    NoTarget, ///< the service has no target that takes work
    ViewNotTrusted, ///< this node was paused and has not refreshed its view
    Leaving, ///< the node or its target is leaving
    QueueFull,
    WaitTooLong, ///< the expected wait passes the deadline
    ClassLimit, ///< this class has used its share
    TargetShed, ///< the target said not-run
    ConnectFailed, ///< no byte left the exit node
    DeadlinePassed,
    Cancelled,
    LinkLost, ///< the peer link broke or went silent
    TargetBroke, ///< the target closed midway
    AttemptsUsed, ///< the rule's attempts are used up
    BudgetEmpty, ///< the retry budget of the service is empty
    BadRequest, ///< 400
    TooLarge, ///< 413 or 431
    WrongHost, ///< the exit node does not serve that target
};
const char *reasonName(Reason reason); ///< "no-profile", "queue-full", ...
const char *reasonRemedy(Reason reason); ///< one sentence for the caller
std::vector<Reason> allReasons();

/// Load of a target as its exit node knows it; carried by answers and heartbeats.
struct TargetLoad {
    unsigned inUse = 0; ///< slots
    unsigned slots = 0; ///< slots
    unsigned queued = 0; ///< requests waiting
    bool leaving = false;
};

/// How one attempt ended, as the entry node sees it.
struct AttemptResult {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool bodyStarted = false; ///< answer bytes were relayed to the caller
    bool retriedBelow = false; ///< a deeper level already used its retries: do not retry again here
    milliseconds retryAfter{0}; ///< ms; 0 when the other side did not say
    TargetLoad load;
};

} // namespace Fescuenotch
