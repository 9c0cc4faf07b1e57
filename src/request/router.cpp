#include "request/decisions.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

/// True when `prefix` matches whole segments of `path`: "/slots" matches "/slots", "/slots/7" and "/slots?day=1", not "/slotsX".
bool prefixMatches(const std::string &prefix, const std::string &path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    if (prefix.ends_with('/') || path.size() == prefix.size()) {
        return true;
    }
    const char next = path[prefix.size()];
    return next == '/' || next == '?';
}

bool acceptsMethod(const Route &route, const std::string &method)
{
    const auto &methods = route.methods;
    const auto has = [&](const char *name) { return std::find(methods.begin(), methods.end(), name) != methods.end(); };
    return methods.empty() || has(method.c_str()) || (method == "HEAD" && has("GET"));
}

} // namespace

std::optional<RouteMatch> matchRoute(const Snapshot &snapshot, const std::string &method, const std::string &path)
{
    const Route *best = nullptr;
    for (const auto &route : snapshot.profile.routes) {
        if (!prefixMatches(route.pathPrefix, path) || !acceptsMethod(route, method)) {
            continue;
        }
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size()) {
            best = &route;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto rule = snapshot.profile.rules.find(best->rule);
    const auto service = snapshot.services.find(best->service);
    if (rule == snapshot.profile.rules.end() || service == snapshot.services.end()) {
        return std::nullopt;
    }
    return RouteMatch{best, &rule->second, &service->second};
}

} // namespace Fescuenotch
