// What a platform's adapter gives the product: settings, names of headers, and decoded items of the platform's store.
//
// How to use: derive from PlatformAdapter in a folder of its own, register it (kernel/plugin.h), and start
// `fescuenotch node --adapter NAME`. An adapter translates between the platform's bytes and the types here, once, and
// decides nothing: what to ask, when, and what an answer means is up to the product.
//
// Pitfall: `decode...` functions are called on a worker thread, several at a time. They must not share state.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "kernel/errors.h"
#include "mesh/routes.h"
#include "mesh/storesync.h"
#include "mesh/targets.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

/// What a node must know of where and how it runs.
struct DeploymentSettings {
    std::string nodeName;
    std::string host; ///< IPv4 number of this host
    std::string dataCentre;
    std::string region;
    std::string service; ///< that the target on this host belongs to
    Endpoint targetAddress; ///< of the target on this host
    Endpoint callerListen; ///< for callers on this host
    Endpoint peerListen; ///< for other nodes; the port is the same on all hosts
    Endpoint healthListen; ///< where the platform asks whether this node takes work
    std::optional<Endpoint> seedListen; ///< where nodes that know no other node ask; none: not served
    std::vector<Endpoint> seeds; ///< nodes to ask when the store does not answer; may be stale
    std::map<std::string, std::string> regionOf; ///< by data centre
    Endpoint store;
    double storeReadsPerSecond = 1'000; ///< calls, of all nodes together
    milliseconds heartbeat{1'500}; ///< ms; targets renew their entries about this often
    milliseconds drainLimit{2'000}; ///< ms; a leaving target gets no request later than this after the store knows
    milliseconds stopLimit{6'000}; ///< ms; from SIGTERM to SIGKILL
    milliseconds stopAnnouncement{2'200}; ///< ms; callers are still sent here so long after the health address says no
    milliseconds applyLimit{2'000}; ///< ms; a configuration is in force within this
    double retryShare = 0.2; ///< repeated requests per request, over all nodes
    double retrySlack = 64; ///< repeated requests in a window that are allowed besides, over all nodes
    milliseconds retryWindow{10'000}; ///< ms
    double cpuShare = 1; ///< cores
    double linkMbps = 1'000; ///< Mbit/s of this host's link
    std::uint64_t memoryBytes = 0; ///< 0: not limited
    bool operator==(const DeploymentSettings &) const = default;
};

/// Names of the headers that the platform's callers and targets use.
struct PlatformHeaderNames {
    std::string requestId; ///< of one attempt of a caller; echoed by targets
    std::string remainingTime; ///< ms that the caller or target still has
    std::string callerService; ///< service of the host where a request began
    std::string targetId; ///< lifetime that a request is meant for
    std::string notExecuted; ///< a target's word that it did not run the request
    std::string signature; ///< on every answer that a target made
};

class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;

    /// Reads the settings from where the platform puts them. Error InvalidSetting names the field and the remedy.
    virtual Result<DeploymentSettings> readSettings() = 0;
    /// The same from any file, for a check before the platform hands it out.
    virtual Result<DeploymentSettings> readSettingsFile(const std::string &path) const = 0;
    virtual std::string settingsPath() const = 0; ///< of the file that they are read from
    virtual std::vector<std::string> environmentVariables() const = 0; ///< that the platform sets for its adapter
    virtual const PlatformHeaderNames &headers() const = 0;
    /// Path that the platform asks on `healthListen`.
    virtual std::string healthPath() const = 0;
    /// Status by which a target says that it is not the one that the request was meant for.
    virtual unsigned wrongTargetStatus() const = 0;

    /// Request target (path with query) of a call to the store.
    virtual std::string storeRequestTarget(const StoreQuery &question) const = 0;
    virtual Result<StoreResponse> decodeResponse(const StoreQuery &question, const std::string &body) const = 0;
    virtual Result<MeshConfiguration> decodeConfiguration(const std::string &value) const = 0;
    virtual Result<TargetRecord> decodeTarget(const std::string &id, const std::string &value) const = 0;
};

} // namespace Fescuenotch
