// TCP links between nodes: carries requests to the exit nodes of other targets, and requests of other nodes to the
// target of this node.
//
// An entry node has one connection to each exit node that it uses; many requests share it as streams, with a credit
// window for each body. A lost link ends its requests: those that were not sent yet as `NotRun`, the others as
// `Unknown`. The next request opens a new link.
//
// Heartbeats: the exit node sends a heartbeat with the report of its target at least every `HeartbeatPeriod`, so that a
// link that went silent without a reset is detected within `LinkSilenceTimeout`. An idle link to another data centre
// gets bare keep-alive frames instead, and a heartbeat every `IdleHeartbeatPeriod`: in a large fleet most links are
// idle, and traffic between data centres is charged for.
//
// How to use: call `listen` once, then `open` for each request to a peer. Call `sendHeartbeatsNow` before a shutdown, so
// that peers learn of it at once. Heartbeats and state messages of peers are passed to `LinkEvents`.
//
// Pitfall: many answers share a link, so their bodies are sent in pieces. Answers up to `MaxSmallResponseBytes` are sent at
// once; larger ones share the bandwidth of the host's link in the order of mesh/answerorder.h. So a large answer is delayed while
// shorter ones are pending; only answers to stopping nodes, and those of a stopping node, have a bound on that delay.
#pragma once

#include "forward/linkcodec.h"
#include "kernel/metrics.h"
#include "loop/tcpstream.h"
#include "mesh/answerorder.h"
#include "mesh/memorybudget.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Fescuenotch {

constexpr milliseconds HeartbeatPeriod{400}; ///< ms; three periods fit into the time within which a lost peer must be detected
constexpr milliseconds IdleHeartbeatPeriod{1'200}; ///< ms; shorter than the age at which target selection discounts a report
constexpr milliseconds LinkIdleAfter{2'000}; ///< ms; a link is idle when it has carried no request for this long
constexpr milliseconds LinkSilenceTimeout{1'300}; ///< ms; a link on which nothing was received for this long is lost
constexpr milliseconds UplinkFlushTime{300}; ///< ms; time for the kernel to send what is buffered: 96 KiB take 130 ms at 6 Mbit/s
constexpr milliseconds LinkConnectTimeout{600}; ///< ms; well above the round-trip time between data centres of a region
constexpr milliseconds UnusedLinkTimeout{60'000}; ///< ms; a link without requests for this long is closed

/// Callbacks of PeerLinks to the node.
class LinkEvents
{
public:
    virtual ~LinkEvents() = default;
    virtual void onLinkUp(const Endpoint &peer) = 0;
    virtual void onLinkLost(const Endpoint &peer, CloseCause cause) = 0;
    virtual void onHeartbeat(const Endpoint &peer, const LinkHeartbeat &heartbeat) = 0; ///< `peer` is the endpoint that the link was opened to
    /// Status of this node, called for each heartbeat to send. `first`: for a node that has just opened a link to this one.
    virtual LinkHeartbeat ownHeartbeat(bool first) = 0;
    /// A state request frame to send to a node that has just opened a link to this one; empty: send nothing.
    virtual std::string initialStateRequest(const LinkIdentity &peer) = 0;
    virtual void onStateNews(const MeshWire::StateNews &news) = 0;
    /// Returns the reply frame; empty: no reply.
    virtual std::string onStateRequest(const MeshWire::StateRequest &request) = 0;
};

class PeerLinks
{
public:
    /// `mbps` is the bandwidth of this host's link in Mbit/s. Requests from peers go to `forwarder`.
    PeerLinks(EventLoop &loop, const LinkIdentity &self, double mbps, Forwarder &forwarder, LinkEvents &events, MetricsRegistry &metrics);
    ~PeerLinks();

    /// Error ListenFailed if the endpoint cannot be bound.
    Result<void> listen(const Endpoint &endpoint);
    /// Sends a request to a peer, opening the link if necessary. If the peer cannot be reached, the request ends as `NotRun`.
    std::unique_ptr<ForwardStream> open(const Endpoint &peer, ForwardRequest request, ForwardListener &listener);
    /// Opens the link in advance, so that the first request does not wait for the connection.
    void connect(const Endpoint &peer);
    /// Sends a state request or state news frame to a peer, opening the link if necessary.
    void sendStateFrame(const Endpoint &peer, const std::string &frame);
    /// Calls `makeFrame` for each node that has a link to this one until it returns a frame, and sends that frame to that node.
    /// Sends nothing if every result is empty.
    void sendToFirstLinkedNode(const std::function<std::string(const LinkIdentity &peer)> &makeFrame);
    /// Sends a heartbeat to all linked nodes without waiting for the period, for example when the target's report has changed much.
    void sendHeartbeatsNow();
    bool isUp(const Endpoint &peer) const;
    std::size_t linkCount() const ///< in both directions
    {
        return m_outbound.size() + m_inbound.size();
    }
    /// This node stops: large answers to peers must be sent by `latestDeadline`, whatever their own deadlines.
    void beginStopping(TimePoint latestDeadline);
    const UplinkPacer &uplink() const
    {
        return m_pacer;
    }
    /// Counts answers that are held for peers in `budget`. Call it before `listen`.
    void setMemoryBudget(MemoryBudget &budget)
    {
        m_memory = &budget;
    }
    /// Counts bytes that other connections send over this host's link, so that large answers are paced around them.
    void recordOtherTraffic(std::size_t bytes);
    /// Answers to peers that are not delivered. A link counts as one more while the peer's host has not acknowledged its last answer, and for
    /// `UplinkFlushTime` after that answer was handed over, since something between the hosts may acknowledge in the peer's place.
    std::size_t answersInFlight(TimePoint now) const;
    std::size_t uplinkBacklog() const; ///< bytes of large answers that are queued for this host's link

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
    struct LargeAnswer {
        InboundLink *link = nullptr;
        std::uint64_t stream = 0;
        PendingAnswer pending;
    };

    static std::vector<PendingAnswer> pendingOf(const std::vector<LargeAnswer> &answers);
    std::optional<LargeAnswer> nextLargeAnswer(TimePoint now) const;
    void endLateAnswers(TimePoint now);
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
    ScopedTimer m_pacerTimer; ///< runs while large answers wait for bandwidth
    bool m_sendingLargeAnswers = false;
    MemoryBudget *m_memory = nullptr;
    TimePoint m_latestDeadline = TimePoint::max(); ///< of all answers; set when this node stops

    Counter &m_opened;
    Counter &m_lost;
    Counter &m_lostRequests;
    Counter &m_badFrames;
};

} // namespace Fescuenotch
