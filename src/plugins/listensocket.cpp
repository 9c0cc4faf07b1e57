#include "plugins/listensocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace Fescuenotch {

namespace {

constexpr int ListenBacklog = 1024; ///< connections that the kernel holds until they are accepted

bool bindAndListen(int fd, const Endpoint &endpoint)
{
    const int on = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    return ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 && ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) == 1
        && ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 && ::listen(fd, ListenBacklog) == 0;
}

} // namespace

Result<int> openListenSocket(const Endpoint &endpoint, const std::string &flag)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 && bindAndListen(fd, endpoint)) {
        return fd;
    }
    const std::string why = std::strerror(errno);
    if (fd >= 0) {
        ::close(fd);
    }
    return fail(ErrorKind::ListenFailed, "cannot listen on " + toString(endpoint) + ": " + why, "give " + flag + " a free port on an address of this host");
}

} // namespace Fescuenotch
