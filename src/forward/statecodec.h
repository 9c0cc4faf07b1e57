// Encodes and decodes the messages by which nodes share the state of the platform: the configuration, complete or as a
// difference, and changes of targets.
//
// How to use: a node sends `encodeStateRequest` with the versions that it has. The peer replies with `encodeStateNews`,
// which contains what the node lacks; the configuration in it comes from `serializeConfiguration` and `compress`. The node
// reads the reply with `deserializeConfiguration`, which rebuilds the configuration from the base that the node has, and
// with `decodeTargetUpdates`.
#pragma once

#include "forward/linkcodec.h"
#include "mesh/evacuations.h"
#include "mesh/routes.h"
#include "mesh/targets.h"

namespace Fescuenotch {

/// The versions that a node has. Sent with a state request, so that the answer contains only what is newer.
struct StateVersions {
    std::uint64_t configuration = 0; ///< version of the configuration in force; 0: none
    StorePosition storePosition; ///< its list of targets includes every change up to here
    bool wantsAllTargets = false; ///< asks for the complete list: changes since `storePosition` are not enough, or it has no list
};

std::string encodeStateRequest(const StateVersions &versions);
StateVersions decodeStateRequest(const MeshWire::StateRequest &request);

/// Serializes a configuration, as the difference from `base` unless that is null.
std::string serializeConfiguration(const MeshConfiguration &configuration, const MeshConfiguration *base);
/// Decompresses and decodes what `serializeConfiguration` and `compress` produced. `size` is the size in bytes before
/// compression, `base` the configuration in force here, or null. Error InvalidFrame if the bytes are invalid or too
/// many, or are the difference from another base.
Result<MeshConfiguration> deserializeConfiguration(std::string_view compressed, std::size_t size, const MeshConfiguration *base);

struct CompressedConfiguration {
    std::string bytes; ///< compressed
    std::size_t size = 0; ///< size in bytes before compression
};
CompressedConfiguration compress(const std::string &bytes);

/// `configuration` may be null: nothing newer. `allTargets`: `targets` is the complete list as of `storePosition`. `evacuations`
/// are all that the sender knows; null: it does not know them.
std::string encodeStateNews(const CompressedConfiguration *configuration,
                            const std::vector<TargetUpdate> &targets,
                            bool allTargets,
                            StorePosition storePosition,
                            const std::vector<EvacuationUpdate> *evacuations = nullptr);
/// The evacuations that the sender knows; none: it does not know them.
std::optional<std::vector<EvacuationUpdate>> decodeEvacuations(const MeshWire::StateNews &news);
std::vector<TargetUpdate> decodeTargetUpdates(const MeshWire::StateNews &news);

} // namespace Fescuenotch
