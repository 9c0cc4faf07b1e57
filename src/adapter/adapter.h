// Interface between the product and a platform: settings, header names, and decoding of entries of the platform's store.
//
// Usage: derive from PlatformAdapter in a separate folder, register the class (kernel/plugin.h), and start
// `fescuenotch node --adapter NAME`. An adapter only translates between the platform's formats and the types used here.
// The product decides which queries are sent and when, and how responses are interpreted.
//
// Pitfall: `decode...` functions are called on worker threads, possibly by several at once. They must not share mutable state.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "kernel/errors.h"
#include "kernel/http.h"
#include "mesh/routes.h"
#include "mesh/storesync.h"
#include "mesh/targets.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

/// Where and how a node runs.
struct DeploymentSettings {
    std::string nodeName;
    std::string host; ///< IPv4 address of this host
    std::string dataCentre;
    std::string region;
    std::string service; ///< service of the target on this host
    Endpoint targetAddress; ///< target on this host
    Endpoint callerListen; ///< accepts callers on this host
    Endpoint peerListen; ///< accepts other nodes; the port is the same on all hosts
    Endpoint healthListen; ///< serves the platform's health check
    std::optional<Endpoint> seedListen; ///< serves nodes that know no other node; none: disabled
    std::vector<Endpoint> seeds; ///< nodes to contact when the store does not answer; may be outdated
    std::map<std::string, std::string> regionByDataCentre;
    Endpoint store;
    double storeReadsPerSecond = 1'000; ///< calls per second, shared by all nodes
    milliseconds heartbeat{1'500}; ///< ms; approximate interval at which targets renew their entries
    milliseconds drainLimit{2'000}; ///< ms; a draining target gets no requests once the store has listed it as draining for this long
    milliseconds stopLimit{6'000}; ///< ms; between SIGTERM and SIGKILL
    milliseconds stopAnnouncement{2'200}; ///< ms; callers may still send requests here for this long after the health check fails
    milliseconds applyLimit{2'000}; ///< ms; time within which a new configuration must be in force
    double retryShare = 0.2; ///< retries per request, over all nodes
    double retrySlack = 64; ///< additional retries allowed per window, over all nodes
    milliseconds retryWindow{10'000}; ///< ms
    std::optional<milliseconds> evacuationLimit; ///< ms; an evacuated data centre gets no requests after this; none: evacuations are not read
    double coldOverrun = 1.5; ///< multiple of a cold target's request rate that may reach it in one second; nodes aim at the rate itself
    double coldSlack = 0; ///< requests that may reach a cold target in one second beyond that
    double cpuShare = 1; ///< CPU cores
    double linkMbps = 1'000; ///< Mbit/s; speed of this host's link
    std::uint64_t memoryBytes = 0; ///< bytes; 0: unlimited
    std::size_t maxDescriptors = 0; ///< file descriptors of this process, sockets included; 0: unlimited
    bool operator==(const DeploymentSettings &) const = default;
};

/// Names of the HTTP headers that the platform's callers and targets use.
struct PlatformHeaderNames {
    std::string requestId; ///< id of one attempt of a caller; echoed by targets
    std::string remainingTime; ///< ms until the deadline, as stated by a caller and to a target
    std::string callerService; ///< service of the host where the request entered the mesh
    std::string targetId; ///< id of the target that the request is meant for
    std::string notExecuted; ///< set by a target that did not run the request
    std::string signature; ///< present on every response made by a target
    std::string targetLeaving; ///< in every answer of a target that is about to end
    std::string targetLeavingValue; ///< value of that header; any other says nothing
    std::string requestRate; ///< rate limit that an overloaded target states: requests per second from all hosts together
    std::string healthTargetId; ///< in health answers: id of the target that answers
    std::string coldRemaining; ///< in health answers: ms for which the target stays cold
};

/// Whether a target says in its answer that it is about to end.
inline bool saysLeaving(const Headers &answer, const PlatformHeaderNames &names)
{
    const auto *value = findHeader(answer, names.targetLeaving);
    return value != nullptr && *value == names.targetLeavingValue;
}

class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;

    /// Reads the settings from the file at `settingsPath`. Error InvalidSetting names the setting and the remedy.
    virtual Result<DeploymentSettings> readSettings() = 0;
    /// Reads the settings from any file, to check them before deployment. Same errors as `readSettings`.
    virtual Result<DeploymentSettings> readSettingsFile(const std::string &path) const = 0;
    virtual std::string settingsPath() const = 0; ///< file that `readSettings` reads
    virtual std::vector<std::string> environmentVariables() const = 0; ///< variables that the platform sets for its adapter
    virtual const PlatformHeaderNames &headers() const = 0;
    /// Path of the platform's health check on `healthListen`.
    virtual std::string healthPath() const = 0;
    /// HTTP status with which a target rejects a request that was meant for another target.
    virtual unsigned wrongTargetStatus() const = 0;

    /// HTTP request target (path and query) of a call to the store.
    virtual std::string storeRequestTarget(const StoreQuery &query) const = 0;
    /// The era that the headers of any answer of the store state; none: they state none. Error InvalidDocument if the value is
    /// not a whole number of 0 or more.
    virtual Result<std::optional<std::uint64_t>> decodeStoreEra(const Headers &headers) const = 0;
    /// Sets all but the era of the response's position.
    virtual Result<StoreResponse> decodeResponse(const StoreQuery &query, const std::string &body) const = 0;
    virtual Result<MeshConfiguration> decodeConfiguration(const std::string &value) const = 0;
    virtual Result<TargetRecord> decodeTarget(const std::string &id, const std::string &value) const = 0;
};

} // namespace Fescuenotch
