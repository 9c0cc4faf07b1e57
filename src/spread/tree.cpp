#include "spread/tree.h"

#include <algorithm>
#include <tuple>

namespace Fescuenotch {
namespace {

/// Index in the ranked list of the host at `position` of the list that is rotated to `start` and lacks the root.
std::size_t rotated(std::size_t position, std::size_t start, std::size_t size)
{
    return (start + position) % size;
}

} // namespace

std::vector<RankedHost>
treeChildren(const std::vector<RankedHost> &ranked, const std::string &dataCentre, const std::string &root, const std::string &self, unsigned fanOut)
{
    std::vector<RankedHost> below; // everyone but the root, from the root's rank on
    const auto weight = rendezvousWeight(dataCentre, root);
    const auto after = [&](const RankedHost &it) { return std::tie(it.weight, it.host) < std::tie(weight, root); };
    const auto first = std::find_if(ranked.begin(), ranked.end(), after);
    const auto start = static_cast<std::size_t>(first - ranked.begin());
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        const auto &it = ranked[rotated(i, start, ranked.size())];
        if (it.host != root) {
            below.push_back(it);
        }
    }
    // Positions of the whole tree: 0 is the root, n is below[n - 1].
    std::size_t position = 0;
    if (self != root) {
        const auto found = std::find_if(below.begin(), below.end(), [&](const RankedHost &it) { return it.host == self; });
        if (found == below.end()) {
            return {};
        }
        position = static_cast<std::size_t>(found - below.begin()) + 1;
    }
    const std::size_t from = std::min(position * fanOut, below.size());
    const std::size_t to = std::min(from + fanOut, below.size());
    return {below.begin() + static_cast<std::ptrdiff_t>(from), below.begin() + static_cast<std::ptrdiff_t>(to)};
}

const RankedHost *treeParent(const std::vector<RankedHost> &ranked, const std::string &self, unsigned fanOut)
{
    const auto found = std::find_if(ranked.begin(), ranked.end(), [&](const RankedHost &it) { return it.host == self; });
    if (found == ranked.end() || found == ranked.begin()) {
        return nullptr;
    }
    const auto position = static_cast<std::size_t>(found - ranked.begin());
    return &ranked[(position - 1) / fanOut];
}

} // namespace Fescuenotch
