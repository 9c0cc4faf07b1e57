// State that all requests of an entry node share: the configuration and the targets in force, the choice of a target, the
// retry budget and the metrics.
//
// How to use: the node calls `setTable` for each new configuration, `setNodeCount` when the number of nodes changes, and keeps
// `EntryDependencies::targets` current. Each EntryRequest holds a reference to the context and calls `openStream` for each
// attempt.
//
// Pitfalls:
// - Everything here runs on the event loop's thread.
// - The reference that `candidates` returns is valid until its next call.
#pragma once

#include "adapter/adapter.h"
#include "forward/peerlinks.h"
#include "forward/types.h"
#include "kernel/metrics.h"
#include "mesh/evacuations.h"
#include "mesh/loadbalancer.h"
#include "mesh/memorybudget.h"
#include "mesh/meshretrypolicy.h"
#include "mesh/requestage.h"
#include "mesh/routes.h"
#include "mesh/targets.h"

#include <set>

namespace Fescuenotch {

struct EntryDependencies {
    EventLoop *loop = nullptr;
    const DeploymentSettings *settings = nullptr;
    const PlatformAdapter *adapter = nullptr;
    MetricsRegistry *metrics = nullptr;
    const TargetTable *targets = nullptr;
    const Evacuations *evacuations = nullptr; ///< null: this deployment does not use them
    Forwarder *localForwarder = nullptr; ///< forwards to the target on this host, without a link
    PeerLinks *links = nullptr;
    CrashSuspects *crashSuspects = nullptr;
    MemoryBudget *memory = nullptr;
    std::uint64_t seed = 0;
};

class EntryRequestMetrics
{
public:
    explicit EntryRequestMetrics(MetricsRegistry &registry);
    void onAnswer(RouteKind kind, unsigned status, Duration duration);
    void onRefusal(Reason reason);
    void onNextStep(NextStep step, Reason reason);

    Counter &requests;
    Counter &callersDisconnected;
    Counter &brokenAnswers;

private:
    std::unordered_map<int, Counter *> m_refusals; ///< by Reason
    std::unordered_map<int, Counter *> m_retries; ///< by Reason
    std::unordered_map<int, Counter *> m_reassignments; ///< by Reason
    std::vector<Counter *> m_answers; ///< by status class
    std::vector<LatencyHistogram *> m_latencies; ///< by RouteKind
};

class EntryContext
{
public:
    explicit EntryContext(const EntryDependencies &dependencies);

    /// Null until the first configuration.
    const RoutingTablePtr &table() const
    {
        return m_table;
    }
    void setTable(RoutingTablePtr table);
    /// The targets of a service outside of evacuated data centres, cached until the targets or the evacuations change. None
    /// while the evacuations are not known.
    const std::vector<TargetRecord> &candidates(const std::string &service);
    /// Whether the service has targets, but all of them are in evacuated data centres.
    bool isEvacuated(const std::string &service);
    /// The candidates in a data centre, by id.
    std::vector<std::string> candidatesIn(const std::string &service, const std::string &dataCentre);
    /// Requests must be answered by this time, whatever their own deadlines: this node stops. Call it once, then
    /// EntryRequest::onNodeStops for each running request.
    void beginStopping(TimePoint latestDeadline)
    {
        m_latestDeadline = latestDeadline;
    }
    bool isStopping() const
    {
        return m_latestDeadline != TimePoint::max();
    }
    TimePoint latestDeadline() const ///< TimePoint::max() unless this node is stopping
    {
        return m_latestDeadline;
    }
    std::set<std::string> requestedServices() const; ///< services to which this node has sent requests
    /// Starts an attempt at `target`, directly if it is on this host, else over the link to its node.
    std::unique_ptr<ForwardStream> openStream(const TargetRecord &target, ForwardRequest request, ForwardListener &listener);
    Endpoint peerEndpoint(const TargetRecord &target) const; ///< of the node on the target's host
    bool isLocal(const TargetRecord &target) const;
    /// Whether a request may be sent although others like it may have crashed their targets: it is not quarantined, or a probe is due.
    /// The probe counts as sent.
    bool passesQuarantine(Fingerprint fingerprint);
    /// Number of nodes in the fleet. The retry budget of the settings is divided among them.
    void setNodeCount(std::size_t nodes);

    const EntryDependencies &dependencies() const
    {
        return m_dependencies;
    }
    EventLoop &loop() const
    {
        return *m_dependencies.loop;
    }
    TimePoint now() const
    {
        return m_dependencies.loop->turnTime();
    }

    LoadBalancer loadBalancer;
    TrafficSplit trafficSplit;
    RequestAgeEstimator requestAges;
    MeshRetryPolicy retryPolicy;
    EntryRequestMetrics metrics;

private:
    struct Candidates {
        std::uint64_t generation = 0;
        std::uint64_t evacuationsGeneration = 0;
        std::vector<TargetRecord> targets;
        std::size_t excluded = 0; ///< targets in evacuated data centres
    };

    Candidates &candidatesEntry(const std::string &service);

    EntryDependencies m_dependencies;
    void updateRetryBudget();
    std::vector<std::string> targetHosts() const; ///< of all listed targets

    RoutingTablePtr m_table;
    TimePoint m_latestDeadline = TimePoint::max();
    std::size_t m_nodes = 1; ///< in the fleet
    std::unordered_map<std::string, Candidates> m_candidates; ///< by service
};

} // namespace Fescuenotch
