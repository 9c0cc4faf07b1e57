// Admission control at the exit node: decides which requests a target runs now, which wait, and which are refused.
//
// Only the exit node sends requests to its target, so the slots in use, the queue and the service times are known exactly.
// A request starts when a slot is free and the rate limit that the target states, if any, allows it. The same rules decide how long
// it may wait for either.
// During an overload of several seconds (bursts, loss of a data centre, slow targets), a queue that admits every request
// makes every response late. So a request waits only while it can still meet its latency goal and is refused as soon as it
// cannot: there is then still time for another target or for a retry.
//
// How long it may wait follows from its rank. While requests of lower priority run or wait at the target, it may use all the time that
// its goal leaves, since these go after it; else only a part of it. A request of the highest priority may even wait beyond its goal then,
// up to half of the time that its deadline leaves: refusing it would give the next free slot to less important work. Operators give this
// priority to the calls of running requests, whose goals are short and whose refusal wastes the work that their caller has already done.
//
// Order: priority, then requests that can meet their goal, then the earlier goal. Only a few requests that will miss their
// goal may wait, for a short time. A kind of request that was served much less than the others for a while goes ahead of all
// but the highest priority until it has caught up, so that none starves.
//
// Usage: `offer` each request, call `finished` when it ends, and `tick` at `nextTick`. Not thread-safe; owned by one loop.
#pragma once

#include "kernel/clock.h"
#include "mesh/fadingshare.h"
#include "mesh/requestrate.h"
#include "request/types.h"

#include <cstdint>
#include <limits>
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
    std::string kind; ///< name of the route; service times are measured per kind
    unsigned priority = 0; ///< 0 is the highest
    TimePoint goal; ///< latency goal: a response by then is worth most
    TimePoint deadline; ///< a response after this is useless
    bool bodyComplete = true; ///< false: its caller is still sending it, see AdmissionQueue::onSentCompletely
};

/// Load report of an exit node about its target, sent with responses and heartbeats.
struct TargetReport {
    unsigned running = 0; ///< requests
    unsigned limit = 0; ///< requests that may run at once; 0: unknown
    unsigned waiting = 0; ///< requests
    microseconds meanServiceTime{0}; ///< us; recent mean over all kinds without outliers, at least what the running requests already show; 0: unknown
    milliseconds uplinkDelay{0}; ///< ms; time the host's link needs for the large responses queued on it
    microseconds uplinkTimePerKib{0}; ///< us; time the host's link needs per KiB of a large response
    double failureRate = 0; ///< 0 to 1; recent share of requests that the target failed
    bool leaving = false; ///< the exit node or the target stops, or the target is down: no new requests may be sent
    std::optional<double> requestRate; ///< requests per second that the target accepts from all nodes; none: not limited
    milliseconds rateDelay{0}; ///< ms; until that rate allows a request that comes after the waiting ones
    bool operator==(const TargetReport &) const = default;
};

struct AdmissionQueueSettings {
    unsigned slots = 1; ///< requests that may run at once, as stated by the target
    double maxWaitShareOfGoal = 0.25; ///< longest admitted wait among equals, as a share of (time to the goal - mean service time)
    milliseconds minRetryAfter{50}; ///< ms; lower bound of the retry delay given with a refusal
    milliseconds maxRetryAfterRejection{1'000}; ///< ms; upper bound of the retry delay while the target rejects all it gets
    unsigned maxLateWaiting = 4; ///< requests that will miss their goal and may still wait
    double starvationRatio = 0.5; ///< a kind goes first while its ratio of started to offered requests is below this share of the ratio over all kinds
};

struct AdmissionVerdict {
    enum class Kind { Start, Wait, Refuse } kind = Kind::Refuse;
    Reason reason = Reason::None; ///< only for Refuse
    milliseconds retryAfter{0}; ///< ms; only for Refuse
};

/// Waiting requests that were started or refused by an event.
struct QueueChanges {
    std::vector<AdmissionId> started;
    std::vector<std::pair<AdmissionId, AdmissionVerdict>> refused;
};

/// Moving average of the service time for each kind of request at one target. The weight of what was measured before fades with time, so
/// that after a pause a few answers replace it: a target that was slow and then got no work is known again at once.
class ServiceTimes
{
public:
    void add(TimePoint now, const std::string &kind, Duration service);
    Duration of(const std::string &kind) const; ///< for an unknown kind the mean over all kinds; 0 without any sample
    TimePoint measuredAt(const std::string &kind) const; ///< newest sample behind `of`
    Duration mean() const;
    /// Mean over all kinds in which a sample counts at most three times the mean of its kind: steadier than `mean`, for comparing targets.
    /// A few requests of any kind take far longer than the others and say nothing about the target.
    Duration typical() const;
    void reset();

private:
    struct Mean {
        double value = 0; ///< s
        double samples = 0; ///< fading with time
        TimePoint at; ///< of the newest sample
        void add(TimePoint now, double sample);
    };

