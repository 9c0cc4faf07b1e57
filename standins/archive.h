// Archives of fixed content: the byte at each offset follows from the offset alone, so that any piece can be checked.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace Fescuenotch::Standins {

/// A part of an archive, from a Range header.
struct ArchiveRange {
    std::uint64_t first = 0; ///< offset of the first byte
    std::uint64_t length = 0; ///< bytes
};

/// Fills `buf` with the content that starts at `offset`.
void fillArchive(std::uint64_t offset, std::span<char> buf);
/// Offset of the first byte of `piece` that differs from the content at `offset`; nothing when all are right.
std::optional<std::uint64_t> archiveFault(std::uint64_t offset, std::span<const char> piece);
/// Reads "bytes=A-B", "bytes=A-" or "bytes=-N"; nothing when it cannot be satisfied.
std::optional<ArchiveRange> parseRange(const std::string &text, std::uint64_t size);

} // namespace Fescuenotch::Standins
