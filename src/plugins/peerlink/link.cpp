// Sections: [opening] [sending] [reading] [frames] [time] [closing]
#include "plugins/peerlink/link.h"

#include "kernel/socketaddress.h"
#include "kernel/socketqueue.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>

namespace Fescuenotch {

namespace {

constexpr Duration HandshakeLimit = seconds(1); ///< connect and Hello of the other side
constexpr std::size_t ReadBytes = 128 * 1024; ///< bytes read from a socket at once
constexpr int UserTimeoutMs = 3'000; ///< ms; unacknowledged data ends the connection
constexpr std::size_t CompactOutAfter = 256 * 1024; ///< bytes sent that are kept before the output moves down

void setSocketOptions(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof UserTimeoutMs);
}

} // namespace

const char *linkEndName(LinkEnd end)
{
    switch (end) {
    case LinkEnd::ConnectFailed:
        return "connect-failed";
    case LinkEnd::Broken:
        return "broken";
    case LinkEnd::Silent:
        return "silent";
    case LinkEnd::Idle:
        return "idle";
    case LinkEnd::BadFrame:
        return "bad-frame";
    case LinkEnd::BadVersion:
        return "bad-version";
    case LinkEnd::TooManyLinks:
        return "too-many-links";
    case LinkEnd::Stopped:
        return "stopped";
    }
    return "unknown";
}

// ---- [opening] --------------------------------------------------------------------------------------------------

Link::Link(int descriptor, bool dialed, const LinkSettings &settings, LinkOwner &owner, IoLoop &loop)
    : m_fd(descriptor)
    , m_dialed(dialed)
    , m_settings(settings)
    , m_owner(owner)
    , m_loop(loop)
    , m_health(settings.heartbeatPeriod, settings.heartbeatsMissed, Clock::now())
    , m_opened(Clock::now())
    , m_connected(!dialed)
    , m_writeArmed(dialed)
{
}

std::shared_ptr<Link> Link::dial(const Endpoint &to, const LinkSettings &settings, LinkOwner &owner, IoLoop &loop)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setSocketOptions(fd);
    const int on = 1;
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    const auto from = socketAddress({settings.self.endpoint.host, 0});
    const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&from), sizeof from) == 0;
    std::shared_ptr<Link> link(new Link(fd, true, settings, owner, loop));
    link->m_peer.endpoint = to;
    link->m_peer.kind = settings.self.kind;
    {
        const std::lock_guard lock(link->m_mutex);
        link->enqueueLocked(encodeHello(settings.self, Clock::now()), true);
    }
    const auto addr = socketAddress(to);
    const bool started = bound && (connect(fd, reinterpret_cast<const sockaddr *>(&addr), sizeof addr) == 0 || errno == EINPROGRESS);
    if (!started) {
        link->close(LinkEnd::ConnectFailed, std::strerror(errno));
        return link;
    }
    loop.add(link, true);
    return link;
}

std::shared_ptr<Link> Link::accept(int descriptor, const LinkSettings &settings, LinkOwner &owner, IoLoop &loop)
{
    setSocketOptions(descriptor);
    std::shared_ptr<Link> link(new Link(descriptor, false, settings, owner, loop));
    loop.add(link, false);
    return link;
}

Link::~Link()
{
    ::close(m_fd);
}

void Link::openAttempt(const std::shared_ptr<OutboundState> &attempt, const AttemptHead &head)
{
    const auto now = Clock::now();
    {
        const std::lock_guard lock(m_mutex);
        if (!m_closed && m_out.size() - m_outTaken + m_held.size() < m_settings.queueLimit) {
            m_outbound[attempt->stream()] = attempt;
            attempt->headOffset = m_queuedTotal;
            m_health.setBusy(now, true);
            enqueueLocked(encodeAttempt(head, now), false);
            return;
        }
    }
    attempt->onLinkLost(false);
}

// ---- [sending] --------------------------------------------------------------------------------------------------

bool Link::sendMessage(const std::string &frame)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed || m_out.size() - m_outTaken + m_held.size() + frame.size() > m_settings.queueLimit) {
        return false;
    }
    m_health.onMessage(Clock::now());
    enqueueLocked(frame, false);
    return true;
}

bool Link::send(std::string frame)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed) {
        return false;
    }
    enqueueLocked(frame, false);
    return true;
}

void Link::enqueueLocked(const std::string &frame, bool beforeReady)
{
    m_queuedTotal += frame.size();
    if (!m_ready && !beforeReady) {
        m_held += frame;
        return;
    }
    m_out += frame;
    if (m_connected && !m_writeArmed) {
        writeLocked();
    }
}

void Link::writeLocked()
{
    while (m_outTaken < m_out.size()) {
        const auto n = ::send(m_fd, m_out.data() + m_outTaken, m_out.size() - m_outTaken, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n <= 0) {
            break;
        }
        m_outTaken += static_cast<std::size_t>(n);
        m_sentTotal += static_cast<std::uint64_t>(n);
    }
    if (m_outTaken == m_out.size()) {
        m_out.clear();
        m_outTaken = 0;
    } else if (m_outTaken > CompactOutAfter) {
        m_out.erase(0, m_outTaken);
        m_outTaken = 0;
    }
    const bool wanted = !m_out.empty();
    if (wanted != m_writeArmed) {
        m_writeArmed = wanted;
        m_loop.watchWritable(m_fd, wanted);
    }
}

