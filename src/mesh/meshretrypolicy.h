// What follows when a request that was sent to a target did not end with an answer for its caller.
//
// Three kinds of next step differ in what they cost. Placing again costs nothing outside: the exit node had not offered
// the request to its target. Repeating sends the request to another target, so it is bounded by the route's attempts
// and by this node's share of the fleet's budget. Ending tells the caller, with `notRun` only if no target can have run it.
//
// How to use: one MeshRetryState for each request; `next` after each failure.
#pragma once

#include "mesh/routes.h"
#include "request/retrybudget.h"
#include "request/types.h"

#include <unordered_map>

namespace Fescuenotch {

struct MeshRetrySettings {
    double budgetShare = 0.1; ///< repeats per request of a service, over ten seconds
    double budgetMinPerSecond = 0.2; ///< repeats a second that are always allowed to this node
    unsigned maxPlacements = 4; ///< exit nodes that are asked for one request
    Duration minRemainingTime = milliseconds(10); ///< ms; with less time left nothing is tried again
};

/// This node's part of what the fleet may repeat: `share` of the requests and `slack` repeats in each `window`, over
/// `nodes` nodes. Calls that a repeated request makes count as repeats of the services that it calls, so each level of
/// calls gets a part of the share.
MeshRetrySettings meshRetrySettingsFor(double share, double slack, Duration window, std::size_t nodes);

/// How one sending of a request ended.
struct DeliveryResult {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool offered = false; ///< the target may have seen the request
    bool answerStarted = false; ///< bytes of an answer went to the caller
    unsigned status = 0; ///< of the target's answer; 0: none
};

struct MeshRetryState {
    unsigned offered = 0; ///< targets that may have seen the request
    unsigned placements = 0; ///< exit nodes asked
    bool mayHaveRun = false;
};

enum class NextStep { Reroute, Retry, End };

class MeshRetryPolicy
{
public:
    explicit MeshRetryPolicy(const MeshRetrySettings &settings);
    void configure(const MeshRetrySettings &settings); ///< when the size of the fleet changes
    void onRequest(TimePoint now, const std::string &service);
    NextStep next(TimePoint now, TimePoint deadline, const MeshRoute &route, const std::string &service, const DeliveryResult &end, MeshRetryState &state);

private:
    RetryBudget &budgetOf(const std::string &service);

    MeshRetrySettings m_settings;
    std::unordered_map<std::string, RetryBudget> m_budgets; ///< by service
};

} // namespace Fescuenotch
