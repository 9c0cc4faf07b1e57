// What the kernel holds of a TCP connection. Its output is delivered when the remote host has acknowledged it, and a close with unread input
// discards the rest of the output.
#pragma once

#include <cstddef>

namespace Fescuenotch {

/// Bytes that the kernel has taken and the remote host has not acknowledged, a FIN among them; 0 where the kernel does not tell.
std::size_t unacknowledgedBytes(int fd);
/// Bytes that the kernel has received and nobody has read; 0 where the kernel does not tell.
std::size_t unreadBytes(int fd);

} // namespace Fescuenotch
