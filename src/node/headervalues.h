// Reading and writing of header values that the two handlers share.
#pragma once

#include "kernel/clock.h"
#include "kernel/http.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Fescuenotch {

/// A whole decimal number, or nothing.
std::optional<std::uint64_t> parseNumber(std::string_view text);
/// The value of a header as a number; nothing when it is absent or no number.
std::optional<std::uint64_t> numberHeader(const Headers &headers, std::string_view name);
void removeHeader(Headers &headers, std::string_view name);
/// Retry-After in ms; 0 when absent or given as a date.
milliseconds retryAfterOf(const Headers &headers);

} // namespace Fescuenotch
