// Limits the requests of a route at its entry node while a service that the route's targets call (the callee) is saturated.
//
// Status: the node does not use it yet. In trials it changed no day by more than noise (docs/design/platform.md, "A called
// service that is short").
//
// Nobody states who calls whom, so both halves are learnt:
// - FailedCalls, at the node beside a target: which requests from this host to another service were refused. If a run of the
//   target ends with a server error just after such a refusal, the refused call is taken as its cause. The answer carries the
//   callee's name to the entry node. Each refusal explains one run only, so a target that fails by itself explains nothing.
// - CalleeLimit, at the entry node: of the requests of each route, how many were served and how many failed for a callee.
//
// A run that fails for its callee wastes the work of the route's own service. That harms others only while that service has no
// free capacity. So a limit begins when a share of a route's requests fails for a callee and the route's own service refuses
// requests as well. The admitted share shrinks while that service refuses requests and grows while it does not, until the limit
// ends. Limiting by the number of served requests instead would end in admitting none, where the callee is busy with others.
//
// Requests that fail for other reasons count neither as served nor as failed: targets that fail alone are the load balancer's
// matter. A route whose targets call nothing is never limited.
//
// Usage: `admit` each request, then `onServed` or `onCallRefused` for each answer; `onServiceRefused` for each
// refusal for want of capacity.
// Not thread-safe; owned by one loop.
#pragma once

#include "kernel/clock.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

/// Refused requests from this host to other services, to find the cause of failed runs of the target on this host.
class FailedCalls
{
public:
    void onRefused(TimePoint now, const std::string &service);
    /// Returns the service whose refusal explains a run that began at `startedAt` and ends now with a server error, and forgets
    /// that refusal. Empty if none does.
    std::string takeCause(TimePoint now, TimePoint startedAt);

private:
    struct Refusal {
        TimePoint at;
        std::string service;
    };
    std::deque<Refusal> m_refusals; ///< oldest first
};

struct CalleeLimitSettings {
    milliseconds averagingTime{700}; ///< ms; time constant of all counts
    double beginShare = 0.2; ///< a limit begins when this share of a route's requests fails for a callee
    double minFailures = 2; ///< requests; fewer failures than this within `averagingTime` begin no limit
    milliseconds saturationMemory{300}; ///< ms; after its last refusal a service counts as saturated for this long
    milliseconds shrinkTime{500}; ///< ms; the admitted share falls to 1/e in this time while the route's service is saturated
    double growthPerSecond = 0.8; ///< added to the admitted share per second otherwise
    double minShare = 0.2; ///< least admitted share
    milliseconds minRetryAfter{100}; ///< ms; refused requests are told to return between this time
    milliseconds maxRetryAfter{500}; ///< ms; and this time
};

struct CalleeVerdict {
    bool admitted = true;
    milliseconds retryAfter{0}; ///< ms; only if not admitted
};

/// Begin or end of a limit.
struct CalleeLimitChange {
    bool began = false;
    std::string route;
    std::string callee;
    double admittedShare = 1; ///< 0 to 1; of the requests at the time of the change
    double servedPerSecond = 0; ///< requests
};

class CalleeLimit
{
public:
    explicit CalleeLimit(const CalleeLimitSettings &settings);
    /// `service` is the route's own.
    CalleeVerdict admit(TimePoint now, const std::string &route, const std::string &service);
    void onServed(TimePoint now, const std::string &route);
    /// A run of the route failed since `callee` refused its call.
    void onCallRefused(TimePoint now, const std::string &route, const std::string &service, const std::string &callee);
    /// `service` refused a request of this node for want of capacity.
    void onServiceRefused(TimePoint now, const std::string &service);
    /// Limits that began or ended since the last call.
    std::vector<CalleeLimitChange> takeChanges();
    std::size_t limitedRoutes() const;

private:
    struct Route {
        TimePoint updatedAt; ///< of the counts
        TimePoint shareAt; ///< of the share
        double served = 0; ///< requests, decaying
        double failed = 0; ///< requests that failed for a callee, decaying
        double share = 1; ///< admitted share of the requests
        double credit = 0; ///< requests that may be admitted; grows by the admitted share with each request
        std::string callee; ///< of the last failure
        bool limited = false;
    };

    Route &decayed(TimePoint now, const std::string &route);
    bool isSaturated(TimePoint now, const std::string &service) const;
    void change(const std::string &name, Route &route, bool begins);
    milliseconds nextRetryAfter();

    CalleeLimitSettings m_settings;
    std::unordered_map<std::string, Route> m_routes; ///< by name
    std::unordered_map<std::string, TimePoint> m_lastRefusal; ///< by service
    std::vector<CalleeLimitChange> m_changes;
    double m_spread = 0; ///< 0 to 1; position of the next Retry-After between its bounds
};

} // namespace Fescuenotch
