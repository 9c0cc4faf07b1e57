// The exit node's side: admits requests to the target on this host, runs them and passes the answers on.
//
// How to use: `setTarget` whenever the target's entry changes; `open` (from this node's own callers or a peer link);
// `beginLeaving` at SIGTERM. `report` is what peers are told.
//
// Outcomes: `Ran` with the target's own answer; `NotRun` only with proof (still in the queue, no connection, or the
// target's own word); `Unknown` for the rest. Each request is sent to the target once, but for one case: a repeatable
// request on a connection that the target had dropped while it rested is sent again on a new one.
#pragma once

#include "forward/targetconnection.h"
#include "kernel/metrics.h"
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
    /// The target's entry; null when none is listed at this host's address.
    void setTarget(const TargetRecord *target);
    void beginLeaving();
    /// One line on why requests wait or are refused here, if any did since the last one.
    void logLoad();
    TargetReport report() const;
    /// Large answers leave through this; `backlog` are the bytes of them that wait for the link.
    void setUplink(const UplinkPacer &pacer, std::function<std::size_t()> backlog);
    const std::string &targetId() const
    {
        return m_targetId;
    }
    std::size_t inFlight() const
    {
        return m_requests.size();
    }

private:
    class ActiveRequest;
    class Stream;
    friend class ActiveRequest;
    friend class Stream;

    /// Why a request cannot even be queued; Reason::None when it can.
    Duration uplinkWait() const;
    Duration answerTransferTime(const ForwardRequest &request) const;
    void recordAnswerSize(const std::string &route, std::size_t bytes);
    Reason refusalReason(const ForwardRequest &request) const;
    void apply(const QueueChanges &changes);
    void startRequest(WorkId id);
    void refuse(WorkId id, const AdmissionVerdict &verdict);
    void removeRequest(WorkId id, Outcome outcome);
    void releaseSlot(WorkId id, Duration service);
    void recordResult(bool failed);
    void scheduleTick();
    std::unique_ptr<TargetConnection> acquireConnection(const ForwardRequest &request);
    std::unique_ptr<TargetConnection> newConnection();
    void releaseConnection(std::unique_ptr<TargetConnection> connection);
    void removeIdleConnection(TargetConnection &connection);
    void onStaleConnection(Duration idle);
    std::string buildRequestHead(const ForwardRequest &request, TimePoint now) const;

    EventLoop &m_loop;
    const DeploymentSettings &m_settings;
    const PlatformAdapter &m_adapter;
    SlotQueue m_queue;
    std::string m_targetId; ///< empty: none known
    std::string m_wrongHostTargetId; ///< lifetime that the target said it is not
    bool m_targetDraining = false; ///< its entry says draining, or is gone
    bool m_leaving = false;
    TimePoint m_connectBackoffUntil = TimePoint::min(); ///< the target took no connection
    unsigned m_refusedSinceLog = 0;
    double m_failedShare = 0;
    const UplinkPacer *m_uplink = nullptr;
    std::function<std::size_t()> m_uplinkBacklog;
    std::unordered_map<std::string, double> m_meanAnswerBytes; ///< mean by route
    WorkId m_nextId = 1;
    std::unordered_map<WorkId, std::unique_ptr<ActiveRequest>> m_requests;
    std::list<std::unique_ptr<TargetConnection>> m_idleConnections; ///< most recently used first
    Duration m_idleLimit; ///< a connection that rested longer is not used again; learnt
    TimePoint m_idleLimitLearntAt = TimePoint::min();
    ScopedTimer m_tickTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    Counter &m_connections;
    Counter &m_staleConnections;
    Counter &m_cancelled;
    std::unordered_map<int, Counter *> m_refusals; ///< by Reason
    std::unordered_map<int, Counter *> m_outcomes; ///< by Outcome
    LatencyHistogram &m_serviceTime;
    LatencyHistogram &m_waitTime;
};

} // namespace Fescuenotch
