// Routes of the mesh: which service handles a request, how long it may take and whether it may run twice.
//
// Usage: fill a MeshConfiguration, build an immutable table with `RoutingTable::build`, and call `match` for each request.
// A request keeps the shared pointer to its table until it ends, so a new configuration never applies to it midway.
//
// Pitfall: paths are compared byte by byte without the query. They are not decoded or normalized.
#pragma once

#include "kernel/clock.h"
#include "kernel/errors.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Fescuenotch {

enum class RouteKind { Idempotent, NotIdempotent, Download };
const char *routeKindName(RouteKind kind); ///< "idempotent", "not-idempotent", "download"

/// One part of a traffic split.
struct WeightedService {
    std::string service;
    unsigned weight = 1; ///< gets weight / (sum of weights) of the requests
    bool operator==(const WeightedService &) const = default;
};

struct MeshRoute {
    std::string name;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< begins and ends with a slash; the longest matching prefix wins
    RouteKind kind = RouteKind::Idempotent;
    milliseconds timeout{1'000}; ///< ms; until the final response
    milliseconds latencyGoal{1'000}; ///< ms; a response within this time is worth most
    unsigned priority = 0; ///< 0 is the highest
    unsigned maxAttempts = 1; ///< targets that may receive one request
    std::vector<WeightedService> parts; ///< at least one
    bool operator==(const MeshRoute &) const = default;
};

struct MeshService {
    std::string name;
    std::string healthPath; ///< empty: none
    unsigned maxConnections = 0; ///< from all nodes to one target; 0: not stated
    milliseconds coldStart{0}; ///< ms; a target is cold for this long after it starts
    double coldRequestRate = 0; ///< requests per second that a cold target accepts from all nodes; 0: not limited
    bool operator==(const MeshService &) const = default;
};

/// Limits on the requests of callers.
struct CallerRequestLimits {
    std::size_t maxHeadBytes = 32'768; ///< bytes
    std::uint64_t maxBodyBytes = 67'108'864; ///< bytes
    milliseconds headTimeout{5'000}; ///< ms; from the first byte of a request head to its end
    milliseconds idleTimeout{30'000}; ///< ms; between requests on a connection
    bool operator==(const CallerRequestLimits &) const = default;
};

/// One version of the operator's configuration, as decoded by the platform's adapter.
struct MeshConfiguration {
    std::uint64_t version = 0; ///< a higher version replaces a lower one
    std::vector<MeshRoute> routes;
    std::vector<MeshService> services;
    CallerRequestLimits callerLimits;
    bool operator==(const MeshConfiguration &) const = default;
};

/// Validates a whole configuration. Error InvalidDocument describes the first problem found.
Result<void> checkConfiguration(const MeshConfiguration &configuration);

class RoutingTable
{
public:
    static Result<std::shared_ptr<const RoutingTable>> build(MeshConfiguration configuration);

    /// `host`: value of the Host header, `target`: request target of the request line. Null when no route matches.
    const MeshRoute *match(std::string_view host, std::string_view target) const;
    std::uint64_t version() const
    {
        return m_configuration.version;
    }
    const MeshConfiguration &configuration() const
    {
        return m_configuration;
    }
    /// Null when the configuration does not describe the service.
    const MeshService *service(const std::string &name) const;

private:
    struct TextHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    using PrefixMap = std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>>;

    MeshConfiguration m_configuration;
    std::unordered_map<std::string, PrefixMap, TextHash, std::equal_to<>> m_hosts; ///< index of the route by host and prefix
    std::unordered_map<std::string, std::size_t> m_services;
};
using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Distributes the requests of a route over its parts: in any series of requests the count of each part is within one of its
/// share.
class TrafficSplit
{
public:
    explicit TrafficSplit(std::uint64_t seed);
    const std::string &choose(const MeshRoute &route);

private:
    struct State {
        std::vector<WeightedService> parts; ///< parts that `credit` belongs to
        std::vector<double> credit; ///< requests that each part is owed
    };

    std::uint64_t m_seed;
    std::unordered_map<std::string, State> m_routes; ///< by route name
};

} // namespace Fescuenotch
