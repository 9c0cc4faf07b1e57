// A fleet of real processes for the spread experiment: the platform stand-in and nodes in eight data centres.
//
// How to use: `startPlatform`, `startNodes`, then publish and `readEvents` until every node of interest has the revision.
// Nodes are at PREFIX.DC.HOST, the platform at PREFIX.0.1. All are ended by the destructor.
// Pitfall: start processes from the main thread only; a child ends with the thread that started it.
#pragma once

#include "bench/processstats.h"
#include "standins/httpclient.h"
#include "standins/process.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Fescuenotch::Bench {

constexpr unsigned DataCentres = 8;

struct FleetSettings {
    unsigned nodes = 25;
    std::string spreadMode = "tree-digest";
    std::string prefix = "127.21"; ///< first two numbers of all addresses
    std::string folder; ///< for logs and documents
    unsigned targetsPerService = 8;
};

struct FleetNode {
    std::string host;
    std::string dataCentre;
    std::string service;
    std::string logFile;
    std::unique_ptr<Standins::ChildProcess> process;
    std::size_t logRead = 0; ///< bytes
    std::vector<InForceEvent> events; ///< since the last start
    bool stopped = false; ///< by SIGSTOP
};

/// Totals of a fleet at one moment.
struct FleetTotals {
    TimePoint at;
    double controlBytes = 0; ///< sent between nodes, and read from the platform
    double platformBytes = 0; ///< read from the platform
    microseconds processorTime{0};
    std::uint64_t residentBytes = 0;
    double platformCalls = 0;
};

class SpreadFleet
{
public:
    explicit SpreadFleet(const FleetSettings &settings);
    SpreadFleet(const SpreadFleet &) = delete;
    SpreadFleet &operator=(const SpreadFleet &) = delete;
    ~SpreadFleet();

    Result<void> startPlatform();
    Result<void> startNode(FleetNode &node);
    Result<void> startNodes(); ///< those that do not run, all at once
    void killNodes(); ///< all, by SIGKILL
    /// Publishes a changed document of a service. Its revision.
    Result<std::uint64_t> publishChange();
    std::uint64_t revision() const
    {
        return m_revision;
    }
    void readEvents(); ///< from the logs of all nodes
    std::vector<FleetNode> &nodes()
    {
        return m_nodes;
    }
    /// Reads /metrics of the running nodes, /proc and the platform's count of calls.
    FleetTotals totals();
    nlohmann::json platformStats();
    void resetPlatformStats();

private:
    std::string nodeAddress(unsigned number) const;
    nlohmann::json serviceDocument(unsigned service) const;
    nlohmann::json documents() const;
    nlohmann::json hosts() const;

    const FleetSettings m_settings;
    std::vector<FleetNode> m_nodes;
    unsigned m_services = 1;
    unsigned m_changes = 0;
    std::uint64_t m_revision = 0;
    std::unique_ptr<Standins::ChildProcess> m_platform;
    Standins::HttpClient m_client;
};

} // namespace Fescuenotch::Bench
