// Admission at the exit node: which requests a target runs now, which wait, which are refused at once.
//
// The exit node alone sends work to its target, so slots in use, waiting requests and service times are exact here.
// Pattern answered: more work than slots for seconds on end (bursts, a lost data centre, slow targets). A queue that
// lets everybody wait makes everybody late, so a request waits only while it can still be answered within its latency
// goal, and is refused the moment that it can't: another target or a later return then still has time.
//
// Order: priority, then requests that can meet their goal, then the earlier goal. Of requests whose goal has passed only a
// few wait, and not for long. A kind of request that has been served much less than the others for a while goes first
// expiresAt it has caught up, so none starves. Operators give the calls that targets make the higher priority, so those go
// before the requests of callers.
//
// How to use: `offer` each request, `finished` when it ends, `tick` when `nextTick` comes. One owner; no locks.
#pragma once

#include "kernel/clock.h"
#include "request/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

using AdmissionId = std::uint64_t;

struct AdmissionRequest {
    AdmissionId id = 0;
    std::string kind; ///< name of the route; service times are learnt for each
    unsigned priority = 0; ///< 0 first
    TimePoint goal; ///< an answer by then is worth most
    TimePoint deadline; ///< no answer is wanted after this
};

/// What an exit node tells about its target, with answers and heartbeats.
struct TargetReport {
    unsigned running = 0; ///< requests
    unsigned limit = 0; ///< requests at once; 0: not known
    unsigned waiting = 0; ///< requests
    microseconds meanServiceTime{0}; ///< us; recent mean over all kinds, 0: not known
    milliseconds uplinkDelay{0}; ///< ms; large answers that are queued on the host's link need so long
    microseconds uplinkTimePerKib{0}; ///< us; the host's link needs for a KiB of a large answer
    double failureRate = 0; ///< 0 to 1; recent share of requests that the target failed
    bool leaving = false;
    bool operator==(const TargetReport &) const = default;
};

struct AdmissionQueueSettings {
    unsigned slots = 1; ///< stated by the target
    double maxWaitShareOfGoal = 0.25; ///< of the time left to the goal after the mean service time; more waits are refused
    milliseconds minRetryAfter{50}; ///< ms; a refused caller comes back no sooner
    unsigned maxLateWaiting = 4; ///< requests whose goal cannot be met that may wait
    double starvationRatio = 0.5; ///< a kind served less than this share of the others' rate goes first
};

struct AdmissionVerdict {
    enum class Kind { Start, Wait, Refuse } kind = Kind::Refuse;
    Reason reason = Reason::None; ///< of a refusal
    milliseconds retryAfter{0}; ///< ms; of a refusal
};

/// Tickets that change state after an event.
struct QueueChanges {
    std::vector<AdmissionId> started;
    std::vector<std::pair<AdmissionId, AdmissionVerdict>> refused;
};

/// Mean service time of each kind of request at one target.
class ServiceTimes
{
public:
    void add(const std::string &kind, Duration service);
    Duration of(const std::string &kind) const; ///< the mean over all kinds for one that was not seen; 0 without any
    Duration mean() const;
    void reset();

private:
    std::unordered_map<std::string, double> m_meanByKind; ///< s
    double m_mean = 0; ///< s
};

class AdmissionQueue
{
public:
    explicit AdmissionQueue(const AdmissionQueueSettings &settings);
    AdmissionVerdict offer(TimePoint now, const AdmissionRequest &request);
    /// A started one ended. `service` is zero when its time tells nothing.
    QueueChanges finished(TimePoint now, AdmissionId id, Duration service);
    /// A waiting one was given up by its entry node.
    QueueChanges cancel(TimePoint now, AdmissionId id);
    /// Refuses those that can't be served in time any more.
    QueueChanges tick(TimePoint now);
    TimePoint nextTick() const; ///< TimePoint::max() when nothing waits
    /// The target turned one away. Several in a row mean that it takes less than it states: fewer slots for a while.
    void onRejected(TimePoint now);
    QueueChanges resize(TimePoint now, unsigned slots);
    void onTargetRestarted(); ///< another process runs at the target's address: what was learnt is forgotten
    TargetReport report() const; ///< slots, queue and service times; the rest is the gate's
    unsigned limit() const;
    std::size_t waiting() const
    {
        return m_waiting.size();
    }
    std::size_t running() const
    {
        return m_running.size();
    }

private:
    struct QueuePosition {
        unsigned rank = 0; ///< lower first
        TimePoint goal;
        AdmissionId id = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted <=> for a null pointer
        auto operator<=>(const QueuePosition &) const = default;
    };
    struct Waiting {
        AdmissionRequest request;
        bool late = false; ///< its goal cannot be met any more
        TimePoint expiresAt; ///< refused when it has not started by then
    };
    struct Share {
        double offered = 0; ///< requests, decaying
        double started = 0; ///< requests, decaying
    };

    unsigned rankOf(const AdmissionRequest &request, bool late) const;
    bool isStarved(const std::string &kind) const;
    bool meetsGoal(TimePoint now, const AdmissionRequest &request, Duration wait) const;
    bool meetsDeadline(TimePoint now, const AdmissionRequest &request, Duration wait) const;
    Duration estimatedWait(std::size_t ahead) const; ///< expiresAt a request with so many before it starts
    std::size_t countAhead(const QueuePosition &position) const;
    milliseconds retryAfter() const;
    AdmissionVerdict refusal(Reason reason) const;
    void start(const AdmissionRequest &request);
    void noteOffered(const std::string &kind);
    void noteStarted(const std::string &kind);
    void startNext(TimePoint now, QueueChanges &changes);
    TimePoint queueDeadline(TimePoint now, const AdmissionRequest &request, bool late) const;
    void refuseExpired(TimePoint now, QueueChanges &changes);

    AdmissionQueueSettings m_settings;
    ServiceTimes m_times;
    std::unordered_map<AdmissionId, std::string> m_running; ///< kind by id
    std::map<QueuePosition, Waiting> m_waiting;
    std::unordered_map<AdmissionId, QueuePosition> m_positions;
    std::size_t m_lateWaiting = 0;
    std::unordered_map<std::string, Share> m_shares; ///< by kind
    unsigned m_consecutiveRejections = 0;
    double m_limit; ///< slots in use at most; below the stated ones while the target turns work away
};

} // namespace Fescuenotch
