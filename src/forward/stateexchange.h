// Keeps a node's copy of the platform's state current through its peers, and decides whether the node itself watches the
// store.
//
// Every heartbeat of a peer carries the version of its configuration and a digest of its targets. A node that lacks
// something sends a state request to one of these peers (mesh/staterequestscheduler.h) and gets the difference. One node of
// each data centre watches the store (mesh/storewatcherselection.h); a change reaches the other nodes within one heartbeat
// and one request. A node that starts while the store is unavailable gets the complete state from the first peer that links
// to it.
//
// How to use: pass the events of PeerLinks to it and call `tick` periodically. `shouldWatch` tells whether the store
// client of this node is to watch the store.
#pragma once

#include "adapter/adapter.h"
#include "forward/peerlinks.h"
#include "forward/statecodec.h"
#include "loop/worker.h"
#include "mesh/staterequestscheduler.h"
#include "mesh/storewatcherselection.h"

#include <deque>
#include <optional>

namespace Fescuenotch {

/// The node whose state is exchanged.
class StateOwner
{
public:
    virtual ~StateOwner() = default;
    virtual RoutingTablePtr tableInForce() const = 0; ///< null: none
    /// `source` names where the data came from, for the log.
    virtual void applyTable(const RoutingTablePtr &table, const std::string &source) = 0;
    /// `allTargets`: `updates` is the complete list of targets as of `position`, not only the changes.
    virtual void applyTargetUpdates(const std::vector<TargetUpdate> &updates, StorePosition position, bool allTargets, const std::string &source) = 0;
    /// A peer lists the same targets as of `position`.
    virtual void onSameTargets(StorePosition position, const std::string &source) = 0;
    virtual StorePosition storePosition() const = 0; ///< the list of targets includes every change up to here
    virtual bool hasEraRisen() const = 0; ///< the store came back from an older copy while this node ran
    virtual bool hasTargets() const = 0;
    virtual const Evacuations *evacuations() const = 0; ///< null: this deployment does not use them
    /// `updates`: all that a peer knows. Returns whether anything was new.
    virtual bool applyEvacuations(const std::vector<EvacuationUpdate> &updates, StorePosition position, const std::string &source) = 0;
};

/// Requests missing state from peers, answers their requests, and decides whether this node watches the store.
class StateExchange
{
public:
    StateExchange(Worker &worker, const DeploymentSettings &settings, const TargetTable &targets, StateOwner &owner, MetricsRegistry &metrics);

    /// Must be called before `onHeartbeat` and `tick`.
    void setLinks(PeerLinks &links)
    {
        m_links = &links;
    }
    /// Call when a configuration comes into force. It is kept for a while as a base of differences for peers.
    void onTableInForce(const RoutingTablePtr &table);
    void onHeartbeat(TimePoint now, const Endpoint &peer, const LinkHeartbeat &heartbeat);
    void onLinkLost(const Endpoint &peer);
    /// State request frame for a node that has just opened a link to this one; empty: none needed.
    std::string initialStateRequest(TimePoint now, const LinkIdentity &peer);
    /// Sends a request to a linked node if this node still lacks its initial state and no request is pending.
    void tick(TimePoint now);
    /// Returns the reply frame.
    std::string onRequest(const MeshWire::StateRequest &request);
    void onNews(const MeshWire::StateNews &news);
    /// Whether this node is to watch the store. A node that knows no targets does, since it knows no peers. A node without
    /// a complete list of targets or a configuration leaves it to the watching node of its data centre, unless peers that have one do not deliver it in time.
    bool shouldWatch(TimePoint now);

private:
    StateVersions ownVersions() const;
    bool lacksInitialState() const; ///< no configuration or no targets yet
    bool lacksEvacuations() const; ///< the deployment uses them, and they are not known yet
    /// Whether a peer's evacuations differ and may be newer.
    bool mayHaveNewEvacuations(TimePoint now, const LinkHeartbeat &heartbeat) const;
    void applyEvacuations(const MeshWire::StateNews &news);
    bool isConfigurationOverdue(TimePoint now) const;
    /// The configuration in force as the difference from `version`, or complete if that version is not kept any more.
    const CompressedConfiguration &compressedSince(std::uint64_t version);
    /// Nodes of the build before state no era. Until the era rises, theirs is the current one.
    StorePosition withEra(StorePosition position) const;
    void decodeConfiguration(const MeshWire::StateNews &news);

    Worker &m_worker;
    const DeploymentSettings &m_settings;
    const TargetTable &m_targets;
    StateOwner &m_owner;
    PeerLinks *m_links = nullptr;
    StoreWatcherSelection m_watcherSelection;
    std::deque<RoutingTablePtr> m_recentTables; ///< the configuration in force and those before it, newest first
    std::map<std::uint64_t, CompressedConfiguration> m_compressed; ///< the newest configuration, by the version of its base; 0: complete
    StateRequestScheduler m_requestScheduler;
    std::uint64_t m_requestedDigest = 0; ///< digest of targets for which the last request was sent; 0: the request was not for targets
    std::uint64_t m_requestedEvacuations = 0; ///< digest of evacuations for which the last request was sent; 0: it was not for them
    std::uint64_t m_oldEvacuations = 0; ///< digest of a peer's evacuations that brought nothing new; 0: none
    TimePoint m_ignoreOldEvacuationsUntil = TimePoint::min(); ///< until then peers with that digest are not asked
    std::optional<TimePoint> m_lacksEvacuationsSince; ///< since when this node has targets, but does not know the evacuations
    std::optional<TimePoint> m_offeredSince; ///< since when a peer has a configuration while this node has none
    bool m_decoding = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Counter &m_requestsSent;
    Counter &m_answersSent;
    Counter &m_answerBytesSent;
};

} // namespace Fescuenotch
