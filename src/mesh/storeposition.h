// A point in the history of the platform's store.
//
// A store that comes back from an older copy loses its latest writes and gives their revisions out again. Each such return
// raises the store's era, so revisions are only comparable within one era.
#pragma once

#include <compare>
#include <cstdint>

namespace Fescuenotch {

struct StorePosition {
    std::uint64_t era = 0; ///< rises by one each time the store comes back from an older copy; 0: not stated
    std::uint64_t revision = 0; ///< within the era
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted <=> for a null pointer
    auto operator<=>(const StorePosition &) const = default;
};

} // namespace Fescuenotch