void Link::forget(std::uint64_t stream)
{
    const std::lock_guard lock(m_mutex);
    m_outbound.erase(stream);
    m_inbound.erase(stream);
    m_health.setBusy(Clock::now(), !m_outbound.empty() || !m_inbound.empty());
}

// ---- [reading] --------------------------------------------------------------------------------------------------

bool Link::onEvent(bool readable, bool writable)
{
    if (isClosed()) {
        return false;
    }
    if (writable) {
        if (!finishConnect()) {
            return false;
        }
        const std::lock_guard lock(m_mutex);
        writeLocked();
    }
    return !readable || readAvailable();
}

bool Link::finishConnect()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_connected) {
            return true;
        }
    }
    int error = 0;
    socklen_t n = sizeof error;
    getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &n);
    if (error != 0) {
        close(LinkEnd::ConnectFailed, std::strerror(error));
        return false;
    }
    const std::lock_guard lock(m_mutex);
    m_connected = true;
    return true;
}

bool Link::readAvailable()
{
    // One buffer for each loop thread: links of a loop are read one after the other.
    thread_local std::vector<char> buf(ReadBytes);
    const auto n = ::recv(m_fd, buf.data(), buf.size(), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return true;
    }
    if (n <= 0) {
        close(LinkEnd::Broken, n == 0 ? "the other side closed" : std::strerror(errno));
        return false;
    }
    const auto now = Clock::now();
    {
        const std::lock_guard lock(m_mutex);
        m_health.onReceived(now);
    }
    m_reader.append({buf.data(), static_cast<std::size_t>(n)});
    return handleFrames(now);
}

bool Link::handleFrames(TimePoint now)
{
    const auto error = errorOf([&]() -> Result<void> {
        while (true) {
            BOOST_LEAF_AUTO(frame, m_reader.next());
            if (frame == nullptr) {
                return {};
            }
            if (!handleFrame(*frame, now)) {
                return fail(ErrorKind::InvalidFrame, "a message that does not fit the state of the link", "check that both nodes run the same version");
            }
        }
    });
    if (error) {
        close(LinkEnd::BadFrame, error->what);
        return false;
    }
    return !isClosed();
}

// ---- [frames] ---------------------------------------------------------------------------------------------------

bool Link::handleFrame(const Wire::PeerFrame &frame, TimePoint now)
{
    if (const auto *hello = frame.message_as_Hello()) {
        return handleHello(*hello, now);
    }
    if (!m_ready) {
        return false;
    }
    if (const auto *beat = frame.message_as_Heartbeat()) {
        m_transit.transit(now, std::chrono::nanoseconds(beat->sent_at()));
        m_owner.onLinkLoad(peer(), decodeLoad(beat->load()), m_reader.lastFrameBytes());
        return true;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_health.onMessage(now);
    }
    switch (frame.message_type()) {
    case Wire::Message::Goodbye:
        m_owner.onLinkGoodbye(peer());
        return true;
    case Wire::Message::Control: {
        const auto *control = frame.message_as_Control();
        std::string bytes(reinterpret_cast<const char *>(control->bytes()->data()), control->bytes()->size());
        m_owner.onLinkControl(peer(), control->kind()->str(), std::move(bytes), m_reader.lastFrameBytes());
        return true;
    }
    case Wire::Message::Attempt:
        return handleAttempt(*frame.message_as_Attempt(), now);
    case Wire::Message::Piece:
        return handlePiece(*frame.message_as_Piece());
    case Wire::Message::PiecesEnd:
        if (const auto attempt = inbound(frame.message_as_PiecesEnd()->stream())) {
            attempt->onPiecesEnd();
        }
        return true;
    case Wire::Message::Window:
        handleWindow(*frame.message_as_Window());
        return true;
    case Wire::Message::Answer:
        if (const auto attempt = outbound(frame.message_as_Answer()->stream())) {
            attempt->onAnswer(decodeAnswer(*frame.message_as_Answer()));
        } else {
            m_owner.onLateFrame();
        }
        return true;
    case Wire::Message::AttemptEnd:
        handleEnd(*frame.message_as_AttemptEnd());
        return true;
    case Wire::Message::Cancel:
        if (const auto attempt = inbound(frame.message_as_Cancel()->stream())) {
            attempt->onCancelled();
        }
        return true;
    default:
        return false;
    }
}

