#include "node/headervalues.h"

#include "node/headernames.h"

#include <algorithm>
#include <charconv>

namespace Fescuenotch {

namespace {

constexpr std::uint64_t MaxRetryAfterSeconds = 3'600; ///< s; longer values are reduced to this

} // namespace

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> numberHeader(const Headers &headers, std::string_view name)
{
    const auto *value = findHeader(headers, name);
    return value == nullptr ? std::nullopt : parseNumber(*value);
}

void removeHeader(Headers &headers, std::string_view name)
{
    std::erase_if(headers, [&](const Header &header) { return sameHeaderName(header.name, name); });
}

milliseconds retryAfterOf(const Headers &headers)
{
    const auto wait = numberHeader(headers, HeaderNames::RetryAfter).value_or(0);
    return seconds(static_cast<seconds::rep>(std::min(wait, MaxRetryAfterSeconds)));
}

} // namespace Fescuenotch
