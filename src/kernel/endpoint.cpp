#include "kernel/endpoint.h"

#include <arpa/inet.h>

#include <charconv>

namespace Fescuenotch {

bool isIpNumber(std::string_view text)
{
    in_addr addr{};
    return inet_pton(AF_INET, std::string(text).c_str(), &addr) == 1;
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const auto bad = [&] {
        return fail(ErrorKind::InvalidInput, "'" + std::string(text) + "' is no address", "write an IPv4 number and a port, such as 127.1.0.11:7400");
    };
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpNumber(text.substr(0, colon))) {
        return bad();
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc() || end != digits.data() + digits.size() || port == 0) {
        return bad();
    }
    return Endpoint{std::string(text.substr(0, colon)), port};
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

} // namespace Fescuenotch
