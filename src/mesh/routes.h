// Routes of the mesh: which service runs a request, how long it may take and whether it may run twice.
//
// How to use: fill a MeshConfiguration, `RoutingTable::build` it into an immutable table, ask `match` for each request.
// A request keeps the shared pointer of its table for its whole life, so that a change never reaches it midway.
//
// Pitfall: a path is compared byte for byte, without its query. It is never decoded or normalised.
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
    unsigned weight = 1; ///< share of the requests is weight / sum of weights
    bool operator==(const WeightedService &) const = default;
};

struct MeshRoute {
    std::string name;
    std::string host; ///< lower case, without a port
    std::string pathPrefix; ///< begins and ends with a slash; the longest that begins the path wins
    RouteKind kind = RouteKind::Idempotent;
    milliseconds timeout{1'000}; ///< ms; a request has its final answer within this
    milliseconds latencyGoal{1'000}; ///< ms; an answer within this is worth most
    unsigned priority = 0; ///< 0 is served first
    unsigned maxAttempts = 1; ///< targets that one request may be sent to
    std::vector<WeightedService> parts; ///< at least one
    bool operator==(const MeshRoute &) const = default;
};

struct MeshService {
    std::string name;
    std::string healthPath; ///< empty: none
    unsigned maxConnections = 0; ///< of all nodes to one target; 0: not stated
    bool operator==(const MeshService &) const = default;
};

/// What callers may send.
struct CallerRequestLimits {
    std::size_t maxHeadBytes = 32'768; ///< bytes
    std::uint64_t maxBodyBytes = 67'108'864; ///< bytes
    milliseconds headTimeout{5'000}; ///< ms; from the first byte of a head to its end
    milliseconds idleTimeout{30'000}; ///< ms; between requests of a connection
    bool operator==(const CallerRequestLimits &) const = default;
};

/// One version of everything that the operator publishes, as decoded by the platform's adapter.
struct MeshConfiguration {
    std::uint64_t version = 0; ///< a higher one replaces a lower one
    std::vector<MeshRoute> routes;
    std::vector<MeshService> services;
    CallerRequestLimits bounds;
    bool operator==(const MeshConfiguration &) const = default;
};

/// Checks a configuration whole. Error InvalidDocument names the first fault.
Result<void> checkConfiguration(const MeshConfiguration &configuration);

class RoutingTable
{
public:
    static Result<std::shared_ptr<const RoutingTable>> build(MeshConfiguration configuration);

    /// `host` as in the Host header, `target` as in the request line. Null when no route matches.
    const MeshRoute *match(std::string_view host, std::string_view target) const;
    std::uint64_t version() const
    {
        return m_configuration.version;
    }
    const MeshConfiguration &configuration() const
    {
        return m_configuration;
    }
    /// Null for a service that the configuration does not describe.
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

/// Deals the requests of a route out to its parts: over any run of requests each part's count is within one of its share.
class TrafficSplit
{
public:
    explicit TrafficSplit(std::uint64_t seed);
    const std::string &choose(const MeshRoute &route);

private:
    struct State {
        std::vector<WeightedService> parts; ///< for which `credit` was counted
        std::vector<double> credit; ///< requests that a part is owed
    };

    std::uint64_t m_seed;
    std::unordered_map<std::string, State> m_routes; ///< by route name
};

} // namespace Fescuenotch
