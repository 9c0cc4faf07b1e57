#include "wire/framecutter.h"

#include <flatbuffers/flatbuffers.h>

namespace Fescuenotch {

namespace {

constexpr std::size_t PrefixBytes = sizeof(std::uint32_t);
constexpr std::size_t CompactAfterBytes = 256 * 1024; ///< bytes; taken bytes kept before the buffer is moved down

} // namespace

leaf::error_id badFrame(const std::string &what)
{
    return fail(ErrorKind::InvalidFrame, what, "check that only nodes of this version connect to --peer-listen");
}

void FrameCutter::append(std::string_view bytes)
{
    if (m_taken == m_buf.size()) {
        m_buf.clear();
        m_taken = 0;
    } else if (m_taken > CompactAfterBytes) {
        m_buf.erase(0, m_taken);
        m_taken = 0;
    }
    m_buf.append(bytes);
}

Result<bool> FrameCutter::next()
{
    if (m_buf.size() - m_taken < PrefixBytes) {
        return false;
    }
    const auto n = flatbuffers::ReadScalar<std::uint32_t>(m_buf.data() + m_taken);
    if (n > m_cap || n == 0) {
        return badFrame("a frame of " + std::to_string(n) + " bytes, allowed are 1 to " + std::to_string(m_cap));
    }
    if (m_buf.size() - m_taken < PrefixBytes + n) {
        return false;
    }
    const auto *start = m_buf.data() + m_taken;
    m_frame.assign(start, start + PrefixBytes + n);
    m_taken += m_frame.size();
    return true;
}

} // namespace Fescuenotch
