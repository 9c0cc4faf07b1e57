#include "plugins/headlayout.h"

#include <algorithm>
#include <cstdint>

namespace Fescuenotch {

namespace {

constexpr std::size_t SpaceBytes = 1; ///< bytes between the parts of a request line
constexpr std::size_t ColonBytes = 1; ///< bytes
constexpr std::size_t LineEndBytes = 2; ///< bytes of CRLF

/// Distance of `text` from the start of the head; far out of range when it lies elsewhere.
std::uintptr_t offset(const HeadLayout &layout, std::string_view text)
{
    return reinterpret_cast<std::uintptr_t>(text.data()) - reinterpret_cast<std::uintptr_t>(layout.method.data());
}

bool isSpace(char c)
{
    return c == ' ' || c == '\t';
}

/// True when only optional space lies between the colon and the value.
bool valueFollowsName(const HeadLayout &layout, const HeaderView &header)
{
    const auto afterColon = offset(layout, header.name) + header.name.size() + ColonBytes;
    const auto valueAt = offset(layout, header.value);
    if (valueAt < afterColon || valueAt > layout.headBytes) {
        return false;
    }
    const char *head = layout.method.data();
    return std::all_of(head + afterColon, head + valueAt, isSpace);
}

} // namespace

bool isStrictLayout(const HeadLayout &layout)
{
    const auto uriAt = layout.method.size() + SpaceBytes;
    const auto versionAt = uriAt + layout.uri.size() + SpaceBytes;
    if (offset(layout, layout.uri) != uriAt || offset(layout, layout.version) != versionAt) {
        return false;
    }
    auto lineEnd = versionAt + layout.version.size();
    for (const auto &header : layout.headers) {
        if (offset(layout, header.name) != lineEnd + LineEndBytes || !valueFollowsName(layout, header)) {
            return false;
        }
        lineEnd = offset(layout, header.value) + header.value.size();
    }
    return lineEnd + 2 * LineEndBytes == layout.headBytes;
}

} // namespace Fescuenotch
