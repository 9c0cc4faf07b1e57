// A strict JSON reader: rejects duplicate member names, deep nesting and oversized input.
//
// Usage: `readStrictJson(text, options)` returns the tree. Errors: InvalidDocument; the text starts with a JSON pointer.
// Raw members: the value of a member selected by `RawMember` is not parsed into the tree, but kept as a string of JSON text
// (null stays null). Duplicate names in it are kept too. So one invalid document in a page does not invalidate the whole page.
// Pitfall: the pointer of the root is "/" here, not the empty string of RFC 6901, so that no error text starts empty.
#pragma once

#include "kernel/errors.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Fescuenotch {

constexpr std::size_t MaxValueBytes = 1'048'576; ///< bytes of one document
constexpr std::size_t MaxPageBytes = 67'108'864; ///< bytes of one response of the platform
constexpr std::size_t MaxJsonDepth = 16; ///< nested objects and arrays

/// Selects members whose values are kept as JSON text.
struct RawMember {
    std::size_t depth = 1; ///< number of objects and arrays around the member
    std::string name; ///< empty: all members at that depth
};

struct JsonReadOptions {
    std::size_t maxBytes = MaxValueBytes; ///< larger input is rejected
    std::optional<RawMember> rawMember;
};

Result<nlohmann::json> readStrictJson(const std::string &text, const JsonReadOptions &options);

/// JSON pointer (RFC 6901) of a member or element of `parent`. `parent` is "/" or empty for the root.
std::string pointerOf(const std::string &parent, std::string_view token);

} // namespace Fescuenotch
