// HTTP message parts shared by callers, peers and targets.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Fescuenotch {

struct Header {
    std::string name;
    std::string value;
    bool operator==(const Header &) const = default;
};
using Headers = std::vector<Header>;

/// Whether a status code is one of HTTP (RFC 9110, 15): 100 to 599. A message with another one is no response.
constexpr bool isResponseStatus(unsigned status)
{
    return status >= 100 && status <= 599;
}
/// Compares header names: ASCII letters without case.
bool sameHeaderName(std::string_view a, std::string_view b);
/// First value of a header, or nullptr.
const std::string *findHeader(const Headers &headers, std::string_view name);
/// Removes hop-by-hop headers (RFC 9110, 7.6.1) and those that Connection names.
void removeHopByHopHeaders(Headers &headers);

} // namespace Fescuenotch
