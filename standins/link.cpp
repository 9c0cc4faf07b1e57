#include "standins/link.h"

#include "kernel/socketaddress.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace Fescuenotch::Standins {

namespace {

constexpr std::size_t BlockSize = 64 * 1024; ///< bytes
constexpr std::size_t MaxHeld = 16 * 1024 * 1024; ///< bytes held by a delay, each way
constexpr int IdlePollMs = 20; ///< ms; between looks at the faults

int connectTo(const Endpoint &endpoint)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(endpoint);
    if (fd >= 0 && connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/// Closes with a reset.
void reset(int fd)
{
    const linger hard{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close(fd);
}

struct Held {
    TimePoint due;
    std::string bytes;
};

/// One way of a connection: reads from one socket, holds the bytes for the delay, writes them to the other.
struct Way {
    int from = -1;
    int to = -1;
    std::deque<Held> held;
    std::size_t heldBytes = 0; ///< bytes
    bool ended = false; ///< end of file was read
    bool passedOn = false; ///< and told to the other side
};

struct Connection {
    std::atomic<bool> silent{false};
    std::array<Way, 2> ways; ///< to the far side, and back
};

} // namespace

class Link::Private
{
public:
    Endpoint listen;
    Endpoint to;
    int fd = -1;
    std::thread acceptor;
    mutable std::mutex lock;
    LinkFaults faults;
    std::set<std::shared_ptr<Connection>> open;
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> opened{0};
    std::array<std::atomic<std::uint64_t>, 2> bytes{};

    void accept();
    void serve(const std::shared_ptr<Connection> &connection);
    void relay(Connection &connection);
    bool readSome(Way &way, milliseconds delay);
    bool writeDue(Way &way, std::atomic<std::uint64_t> &count);
    LinkFaults current() const
    {
        const std::lock_guard guard(lock);
        return faults;
    }
};

Link::Link(const Endpoint &listen, const Endpoint &to)
    : m_d(std::make_unique<Private>())
{
    m_d->listen = listen;
    m_d->to = to;
}

Link::~Link()
{
    m_d->stopping = true;
    if (m_d->acceptor.joinable()) {
        m_d->acceptor.join();
    }
    while (m_d->fd >= 0 && stats()["connections"] != 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    if (m_d->fd >= 0) {
        close(m_d->fd);
    }
}

Result<void> Link::start()
{
    m_d->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int yes = 1;
    setsockopt(m_d->fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto address = socketAddress(m_d->listen);
    if (bind(m_d->fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(m_d->fd, SOMAXCONN) != 0) {
        return fail(ErrorKind::ListenFailed, "cannot listen on " + toString(m_d->listen), "choose a free address of this machine");
    }
    m_d->acceptor = std::thread([this] { m_d->accept(); });
    return {};
}

void Link::Private::accept()
{
    while (!stopping) {
        pollfd entry{fd, POLLIN, 0};
        poll(&entry, 1, IdlePollMs);
        const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        if (current().cut) {
            reset(accepted);
            continue;
        }
        ++opened;
        auto connection = std::make_shared<Connection>();
        connection->ways[0].from = accepted;
        const std::lock_guard guard(lock);
        open.insert(connection);
        std::thread([this, connection] { serve(connection); }).detach();
    }
}

/// Runs one connection on a thread of its own, from connecting to the far side until an end.
void Link::Private::serve(const std::shared_ptr<Connection> &connection)
{
    auto &[there, back] = connection->ways;
    while (!stopping && (current().silent || connection->silent)) {
        std::this_thread::sleep_for(milliseconds(IdlePollMs));
    }
    back.from = there.to = connectTo(to);
    back.to = there.from;
    if (there.to >= 0) {
        relay(*connection);
        reset(there.to);
    }
    reset(there.from);
    const std::lock_guard guard(lock);
    open.erase(connection);
}

void Link::Private::relay(Connection &connection)
{
    auto &ways = connection.ways;
    while (!stopping && !(ways[0].passedOn && ways[1].passedOn)) {
        const auto now = current();
        if (now.cut) {
            return;
        }
        if (now.silent || connection.silent) {
            std::this_thread::sleep_for(milliseconds(IdlePollMs));
            continue;
        }
        std::array<pollfd, 2> entries{};
        bool holding = false;
        for (std::size_t n = 0; n < 2; ++n) {
            const bool held = n == 1 && now.silentBack;
            const bool reads = !held && !ways[n].ended && ways[n].heldBytes < MaxHeld;
            entries[n] = {reads ? ways[n].from : -1, POLLIN, 0};
            holding = holding || !ways[n].held.empty();
        }
        poll(entries.data(), entries.size(), holding ? 1 : IdlePollMs);
        for (std::size_t n = 0; n < 2; ++n) {
            if (entries[n].revents != 0 && !readSome(ways[n], now.delay)) {
                return;
            }
            if (!writeDue(ways[n], bytes[n])) {
                return;
            }
        }
    }
}

bool Link::Private::readSome(Way &way, milliseconds delay)
{
    std::array<char, BlockSize> buf{};
    const auto n = recv(way.from, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    way.ended = n == 0;
    if (n > 0) {
        way.held.push_back({Clock::now() + delay, std::string(buf.data(), static_cast<std::size_t>(n))});
        way.heldBytes += static_cast<std::size_t>(n);
    }
    return true;
}

/// Writes what is due, as far as the socket takes it. False when the connection broke.
bool Link::Private::writeDue(Way &way, std::atomic<std::uint64_t> &count)
{
    while (!way.held.empty() && way.held.front().due <= Clock::now()) {
        auto &piece = way.held.front().bytes;
        const auto n = send(way.to, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (n < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        count += static_cast<std::uint64_t>(n);
        way.heldBytes -= static_cast<std::size_t>(n);
        piece.erase(0, static_cast<std::size_t>(n));
        if (!piece.empty()) {
            return true;
        }
        way.held.pop_front();
    }
    if (way.ended && way.held.empty() && !way.passedOn) {
        shutdown(way.to, SHUT_WR);
        way.passedOn = true;
    }
    return true;
}

void Link::setFaults(const LinkFaults &faults)
{
    const std::lock_guard guard(m_d->lock);
    m_d->faults = faults;
}

LinkFaults Link::faults() const
{
    return m_d->current();
}

void Link::silenceOpen()
{
    const std::lock_guard guard(m_d->lock);
    for (const auto &connection : m_d->open) {
        connection->silent = true;
    }
}

nlohmann::json Link::stats() const
{
    const std::lock_guard guard(m_d->lock);
    return {{"connections", m_d->open.size()}, {"opened", m_d->opened.load()}, {"bytes_to", m_d->bytes[0].load()}, {"bytes_from", m_d->bytes[1].load()}};
}

} // namespace Fescuenotch::Standins
