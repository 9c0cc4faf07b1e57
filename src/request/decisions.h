// Request decisions: routing, target selection (load balancing), admission control and retries.
//
// How to use: the entry node (src/node/entrycore.h) calls matchRoute, TargetChooser and RetryPolicy; the exit node
// (src/node/exitcore.h) calls Admission. The functions are deterministic: time is passed in and random numbers come from
// the seed of the settings. They use no sockets.
//
// Pitfall: the objects have no locks; each owner guards its object with the lock of its shard.
#pragma once

#include "config/snapshot.h"
#include "request/types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

struct RouteMatch {
    const Route *route = nullptr; ///< all three are owned by the snapshot
    const Rule *rule = nullptr;
    const Service *service = nullptr;
};

/// The route with the longest matching path prefix that accepts `method`; HEAD matches routes for GET. Nothing when no
/// route matches, or when the snapshot lacks its rule or service.
std::optional<RouteMatch> matchRoute(const Snapshot &snapshot, const std::string &method, const std::string &path);

struct ChooserSettings {
    std::string dataCentre; ///< of this node; its targets are preferred
    unsigned ejectAfter = 5; ///< consecutive failures that eject a target
    Duration ejectFor = seconds(5); ///< duration of the first ejection; each consecutive one is twice as long, up to 60 s
    double ejectFloor = 0.5; ///< 0 to 1; share of a service's targets that stays eligible even when more have failed
    Duration loadAge = seconds(3); ///< load reports older than this are ignored
    std::uint64_t seed = 0;
};

/// Selects the target of an attempt by the power of two random choices: the less utilised of two random candidates.
/// Targets of the own data centre come first while they have free slots. Targets with consecutive failures are ejected
/// for a time, so that they get no requests.
class TargetChooser
{
public:
    virtual ~TargetChooser() = default;
    /// `tried` are hosts that this request already tried; they are chosen only when no other is left. Nothing when no target
    /// accepts requests.
    virtual std::optional<TargetEntry> choose(TimePoint now, const std::string &serviceName, const Service &service, const std::vector<std::string> &tried) = 0;
    virtual void onStart(TimePoint now, const std::string &host) = 0; ///< an attempt was sent to `host`
    virtual void onEnd(TimePoint now, const std::string &host, const AttemptResult &result) = 0; ///< the attempt ended; also records the load in `result`
    virtual void onLoad(TimePoint now, const std::string &host, const TargetLoad &load) = 0; ///< a heartbeat reported the load
    virtual void onLeaving(TimePoint now, const std::string &host) = 0; ///< `host` gets no new requests until `onAlive`
    virtual void onAlive(TimePoint now, const std::string &host) = 0; ///< `host` came back, or `onLeaving` was about an older incarnation
};
std::unique_ptr<TargetChooser> makeTargetChooser(const ChooserSettings &settings);

struct RetrySettings {
    double budgetShare = 0.1; ///< retries allowed per request, over the last 10 s
    double budgetMinPerSecond = 1; ///< retries per second that are allowed at any request rate
    Duration backoffBase = milliseconds(5); ///< shortest backoff (decorrelated jitter)
    Duration backoffCap = milliseconds(200); ///< longest backoff
    std::uint64_t seed = 0;
};

/// State of one request across its attempts; the caller keeps it and RetryPolicy updates it.
struct RetryState {
    unsigned attempts = 0; ///< attempts that have failed so far
    bool mayHaveRun = false; ///< an attempt ended without proof that the target did not execute the request
    Duration lastBackoff{0};
    unsigned depth = 0; ///< level of this request in the call tree; 0: from an outside caller
};

struct RetryDecision {
    bool retry = false;
    Duration delay{0}; ///< backoff before the next attempt
    Outcome outcome = Outcome::Unknown; ///< of the request, when it is not retried
    Reason reason = Reason::None; ///< why there is no retry, or why the last attempt failed
    milliseconds retryAfter{0}; ///< ms; Retry-After for the caller
};

/// Decides after each failed attempt whether and when the request is retried. A request that is not idempotent is retried
/// only while every attempt so far proved that it did not run.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;
    virtual void onRequest(TimePoint now, const std::string &serviceName) = 0; ///< a new request; adds to the retry budget of the service
    /// Updates `state`; consumes retry budget when it decides for a retry.
    virtual RetryDecision
    afterFailure(TimePoint now, TimePoint deadline, const std::string &serviceName, const Rule &rule, const AttemptResult &result, RetryState &state)
        = 0;
};
std::unique_ptr<RetryPolicy> makeRetryPolicy(const RetrySettings &settings);

struct AdmissionSettings {
    unsigned slots = 1; ///< requests that the target may serve at once
    unsigned queueLimit = 64; ///< requests that may wait
    Duration slowStart = seconds(10); ///< time in which a cold target ramps up to all its slots
    double bulkShare = 0.5; ///< 0 to 1; share of the slots that bulk requests may use
};

using TicketId = std::uint64_t;
/// A request that asks for a slot.
struct Ticket {
    TicketId id = 0; ///< increasing: of equal class and deadline, the lower id starts first
    RequestClass requestClass = RequestClass::Read;
    TimePoint deadline;
};
struct AdmissionResult {
    enum class Verdict { Start, Wait, Refuse } verdict = Verdict::Refuse;
    Reason reason = Reason::None; ///< of a refusal
    milliseconds retryAfter{0}; ///< ms; of a refusal: when the queue is expected to be empty
};
/// Waiting tickets that an event started or refused. The owner must act on all of them.
struct AdmissionChanges {
    std::vector<TicketId> started;
    std::vector<std::pair<TicketId, AdmissionResult>> refused;
};

/// Admission control of one target at its exit node: a limited number of slots and a queue ordered by request class, then
/// deadline. A request is refused at once when it is expected to wait too long for its deadline.
class Admission
{
public:
    virtual ~Admission() = default;
    /// Asks for a slot. Wait: the ticket is queued and a later AdmissionChanges starts or refuses it.
    virtual AdmissionResult offer(TimePoint now, const Ticket &ticket) = 0;
    /// A started ticket ended. `service`: its service time, 0 when not known; `targetShed`: the target refused it.
    virtual AdmissionChanges finished(TimePoint now, TicketId id, Duration service, bool targetShed) = 0;
    virtual AdmissionChanges withdraw(TimePoint now, TicketId id) = 0; ///< a waiting ticket was cancelled
    virtual AdmissionChanges onTick(TimePoint now) = 0; ///< refuses waiting tickets that can no longer meet their deadline
    virtual AdmissionChanges resize(TimePoint now, unsigned slots) = 0; ///< the service document changed the slots
    virtual void onCold(TimePoint now) = 0; ///< the target has just started or come back: slow start
    virtual TargetLoad load() const = 0; ///< as of the last call other than `onCold`
};
std::unique_ptr<Admission> makeAdmission(const AdmissionSettings &settings);

} // namespace Fescuenotch
