// What nodes tell each other of the platform's state: the configuration, whole or as a difference, and news of targets.
//
// How to use: `encodeStateRequest` asks; `encodeStateNews` answers with what the asker lacks; `decodeConfigurationNews`
// gives the configuration again, from the one that the asker has.
#pragma once

#include "forward/linkcodec.h"
#include "mesh/routes.h"
#include "mesh/targets.h"

namespace Fescuenotch {

/// What a node has, and so what it asks for.
struct StateVersions {
    std::uint64_t configuration = 0; ///< version in force; 0: none
    std::uint64_t storeRevision = 0; ///< its view of the targets is whole up to here
    bool wantsAllTargets = false; ///< its digest differs although it has heard as much
};

std::string encodeStateRequest(const StateVersions &versions);
StateVersions decodeStateRequest(const MeshWire::StateRequest &request);

/// A configuration as bytes, as the difference from `base` if there is one.
std::string serializeConfiguration(const MeshConfiguration &configuration, const MeshConfiguration *base);
/// `packed` as it came; empty: the sender had nothing newer. Error InvalidFrame when it cannot be read or applied.
Result<MeshConfiguration> deserializeConfiguration(std::string_view compressed, std::size_t size, const MeshConfiguration *base);

struct CompressedConfiguration {
    std::string bytes; ///< compressed
    std::size_t size = 0; ///< bytes before compression
};
CompressedConfiguration compress(const std::string &bytes);

std::string encodeStateNews(const CompressedConfiguration *configuration, const std::vector<TargetNews> &targets, bool allTargets, std::uint64_t storeRevision);
std::vector<TargetNews> decodeTargetNews(const MeshWire::StateNews &news);

} // namespace Fescuenotch
