#include "mesh/linkselection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

namespace Fescuenotch {

namespace {

/// Peers of one service in one data centre.
struct Group {
    bool isUsed = false; ///< this node sends requests to the service
    bool isOwnDataCentre = false;
    std::vector<std::pair<std::uint64_t, std::string>> peers; ///< rank and host
};

std::uint64_t rankOf(const std::string &own, const std::string &peer)
{
    return XXH64(peer.data(), peer.size(), XXH64(own.data(), own.size(), 0));
}

std::vector<Group> groupsOf(const LinkSelectionSettings &settings, const std::vector<LinkCandidate> &candidates, const std::set<std::string> &usedServices)
{
    std::map<std::pair<std::string, std::string>, Group> groups; // by data centre and service
    for (const auto &each : candidates) {
        if (each.host == settings.host) {
            continue;
        }
        auto &group = groups[{each.dataCentre, each.service}];
        group.isUsed = usedServices.contains(each.service);
        group.isOwnDataCentre = each.dataCentre == settings.dataCentre;
        group.peers.emplace_back(rankOf(settings.host, each.host), each.host);
    }
    std::vector<Group> sorted;
    sorted.reserve(groups.size());
    for (auto &[key, group] : groups) {
        std::sort(group.peers.begin(), group.peers.end());
        const auto limit = group.isOwnDataCentre ? settings.maxPerOwnGroup : settings.maxPerOtherGroup;
        group.peers.resize(std::min(group.peers.size(), limit));
        sorted.push_back(std::move(group));
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const Group &a, const Group &b) {
        return std::tuple(!a.isUsed, !a.isOwnDataCentre) < std::tuple(!b.isUsed, !b.isOwnDataCentre);
    });
    return sorted;
}

} // namespace

std::vector<std::string>
selectLinks(const LinkSelectionSettings &settings, const std::vector<LinkCandidate> &candidates, const std::set<std::string> &usedServices)
{
    const auto groups = groupsOf(settings, candidates, usedServices);
    std::vector<std::string> selected;
    std::set<std::string> seen; // a host may be listed with several targets
    for (const bool used : {true, false}) {
        const auto rounds = std::max(settings.maxPerOwnGroup, settings.maxPerOtherGroup);
        for (std::size_t round = 0; round < rounds; ++round) {
            for (const auto &group : groups) {
                if (group.isUsed != used || round >= group.peers.size() || selected.size() >= settings.maxLinks) {
                    continue;
                }
                if (seen.insert(group.peers[round].second).second) {
                    selected.push_back(group.peers[round].second);
                }
            }
        }
    }
    return selected;
}

} // namespace Fescuenotch
