// A node of the mesh on one host. Owns the event loop and all components on it: the server for callers, the links to peers,
// the dispatcher of the local target, the store client, the exchange of state with peers, and the pages.
//
// How to use: `start` reads the settings and binds the addresses; its errors are those of the settings and of the addresses.
// `run` serves until a stop that `beginStop` began is complete. `reload` and `beginStop` may be called from any thread.
//
// How the configuration and the targets arrive: usually one node of a data centre watches the store, and the others learn of
// changes from peers (see StoreWatcherSelection, StateExchange). A node reads the list of targets from the store itself, since it
// knows no peers before. With a configuration and a complete list of targets it is ready, unless it is stopping. Where the setting for
// evacuations is there, the evacuations must be known too (see Evacuations). If its service has a cold rate, the node first awaits the
// answer to its first health probe, for half a second at most (see ColdStart).
//
// How a stop proceeds, in the times of StopSchedule: the platform's health page and /readyz answer 503 at once, while requests that
// still arrive are served. Requests get the stop's latest deadline if theirs is later, also those in flight; exit nodes are told.
// When no request is in flight and none has arrived for `QuietPeriodBeforeExit`, or when the time to accept is over, the listening
// socket is closed and new requests are refused as "not-run". `run` ends when after that no request is in flight and none has
// arrived for `QuietPeriodBeforeExit`, in any case at the schedule's exit time.
//
// Pitfall: reloaded settings take effect where components read them at each use; bound addresses do not change.
#pragma once

#include "forward/callerhttpserver.h"
#include "forward/pageserver.h"
#include "forward/stateexchange.h"
#include "forward/storeclient.h"
#include "forward/targetdispatcher.h"
#include "mesh/evacuations.h"
#include "mesh/linkselection.h"
#include "mesh/stopschedule.h"

#include <sys/types.h>

#include <random>
#include <tuple>

namespace Fescuenotch {

struct MeshNodeOptions {
    std::optional<Endpoint> operatorListen; ///< additional address for the pages; they are always served at the platform's health address
};

class MeshNode final : public StoreEvents, public LinkEvents, public StateOwner
{
public:
    MeshNode(std::unique_ptr<PlatformAdapter> adapter, const MeshNodeOptions &options);
    ~MeshNode() override;

    Result<void> start();
    void run(); ///< blocks until the stop is complete
    void reload(); ///< reads the settings again; ignored during a stop
    void beginStop(); ///< serves what is in flight, then ends `run`; ignored during a stop

private:
    // Components, created once the settings are known.
    void createComponents();
    Result<void> listen();
    void addPages();
    bool isReady() const;
    std::string statusText() const;

    // Configuration.
    void onConfigurationItem(const StoreItem &item);
    void parseNextConfiguration();
    void onConfigurationParsed(std::uint64_t revision, const std::variant<RoutingTablePtr, Error> &parsed);

    // Targets.
    TargetUpdate decodeTargetItem(const StoreItem &item, std::uint64_t era);
    void logTargetChange(const TargetChange &change, const std::string &source);
    void applyListing(TimePoint now, const std::vector<TargetUpdate> &listing, StorePosition position, TimePoint removalsDeferredUntil);
    void applyStaleListing(TimePoint now, const std::vector<TargetUpdate> &listing);
    /// Takes over a position once the targets include its changes, and reports a new era.
    void advanceStorePosition(StorePosition position, bool allTargets, const std::string &source);
    void onTargetsChanged();
    void reportOwnTarget(); ///< to this node's own load balancer
    void prepareLinks(); ///< opens the links that LinkSelection wants, so that requests do not wait for them
    void updateSelectedPeers();

    // Evacuations of data centres.
    EvacuationUpdate evacuationUpdate(const StoreItem &item, std::uint64_t era);
    void applyEvacuationItems(const StoreUpdate &update);
    void onEvacuationChanges(const std::vector<EvacuationChange> &changes);
    void logEvacuationChange(const EvacuationChange &change) const;
    bool isKnownDataCentre(const std::string &dataCentre) const;
    void onEvacuationLifted(); ///< of the data centre of this node

