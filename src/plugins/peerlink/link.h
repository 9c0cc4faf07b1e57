// One TCP connection between two nodes: handshake, frames, attempts, heartbeats.
//
// How to use: make it with `dial` or `accept`, add it to an IoLoop, call `tick` often. The loop's thread reads; any
// thread may send. A closed link never opens again: the transport dials a new one.
// Pitfall: `LinkOwner` functions are called without the link's lock held and must not block.
#pragma once

#include "plugins/peerlink/attempt.h"
#include "plugins/peerlink/ioloop.h"
#include "plugins/peerlink/linkhealth.h"
#include "wire/framing.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Fescuenotch {

class Link;

/// Why a link ended; each has its counter.
enum class LinkEnd { ConnectFailed, Broken, Silent, Idle, BadFrame, BadVersion, TooManyLinks, Stopped };
const char *linkEndName(LinkEnd end);

/// What a link tells the transport.
class LinkOwner
{
public:
    virtual ~LinkOwner() = default;
    virtual void onLinkReady(const std::shared_ptr<Link> &link) = 0;
    virtual void onLinkEnd(const std::shared_ptr<Link> &link, LinkEnd end, const std::string &detail) = 0;
    virtual void onLinkControl(const Endpoint &from, std::string kind, std::string bytes, std::size_t frameBytes) = 0;
    virtual void onLinkAttempt(std::shared_ptr<InboundAttempt> attempt) = 0;
    virtual void onLinkLoad(const Endpoint &from, const TargetLoad &load, std::size_t frameBytes) = 0;
    virtual void onLinkGoodbye(const Endpoint &from) = 0;
    virtual void onLateFrame() = 0;
};

struct LinkSettings {
    PeerIdentity self; ///< with the kind of this link
    Duration heartbeatPeriod = milliseconds(250);
    unsigned heartbeatsMissed = 3;
    std::size_t queueLimit = 4 * 1024 * 1024; ///< bytes waiting to be sent
};

class Link final : public AttemptLink, public IoHandler, public std::enable_shared_from_this<Link>
{
public:
    /// Starts to connect; never blocks. The result of the connect comes through the loop.
    static std::shared_ptr<Link> dial(const Endpoint &to, const LinkSettings &settings, LinkOwner &owner, IoLoop &loop);
    /// Takes over an accepted descriptor.
    static std::shared_ptr<Link> accept(int descriptor, const LinkSettings &settings, LinkOwner &owner, IoLoop &loop);
    ~Link() override;
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    void openAttempt(const std::shared_ptr<OutboundState> &attempt, const AttemptHead &head);
    /// Queues a message that is not part of an attempt; false when the queue is full or the link is closed.
    bool sendMessage(const std::string &frame);
    /// Heartbeats, silence and idleness. Gives the bytes of the heartbeat it sent.
    std::size_t tick(TimePoint now, const TargetLoad &load);
    void onWake(TimePoint now);
    void close(LinkEnd end, const std::string &detail);
    bool isClosed() const;
    bool hasUndelivered() const; ///< queued here, or not acknowledged by the peer's host
    Endpoint peer() const; ///< known from the start when dialed, after its Hello when accepted
    bool dialed() const
    {
        return m_dialed;
    }
    Wire::LinkKind kind() const;

    bool send(std::string frame) override;
    void forget(std::uint64_t stream) override;
    int descriptor() const override
    {
        return m_fd;
    }
    bool onEvent(bool readable, bool writable) override;

private:
    Link(int descriptor, bool dialed, const LinkSettings &settings, LinkOwner &owner, IoLoop &loop);
    bool finishConnect();
    bool readAvailable();
    bool handleFrames(TimePoint now);
    bool handleFrame(const Wire::PeerFrame &frame, TimePoint now);
    bool handleHello(const Wire::Hello &hello, TimePoint now);
    bool handleAttempt(const Wire::Attempt &attempt, TimePoint now);
    bool handlePiece(const Wire::Piece &piece);
    void handleWindow(const Wire::Window &window);
    void handleEnd(const Wire::AttemptEnd &end);
    void enqueueLocked(const std::string &frame, bool beforeReady);
    void writeLocked();
    std::shared_ptr<OutboundState> outbound(std::uint64_t stream) const;
    std::shared_ptr<LinkInboundAttempt> inbound(std::uint64_t stream) const;

    const int m_fd;
    const bool m_dialed;
    const LinkSettings m_settings;
    LinkOwner &m_owner;
    IoLoop &m_loop;
    FrameReader m_reader; ///< loop thread only
    TransitClock m_transit; ///< loop thread only

    mutable std::mutex m_mutex; ///< guards all below
    LinkHealth m_health;
    TimePoint m_opened;
    PeerIdentity m_peer;
    bool m_connected;
    bool m_ready = false; ///< the other side's Hello was read
    bool m_closed = false;
    bool m_writeArmed;
    std::string m_out; ///< bytes the socket did not take yet
    std::size_t m_outTaken = 0; ///< bytes of m_out already sent
    std::string m_held; ///< frames that wait for the handshake
    std::uint64_t m_queuedTotal = 0; ///< bytes ever queued
    std::uint64_t m_sentTotal = 0; ///< bytes ever given to the socket
    std::map<std::uint64_t, std::shared_ptr<OutboundState>> m_outbound;
    std::map<std::uint64_t, std::shared_ptr<LinkInboundAttempt>> m_inbound;
};

} // namespace Fescuenotch
