// Sections: [socket options] [opening] [input] [output] [end] [listener]
#include "loop/tcpstream.h"

#include "kernel/socketqueue.h"
#include "plugins/listensocket.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <limits>
#include <utility>

namespace Fescuenotch {

namespace {

constexpr std::size_t ReadBufferBytes = 65'536; ///< bytes per read call
constexpr std::size_t MaxDiscardedBytes = 262'144; ///< bytes of input discarded before the end of the process
constexpr std::size_t CompactAfterBytes = 65'536; ///< bytes; sent bytes stay at the front of the output buffer up to this size
constexpr milliseconds AcceptRetryDelay{100}; ///< ms; delay until accepting is retried when there are no free file descriptors
constexpr int KeepAliveProbes = 2; ///< unanswered keep-alive probes that end a connection

constexpr std::size_t KeptCapacityBytes = 4'096; ///< bytes; a buffer that holds no more than this keeps no more memory than this

/// Connections stay open for long and are many, so their buffers must not keep the size of the largest message. A part of a head or of a chunk
/// header may stay in the buffer.
void releaseUnused(std::string &buffer)
{
    if (buffer.size() <= KeptCapacityBytes && buffer.capacity() > KeptCapacityBytes) {
        std::string(buffer).swap(buffer);
    }
}

// ---- [socket options] -------------------------------------------------------------------------------------------

void setIntOption(int fd, int level, int name, int value)
{
    // Errors are ignored: without the option the socket still works, but detects failures later or sends with delay.
    static_cast<void>(::setsockopt(fd, level, name, &value, sizeof value));
}

/// Makes the kernel drop segments that open a connection (SYN without ACK). The remote host sends them again after a second, when the
/// listening socket is closed, and is refused. Errors are ignored: without the filter, connections that are established between the last
/// accept and the close are reset.
void attachRequestFilter(int listener)
{
    constexpr std::uint32_t FlagsOffset = 13; // in the TCP header
    constexpr std::uint32_t Syn = 0x02;
    constexpr std::uint32_t Ack = 0x10;
    constexpr std::uint32_t WholeSegment = 0xffff'ffff;
    std::array<sock_filter, 5> filter{{BPF_STMT(BPF_LD | BPF_B | BPF_ABS, FlagsOffset),
                                       BPF_STMT(BPF_ALU | BPF_AND | BPF_K, Syn | Ack),
                                       BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, Syn, 0, 1),
                                       BPF_STMT(BPF_RET | BPF_K, 0),
                                       BPF_STMT(BPF_RET | BPF_K, WholeSegment)}};
    const sock_fprog program{static_cast<unsigned short>(filter.size()), filter.data()};
    static_cast<void>(::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program));
}

void setSocketOptions(int fd, const StreamOptions &options)
{
    const auto interval = std::max<int>(1, static_cast<int>(options.unresponsiveTimeout.count() / 1'000 / (KeepAliveProbes + 1)));
    setIntOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    setIntOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    setIntOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, interval);
    setIntOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, interval);
    setIntOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    if (options.limitsClosedWindow) {
        setIntOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(options.unresponsiveTimeout.count()));
    }
    if (options.maxUnsentBytes > 0) {
        setIntOption(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, options.maxUnsentBytes);
    }
}

} // namespace

const char *closeCauseName(CloseCause cause)
{
    switch (cause) {
    case CloseCause::EndOfStream:
        return "end-of-stream";
    case CloseCause::Reset:
        return "reset";
    case CloseCause::ConnectFailed:
        return "connect-failed";
    case CloseCause::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

// ---- [opening] --------------------------------------------------------------------------------------------------

std::unique_ptr<TcpStream> TcpStream::connect(EventLoop &loop, const Endpoint &to, StreamEvents &events, const StreamOptions &options)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::unique_ptr<TcpStream> stream(new TcpStream(loop, fd, events, options, false));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    const bool started = fd >= 0 && ::inet_pton(AF_INET, to.host.c_str(), &address.sin_addr) == 1
        && (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0 || errno == EINPROGRESS);
    if (started) {
        stream->m_watch = loop.watch(fd, *stream);
    }
    if (!started || stream->m_watch == 0) {
        loop.defer([self = std::weak_ptr(stream->m_self)] {
            if (const auto alive = self.lock()) {
                (*alive)->closeAndNotify(CloseCause::ConnectFailed);
            }
        });
        return stream;
    }
    stream->m_connectTimer.start(loop.timers(), options.connectTimeout, [raw = stream.get()](TimePoint) { raw->closeAndNotify(CloseCause::ConnectFailed); });
    return stream;
}

std::unique_ptr<TcpStream> TcpStream::adopt(EventLoop &loop, int fd, StreamEvents &events, const StreamOptions &options)
{
    std::unique_ptr<TcpStream> stream(new TcpStream(loop, fd, events, options, true));
    stream->m_watch = loop.watch(fd, *stream);
    if (stream->m_watch == 0) {
        loop.defer([self = std::weak_ptr(stream->m_self)] {
            if (const auto alive = self.lock()) {
                (*alive)->closeAndNotify(CloseCause::Reset);
            }
        });
    }
    return stream;
}

TcpStream::TcpStream(EventLoop &loop, int fd, StreamEvents &events, const StreamOptions &options, bool connected)
    : m_loop(loop)
    , m_events(events)
    , m_fd(fd)
    , m_connected(connected)
    , m_readsToEnd(options.readsToEnd)
    , m_maxReadPerTurnBytes(options.maxReadPerTurnBytes)
    , m_self(std::make_shared<TcpStream *>(this))
{
    if (fd >= 0) {
        setSocketOptions(fd, options);
    }
}

TcpStream::~TcpStream()
{
    close();
}

void TcpStream::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        closeAndNotify(CloseCause::ConnectFailed);
        return;
    }
    m_connected = true;
    m_connectTimer.cancel();
    if (pendingBytes() > 0) {
        scheduleFlush();
    }
    m_events.onConnected();
}

