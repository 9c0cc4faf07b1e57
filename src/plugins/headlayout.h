// Finds request heads that the HTTP library has repaired.
//
// libmicrohttpd takes folded headers, bare line ends, null bytes and extra spaces and hands on the repaired result, from
// which they can no longer be seen. But its strings still lie where they were received. In a strict head each one
// follows the last at a known distance, and the head ends where the library counted its end; anything else was repaired.
//
// How to use: fill a HeadLayout with views of the library's own strings (no copies) and refuse unless `isStrictLayout`.
// Pitfall: a library that copies its strings makes every head fail, which is refused too and so never unsafe.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace Fescuenotch {

struct HeaderView {
    std::string_view name;
    std::string_view value; ///< with the spaces behind it
};

struct HeadLayout {
    std::string_view method; ///< the head begins here
    std::string_view uri; ///< where it starts, and its length before any change
    std::string_view version;
    std::vector<HeaderView> headers; ///< in the order received
    std::size_t headBytes = 0; ///< bytes from the method to the end of the empty line
};

/// True when nothing but single spaces, colons with optional space behind, and CRLF separates the parts.
bool isStrictLayout(const HeadLayout &layout);

} // namespace Fescuenotch
