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
struct StateMark {
    std::uint64_t configuration = 0; ///< version in force; 0: none
    std::uint64_t storeRevision = 0; ///< its view of the targets is whole up to here
    bool wantsAllTargets = false; ///< its digest differs although it has heard as much
};

std::string encodeStateRequest(const StateMark &mark);
StateMark decodeStateRequest(const MeshWire::StateRequest &request);

/// A configuration as bytes, as the difference from `base` if there is one.
std::string packConfiguration(const MeshConfiguration &configuration, const MeshConfiguration *base);
/// `packed` as it came; empty: the sender had nothing newer. Error InvalidFrame when it cannot be read or applied.
Result<MeshConfiguration> unpackConfiguration(std::string_view packed, std::size_t size, const MeshConfiguration *base);

struct PackedConfiguration {
    std::string bytes; ///< compressed
    std::size_t size = 0; ///< bytes before compression
};
PackedConfiguration compress(const std::string &bytes);

std::string encodeStateNews(const PackedConfiguration *configuration, const std::vector<TargetUpdate> &targets, bool allTargets, std::uint64_t storeRevision);
std::vector<TargetUpdate> decodeTargetNews(const MeshWire::StateNews &news);

} // namespace Fescuenotch
