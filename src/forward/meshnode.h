// A node of the mesh on one host: everything that runs on its event loop, put together.
//
// How to use: `start` reads the settings and binds the addresses; `run` serves until a stop is done. `reload`,
// `beginStop` may be called from any thread.
#pragma once

#include "forward/callerhttpserver.h"
#include "forward/pageserver.h"
#include "forward/stateexchange.h"
#include "forward/storeclient.h"
#include "forward/targetgate.h"

#include <sys/types.h>

#include <tuple>

namespace Fescuenotch {

struct MeshNodeOptions {
    std::optional<Endpoint> operatorListen; ///< where metrics and status are served besides the platform's health address
};

class MeshNode final : public StoreEvents, public LinkEvents, public StateOwner
{
public:
    MeshNode(std::unique_ptr<PlatformAdapter> adapter, const MeshNodeOptions &options);
    ~MeshNode() override;

    Result<void> start();
    void run(); ///< blocks until the node has left
    void reload(); ///< the settings may have changed
    void beginStop(); ///< serve what is in flight, then end `run`

private:
    // Parts that are made once the settings are known.
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
    TargetNews decodeTargetItem(const StoreItem &item);
    void logTargetChange(const TargetChange &change, const std::string &source);
    void onTargetsChanged();
    void prepareLinks();

    // Settings and stop.
    bool settingsFileChanged();
    void readChangedSettings();
    void checkStop(TimePoint now);

    void onStoreUpdate(StoreUpdate update) override;
    void onLinkUp(const Endpoint &peer) override;
    void onLinkLost(const Endpoint &peer, CloseCause cause) override;
    void onPulse(const Endpoint &peer, const LinkPulse &pulse) override;
    LinkPulse ownPulse() override;
    std::string greetingRequest(const LinkIdentity &peer) override;
    void onStateNews(const MeshWire::StateNews &news) override;
    std::string onStateRequest(const MeshWire::StateRequest &request) override;

    RoutingTablePtr tableInForce() const override;
    void takeTable(const RoutingTablePtr &table, const std::string &source) override;
    void takeTargetNews(const std::vector<TargetNews> &news, std::uint64_t revision, bool isWhole, const std::string &source) override;
    std::uint64_t storeRevision() const override;
    bool hasTargets() const override;
    void updateStoreWatch(TimePoint now);

    std::unique_ptr<PlatformAdapter> m_adapter;
    MeshNodeOptions m_options;
    DeploymentSettings m_settings;
    std::unique_ptr<MetricsRegistry> m_metrics;
    EventLoop m_loop;
    std::unique_ptr<Worker> m_worker;
    std::uint64_t m_incarnation;

    TargetTable m_targets;
    std::optional<StoreItem> m_pendingConfiguration; ///< newest that is not parsed yet
    bool m_parsing = false;
    std::uint64_t m_storeRevision = 0;
    bool m_hasTargets = false; ///< the targets were listed once, or a peer told them

    std::unique_ptr<TargetGate> m_gate;
    std::unique_ptr<PeerLinks> m_links;
    std::unique_ptr<EntryContext> m_entry;
    std::unique_ptr<CallerHttpServer> m_callerServer;
    std::unique_ptr<PageServer> m_pageServer;
    std::unique_ptr<StoreClient> m_store;
    std::unique_ptr<StateExchange> m_state;

    std::optional<std::tuple<ino_t, off_t, time_t, long>> m_settingsFileStamp; ///< inode, size, time of change
    ScopedTimer m_maintenanceTimer;
    unsigned m_maintenanceRuns = 0;
    ScopedTimer m_storeWatchTimer;
    ScopedTimer m_stopTimer;
    std::optional<TimePoint> m_stopSince;
    bool m_acceptStopped = false; ///< the stop has gone so far that no new request is taken

    Counter *m_configurationsApplied = nullptr;
    Counter *m_configurationsRefused = nullptr;
    Counter *m_unreadableEntries = nullptr;
};

} // namespace Fescuenotch
