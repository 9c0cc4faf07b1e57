// Decides how to continue when a request that was sent to an exit node did not end with a response to the caller.
//
// Reroute: the exit node did not pass the request to its target, so asking another exit node costs no target any work.
// Limited by `maxDeliveries`.
// Retry: the request goes to another target. Limited by the route's `maxAttempts` and by this node's part of the fleet's
// retry budget.
// End: the caller gets an error, marked as not executed only if no target can have run the request.
//
// Usage: keep one MeshRetryState per request and call `next` after each failed delivery; call `onRequest` once per
// request, since the budget is a share of the requests.
#pragma once

#include "mesh/routes.h"
#include "request/retrybudget.h"
#include "request/types.h"

#include <unordered_map>

namespace Fescuenotch {

struct MeshRetrySettings {
    double budgetShare = 0.1; ///< retries per request of a service, over ten seconds
    double budgetMinPerSecond = 0.2; ///< retries per second that this node may always make
    unsigned maxDeliveries = 4; ///< exit nodes that may be asked for one request
    Duration minRemainingTime = milliseconds(10); ///< ms; with less time until the deadline the request ends
};

/// The retry budget of the whole fleet: in each `window`, `share` retries per request plus `slack` retries.
struct FleetRetryBudget {
    double share = 0.1; ///< retries per request
    double slack = 0; ///< retries
    Duration window = seconds(10); ///< s
};

/// This node's part of the budget, divided among `nodes` nodes. The calls that a retried request makes count as retries of the
/// services it calls, so each level of nested calls gets a part of the share. A chain of calls is at most as deep as there are
/// `services`.
MeshRetrySettings meshRetrySettingsFor(const FleetRetryBudget &fleet, std::size_t nodes, std::size_t services);

/// How one delivery of a request to an exit node ended.
struct DeliveryResult {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool offered = false; ///< the target may have received the request
    bool responseStarted = false; ///< bytes of the response were sent to the caller
    unsigned status = 0; ///< HTTP status of the target's response; 0: none
};

struct MeshRetryState {
    unsigned offered = 0; ///< targets that may have received the request
    unsigned deliveries = 0; ///< exit nodes asked
    bool mayHaveRun = false;
};

enum class NextStep { Reroute, Retry, End };

class MeshRetryPolicy
{
public:
    explicit MeshRetryPolicy(const MeshRetrySettings &settings);
    void configure(const MeshRetrySettings &settings); ///< when the number of nodes changes
    void onRequest(TimePoint now, const std::string &service);
    /// Also updates `state`. A Retry takes one token from the service's budget.
    NextStep next(TimePoint now, TimePoint deadline, const MeshRoute &route, const std::string &service, const DeliveryResult &end, MeshRetryState &state);
    /// Whether a Retry would be allowed if the delivery that begins now failed at once with an unknown outcome.
    bool mayRetry(TimePoint now, const MeshRoute &route, const std::string &service, const MeshRetryState &state);

private:
    RetryBudget &budgetOf(const std::string &service);

    MeshRetrySettings m_settings;
    std::unordered_map<std::string, RetryBudget> m_budgets; ///< by service
};

} // namespace Fescuenotch
