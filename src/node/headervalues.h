// Parsing and removal of HTTP headers, for the entry and the exit handler.
#pragma once

#include "kernel/clock.h"
#include "kernel/http.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Fescuenotch {

/// Parses an unsigned decimal number; nothing when `text` contains anything else or the number exceeds 64 bits.
std::optional<std::uint64_t> parseNumber(std::string_view text);
/// The value of a header as a number; nothing when it is absent or not a number.
std::optional<std::uint64_t> numberHeader(const Headers &headers, std::string_view name);
void removeHeader(Headers &headers, std::string_view name);
/// Retry-After in ms, at most one hour; 0 when absent or given as a date.
milliseconds retryAfterOf(const Headers &headers);

} // namespace Fescuenotch
