#include "kernel/http.h"

#include <boost/algorithm/string.hpp>

#include <algorithm>
#include <array>

namespace Fescuenotch {

bool sameHeaderName(std::string_view a, std::string_view b)
{
    return boost::algorithm::iequals(a, b);
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [&](const Header &h) { return sameHeaderName(h.name, name); });
    return it == headers.end() ? nullptr : &it->value;
}

void removeHopByHopHeaders(Headers &headers)
{
    std::vector<std::string> doomed{
        "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"};
    for (const auto &h : headers) {
        if (!sameHeaderName(h.name, "Connection")) {
            continue;
        }
        std::vector<std::string> named;
        boost::algorithm::split(named, h.value, boost::is_any_of(","));
        for (auto &name : named) {
            boost::algorithm::trim(name);
            doomed.push_back(name);
        }
    }
    std::erase_if(headers, [&](const Header &h) {
        return std::any_of(doomed.begin(), doomed.end(), [&](const std::string &name) { return sameHeaderName(h.name, name); });
    });
}

} // namespace Fescuenotch
