// Keeps a node's view of the platform current by what its peers tell, and decides whether the node itself watches the
// store.
//
// Every pulse of a peer carries the version of its configuration and a digest of its targets. A node that lacks
// something asks one of them (mesh/newsquestions.h) and gets the difference. One node of each data centre watches the
// store (mesh/readerduty.h); a change reaches the others within a pulse and a question. A node that starts while the store is away learns all from
// the first peer that links to it.
//
// How to use: hand it what links say; `tick` often; `shouldWatch` tells the store's client what to do.
#pragma once

#include "adapter/adapter.h"
#include "forward/peerlinks.h"
#include "forward/statecodec.h"
#include "loop/worker.h"
#include "mesh/newsquestions.h"
#include "mesh/readerduty.h"

#include <deque>

namespace Fescuenotch {

/// The node that the state belongs to.
class StateOwner
{
public:
    virtual ~StateOwner() = default;
    virtual RoutingTablePtr tableInForce() const = 0; ///< null: none
    virtual void applyTable(const RoutingTablePtr &table, const std::string &source) = 0;
    /// `isWhole`: the news are all that the peer has, as of `revision`.
    virtual void applyTargetNews(const std::vector<TargetNews> &news, std::uint64_t revision, bool isWhole, const std::string &source) = 0;
    virtual std::uint64_t storeRevision() const = 0;
    virtual bool hasTargets() const = 0;
};

class StateExchange
{
public:
    StateExchange(Worker &worker, const DeploymentSettings &settings, const TargetTable &targets, StateOwner &owner, MetricsRegistry &metrics);

    void setLinks(PeerLinks &links)
    {
        m_links = &links;
    }
    /// A configuration is in force; it may be the base of differences for a while.
    void onTableInForce(const RoutingTablePtr &table);
    void onHeartbeat(TimePoint now, const Endpoint &peer, const LinkHeartbeat &heartbeat);
    void onLinkLost(const Endpoint &peer);
    /// What to ask a node that has just linked to this one; empty: nothing.
    std::string initialStateRequest(TimePoint now, const LinkIdentity &peer);
    /// Asks a linked node if this one still knows nothing and no question is open.
    void tick(TimePoint now);
    std::string onRequest(const MeshWire::StateRequest &request);
    void onNews(const MeshWire::StateNews &news);
    /// Whether this node watches the store.
    bool shouldWatch(TimePoint now);

private:
    StateVersions ownVersions() const;
    bool lacksInitialState() const; ///< has no configuration or no targets yet
    const CompressedConfiguration &compressedSince(std::uint64_t version);
    void decodeConfiguration(const MeshWire::StateNews &news);

    Worker &m_worker;
    const DeploymentSettings &m_settings;
    const TargetTable &m_targets;
    StateOwner &m_owner;
    PeerLinks *m_links = nullptr;
    ReaderDuty m_duty;
    std::deque<RoutingTablePtr> m_recentTables; ///< configurations that were in force, newest first
    std::map<std::uint64_t, CompressedConfiguration> m_compressed; ///< of the newest, by the version that it is a difference from
    NewsQuestions m_questions;
    std::uint64_t m_requestedDigest = 0; ///< of the peer that was asked last
    bool m_decoding = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    Counter &m_requestsSent;
    Counter &m_answersSent;
    Counter &m_answerBytesSent;
};

} // namespace Fescuenotch
