// Exit node: queues requests for the target on this host, dispatches them within its slots, and forwards the answers.
//
// How to use: call `setTarget` whenever the target's entry changes, `open` for each request (from this node's own
// callers or from a peer link), and `beginLeaving` at SIGTERM. `report` returns the load that peers are told.
//
// Outcomes: `Ran` with the answer of the target. `NotRun` only with proof: the request was still queued, there was no
// connection, or the target itself stated it. `Unknown` in all other cases.
//
// Retries: a request is sent to the target once, with one exception. If a connection that had been idle for a while breaks
// before a valid head of the answer, the target is taken to have closed it for being idle: an idempotent request whose body
// was complete from the start is then sent again on a new connection, once.
//
// Cold targets (mesh/coldstart.h): for a service with a cold rate, the lower of that rate and the target's stated rate is in force while
// the target is cold. Health probes use a connection of their own, and count against the rate.
#pragma once

#include "forward/targetconnection.h"
#include "forward/targetprobes.h"
#include "kernel/metrics.h"
#include "mesh/coldstart.h"
#include "mesh/crashsuspects.h"
#include "mesh/fadingshare.h"
#include "mesh/hangdetector.h"
#include "mesh/requestrate.h"
#include "mesh/uplinkpacer.h"

#include <list>
#include <unordered_map>

namespace Fescuenotch {

class TargetDispatcher final : public Forwarder
{
public:
    TargetDispatcher(EventLoop &loop, const DeploymentSettings &settings, const PlatformAdapter &adapter, MetricsRegistry &metrics);
    ~TargetDispatcher() override;

    std::unique_ptr<ForwardStream> open(ForwardRequest request, ForwardListener &listener) override;
    /// Applies the target's entry in the list of targets; null if no target is listed at this host's address.
    void setTarget(const TargetRecord *target);
    /// While the target's data centre is evacuated, new and queued requests are refused; running ones go on.
    void setEvacuated(bool evacuated);
    bool isEvacuated() const
    {
        return m_evacuated;
    }
    /// Refuses new requests from now on; running and queued ones go on, until `latestDeadline` at most.
    void beginLeaving(TimePoint latestDeadline);
    /// Logs the load of the target if requests are waiting, or were refused since the last line.
    void logLoad();
    TargetReport report() const;
    /// The configuration of the target's service; null if there is none.
    void setService(const MeshService *service);
    /// Treats the target as cold until a health probe or its entry says otherwise. Does nothing for services without a cold rate.
    void checkColdness();
    /// Whether the first health probe after the start of this node is not answered yet; false after half a second.
    bool awaitsFirstHealthAnswer() const
    {
        return m_cold.awaitsFirstAnswer(m_loop.turnTime());
    }
    /// `backlog` returns the bytes of large answers queued for the host's link. Without this call transfer times are zero.
    void setUplink(const UplinkPacer &pacer, std::function<std::size_t()> backlog);
    /// `onCrash` gets the requests that ran when the target ended, `onAnswered` that of each request that
    /// the target answered.
    void setCrashEvents(std::function<void(const std::vector<CrashSuspect> &)> onCrash, std::function<void(Fingerprint)> onAnswered);
    /// Counts what is held of the target's answers in `budget`, and refuses requests of peers whose answers do not fit.
    void setMemoryBudget(MemoryBudget &budget)
    {
        m_memory = &budget;
    }
    const std::string &targetId() const
    {
        return m_targetId;
    }
    /// Requests running or queued.
    std::size_t inFlight() const
    {
        return m_requests.size();
    }

private:
    class ActiveRequest;
    class Stream;
    friend class ActiveRequest;
    friend class Stream;

