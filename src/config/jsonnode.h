// One place in a JSON tree with its pointer, and typed reads of it.
//
// How to use: start with `JsonNode{tree, "/"}`; `member` and `elements` go down; the `as...` functions give a value in
// its allowed range or fail with an InvalidDocument error: pointer, what was seen, what is allowed.
// Pitfall: a node points into its tree, which must outlive it.
#pragma once

#include "kernel/endpoint.h"
#include "kernel/errors.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Fescuenotch {

constexpr std::size_t MaxNameLength = 128; ///< characters of a name of a service, profile, rule or data centre

struct JsonNode {
    const nlohmann::json *value = nullptr;
    std::string pointer;
};

/// True for 1 to 128 letters, digits, '-', '_' or '.'.
bool isDocumentName(std::string_view text);

leaf::error_id nodeError(const JsonNode &node, const std::string &what, const std::string &remedy);

/// The members of an object: name and node. At most `max`.
Result<std::vector<std::pair<std::string, JsonNode>>> members(const JsonNode &node, std::size_t max);
/// The elements of an array. At most `max`.
Result<std::vector<JsonNode>> elements(const JsonNode &node, std::size_t max);
/// Refuses a node that is no object, or one with a member that `allowed` does not name.
Result<void> rejectUnknownMembers(const JsonNode &node, const std::vector<std::string> &allowed);
/// A member that must be there.
Result<JsonNode> member(const JsonNode &node, const std::string &name);
/// A member that may be missing.
std::optional<JsonNode> findMember(const JsonNode &node, const std::string &name);

Result<std::string> asString(const JsonNode &node);
Result<std::string> asName(const JsonNode &node);
Result<std::string> asIpv4Address(const JsonNode &node);
Result<Endpoint> asEndpoint(const JsonNode &node);
Result<bool> asBool(const JsonNode &node);
Result<std::uint64_t> asInteger(const JsonNode &node, std::uint64_t low, std::uint64_t high);
/// Index of the text among `allowed`.
Result<std::size_t> asEnumIndex(const JsonNode &node, const std::vector<std::string> &allowed);

} // namespace Fescuenotch
