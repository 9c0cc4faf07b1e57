// An IP number with a port, as settings and documents write it: "127.1.0.11:7400".
#pragma once

#include "kernel/errors.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Fescuenotch {

struct Endpoint {
    std::string host; ///< IPv4 number in dotted form
    std::uint16_t port = 0; ///< 1 to 65535
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted <=> for a null pointer
    auto operator<=>(const Endpoint &) const = default;
};

/// Parses "A.B.C.D:PORT". Error InvalidInput names the text and the form expected.
Result<Endpoint> parseEndpoint(std::string_view text);
/// True for a dotted IPv4 number.
bool isIpNumber(std::string_view text);
std::string toString(const Endpoint &endpoint);

} // namespace Fescuenotch
