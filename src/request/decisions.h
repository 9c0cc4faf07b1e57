// The decisions of carrying a request: route, choose, admit, retry. Pure: time is passed in, no sockets, no locks.
//
// How to use: the entry node (src/node/entry) asks Router, TargetChooser and RetryPolicy; the exit node (src/node/exit)
// asks Admission. Each owner guards its object with the lock of its shard.
#pragma once

#include "config/snapshot.h"
#include "request/types.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

struct RouteMatch {
    const Route *route = nullptr; ///< owned by the snapshot
    const Rule *rule = nullptr;
    const Service *service = nullptr;
};

/// Longest path prefix whose methods include `method`; nothing when no route matches.
std::optional<RouteMatch> matchRoute(const Snapshot &snapshot, const std::string &method, const std::string &path);

struct ChooserSettings {
    std::string dataCentre; ///< the own one goes first
    unsigned ejectAfter = 5; ///< failures in a row
    Duration ejectFor = seconds(5); ///< first ejection; doubles up to 60 s
    double ejectFloor = 0.5; ///< share of a service's targets that is never ejected
    Duration loadAge = seconds(3); ///< older load is not trusted
    std::uint64_t seed = 0;
};

/// Picks the target of an attempt: two random candidates of the own data centre, the less loaded one.
class TargetChooser
{
public:
    virtual ~TargetChooser() = default;
    /// `tried` are hosts that this request already tried. Nothing when no target takes work.
    virtual std::optional<TargetEntry> choose(TimePoint now, const std::string &serviceName, const Service &service, const std::vector<std::string> &tried) = 0;
    virtual void onStart(TimePoint now, const std::string &host) = 0; ///< an attempt went out
    virtual void onEnd(TimePoint now, const std::string &host, const AttemptResult &result) = 0; ///< it ended
    virtual void onLoad(TimePoint now, const std::string &host, const TargetLoad &load) = 0; ///< from a heartbeat
    virtual void onLeaving(TimePoint now, const std::string &host) = 0; ///< no new work for it
    virtual void onAlive(TimePoint now, const std::string &host) = 0; ///< back, or the leaving was about an older incarnation
};
std::unique_ptr<TargetChooser> makeTargetChooser(const ChooserSettings &settings);

struct RetrySettings {
    double budgetShare = 0.1; ///< retries per request, over the last 10 s
    double budgetMinPerSecond = 1; ///< retries per second that are always allowed
    Duration backoffBase = milliseconds(5); ///< decorrelated jitter starts here
    Duration backoffCap = milliseconds(200);
    std::uint64_t seed = 0;
};

/// One request's state for the retry policy.
struct RetryState {
    unsigned attempts = 0; ///< made so far
    bool mayHaveRun = false; ///< an attempt ended without proof that it did not run
    Duration lastBackoff{0};
    unsigned depth = 0; ///< how deep in a call tree this request is, 0 for an outside caller
};

struct RetryDecision {
    bool retry = false;
    Duration delay{0}; ///< before the next attempt
    Outcome outcome = Outcome::Unknown; ///< final, when not retrying
    Reason reason = Reason::None;
    milliseconds retryAfter{0}; ///< ms; told to the caller
};

class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;
    virtual void onRequest(TimePoint now, const std::string &serviceName) = 0; ///< fills the budget
    virtual RetryDecision
    afterFailure(TimePoint now, TimePoint deadline, const std::string &serviceName, const Rule &rule, const AttemptResult &result, RetryState &state)
        = 0;
};
std::unique_ptr<RetryPolicy> makeRetryPolicy(const RetrySettings &settings);

struct AdmissionSettings {
    unsigned slots = 1; ///< of the target
    unsigned queueLimit = 64; ///< requests waiting
    Duration slowStart = seconds(10); ///< a cold target reaches all its slots after this
    double bulkShare = 0.5; ///< 0 to 1; share of the slots that bulk may use
};

using TicketId = std::uint64_t;
struct Ticket {
    TicketId id = 0;
    RequestClass requestClass = RequestClass::Read;
    TimePoint deadline;
};
struct AdmissionResult {
    enum class Verdict { Start, Wait, Refuse } verdict = Verdict::Refuse;
    Reason reason = Reason::None; ///< of a refusal
    milliseconds retryAfter{0}; ///< ms
};
/// Tickets that change state after an event.
struct AdmissionChanges {
    std::vector<TicketId> started;
    std::vector<std::pair<TicketId, AdmissionResult>> refused;
};

/// Slots, queue and classes of one target at its exit node.
class Admission
{
public:
    virtual ~Admission() = default;
    virtual AdmissionResult offer(TimePoint now, const Ticket &ticket) = 0;
    virtual AdmissionChanges finished(TimePoint now, TicketId id, Duration service, bool targetShed) = 0; ///< a started one ended
    virtual AdmissionChanges withdraw(TimePoint now, TicketId id) = 0; ///< a waiting one was cancelled
    virtual AdmissionChanges onTick(TimePoint now) = 0; ///< refuses waiting ones whose deadline passed
    virtual AdmissionChanges resize(TimePoint now, unsigned slots) = 0; ///< the service document changed
    virtual void onCold(TimePoint now) = 0; ///< the target has just started or come back
    virtual TargetLoad load() const = 0;
};
std::unique_ptr<Admission> makeAdmission(const AdmissionSettings &settings);

} // namespace Fescuenotch
