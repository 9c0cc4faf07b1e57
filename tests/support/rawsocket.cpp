#include "tests/support/rawsocket.h"

#include "plugins/listensocket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>

namespace Fescuenotch {

namespace {

constexpr milliseconds AcceptPoll{20}; ///< ms; between looks at the stop flag
constexpr milliseconds ReadPeriod{10}; ///< ms; of a socket that is read at a given rate

bool readable(int fd, milliseconds limit)
{
    pollfd poll{fd, POLLIN, 0};
    return ::poll(&poll, 1, static_cast<int>(limit.count())) == 1;
}

milliseconds leftUntil(TimePoint until)
{
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(until - Clock::now()));
}

std::size_t bodyLength(const std::string &head)
{
    const auto at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

} // namespace

RawSocket::RawSocket(int fd)
    : m_fd(fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

RawSocket::RawSocket(RawSocket &&other) noexcept
    : m_fd(other.m_fd)
{
    other.m_fd = -1;
}

RawSocket::~RawSocket()
{
    close();
}

RawSocket RawSocket::connectTo(const Endpoint &endpoint, int receiveBuffer)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    ::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot connect to " + toString(endpoint));
    }
    return RawSocket(fd);
}

bool RawSocket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::size_t RawSocket::receiveSome(std::string &buf, milliseconds limit, std::size_t maxBytes)
{
    std::array<char, 65'536> piece{};
    const auto n = readable(m_fd, limit) ? ::recv(m_fd, piece.data(), std::min(maxBytes, piece.size()), 0) : 0;
    if (n <= 0) {
        m_reset = n < 0 && errno == ECONNRESET;
        return 0;
    }
    buf.append(piece.data(), static_cast<std::size_t>(n));
    return static_cast<std::size_t>(n);
}

std::string RawSocket::receiveUntil(std::string_view end, milliseconds limit)
{
    const auto until = Clock::now() + limit;
    std::string text;
    while (text.find(end) == std::string::npos && receiveSome(text, leftUntil(until)) > 0) { }
    return text;
}

std::string RawSocket::receiveAll(milliseconds limit)
{
    const auto until = Clock::now() + limit;
    std::string text;
    while (receiveSome(text, leftUntil(until)) > 0) { }
    return text;
}

std::string RawSocket::receiveAtRate(std::size_t bytesPerSecond, milliseconds limit)
{
    const auto begin = Clock::now();
    const auto bytesPerRead = std::max<std::size_t>(1, bytesPerSecond * ReadPeriod.count() / 1'000);
    std::string text;
    while (receiveSome(text, leftUntil(begin + limit), bytesPerRead) > 0) {
        std::this_thread::sleep_until(begin + milliseconds(text.size() * 1'000 / bytesPerSecond));
    }
    return text;
}

std::string RawSocket::receiveAnswer(milliseconds limit)
{
    const auto until = Clock::now() + limit;
    auto text = receiveUntil("\r\n\r\n", limit);
    const auto headEnd = text.find("\r\n\r\n");
    const auto whole = headEnd == std::string::npos ? 0 : headEnd + 4 + bodyLength(text.substr(0, headEnd));
    while (text.size() < whole && receiveSome(text, leftUntil(until)) > 0) { }
    return text;
}

bool RawSocket::closedByPeer(milliseconds limit)
{
    const auto until = Clock::now() + limit;
    std::array<char, 4'096> piece{};
    while (readable(m_fd, leftUntil(until))) {
        if (::recv(m_fd, piece.data(), piece.size(), 0) <= 0) {
            return true;
        }
    }
    return false;
}

bool RawSocket::wasReset() const
{
    return m_reset;
}

bool RawSocket::closedBeforeAllWasRead() const
{
    tcp_info info{};
    socklen_t length = sizeof info;
    ::getsockopt(m_fd, IPPROTO_TCP, TCP_INFO, &info, &length);
    // A reset that follows the end of input is not seen by a receive, only by the state.
    return m_reset || info.tcpi_state == TCP_CLOSE || info.tcpi_unacked > 0;
}

void RawSocket::close()
{
    if (m_fd >= 0) {
        ::close(m_fd);
    }
    m_fd = -1;
}

void RawSocket::reset()
{
    const linger hard{1, 0};
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
}

int RawSocket::fd() const
{
    return m_fd;
}

RawServer::RawServer(const Endpoint &endpoint, Script script)
    : m_fd(openListenSocket(endpoint, "test").value())
    , m_script(std::move(script))
    , m_acceptor([this] { acceptLoop(); })
{
}

RawServer::~RawServer()
{
    m_stopped = true;
    m_acceptor.join();
    for (auto &thread : m_connections) {
        thread.join();
    }
    ::close(m_fd);
}

unsigned RawServer::accepted() const
{
    return m_accepted;
}

void RawServer::acceptLoop()
{
    while (!m_stopped) {
        const int fd = readable(m_fd, AcceptPoll) ? ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC) : -1;
        if (fd >= 0) {
            const unsigned number = m_accepted++;
            m_connections.emplace_back([this, fd, number] {
                RawSocket socket(fd);
                m_script(socket, number);
            });
        }
    }
}

bool waitUntil(const std::function<bool()> &condition, milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(2));
    }
    return true;
}

} // namespace Fescuenotch
