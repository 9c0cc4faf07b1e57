// Selects the peers to which a node keeps links open. In a fleet of hundreds of nodes a link to every other node costs more
// than it brings: each link carries heartbeats in both directions, and traffic between data centres is paid for.
//
// Peers are grouped by data centre and service. Within a group each node prefers other peers, by a hash of both hosts
// (rendezvous hashing), so that every target is linked by about the same number of nodes, and a host that joins or leaves
// changes few links. In the own data centre nearly all peers are linked, in the others a few per service: enough to move
// requests there when the own data centre is short of capacity.
//
// Services that the node sends requests to come first, then the others in rounds of one peer per group, up to `maxLinks`.
//
// Usage: call `selectLinks` whenever the list of targets has changed, and open the links that it returns.
// Pitfall: a target without a link is not lost: the load balancer falls back on it when no linked target is left.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch {

struct LinkSelectionSettings {
    std::string host; ///< of this node
    std::string dataCentre; ///< of this node
    std::size_t maxLinks = 128; ///< links
    std::size_t maxPerOwnGroup = 64; ///< links to the targets of one service in the own data centre
    std::size_t maxPerOtherGroup = 4; ///< links to the targets of one service in one other data centre
};

/// A peer and the target on its host.
struct LinkCandidate {
    std::string host;
    std::string dataCentre;
    std::string service;
};

/// Hosts to which links are to be kept, most important first. `usedServices`: services that this node sends requests to.
std::vector<std::string>
selectLinks(const LinkSelectionSettings &settings, const std::vector<LinkCandidate> &candidates, const std::set<std::string> &usedServices);

} // namespace Fescuenotch