    /// Time that the host's link needs for the large answers that are queued for it, and for those that running and queued
    /// requests of peers are expected to get.
    Duration uplinkDelay() const;
    /// Time that the expected answer to `request` needs after the target's work: what is left of `uplinkDelay` then, plus its own transfer.
    /// Zero for small answers and for own callers.
    Duration answerTransferTime(const ForwardRequest &request) const;
    std::size_t streamWindow() const; ///< bytes of an answer that may be unread by the entry side
    bool fitsInMemory(const ForwardRequest &request) const;
    void recordAnswerSize(const std::string &route, std::size_t bytes);
    /// Why a request cannot be queued; Reason::None if it can.
    Reason refusalReason(const ForwardRequest &request) const;
    void apply(const QueueChanges &changes);
    void startRequest(AdmissionId id);
    void shortenDeadline(AdmissionId id, TimePoint deadline);
    void refuse(AdmissionId id, const AdmissionVerdict &verdict);
    void removeRequest(AdmissionId id, Outcome outcome);
    /// `serviceTime` is zero if it is not representative, for example after a rejection.
    void releaseSlot(AdmissionId id, Duration serviceTime);
    void recordResult(bool failed);
    void readLeaving(const ForwardRequest &request, const Headers &headers);
    /// Checks, once for all requests that break at about the same time, whether the target has ended.
    void onBroken(const CrashSuspect &request);
    void beginCrashCheck();
    void endCrashCheck(bool reachable);
    bool hasConnectionFromBefore(TimePoint time) const;
    bool isNewLifetime(const TargetRecord &target) const;
    /// Reads the rate limit in the answer to a request sent at `sentAt`.
    void readRequestRate(const ForwardRequest &request, TimePoint sentAt, const Headers &headers);
    void onUnreadableRate(const ForwardRequest &request, std::size_t headerLines, std::size_t characters);
    void applyRequestRate(); ///< at the end of the turn
    std::optional<double> coldRate() const;
    std::optional<double> rateInForce() const; ///< requests per second; the lower of the stated and the cold rate
    Reason rateReason() const; ///< of refusals that this rate causes
    /// Call it after each event of m_cold: applies and logs its rate, and sends a probe if one is due.
    void updateColdness();
    void logColdness(std::optional<double> rate);
    void onTargetLost();
    /// `serviceTime` is zero if it is not representative.
    void onColdnessAnswer(const std::string &route, Duration serviceTime);
    void sendHealthProbe();
    void endHealthProbe(const HealthAnswer &answer);
    void logRequestRate(const ForwardRequest &request, std::optional<double> before);
    void scheduleTick();
    /// A request was sent completely: from now on the target may hang.
    void onSent(const SentRequest &request);
    void checkHangs(TimePoint now);
    void onHung(const HangVerdict &verdict);
    void scheduleHangCheck();
    /// Deferred, since it may start requests and this may be called while one ends.
    void applyHangLimit();
    std::unique_ptr<TargetConnection> acquireConnection(const ForwardRequest &request);
    std::unique_ptr<TargetConnection> newConnection();
    void releaseConnection(std::unique_ptr<TargetConnection> connection);
    void removeIdleConnection(TargetConnection &connection);
    /// Lowers the idle limit below `idle`.
    void onStaleConnection(Duration idle);
    std::string buildRequestHead(const ForwardRequest &request, TimePoint now) const;

    EventLoop &m_loop;
    const DeploymentSettings &m_settings;
    const PlatformAdapter &m_adapter;
    AdmissionQueue m_queue;
    std::string m_targetId; ///< empty: none known
    std::string m_wrongHostTargetId; ///< target id that the target rejected as not its own
    std::int64_t m_targetStartedAtMs = 0; ///< ms since the Unix epoch; of the lifetime of m_targetId
    bool m_targetDraining = false; ///< its entry says draining, or was removed
    bool m_targetLeaving = false; ///< it said so in an answer; holds for its lifetime, whatever the store says
    bool m_leaving = false;
    bool m_evacuated = false;
    TimePoint m_connectBackoffUntil = TimePoint::min(); ///< after a failed connection attempt
    unsigned m_refusedSinceLog = 0;
    FadingShare m_failures;
    const UplinkPacer *m_uplink = nullptr;
    MemoryBudget *m_memory = nullptr;
    std::function<std::size_t()> m_uplinkBacklog;
    std::function<void(const std::vector<CrashSuspect> &)> m_onCrash;
    std::function<void(Fingerprint)> m_onAnswered;
    std::vector<CrashSuspect> m_broken; ///< of requests that broke since the crash check began
    TimePoint m_brokenAt; ///< when the first of them broke
    std::unique_ptr<ConnectCheck> m_crashCheck; ///< while one is under way
    ScopedTimer m_crashCheckTimer;
    HangDetector m_hangs;
    ScopedTimer m_hangTimer;
    StatedRate m_statedRate;
    ColdStart m_cold;
    std::string m_healthPath; ///< of the target's service; empty: none
    std::optional<double> m_coldRateLogged; ///< as of the last line target_cold
    std::unique_ptr<HealthProbe> m_healthProbe; ///< while one is under way
    ScopedTimer m_coldTimer;
    TimePoint m_rateLoggedAt = TimePoint::min();
    bool m_unreadableRateLogged = false; ///< for this lifetime of the target
    std::unordered_map<std::string, double> m_meanAnswerBytes; ///< moving average by route
    AdmissionId m_nextId = 1;
    std::unordered_map<AdmissionId, std::unique_ptr<ActiveRequest>> m_requests;
    std::list<std::unique_ptr<TargetConnection>> m_idleConnections; ///< most recently used first
    Duration m_idleLimit; ///< connections that were idle longer are not reused; adapted to the target
    TimePoint m_idleLimitLearntAt = TimePoint::min(); ///< when the idle limit was last lowered
    ScopedTimer m_tickTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    Counter &m_connections;
    Counter &m_staleConnections;
    Counter &m_cancelled;
    Counter &m_sent;
    Counter &m_unreadableRates;
    Counter &m_crashes;
    Counter &m_coldDelayed;
    Counter &m_healthProbes;
    Counter &m_hungEnded;
    Counter &m_hungKept;
    std::unordered_map<int, Counter *> m_refusals; ///< by Reason
    std::unordered_map<int, Counter *> m_outcomes; ///< by Outcome
    LatencyHistogram &m_serviceTime;
    LatencyHistogram &m_waitTime;
};

} // namespace Fescuenotch
