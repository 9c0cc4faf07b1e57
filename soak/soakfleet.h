// The processes of a soak: a store, targets and proxies in this process, and a real node process for each host.
//
// How to use: `SoakFleet fleet(settings); fleet.start();`, then inject faults on `host(n)`, `store()` and `publish`, from any thread.
// Peers and the store are reached through proxies, so that a host's connections can be delayed, cut or silenced.
#pragma once

#include "standins/link.h"
#include "tests/support/nodeprocess.h"
#include "tests/support/storestandin.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch::Soak {

struct SoakSettings {
    std::uint64_t seed = 1;
    unsigned hosts = 6;
    unsigned rounds = 4;
    unsigned kind = 0; ///< of all rounds: 1 planned, 2 rough, 3 herds; 0: in turn
    unsigned net = 40; ///< second number of all addresses; runs side by side need different ones
    std::string folder; ///< for settings files and logs
};

/// Starts processes on a thread that lives as long as the fleet: the kernel kills a child when the thread that started it ends.
class ProcessStarter
{
public:
    ProcessStarter();
    ~ProcessStarter();
    void start(Tests::NodeProcess &node); ///< returns when the process was started

private:
    void work();

    std::mutex m_mutex; ///< guards all below
    std::condition_variable m_changed;
    Tests::NodeProcess *m_next = nullptr;
    bool m_ended = false;
    std::thread m_thread;
};

class SoakHost
{
public:
    SoakHost(const SoakSettings &settings, unsigned number, const Endpoint &store, Tests::RunJournal &journal, ProcessStarter &starter);
    Result<void> startProxies();
    /// Reserves the process for one series of stops, kills or pauses. False while another one has it.
    bool take();
    void release();
    void signal(int number);
    void beginStop(); ///< SIGTERM
    std::vector<TimePoint> stops() const; ///< times of `beginStop`
    void restart(); ///< kills the process if it still runs, and starts a new one
    bool waitForEnd(milliseconds limit);
    int exitCode();
    unsigned life() const; ///< number of starts so far
    bool isReady() const
    {
        return m_node.isReady();
    }
    const Tests::NodeProcess &node() const
    {
        return m_node;
    }
    Standins::Link &peerLink() ///< for connections of other nodes to this one
    {
        return m_peerLink;
    }
    Tests::PlatformTarget &target()
    {
        return m_target;
    }
    Standins::Link &storeLink()
    {
        return m_storeLink;
    }

private:
    ProcessStarter &m_starter;
    mutable std::mutex m_mutex; ///< guards all below that is not constant
    bool m_taken = false;
    unsigned m_life = 0;
    std::vector<TimePoint> m_stops;
    Standins::Link m_storeLink;
    Tests::NodeProcess m_node;
    Standins::Link m_peerLink;
    Tests::PlatformTarget m_target;
};

class SoakFleet
{
public:
    explicit SoakFleet(const SoakSettings &settings);
    ~SoakFleet();
    void start(); ///< returns when all nodes are ready; throws std::runtime_error when they are not in time
    bool waitAllReady(milliseconds limit);
    unsigned publish(); ///< publishes the next configuration; gives its version
    unsigned newestVersion() const;
    static std::string versionPath(unsigned version); ///< has a route only while that configuration is in force
    SoakHost &host(std::size_t n)
    {
        return *m_hosts[n];
    }
    std::size_t size() const
    {
        return m_hosts.size();
    }
    Tests::StoreStandin &store()
    {
        return *m_store;
    }
    Tests::RunJournal &journal()
    {
        return m_journal;
    }

private:
    SoakSettings m_settings;
    Tests::RunJournal m_journal;
    ProcessStarter m_starter;
    std::unique_ptr<Tests::StoreStandin> m_store;
    std::vector<std::unique_ptr<SoakHost>> m_hosts;
    mutable std::mutex m_mutex; ///< guards m_version
    unsigned m_version = 0;
};

} // namespace Fescuenotch::Soak
