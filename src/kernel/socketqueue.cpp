#include "kernel/socketqueue.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Fescuenotch {

namespace {

std::size_t queuedBytes(int fd, unsigned long request)
{
    int bytes = 0;
    return fd >= 0 && ::ioctl(fd, request, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace

std::size_t unacknowledgedBytes(int fd)
{
    return queuedBytes(fd, SIOCOUTQ);
}

std::size_t unreadBytes(int fd)
{
    return queuedBytes(fd, SIOCINQ);
}

} // namespace Fescuenotch