    std::unordered_map<std::string, Mean> m_meanByKind;
    Mean m_mean;
    Mean m_typical;
};

class AdmissionQueue
{
public:
    explicit AdmissionQueue(const AdmissionQueueSettings &settings);
    AdmissionVerdict offer(TimePoint now, const AdmissionRequest &request);
    /// A started request ended. Pass `service` as zero when its time is not representative, for example after a rejection.
    QueueChanges finished(TimePoint now, AdmissionId id, Duration service);
    /// The entry node cancelled a waiting request.
    QueueChanges cancel(TimePoint now, AdmissionId id);
    /// The entry node gives a waiting request less time; does nothing for other requests and later deadlines.
    QueueChanges shortenDeadline(TimePoint now, AdmissionId id, TimePoint deadline);
    /// Refuses all waiting requests.
    QueueChanges refuseWaiting(Reason reason);
    /// Refuses waiting requests that can no longer be served in time.
    QueueChanges tick(TimePoint now);
    TimePoint nextTick() const; ///< TimePoint::max() when no request waits
    /// The target rejected a request. Several rejections in a row mean that its capacity is below the stated slots, so the
    /// limit is reduced; it grows back with each started request.
    void onRejected(TimePoint now);
    /// For the caller of a request that the target rejected: the expected time until a slot is free, divided by the share of requests that
    /// the target accepts. A target that rejects some requests at random, with slots free, may accept the next one.
    milliseconds retryAfterRejection(TimePoint now) const;
    QueueChanges resize(TimePoint now, unsigned slots);
    /// The rate limit in force, in requests per second; none: not limited. `limitedBy` is the reason of refusals that it causes.
    QueueChanges setRequestRate(TimePoint now, std::optional<double> perSecond, Reason limitedBy = Reason::TargetLimit);
    /// The same for a rate that only limits further: takes effect at once and starts nothing.
    void limitRequestRate(TimePoint now, double perSecond, Reason limitedBy);
    /// What reached the target before is not known, or reached another process: the rate limit starts without a burst.
    void restartRequestRate(TimePoint now);
    /// The target has all of a running request whose body was not complete at its start. Until then its time says nothing about the target.
    void onSentCompletely(TimePoint now, AdmissionId id);
    /// A running request was sent to the target once more, or a health probe.
    void onResent(TimePoint now);
    /// Requests that the target may get at once without hanging, see mesh/hangdetector.h.
    QueueChanges setHangLimit(TimePoint now, unsigned limit);
    void onTargetRestarted(); ///< discards service times and the reduced limit, since a new process runs at the target's address
    TargetReport report(TimePoint now) const; ///< slots, queue, service times and rate only; the dispatcher that owns the queue fills in the rest
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
        bool late = false; ///< will miss its goal, and its priority is not the highest
        TimePoint expiresAt; ///< refused if not started by then
    };
    struct RunningRequest {
        std::string kind;
        unsigned priority = 0;
        TimePoint startedAt; ///< or when it was sent completely, if that was later
        bool bodyComplete = true;
    };
    struct Share {
        double offered = 0; ///< requests, decaying
        double started = 0; ///< requests, decaying
    };

    unsigned rankOf(const AdmissionRequest &request, bool late) const;
    bool isStarved(const std::string &kind) const;
    bool meetsGoal(TimePoint now, const AdmissionRequest &request, Duration wait) const;
    double maxWaitShare(const AdmissionRequest &request) const; ///< of the time that its goal leaves
    bool meetsDeadline(TimePoint now, const AdmissionRequest &request, Duration wait) const;
    bool hasHighestPriorityAmongLower(const AdmissionRequest &request) const;
    bool mayWaitPastGoal(TimePoint now, const AdmissionRequest &request, Duration wait) const;
    TimePoint latestStartPastGoal(TimePoint now,
                                  const AdmissionRequest &request) const; ///< a request of the highest priority is refused if not started by then
    void forgetPriority(unsigned priority);
    /// The service time of the request's kind is being measured, or was within the time that this request has left. One that is older may be
    /// long past, so a request is started although that time exceeds its deadline: refusals would never correct it.
    bool isServiceTimeCurrent(TimePoint now, const AdmissionRequest &request) const;
    bool mayStart(TimePoint now) const; ///< a slot is free and the rate allows a request
    Duration slotWait(std::size_t ahead) const; ///< until a slot is free for a request with this many ahead of it
    double reportedServiceTime(TimePoint now) const; ///< in seconds
    Duration estimatedWait(TimePoint now, std::size_t ahead) const; ///< until a request with this many ahead of it starts
    std::size_t countAhead(const QueuePosition &position) const;
    milliseconds retryAfter(TimePoint now) const;
    /// Gives the reason of the rate limit instead of a reason of waiting if the rate limit takes longer than the slots.
    AdmissionVerdict refusal(TimePoint now, Reason reason) const;
    void start(TimePoint now, const AdmissionRequest &request);
    void noteOffered(const std::string &kind);
    void noteStarted(const std::string &kind);
    void startNext(TimePoint now, QueueChanges &changes);
    TimePoint queueDeadline(TimePoint now, const AdmissionRequest &request, bool late) const;
    void refuseExpired(TimePoint now, QueueChanges &changes);

    AdmissionQueueSettings m_settings;
    ServiceTimes m_times;
    RateLimiter m_rate;
    Reason m_rateReason = Reason::TargetLimit; ///< of refusals that the rate limit causes
    std::unordered_map<AdmissionId, RunningRequest> m_running; ///< by id
    std::map<unsigned, std::size_t> m_priorities; ///< number of running and waiting requests by priority; without zeros
    std::map<QueuePosition, Waiting> m_waiting;
    std::unordered_map<AdmissionId, QueuePosition> m_positions;
    std::size_t m_lateWaiting = 0;
    std::unordered_map<std::string, Share> m_shares; ///< by kind
    unsigned m_consecutiveRejections = 0;
    FadingShare m_rejections; ///< of the requests that the target got
    unsigned m_hangLimit = std::numeric_limits<unsigned>::max(); ///< requests
    double m_limit; ///< effective slots; below the stated ones after rejections
};

} // namespace Fescuenotch