    // Requests that crash their targets.
    void onTargetCrashed(const std::vector<CrashSuspect> &suspects);
    void onRequestAnswered(Fingerprint fingerprint);
    void applyCrashNews(const CrashNews &news, const std::string &source);

    // Memory.
    void addMemoryMetrics();
    Counter &droppedCounter(MemoryBudget::Holder holder) const;
    void enforceMemoryBudget();

    // Settings and stop.
    bool settingsFileChanged();
    void readChangedSettings();
    void checkStop(TimePoint now);

    void onStoreUpdate(StoreUpdate update) override;
    void onLinkUp(const Endpoint &peer) override;
    void onLinkLost(const Endpoint &peer, CloseCause cause) override;
    void onHeartbeat(const Endpoint &peer, const LinkHeartbeat &heartbeat) override;
    LinkHeartbeat ownHeartbeat(bool first) override;
    std::string initialStateRequest(const LinkIdentity &peer) override;
    void onStateNews(const MeshWire::StateNews &news) override;
    std::string onStateRequest(const MeshWire::StateRequest &request) override;

    RoutingTablePtr tableInForce() const override;
    void applyTable(const RoutingTablePtr &table, const std::string &source) override;
    void applyTargetUpdates(const std::vector<TargetUpdate> &updates, StorePosition position, bool allTargets, const std::string &source) override;
    void onSameTargets(StorePosition position, const std::string &source) override;
    StorePosition storePosition() const override;
    bool hasEraRisen() const override;
    bool hasTargets() const override;
    const Evacuations *evacuations() const override;
    bool applyEvacuations(const std::vector<EvacuationUpdate> &updates, StorePosition position, const std::string &source) override;
    void updateStoreWatch(TimePoint now);

    std::unique_ptr<PlatformAdapter> m_adapter;
    MeshNodeOptions m_options;
    DeploymentSettings m_settings;
    std::unique_ptr<MetricsRegistry> m_metrics;
    EventLoop m_loop;
    std::unique_ptr<Worker> m_worker;
    std::uint64_t m_incarnation; ///< random number that identifies this run of the node

    TargetTable m_targets;
    Evacuations m_evacuations;
    bool m_usesEvacuations = false; ///< from the settings at the start
    CrashSuspects m_crashSuspects;
    std::mt19937_64 m_random; ///< for the ids of crash records
    std::optional<StoreItem> m_pendingConfiguration; ///< newest one that waits to be parsed
    bool m_parsing = false;
    StorePosition m_storePosition; ///< the targets include every change up to here, from the store or from a peer
    bool m_eraHasRisen = false; ///< since the start of this node
    std::vector<Endpoint> m_selectedPeers; ///< to which links are kept open
    std::pair<std::uint64_t, std::size_t> m_selectedPeersFor{0, 0}; ///< generation of the targets, number of requested services
    bool m_hasTargets = false; ///< a complete list of targets was received, from the store or from a peer

    std::unique_ptr<MemoryBudget> m_memory; ///< destroyed after all that have accounts in it
    std::unique_ptr<TargetDispatcher> m_dispatcher;
    std::unique_ptr<PeerLinks> m_links;
    std::unique_ptr<EntryContext> m_entry;
    std::unique_ptr<CallerHttpServer> m_callerServer;
    std::unique_ptr<PageServer> m_pageServer;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<StateExchange> m_state;

    std::optional<std::tuple<ino_t, off_t, time_t, long>> m_settingsFileStamp; ///< inode, size, modification time
    ScopedTimer m_maintenanceTimer;
    unsigned m_maintenanceRuns = 0;
    ScopedTimer m_storeWatchTimer;
    ScopedTimer m_stopTimer;
    std::optional<StopSchedule> m_stop; ///< set when the stop begins
    std::optional<TimePoint> m_acceptStoppedAt; ///< since when the stop refuses new requests

    Counter *m_configurationsApplied = nullptr;
    Counter *m_configurationsRefused = nullptr;
    Counter *m_unreadableEntries = nullptr;
    Counter *m_droppedForCallers = nullptr;
    Counter *m_droppedForPeers = nullptr;
    Counter *m_droppedBodies = nullptr;
};

} // namespace Fescuenotch
