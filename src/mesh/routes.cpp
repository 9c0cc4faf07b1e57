// Sections: [names] [checks] [table] [split]
#include "mesh/routes.h"

#include <boost/algorithm/string/case_conv.hpp>

#include <xxhash.h>

#include <algorithm>
#include <numeric>
#include <set>

namespace Fescuenotch {

namespace {

constexpr milliseconds MaxTimeout{3'600'000}; ///< ms; one hour, far longer than any request
constexpr std::size_t MaxSplitRoutes = 4'096; ///< bounds memory; beyond this all splits start over

leaf::error_id invalidRoute(const std::string &route, const std::string &what, const std::string &remedy)
{
    return fail(ErrorKind::InvalidDocument, "route '" + route + "': " + what, remedy);
}

Result<void> checkRoute(const MeshRoute &route, const std::set<std::string> &services)
{
    const bool prefixIsSound = !route.pathPrefix.empty() && route.pathPrefix.front() == '/' && route.pathPrefix.back() == '/';
    if (route.host.empty() || !prefixIsSound) {
        return invalidRoute(route.name, "has no host or its path prefix does not begin and end with a slash", "set a host and a prefix such as /slots/");
    }
    if (route.timeout <= milliseconds(0) || route.timeout > MaxTimeout || route.latencyGoal <= milliseconds(0)) {
        return invalidRoute(route.name, "timeout or latency goal is out of range", "use times above 0 and a timeout of at most one hour");
    }
    if (route.maxAttempts == 0) {
        return invalidRoute(route.name, "maximum number of attempts is 0", "allow at least one attempt");
    }
    const auto total = std::accumulate(route.parts.begin(), route.parts.end(), 0U, [](unsigned sum, const auto &part) { return sum + part.weight; });
    if (total == 0) {
        return invalidRoute(route.name, "no service has a weight above 0", "name a service, or give at least one part a weight above 0");
    }
    for (const auto &part : route.parts) {
        if (!services.contains(part.service)) {
            return invalidRoute(route.name, "service '" + part.service + "' is not defined", "add it to the services");
        }
    }
    return {};
}

std::string normalizeHost(std::string_view host)
{
    return boost::algorithm::to_lower_copy(std::string(host.substr(0, host.rfind(':'))));
}

} // namespace

// ---- [names] ----------------------------------------------------------------------------------------------------

const char *routeKindName(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Idempotent:
        return "idempotent";
    case RouteKind::NotIdempotent:
        return "not-idempotent";
    case RouteKind::Download:
        return "download";
    }
    return "unknown";
}

// ---- [checks] ---------------------------------------------------------------------------------------------------

Result<void> checkConfiguration(const MeshConfiguration &configuration)
{
    std::set<std::string> services;
    for (const auto &service : configuration.services) {
        services.insert(service.name);
    }
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const auto &route : configuration.routes) {
        BOOST_LEAF_CHECK(checkRoute(route, services));
        if (!hostsAndPrefixes.emplace(route.host, route.pathPrefix).second) {
            return invalidRoute(route.name, "another route has the same host and path prefix", "use a different host or prefix");
        }
    }
    return {};
}

// ---- [table] ----------------------------------------------------------------------------------------------------

Result<RoutingTablePtr> RoutingTable::build(MeshConfiguration configuration)
{
    BOOST_LEAF_CHECK(checkConfiguration(configuration));
    auto table = std::make_shared<RoutingTable>();
    table->m_configuration = std::move(configuration);
    const auto &routes = table->m_configuration.routes;
    for (std::size_t n = 0; n < routes.size(); ++n) {
        table->m_hosts[routes[n].host].emplace(routes[n].pathPrefix, n);
    }
    const auto &services = table->m_configuration.services;
    for (std::size_t n = 0; n < services.size(); ++n) {
        table->m_services.emplace(services[n].name, n);
    }
    return RoutingTablePtr(std::move(table));
}

const MeshRoute *RoutingTable::match(std::string_view host, std::string_view target) const
{
    const auto prefixes = m_hosts.find(normalizeHost(host));
    if (prefixes == m_hosts.end()) {
        return nullptr;
    }
    auto path = target.substr(0, target.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/')) {
        const auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end()) {
            return &m_configuration.routes[found->second];
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const MeshService *RoutingTable::service(const std::string &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &m_configuration.services[it->second];
}

// ---- [split] ----------------------------------------------------------------------------------------------------

TrafficSplit::TrafficSplit(std::uint64_t seed)
    : m_seed(seed)
{
}

const std::string &TrafficSplit::choose(const MeshRoute &route)
{
    if (route.parts.size() == 1) {
        return route.parts.front().service;
    }
    if (m_routes.size() > MaxSplitRoutes) {
        m_routes.clear();
    }
    auto &state = m_routes[route.name];
    const double total = std::accumulate(route.parts.begin(), route.parts.end(), 0.0, [](double sum, const auto &part) { return sum + part.weight; });
    if (state.parts != route.parts) {
        state.parts = route.parts;
        state.credit.clear();
        // Initial credit depends on the node's seed, so that the first requests of all nodes do not go to the heaviest part.
        for (std::size_t n = 0; n < route.parts.size(); ++n) {
            const auto hash = XXH64(route.parts[n].service.data(), route.parts[n].service.size(), m_seed);
            state.credit.push_back(static_cast<double>(hash % 1'000) / 1'000.0);
        }
    }
    std::size_t best = 0;
    for (std::size_t n = 0; n < route.parts.size(); ++n) {
        state.credit[n] += route.parts[n].weight / total;
        const bool usable = route.parts[n].weight > 0;
        if (usable && (route.parts[best].weight == 0 || state.credit[n] > state.credit[best])) {
            best = n;
        }
    }
    state.credit[best] -= 1;
    return route.parts[best].service;
}

} // namespace Fescuenotch
