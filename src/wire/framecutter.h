// Cuts a byte stream into size-prefixed frames. Knows nothing of what is in them.
//
// How to use: `append` what a socket gave, then call `next` until it gives false; `frame()` is the last one cut, prefix
// included, aligned for FlatBuffers.
// Pitfall: `frame()` is valid until the next call of `next`.
#pragma once

#include "kernel/errors.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Fescuenotch {

class FrameCutter
{
public:
    explicit FrameCutter(std::uint32_t cap)
        : m_cap(cap)
    {
    }
    void append(std::string_view bytes);
    /// False when more bytes are needed; InvalidFrame when the prefix is 0 or above the cap.
    Result<bool> next();
    const std::vector<std::uint8_t> &frame() const
    {
        return m_frame;
    }
    void setCap(std::uint32_t cap) ///< bytes; of frames from now on
    {
        m_cap = cap;
    }

private:
    std::string m_buf;
    std::size_t m_taken = 0; ///< bytes of m_buf already handed out
    std::uint32_t m_cap; ///< bytes
    std::vector<std::uint8_t> m_frame; ///< aligned copy of the current frame
};

/// InvalidFrame with the remedy that fits every link between nodes.
leaf::error_id badFrame(const std::string &what);

} // namespace Fescuenotch
