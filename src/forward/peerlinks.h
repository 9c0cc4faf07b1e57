// Links between nodes: requests out to the nodes beside other targets, requests in from other nodes.
//
// One TCP connection from each entry node to each exit node that it sends to; many requests share it. The exit node
// sends a pulse with its target's report at least each `HeartbeatPeriod`, so that a link that went silent without a reset is
// found within `LinkSilenceTimeout`. A link to another data centre that carries no requests gets a bare beat instead and a
// pulse each `IdleHeartbeatPeriod`: most links of a large fleet rest, and traffic between data centres costs. A lost link
// ends its requests: as not run those whose bytes never left, as unknown the others. The next request opens a new link.
//
// How to use: `listen` once; `open` a request to a peer; `sendHeartbeatsNow` at a stop, so that peers hear of it at once.
// `LinkEvents` tells what peers say.
// Pitfall: answers of many requests share a link, so bodies are cut into pieces and take turns, small ones first.
#pragma once

#include "forward/linkcodec.h"
#include "kernel/metrics.h"
#include "loop/tcpstream.h"
#include "mesh/uplinkpacer.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Fescuenotch {

constexpr milliseconds HeartbeatPeriod{400}; ///< ms; three of them fit into the time in which a lost peer must be found
constexpr milliseconds IdleHeartbeatPeriod{1'200}; ///< ms; below the age at which a report counts for little
constexpr milliseconds LinkIdleAfter{2'000}; ///< ms without a request after which a link rests
constexpr milliseconds LinkSilenceTimeout{1'300}; ///< ms; a link that gave nothing for so long is lost
constexpr milliseconds UplinkFlushTime{300}; ///< ms; the kernel needs 130 to send the last 96 KiB over 6 Mbit/s
constexpr milliseconds LinkConnectTimeout{600}; ///< ms; far above the way between data centres of a region
constexpr milliseconds UnusedLinkTimeout{60'000}; ///< ms; a link that carried no request for so long is closed

class LinkEvents
{
public:
    virtual ~LinkEvents() = default;
    virtual void onLinkUp(const Endpoint &peer) = 0;
    virtual void onLinkLost(const Endpoint &peer, CloseCause cause) = 0;
    virtual void onHeartbeat(const Endpoint &peer, const LinkHeartbeat &heartbeat) = 0; ///< `peer` as it was linked to
    virtual LinkHeartbeat ownHeartbeat() = 0; ///< for the pulses of this node
    virtual std::string initialStateRequest(const LinkIdentity &peer) = 0; ///< a frame for a node that has just linked to this one; empty: none
    virtual void onStateNews(const MeshWire::StateNews &news) = 0;
    /// Gives the frame that answers; empty: nothing to tell.
    virtual std::string onStateRequest(const MeshWire::StateRequest &request) = 0;
};

class PeerLinks
{
public:
    /// `mbps` of this host's link.
    PeerLinks(EventLoop &loop, const LinkIdentity &self, double mbps, Forwarder &forwarder, LinkEvents &events, MetricsRegistry &metrics);
    ~PeerLinks();

    Result<void> listen(const Endpoint &endpoint);
    /// A peer that cannot be reached ends the request as not run.
    std::unique_ptr<ForwardStream> open(const Endpoint &peer, ForwardRequest request, ForwardListener &listener);
    /// Opens a link ahead of its first request.
    void prepare(const Endpoint &peer);
    /// Sends a frame to a peer, opening the link if need be.
    void sendStateFrame(const Endpoint &peer, const std::string &frame);
    /// Offers the nodes that have linked to this one to `question`, until it gives a frame, and sends that.
    void sendToFirstLinkedNode(const std::function<std::string(const LinkIdentity &peer)> &makeFrame);
    /// Tells linked nodes at once that the target's report has changed much.
    void sendHeartbeatsNow();
    bool isUp(const Endpoint &peer) const;
    const UplinkPacer &uplink() const
    {
        return m_pacer;
    }
    /// Bytes that leave over this host's link by other ways than these links.
    void recordOtherTraffic(std::size_t bytes);
    /// Answers to peers that have not left this host yet, those of the last `UplinkFlushTime` among them.
    std::size_t answersInFlight(TimePoint now) const;
    std::size_t uplinkBacklog() const; ///< bytes of large answers that wait for the link

private:
    class OutboundLink;
    class InboundLink;
    friend class OutboundLink;
    friend class InboundLink;

    OutboundLink &getOrOpenLink(const Endpoint &peer);
    void accept(int fd);
    void removeOutbound(OutboundLink &link);
    void removeInbound(InboundLink &link);
    void tick(TimePoint now);
    void sendLargeAnswers();

    EventLoop &m_loop;
    LinkIdentity m_self;
    Forwarder &m_forwarder;
    LinkEvents &m_events;
    std::unique_ptr<TcpListener> m_listener;
    std::map<Endpoint, std::unique_ptr<OutboundLink>> m_outbound;
    std::map<InboundLink *, std::unique_ptr<InboundLink>> m_inbound;
    ScopedTimer m_timer;
    UplinkPacer m_pacer;
    ScopedTimer m_pacerTimer; ///< runs while large answers wait for the link
    bool m_sendingLargeAnswers = false;

    Counter &m_opened;
    Counter &m_lost;
    Counter &m_lostRequests;
    Counter &m_badFrames;
};

} // namespace Fescuenotch
