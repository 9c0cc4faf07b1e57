// The k-ary tree that every node of a data centre derives from the same ranked list.
//
// How to use: `treeChildren` gives whom `self` passes a message on to that began at `root`. The list is rotated so that
// it starts at the root's rank, so any node can be the root and the load of inner positions moves with it.
// Pitfall: two nodes with different lists derive different trees; what falls between is repaired by digests.
#pragma once

#include "spread/membership.h"

#include <string>
#include <vector>

namespace Fescuenotch {

/// Children of `self` in the tree of `root`; none when `self` is neither in the list nor the root.
std::vector<RankedHost>
treeChildren(const std::vector<RankedHost> &ranked, const std::string &dataCentre, const std::string &root, const std::string &self, unsigned fanOut);
/// Parent of `self`, or nothing for the root.
const RankedHost *treeParent(const std::vector<RankedHost> &ranked, const std::string &self, unsigned fanOut);

} // namespace Fescuenotch
