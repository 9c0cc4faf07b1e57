#include "standins/archive.h"

#include <algorithm>
#include <charconv>

namespace Fescuenotch::Standins {

namespace {

/// splitmix64 of a word's index.
std::uint64_t archiveWord(std::uint64_t index)
{
    std::uint64_t x = index + 0x9e3779b97f4a7c15ULL;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

char archiveByte(std::uint64_t offset)
{
    return static_cast<char>(archiveWord(offset / 8) >> (offset % 8 * 8));
}

std::optional<std::uint64_t> readNumber(const std::string &text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool whole = ec == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(n) : std::nullopt;
}

} // namespace

void fillArchive(std::uint64_t offset, std::span<char> buf)
{
    std::size_t n = 0;
    while (n < buf.size()) {
        std::uint64_t word = archiveWord((offset + n) / 8) >> ((offset + n) % 8 * 8);
        const auto left = std::min<std::size_t>(8 - (offset + n) % 8, buf.size() - n);
        for (std::size_t it = 0; it < left; ++it) {
            buf[n++] = static_cast<char>(word);
            word >>= 8U;
        }
    }
}

std::optional<std::uint64_t> archiveFault(std::uint64_t offset, std::span<const char> piece)
{
    for (std::size_t n = 0; n < piece.size(); ++n) {
        if (piece[n] != archiveByte(offset + n)) {
            return offset + n;
        }
    }
    return std::nullopt;
}

std::optional<ArchiveRange> parseRange(const std::string &text, std::uint64_t size)
{
    const std::string unit = "bytes=";
    const auto dash = text.find('-');
    if (text.rfind(unit, 0) != 0 || dash == std::string::npos || size == 0) {
        return std::nullopt;
    }
    const auto first = readNumber(text.substr(unit.size(), dash - unit.size()));
    const auto last = readNumber(text.substr(dash + 1));
    if (!first && last && *last > 0) {
        const auto length = std::min(*last, size);
        return ArchiveRange{size - length, length};
    }
    if (!first || *first >= size || (last && *last < *first)) {
        return std::nullopt;
    }
    const auto end = last ? std::min(*last, size - 1) : size - 1;
    return ArchiveRange{*first, end - *first + 1};
}

} // namespace Fescuenotch::Standins
