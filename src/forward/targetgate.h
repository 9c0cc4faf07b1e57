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

class TargetGate final : public Forwarder
{
public:
    TargetGate(EventLoop &loop, const DeploymentSettings &settings, const PlatformAdapter &adapter, MetricsRegistry &metrics);
    ~TargetGate() override;

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
        return m_works.size();
    }

private:
    class Work;
    class Stream;
    friend class Work;
    friend class Stream;

    /// Why a request cannot even be queued; Reason::None when it can.
    Duration uplinkDelay() const;
    Duration transferTime(const ForwardRequest &request) const;
    void noteAnswerSize(const std::string &route, std::size_t bytes);
    Reason obstacleTo(const ForwardRequest &request) const;
    void apply(const QueueChanges &changes);
    void startWork(AdmissionId id);
    void refuse(AdmissionId id, const AdmissionVerdict &verdict);
    void removeWork(AdmissionId id, Outcome outcome);
    void freeSlot(AdmissionId id, Duration service);
    void noteResult(bool failed);
    void scheduleTick();
    std::unique_ptr<TargetConnection> takeConnection(const ForwardRequest &request);
    std::unique_ptr<TargetConnection> newConnection();
    void keepConnection(std::unique_ptr<TargetConnection> connection);
    void dropIdle(TargetConnection &connection);
    void noteStale(Duration idle);
    std::string headFor(const ForwardRequest &request, TimePoint now) const;

    EventLoop &m_loop;
    const DeploymentSettings &m_settings;
    const PlatformAdapter &m_adapter;
    AdmissionQueue m_queue;
    std::string m_targetId; ///< empty: none known
    std::string m_absentId; ///< lifetime that the target said it is not
    bool m_targetLeaves = false; ///< its entry says draining, or is gone
    bool m_leaving = false;
    TimePoint m_downUntil = TimePoint::min(); ///< the target took no connection
    unsigned m_refusedSinceReport = 0;
    double m_failedShare = 0;
    const UplinkPacer *m_uplink = nullptr;
    std::function<std::size_t()> m_uplinkBacklog;
    std::unordered_map<std::string, double> m_answerBytes; ///< mean by route
    AdmissionId m_nextWork = 1;
    std::unordered_map<AdmissionId, std::unique_ptr<Work>> m_works;
    std::list<std::unique_ptr<TargetConnection>> m_idle; ///< most recently used first
    Duration m_idleLimit; ///< a connection that rested longer is not used again; learnt
    TimePoint m_idleLimitLearnt = TimePoint::min();
    ScopedTimer m_tick;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    Counter &m_connections;
    Counter &m_staleConnections;
    Counter &m_cancelled;
    std::unordered_map<int, Counter *> m_refusals; ///< by Reason
    std::unordered_map<int, Counter *> m_ends; ///< by Outcome
    LatencyHistogram &m_serviceTime;
    LatencyHistogram &m_waitTime;
};

} // namespace Fescuenotch
