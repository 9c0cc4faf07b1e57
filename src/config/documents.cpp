// Sections: [names and limits] [profile] [service]
#include "config/documents.h"

#include "config/jsonnode.h"
#include "config/strictjson.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Fescuenotch {

namespace {

// ---- [names and limits] -----------------------------------------------------------------------------------------

constexpr std::size_t MaxRoutes = 1'000;
constexpr std::size_t MaxRules = 1'000;
constexpr std::size_t MaxTargets = 10'000;
constexpr std::size_t MaxPathLength = 1'024; ///< characters
constexpr std::uint64_t MaxTimeout = 600'000; ///< ms
constexpr std::uint64_t MaxAttempts = 10;
constexpr std::uint64_t MaxSlots = 10'000;
constexpr std::uint64_t MaxConnections = 10'000;

const std::vector<std::string> &spreadNames()
{
    static const std::vector<std::string> names{"time", "bytes"};
    return names;
}

const std::vector<std::string> &classNames()
{
    static const std::vector<std::string> names{"lookup", "read", "write", "bulk"};
    return names;
}

const std::vector<std::string> &methodNames()
{
    static const std::vector<std::string> names{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    return names;
}

// ---- [profile] --------------------------------------------------------------------------------------------------

Result<Rule> readRule(const JsonNode &node)
{
    BOOST_LEAF_CHECK(rejectUnknownMembers(node, {"idempotent", "timeout_ms", "max_attempts", "class"}));
    Rule rule;
    if (const auto idempotent = findMember(node, "idempotent")) {
        BOOST_LEAF_ASSIGN(rule.idempotent, asBool(*idempotent));
    }
    if (const auto timeout = findMember(node, "timeout_ms")) {
        BOOST_LEAF_AUTO(n, asInteger(*timeout, 1, MaxTimeout));
        rule.timeout = milliseconds(n);
    }
    if (const auto attempts = findMember(node, "max_attempts")) {
        BOOST_LEAF_AUTO(n, asInteger(*attempts, 1, MaxAttempts));
        rule.maxAttempts = static_cast<unsigned>(n);
    }
    if (const auto requestClass = findMember(node, "class")) {
        BOOST_LEAF_AUTO(n, asEnumIndex(*requestClass, classNames()));
        rule.requestClass = static_cast<RequestClass>(n);
    }
    return rule;
}

Result<std::map<std::string, Rule>> readRules(const JsonNode &node)
{
    BOOST_LEAF_AUTO(entries, members(node, MaxRules));
    std::map<std::string, Rule> rules;
    for (const auto &[name, child] : entries) {
        if (!isDocumentName(name)) {
            return nodeError(child, "invalid rule name", "use 1 to 128 letters, digits, '-', '_' or '.'");
        }
        BOOST_LEAF_ASSIGN(rules[name], readRule(child));
    }
    return rules;
}

Result<std::string> readPathPrefix(const JsonNode &node)
{
    BOOST_LEAF_AUTO(path, asString(node));
    const auto isPathCharacter = [](unsigned char c) { return c > ' ' && c < 0x7f && c != '?' && c != '#'; };
    if (path.empty() || path[0] != '/' || path.size() > MaxPathLength || !std::all_of(path.begin(), path.end(), isPathCharacter)) {
        return nodeError(node, "invalid path prefix", "start with '/' and use at most 1024 printable characters without '?' and '#'");
    }
    return path;
}

Result<std::vector<std::string>> readMethods(const JsonNode &node)
{
    BOOST_LEAF_AUTO(entries, elements(node, methodNames().size()));
    std::vector<std::string> methods;
    for (const auto &entry : entries) {
        BOOST_LEAF_AUTO(n, asEnumIndex(entry, methodNames()));
        const std::string &method = methodNames()[n];
        if (std::find(methods.begin(), methods.end(), method) != methods.end()) {
            return nodeError(entry, method + " is listed twice", "list each method once");
        }
        methods.push_back(method);
    }
    return methods;
}

Result<Route> readRoute(const JsonNode &node, const std::map<std::string, Rule> &rules)
{
    BOOST_LEAF_CHECK(rejectUnknownMembers(node, {"path_prefix", "methods", "service", "rule"}));
    Route route;
    BOOST_LEAF_AUTO(prefix, member(node, "path_prefix"));
    BOOST_LEAF_ASSIGN(route.pathPrefix, readPathPrefix(prefix));
    if (const auto methods = findMember(node, "methods")) {
        BOOST_LEAF_ASSIGN(route.methods, readMethods(*methods));
    }
    BOOST_LEAF_AUTO(service, member(node, "service"));
    BOOST_LEAF_ASSIGN(route.service, asName(service));
    BOOST_LEAF_AUTO(rule, member(node, "rule"));
    BOOST_LEAF_ASSIGN(route.rule, asName(rule));
    if (rules.count(route.rule) == 0) {
        return nodeError(rule, "unknown rule '" + route.rule + "'", "use a rule of this profile or add it to /rules");
    }
    return route;
}

/// Methods that a route accepts: those it lists, or all when it lists none.
const std::vector<std::string> &methodsOf(const Route &route)
{
    return route.methods.empty() ? methodNames() : route.methods;
}

Result<std::vector<Route>> readRoutes(const JsonNode &node, const std::map<std::string, Rule> &rules)
{
    BOOST_LEAF_AUTO(entries, elements(node, MaxRoutes));
    std::vector<Route> routes;
    std::set<std::pair<std::string, std::string>> definedRoutes;
    for (const auto &entry : entries) {
        BOOST_LEAF_AUTO(route, readRoute(entry, rules));
        for (const auto &method : methodsOf(route)) {
            if (!definedRoutes.emplace(route.pathPrefix, method).second) {
                return nodeError(entry, "duplicate route for " + method + " " + route.pathPrefix, "define one route for each path prefix and method");
            }
        }
        routes.push_back(std::move(route));
    }
    return routes;
}

// ---- [service] --------------------------------------------------------------------------------------------------

Result<unsigned> readCount(const JsonNode &node, const std::string &name, std::uint64_t max)
{
    BOOST_LEAF_AUTO(found, member(node, name));
    BOOST_LEAF_AUTO(n, asInteger(found, 1, max));
    return static_cast<unsigned>(n);
}

Result<TargetEntry> readTarget(const JsonNode &node)
{
    BOOST_LEAF_CHECK(rejectUnknownMembers(node, {"host", "data_centre", "address", "slots", "connections"}));
    TargetEntry target;
    BOOST_LEAF_AUTO(host, member(node, "host"));
    BOOST_LEAF_ASSIGN(target.host, asIpv4Address(host));
    BOOST_LEAF_AUTO(dataCentre, member(node, "data_centre"));
    BOOST_LEAF_ASSIGN(target.dataCentre, asName(dataCentre));
    BOOST_LEAF_AUTO(address, member(node, "address"));
    BOOST_LEAF_ASSIGN(target.address, asEndpoint(address));
    BOOST_LEAF_ASSIGN(target.slots, readCount(node, "slots", MaxSlots));
    BOOST_LEAF_ASSIGN(target.connections, readCount(node, "connections", MaxConnections));
    return target;
}

Result<std::vector<TargetEntry>> readTargets(const JsonNode &node)
{
    BOOST_LEAF_AUTO(entries, elements(node, MaxTargets));
    std::vector<TargetEntry> targets;
    std::set<std::string> hosts;
    std::set<Endpoint> addresses;
    for (const auto &entry : entries) {
        BOOST_LEAF_AUTO(target, readTarget(entry));
        const bool isNew = hosts.insert(target.host).second && addresses.insert(target.address).second;
        if (!isNew) {
            return nodeError(entry, "another target has the same host or address", "list each host and each address once");
        }
        targets.push_back(std::move(target));
    }
    return targets;
}

} // namespace

std::string toString(Version version)
{
    return std::to_string(version.epoch) + "." + std::to_string(version.revision);
}

const char *requestClassName(RequestClass requestClass)
{
    return classNames()[static_cast<std::size_t>(requestClass)].c_str();
}

Result<Profile> parseProfile(const std::string &json)
{
    BOOST_LEAF_AUTO(tree, readStrictJson(json, {}));
    const JsonNode root{&tree, "/"};
    BOOST_LEAF_CHECK(rejectUnknownMembers(root, {"spread", "routes", "rules"}));
    Profile profile;
    if (const auto spread = findMember(root, "spread")) {
        BOOST_LEAF_AUTO(n, asEnumIndex(*spread, spreadNames()));
        profile.spread = static_cast<SpreadMode>(n);
    }
    BOOST_LEAF_AUTO(rules, member(root, "rules"));
    BOOST_LEAF_ASSIGN(profile.rules, readRules(rules));
    BOOST_LEAF_AUTO(routes, member(root, "routes"));
    BOOST_LEAF_ASSIGN(profile.routes, readRoutes(routes, profile.rules));
    return profile;
}

Result<Service> parseService(const std::string &json)
{
    BOOST_LEAF_AUTO(tree, readStrictJson(json, {}));
    const JsonNode root{&tree, "/"};
    BOOST_LEAF_CHECK(rejectUnknownMembers(root, {"profile", "targets"}));
    Service service;
    BOOST_LEAF_AUTO(profile, member(root, "profile"));
    BOOST_LEAF_ASSIGN(service.profile, asName(profile));
    BOOST_LEAF_AUTO(targets, member(root, "targets"));
    BOOST_LEAF_ASSIGN(service.targets, readTargets(targets));
    return service;
}

} // namespace Fescuenotch