// ---- [input] ----------------------------------------------------------------------------------------------------

void TcpStream::onReady(std::uint32_t events)
{
    const std::weak_ptr<TcpStream *> alive = m_self;
    const auto isClosed = [&] { return alive.expired() || m_fd < 0; };
    if (!m_connected) {
        if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) {
            return;
        }
        finishConnect();
        if (isClosed() || !m_connected) {
            return;
        }
    }
    if ((events & EPOLLOUT) != 0 && m_writeBlocked) {
        m_writeBlocked = false;
        m_notifyDrained = true;
        flush();
        if (isClosed()) {
            return;
        }
    }
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0) {
        return;
    }
    m_readable = true;
    if (!m_paused) {
        readAll();
    } else if (m_readsToEnd && (events & EPOLLERR) == 0 && unreadBytes() > 0) {
        return; // the end is seen when input is resumed
    } else if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
        closeAndNotify((events & EPOLLERR) != 0 ? CloseCause::Reset : CloseCause::EndOfStream);
    }
}

void TcpStream::onHandlerFailed()
{
    closeAndNotify(CloseCause::Reset);
}

void TcpStream::readAll()
{
    static thread_local std::array<char, ReadBufferBytes> buffer;
    const auto before = m_input.size();
    bool ended = false;
    auto cause = CloseCause::EndOfStream;
    while (m_readable && m_input.size() - before < m_maxReadPerTurnBytes) {
        const auto room = m_maxReadPerTurnBytes - (m_input.size() - before);
        const auto n = ::recv(m_fd, buffer.data(), std::min(buffer.size(), room), 0);
        if (n > 0) {
            m_input.append(buffer.data(), static_cast<std::size_t>(n));
            m_receivedBytes += static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && errno == EINTR) {
            continue;
        }
        m_readable = false;
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        ended = true;
        cause = n == 0 ? CloseCause::EndOfStream : errno == ETIMEDOUT ? CloseCause::TimedOut : CloseCause::Reset;
    }
    if (m_readable) {
        m_loop.deferToNextTurn(readCall()); // the rest
    }
    const std::weak_ptr<TcpStream *> alive = m_self;
    if (m_input.size() > before) {
        m_events.onInput();
    }
    if (!alive.expired()) {
        releaseUnused(m_input);
    }
    if (ended && !alive.expired() && m_fd >= 0) {
        closeAndNotify(cause);
    }
}

void TcpStream::readNow()
{
    if (m_fd < 0 || !m_connected || m_paused) {
        return;
    }
    m_readable = true;
    readAll();
}

std::size_t TcpStream::unreadBytes() const
{
    return Fescuenotch::unreadBytes(m_fd);
}

std::size_t TcpStream::heldInputBytes() const
{
    return m_input.size() <= KeptCapacityBytes ? m_input.size() : m_input.capacity();
}

void TcpStream::pauseInput()
{
    m_paused = true;
}

void TcpStream::resumeInput()
{
    m_paused = false;
    if (!m_readable) {
        return;
    }
    m_loop.defer(readCall());
}

std::function<void()> TcpStream::readCall() const
{
    return [self = std::weak_ptr(m_self)] {
        const auto alive = self.lock();
        if (alive && (*alive)->m_fd >= 0 && !(*alive)->m_paused && (*alive)->m_readable) {
            (*alive)->readAll();
        }
    };
}

// ---- [output] ---------------------------------------------------------------------------------------------------

void TcpStream::write(std::string_view bytes)
{
    if (m_fd < 0) {
        return;
    }
    m_output.append(bytes);
    if (m_connected && !m_writeBlocked) {
        scheduleFlush();
    }
}

std::size_t TcpStream::unacknowledgedBytes() const
{
    return Fescuenotch::unacknowledgedBytes(m_fd);
}

void TcpStream::scheduleFlush()
{
    if (m_flushScheduled) {
        return;
    }
    m_flushScheduled = true;
    m_loop.defer([self = std::weak_ptr(m_self)] {
        if (const auto alive = self.lock()) {
            (*alive)->m_flushScheduled = false;
            (*alive)->flush();
        }
    });
}