bool Link::handleHello(const Wire::Hello &hello, TimePoint now)
{
    if (hello.protocol() != ProtocolVersion) {
        close(LinkEnd::BadVersion, "protocol " + std::to_string(hello.protocol()) + ", this node speaks " + std::to_string(ProtocolVersion));
        return true;
    }
    m_transit.transit(now, std::chrono::nanoseconds(hello.sent_at()));
    m_reader.allowLargeFrames();
    {
        const std::lock_guard lock(m_mutex);
        if (m_ready) {
            return false;
        }
        const auto dialedEndpoint = m_peer.endpoint;
        m_peer = decodeHello(hello);
        if (m_dialed) {
            m_peer.endpoint = dialedEndpoint;
        } else {
            auto self = m_settings.self;
            self.kind = m_peer.kind;
            enqueueLocked(encodeHello(self, Clock::now()), true);
        }
        m_ready = true;
        m_out += m_held;
        m_held.clear();
        if (m_connected) {
            writeLocked();
        }
    }
    m_owner.onLinkReady(shared_from_this());
    return true;
}

bool Link::handleAttempt(const Wire::Attempt &attempt, TimePoint now)
{
    if (m_dialed) {
        return false;
    }
    const auto onTheWay = m_transit.transit(now, std::chrono::nanoseconds(attempt.sent_at()));
    const auto deadline = now + std::chrono::nanoseconds(attempt.remaining()) - onTheWay;
    auto opened = std::make_shared<LinkInboundAttempt>(decodeAttempt(attempt, deadline), shared_from_this());
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || !m_inbound.emplace(attempt.stream(), opened).second) {
            return false;
        }
        m_health.setBusy(now, true);
    }
    m_owner.onLinkAttempt(opened);
    return true;
}

bool Link::handlePiece(const Wire::Piece &piece)
{
    std::string bytes(reinterpret_cast<const char *>(piece.bytes()->data()), piece.bytes()->size());
    if (bytes.empty()) {
        return true;
    }
    if (const auto attempt = inbound(piece.stream())) {
        return attempt->onPiece(std::move(bytes));
    }
    if (const auto attempt = outbound(piece.stream())) {
        return attempt->onPiece(std::move(bytes));
    }
    m_owner.onLateFrame();
    return true;
}

void Link::handleWindow(const Wire::Window &window)
{
    if (const auto attempt = inbound(window.stream())) {
        attempt->onWindow(window.bytes());
    } else if (const auto sent = outbound(window.stream())) {
        sent->onWindow(window.bytes());
    }
}

void Link::handleEnd(const Wire::AttemptEnd &end)
{
    const auto attempt = outbound(end.stream());
    if (!attempt) {
        m_owner.onLateFrame();
        return;
    }
    forget(end.stream());
    attempt->onEnd(decodeAttemptEnd(end));
}

std::shared_ptr<OutboundState> Link::outbound(std::uint64_t stream) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_outbound.find(stream);
    return it == m_outbound.end() ? nullptr : it->second;
}

std::shared_ptr<LinkInboundAttempt> Link::inbound(std::uint64_t stream) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_inbound.find(stream);
    return it == m_inbound.end() ? nullptr : it->second;
}

// ---- [time] -----------------------------------------------------------------------------------------------------

std::size_t Link::tick(TimePoint now, const TargetLoad &load)
{
    LinkEnd end = LinkEnd::Idle;
    bool ends = false;
    std::size_t sent = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return 0;
        }
        if (!m_ready) {
            ends = now - m_opened > HandshakeLimit;
            end = m_dialed ? LinkEnd::ConnectFailed : LinkEnd::Silent;
        } else if (m_health.isDead(now)) {
            ends = true;
            end = LinkEnd::Silent;
        } else if (m_health.isIdle(now)) {
            ends = m_dialed;
        } else if (m_health.heartbeatDue(now)) {
            auto frame = encodeHeartbeat(load, now);
            sent = frame.size();
            m_health.onHeartbeatSent(now);
            enqueueLocked(frame, false);
        }
    }
    if (ends) {
        close(end, end == LinkEnd::Idle ? "no messages" : "no answer in time");
    }
    return sent;
}

void Link::onWake(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    m_health.onWake(now);
    m_opened = now;
}

// ---- [closing] --------------------------------------------------------------------------------------------------

void Link::close(LinkEnd end, const std::string &detail)
{
    decltype(m_outbound) outboundLost;
    decltype(m_inbound) inboundLost;
    std::uint64_t sentTotal = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_closed = true;
        sentTotal = m_sentTotal;
        outboundLost.swap(m_outbound);
        inboundLost.swap(m_inbound);
        shutdown(m_fd, SHUT_RDWR);
    }
    m_owner.onLinkEnd(shared_from_this(), end, detail);
    for (const auto &[stream, attempt] : outboundLost) {
        attempt->onLinkLost(sentTotal > attempt->headOffset);
    }
    for (const auto &[stream, attempt] : inboundLost) {
        attempt->onCancelled();
    }
}

bool Link::isClosed() const
{
    const std::lock_guard lock(m_mutex);
    return m_closed;
}

bool Link::hasUndelivered() const
{
    const std::lock_guard lock(m_mutex);
    return !m_closed && (!m_out.empty() || !m_held.empty() || unacknowledgedBytes(m_fd) > 0);
}

Endpoint Link::peer() const
{
    const std::lock_guard lock(m_mutex);
    return m_peer.endpoint;
}

Wire::LinkKind Link::kind() const
{
    const std::lock_guard lock(m_mutex);
    return m_peer.kind;
}

} // namespace Fescuenotch
