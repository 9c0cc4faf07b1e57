// A value in a JSON tree together with its JSON pointer, and typed, range-checked access to it.
//
// Usage: start with `JsonNode{&tree, "/"}`; `member`, `members` and `elements` give child nodes; the `as...` functions convert.
// Errors: InvalidDocument with the pointer, the value found and what is allowed.
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

constexpr std::size_t MaxNameLength = 128; ///< characters in the name of a service, profile, rule or data centre

struct JsonNode {
    const nlohmann::json *value = nullptr;
    std::string pointer;
};

/// True for 1 to 128 letters, digits, '-', '_' or '.'.
bool isDocumentName(std::string_view text);

/// Creates an InvalidDocument error about the node.
leaf::error_id nodeError(const JsonNode &node, const std::string &what, const std::string &remedy);

/// Names and nodes of the members of an object. Error when the node is not an object or has more than `max` members.
Result<std::vector<std::pair<std::string, JsonNode>>> members(const JsonNode &node, std::size_t max);
/// Nodes of the elements of an array. Error when the node is not an array or has more than `max` elements.
Result<std::vector<JsonNode>> elements(const JsonNode &node, std::size_t max);
/// Error when the node is not an object, or has a member that is not in `allowed`.
Result<void> rejectUnknownMembers(const JsonNode &node, const std::vector<std::string> &allowed);
/// A required member. Error when it is missing or the node is not an object.
Result<JsonNode> member(const JsonNode &node, const std::string &name);
/// An optional member; none when it is missing or the node is not an object.
std::optional<JsonNode> findMember(const JsonNode &node, const std::string &name);

Result<std::string> asString(const JsonNode &node);
/// A string for which `isDocumentName` is true.
Result<std::string> asName(const JsonNode &node);
/// An IPv4 address in dotted decimal notation, without a port.
Result<std::string> asIpv4Address(const JsonNode &node);
/// "ADDRESS:PORT" with an IPv4 address and a port from 1 to 65535.
Result<Endpoint> asEndpoint(const JsonNode &node);
Result<bool> asBool(const JsonNode &node);
/// An integer from `low` to `high`, both included.
Result<std::uint64_t> asInteger(const JsonNode &node, std::uint64_t low, std::uint64_t high);
/// Index in `allowed` of the string. Error when it is not listed.
Result<std::size_t> asEnumIndex(const JsonNode &node, const std::vector<std::string> &allowed);

} // namespace Fescuenotch