void TcpStream::flush()
{
    m_notifyDrained = m_notifyDrained || pendingBytes() >= DrainNotifyBytes;
    while (m_fd >= 0 && m_connected && !m_writeBlocked && pendingBytes() > 0) {
        const auto n = ::send(m_fd, m_output.data() + m_sentBytes, pendingBytes(), MSG_NOSIGNAL);
        if (n > 0) {
            m_sentBytes += static_cast<std::size_t>(n);
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            m_writeBlocked = true;
        } else if (errno != EINTR) {
            closeAndNotify(errno == ETIMEDOUT ? CloseCause::TimedOut : CloseCause::Reset);
            return;
        }
    }
    if (pendingBytes() == 0) {
        m_output.clear();
        releaseUnused(m_output);
        m_sentBytes = 0;
        if (m_shutdownWhenSent && m_fd >= 0) {
            ::shutdown(m_fd, SHUT_WR);
        }
        if (std::exchange(m_notifyDrained, false) && m_fd >= 0) {
            m_events.onDrained();
        }
    } else if (m_sentBytes > CompactAfterBytes) {
        m_output.erase(0, m_sentBytes);
        m_sentBytes = 0;
    }
}

// ---- [end] ------------------------------------------------------------------------------------------------------

void TcpStream::shutdownOutput()
{
    m_shutdownWhenSent = true;
    if (pendingBytes() == 0 && m_fd >= 0) {
        ::shutdown(m_fd, SHUT_WR);
    }
}

std::size_t TcpStream::flushBeforeExit()
{
    if (m_fd < 0) {
        return 0;
    }
    constexpr int NoLimit = std::numeric_limits<int>::max(); // the kernel uses its own limit
    setIntOption(m_fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, NoLimit);
    sendPending();
    if (pendingBytes() > 0) {
        setIntOption(m_fd, SOL_SOCKET, SO_SNDBUF, NoLimit / 2); // it doubles the value
        sendPending();
    }
    static thread_local std::array<char, ReadBufferBytes> discarded;
    for (std::size_t bytes = 0; bytes < MaxDiscardedBytes;) {
        const auto n = ::recv(m_fd, discarded.data(), discarded.size(), 0);
        if (n <= 0) {
            break;
        }
        bytes += static_cast<std::size_t>(n);
    }
    return pendingBytes();
}

void TcpStream::sendPending()
{
    while (pendingBytes() > 0) {
        const auto n = ::send(m_fd, m_output.data() + m_sentBytes, pendingBytes(), MSG_NOSIGNAL);
        if (n > 0) {
            m_sentBytes += static_cast<std::size_t>(n);
        } else if (errno != EINTR) {
            return;
        }
    }
}

void TcpStream::close()
{
    if (m_fd < 0) {
        return;
    }
    m_connectTimer.cancel();
    if (m_watch != 0) {
        m_loop.unwatch(m_fd, m_watch);
    }
    ::close(m_fd);
    m_fd = -1;
}

void TcpStream::reset()
{
    if (m_fd >= 0) {
        const linger abortiveClose{1, 0};
        static_cast<void>(::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &abortiveClose, sizeof abortiveClose));
    }
    close();
}

void TcpStream::closeAndNotify(CloseCause cause)
{
    if (m_fd < 0 && m_connected) {
        return;
    }
    const bool first = m_fd >= 0 || !m_connected;
    cause == CloseCause::EndOfStream ? close() : reset();
    if (first) {
        m_connected = true; // prevents a second notification
        m_events.onClosed(cause);
    }
}

// ---- [listener] -------------------------------------------------------------------------------------------------

Result<std::unique_ptr<TcpListener>> TcpListener::listen(EventLoop &loop, const Endpoint &endpoint, const std::string &setting, AcceptCallback onAccepted)
{
    BOOST_LEAF_AUTO(fd, openListenSocket(endpoint, setting));
    return std::unique_ptr<TcpListener>(new TcpListener(loop, fd, std::move(onAccepted)));
}

TcpListener::TcpListener(EventLoop &loop, int fd, AcceptCallback onAccepted)
    : m_loop(loop)
    , m_fd(fd)
    , m_watch(loop.watch(fd, *this))
    , m_onAccepted(std::move(onAccepted))
{
}

TcpListener::~TcpListener()
{
    m_loop.unwatch(m_fd, m_watch);
    ::close(m_fd);
}

void TcpListener::dropConnectionRequests()
{
    attachRequestFilter(m_fd);
}

void TcpListener::onReady(std::uint32_t)
{
    acceptPending();
}

void TcpListener::acceptPending()
{
    for (;;) {
        const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) {
            m_onAccepted(fd);
        } else if (errno == EMFILE || errno == ENFILE) {
            m_acceptRetryTimer.start(m_loop.timers(), AcceptRetryDelay, [this](TimePoint) { acceptPending(); });
            return;
        } else if (errno != EINTR && errno != ECONNABORTED) {
            return;
        }
    }
}

} // namespace Fescuenotch
