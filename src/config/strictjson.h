// Reads JSON text strictly: duplicate member names, deep nesting and oversized text are refused.
//
// How to use: `readStrictJson(text, options)` gives the tree, or an InvalidDocument error that starts with a JSON pointer.
// A member picked by `RawMember` is not parsed into the tree: its JSON text is kept as a string, duplicates included
// (null stays null). So one broken document inside a page cannot make the whole page unreadable.
// Pitfall: the pointer of the root is written "/" here, so that an error text never starts with nothing.
#pragma once

#include "kernel/errors.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Fescuenotch {

constexpr std::size_t MaxValueBytes = 1'048'576; ///< bytes; one document
constexpr std::size_t MaxPageBytes = 67'108'864; ///< bytes; one answer of the platform
constexpr std::size_t MaxJsonDepth = 16; ///< objects and arrays inside one another

/// Which members are kept as JSON text.
struct RawMember {
    std::size_t depth = 1; ///< objects and arrays around the member
    std::string name; ///< empty: every member at that depth
};

struct JsonReadOptions {
    std::size_t maxBytes = MaxValueBytes; ///< bytes
    std::optional<RawMember> rawMember;
};

Result<nlohmann::json> readStrictJson(const std::string &text, const JsonReadOptions &options);

/// JSON pointer (RFC 6901) of a member or element of `parent`; the root is "/" or empty.
std::string pointerOf(const std::string &parent, std::string_view token);

} // namespace Fescuenotch
