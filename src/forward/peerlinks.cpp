// Sections: [outbound link] [inbound link] [all links]
#include "forward/peerlinks.h"

#include "kernel/logging.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr std::size_t PieceBytes = 16 * 1024; ///< bytes of a body in one frame
constexpr std::size_t LinkBufferBytes = 64 * 1024; ///< bytes queued on a link before bodies wait for their turn
constexpr milliseconds TickPeriod{200}; ///< ms; between looks for silent links and due pulses
constexpr StreamOptions LinkOptions{LinkConnectLimit, milliseconds(3'000)};

} // namespace

// ---- [outbound link] --------------------------------------------------------------------------------------------

/// This node's requests to one peer.
class PeerLinks::OutboundLink final : public StreamEvents
{
public:
    OutboundLink(PeerLinks &links, const Endpoint &peer)
        : m_links(links)
        , m_peer(peer)
        , m_tcp(TcpStream::connect(links.m_loop, peer, *this, LinkOptions))
        , m_lastHeard(links.m_loop.turnTime())
        , m_lastUsed(m_lastHeard)
    {
    }

    struct Request {
        std::optional<ForwardRequest> unsent; ///< until the link is there
        ForwardListener *listener = nullptr;
        std::size_t bodyCredit = StreamWindow; ///< bytes of the request's body that may leave
        std::string laterBody; ///< came before the link was there
        bool laterBodyEnds = false;
    };

    std::uint64_t open(ForwardRequest request, ForwardListener &listener)
    {
        const auto id = m_nextStream++;
        auto &entry = m_requests[id];
        entry.listener = &listener;
        m_lastUsed = m_links.m_loop.turnTime();
        if (isUp()) {
            const auto frame = encodeOpen(id, request, m_links.m_loop.turnTime());
            m_links.m_pacer.onLeft(m_links.m_loop.turnTime(), frame.size());
            m_tcp->write(frame);
        } else {
            entry.unsent = std::move(request);
        }
        return id;
    }

    void cancel(std::uint64_t id)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        if (!it->second.unsent && isUp()) {
            m_tcp->write(encodeLinkCancel(id));
        }
        m_requests.erase(it);
    }

    void sendBody(std::uint64_t id, std::string_view bytes, bool last)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        auto &request = it->second;
        request.bodyCredit -= std::min(request.bodyCredit, bytes.size());
        if (request.unsent) {
            request.laterBody.append(bytes);
            request.laterBodyEnds = last;
            return;
        }
        writeBody(id, bytes, last);
    }

    bool isReadyForBody(std::uint64_t id) const
    {
        const auto it = m_requests.find(id);
        return it == m_requests.end() || it->second.bodyCredit > 0;
    }

    void grantCredit(std::uint64_t id, std::size_t bytes)
    {
        if (isUp() && m_requests.contains(id)) {
            m_tcp->write(encodeCredit(id, bytes));
        }
    }

    void write(const std::string &frame)
    {
        if (isUp()) {
            m_tcp->write(frame);
        } else {
            m_laterFrames.push_back(frame);
        }
    }

    const Endpoint &peer() const
    {
        return m_peer;
    }

    const std::shared_ptr<OutboundLink *> &self() const
    {
        return m_self;
    }

    bool isUp() const
    {
        return m_up;
    }

    bool isSilent(TimePoint now) const
    {
        return m_up && now - m_lastHeard > SilenceLimit;
    }

    bool isUnused(TimePoint now) const
    {
        return m_requests.empty() && now - m_lastUsed > UnusedLinkLimit;
    }

    void lose(CloseCause cause)
    {
        m_tcp->reset();
        endRequests(cause);
    }

    void onConnected() override
    {
        m_up = true;
        const auto now = m_links.m_loop.turnTime();
        m_lastHeard = now;
        m_tcp->write(encodeGreeting(m_links.m_self, now));
        for (const auto &frame : m_laterFrames) {
            m_tcp->write(frame);
        }
        m_laterFrames.clear();
        for (auto &[id, request] : m_requests) {
            m_tcp->write(encodeOpen(id, *request.unsent, now));
            request.unsent.reset();
            if (!request.laterBody.empty() || request.laterBodyEnds) {
                writeBody(id, request.laterBody, request.laterBodyEnds);
                request.laterBody.clear();
            }
        }
        m_links.m_events.onLinkUp(m_peer);
    }

    void onInput() override
    {
        m_lastHeard = m_links.m_loop.turnTime();
        m_reader.append(m_tcp->input());
        m_tcp->input().clear();
        const auto error = errorOf([&] { return takeFrames(); });
        if (error) {
            m_links.m_badFrames.add();
            logEvent(LogLevel::Warning, "bad_frame").with("peer", toString(m_peer)).with(*error);
            lose(CloseCause::Reset);
        }
    }

    void onClosed(CloseCause cause) override
    {
        endRequests(cause);
    }

private:
    Result<void> takeFrames()
    {
        for (;;) {
            BOOST_LEAF_AUTO(frame, m_reader.next());
            if (frame == nullptr || !m_tcp->isOpen()) {
                return {};
            }
            take(*frame);
        }
    }

    void take(const MeshWire::LinkFrame &frame)
    {
        switch (frame.message_type()) {
        case MeshWire::LinkMessage::Pulse:
            m_links.m_events.onPulse(m_peer, decodePulse(*frame.message_as_Pulse()));
            break;
        case MeshWire::LinkMessage::Greeting:
            m_reader.allowLargeFrames();
            break;
        case MeshWire::LinkMessage::Answer: {
            const auto *answer = frame.message_as_Answer();
            if (auto *request = find(answer->stream())) {
                request->listener->onAnswer(decodeForwardAnswer(*answer));
            }
            break;
        }
        case MeshWire::LinkMessage::AnswerBody: {
            const auto *body = frame.message_as_AnswerBody();
            if (auto *request = find(body->stream())) {
                request->listener->onAnswerBody(bytesOf(body->bytes()));
            }
            break;
        }
        case MeshWire::LinkMessage::Ended: {
            const auto *ended = frame.message_as_Ended();
            const auto node = m_requests.extract(ended->stream());
            if (!node.empty()) {
                node.mapped().listener->onEnded(decodeEnded(*ended));
            }
            break;
        }
        case MeshWire::LinkMessage::Credit: {
            const auto *credit = frame.message_as_Credit();
            if (auto *request = find(credit->stream())) {
                request->bodyCredit += credit->bytes();
                request->listener->onReadyForBody();
            }
            break;
        }
        case MeshWire::LinkMessage::StateNews:
            m_links.m_events.onStateNews(*frame.message_as_StateNews());
            break;
        case MeshWire::LinkMessage::StateRequest: {
            const auto reply = m_links.m_events.onStateRequest(*frame.message_as_StateRequest());
            if (!reply.empty()) {
                m_tcp->write(reply);
            }
            break;
        }
        default:
            break;
        }
    }

    Request *find(std::uint64_t id)
    {
        const auto it = m_requests.find(id);
        return it == m_requests.end() ? nullptr : &it->second;
    }

    void writeBody(std::uint64_t id, std::string_view bytes, bool last)
    {
        while (bytes.size() > PieceBytes) {
            m_tcp->write(encodeRequestBody(id, bytes.substr(0, PieceBytes), false));
            bytes.remove_prefix(PieceBytes);
        }
        m_tcp->write(encodeRequestBody(id, bytes, last));
    }

    void endRequests(CloseCause cause)
    {
        auto requests = std::move(m_requests);
        m_requests.clear();
        m_self.reset();
        auto &links = m_links;
        links.m_lost.add(m_up ? 1 : 0);
        links.m_lostRequests.add(requests.size());
        logEvent(m_up ? LogLevel::Warning : LogLevel::Info, "link_lost")
            .with("peer", toString(m_peer))
            .with("cause", closeCauseName(cause))
            .with("was_up", m_up ? 1 : 0)
            .with("requests", requests.size())
            .with("silent_ms", std::chrono::duration_cast<milliseconds>(links.m_loop.turnTime() - m_lastHeard).count());
        links.endOutbound(*this); // this object lives to the end of the turn
        links.m_events.onLinkLost(m_peer, cause);
        for (const auto &[id, request] : requests) {
            ForwardEnd end;
            const bool sent = !request.unsent;
            end.outcome = sent ? Outcome::Unknown : Outcome::NotRun;
            end.reason = sent ? Reason::LinkLost : Reason::ConnectFailed;
            request.listener->onEnded(end);
        }
    }

    PeerLinks &m_links;
    Endpoint m_peer;
    std::unique_ptr<TcpStream> m_tcp;
    LinkReader m_reader;
    bool m_up = false;
    std::uint64_t m_nextStream = 1;
    std::map<std::uint64_t, Request> m_requests; ///< by stream
    std::vector<std::string> m_laterFrames; ///< until the link is there
    TimePoint m_lastHeard;
    TimePoint m_lastUsed;
    std::shared_ptr<OutboundLink *> m_self = std::make_shared<OutboundLink *>(this); ///< for handles that may outlive the link
};

namespace {

/// The entry side's handle of a request on a link. The link may be gone before it.
template<typename Link>
class LinkStream final : public ForwardStream
{
public:
    LinkStream(const std::shared_ptr<Link *> &link, std::uint64_t id)
        : m_link(link)
        , m_id(id)
    {
    }

    ~LinkStream() override
    {
        if (const auto link = m_link.lock()) {
            (*link)->cancel(m_id);
        }
    }

    void sendBody(std::string_view bytes, bool last) override
    {
        if (const auto link = m_link.lock()) {
            (*link)->sendBody(m_id, bytes, last);
        }
    }

    bool isReadyForBody() const override
    {
        const auto link = m_link.lock();
        return !link || (*link)->isReadyForBody(m_id);
    }

    void grantCredit(std::size_t bytes) override
    {
        if (const auto link = m_link.lock()) {
            (*link)->grantCredit(m_id, bytes);
        }
    }

private:
    std::weak_ptr<Link *> m_link;
    std::uint64_t m_id;
};

} // namespace

// ---- [inbound link] ---------------------------------------------------------------------------------------------

/// A peer's requests to this node's target.
class PeerLinks::InboundLink final : public StreamEvents
{
public:
    InboundLink(PeerLinks &links, int fd)
        : m_links(links)
        , m_tcp(TcpStream::adopt(links.m_loop, fd, *this, LinkOptions))
    {
    }

    void write(const std::string &frame)
    {
        m_lastWrite = m_links.m_loop.turnTime();
        m_links.m_pacer.onLeft(m_lastWrite, frame.size());
        m_tcp->write(frame);
    }

    bool isGreeted() const
    {
        return m_greeted;
    }

    const LinkIdentity &peer() const
    {
        return m_peer;
    }

    void writePulse(const std::string &frame)
    {
        write(frame);
        m_lastPulse = m_lastWrite;
    }

    bool isDue(TimePoint now) const
    {
        return m_greeted && now - m_lastWrite >= PulsePeriod;
    }

    /// A bare beat will do.
    bool rests(TimePoint now) const
    {
        const bool isAcross = m_peer.dataCentre != m_links.m_self.dataCentre;
        const bool isUsed = !m_exchanges.empty() || now - m_lastExchange < RestsAfter;
        return isAcross && !isUsed && now - m_lastPulse < RestingPulsePeriod;
    }

    /// Bytes of the large answer that has the least left and may go on; 0 without any.
    std::size_t leastLargeLeft() const
    {
        std::size_t least = 0;
        for (const auto &[id, exchange] : m_exchanges) {
            const bool ready = exchange->isLarge && !exchange->waiting.empty() && exchange->credit > 0;
            if (ready && hasRoom() && (least == 0 || exchange->waiting.size() < least)) {
                least = exchange->waiting.size();
            }
        }
        return least;
    }

    void sendLargePiece(std::size_t left)
    {
        for (auto it = m_exchanges.begin(); it != m_exchanges.end(); ++it) {
            if (it->second->isLarge && it->second->waiting.size() == left && it->second->credit > 0) {
                sendPiece(it->first, *it->second);
                endIfSent(it);
                return;
            }
        }
    }

    std::size_t largeBacklog() const
    {
        std::size_t bytes = 0;
        for (const auto &[id, exchange] : m_exchanges) {
            bytes += exchange->isLarge ? exchange->waiting.size() : 0;
        }
        return bytes;
    }

    std::size_t answersInFlight(TimePoint now) const
    {
        const bool endsNow = m_lastAnswerEnd != TimePoint::min() && now - m_lastAnswerEnd < AnswerTail;
        return m_exchanges.size() + (endsNow ? 1 : 0);
    }

    void onInput() override
    {
        m_reader.append(m_tcp->input());
        m_tcp->input().clear();
        const auto error = errorOf([&] { return takeFrames(); });
        if (error) {
            m_links.m_badFrames.add();
            logEvent(LogLevel::Warning, "bad_frame").with("peer", m_peer.host).with(*error);
            m_tcp->reset();
            m_links.endInbound(*this);
        }
    }

    void onDrained() override
    {
        pump();
    }

    void onClosed(CloseCause) override
    {
        m_links.endInbound(*this);
    }

private:
    /// One request that came over this link.
    class Exchange final : public ForwardListener
    {
    public:
        Exchange(InboundLink &link, std::uint64_t id)
            : m_link(link)
            , m_id(id)
        {
        }

        void onAnswer(ForwardAnswer answer) override
        {
            m_link.write(encodeForwardAnswer(m_id, answer));
        }

        void onAnswerBody(std::string_view bytes) override
        {
            waiting.append(bytes);
            isLarge = isLarge || waiting.size() > SmallAnswerBytes;
            m_link.pump();
        }

        void onEnded(const ForwardEnd &end) override
        {
            ended = end;
            m_link.pump();
        }

        void onReadyForBody() override
        {
            if (bodyOwed > 0 && (!stream || stream->isReadyForBody())) {
                m_link.write(encodeCredit(m_id, bodyOwed));
                bodyOwed = 0;
            }
        }

        std::unique_ptr<ForwardStream> stream;
        std::string waiting; ///< bytes of the answer that have not left
        bool isLarge = false; ///< leaves at the pace of the host's link
        std::size_t credit = StreamWindow; ///< bytes of the answer that the entry node takes
        std::size_t bodyOwed = 0; ///< bytes of the request's body that were taken and not granted anew
        std::optional<ForwardEnd> ended;

    private:
        InboundLink &m_link;
        std::uint64_t m_id;
    };

    Result<void> takeFrames()
    {
        for (;;) {
            BOOST_LEAF_AUTO(frame, m_reader.next());
            if (frame == nullptr || !m_tcp->isOpen()) {
                return {};
            }
            if (!m_greeted && frame->message_type() != MeshWire::LinkMessage::Greeting) {
                return badFrame("a link that does not begin with a greeting");
            }
            BOOST_LEAF_CHECK(take(*frame));
        }
    }

    Result<void> take(const MeshWire::LinkFrame &frame)
    {
        const auto now = m_links.m_loop.turnTime();
        switch (frame.message_type()) {
        case MeshWire::LinkMessage::Greeting:
            return greet(*frame.message_as_Greeting(), now);
        case MeshWire::LinkMessage::Open:
            open(*frame.message_as_Open(), now);
            break;
        case MeshWire::LinkMessage::RequestBody:
            takeBody(*frame.message_as_RequestBody());
            break;
        case MeshWire::LinkMessage::Credit:
            grantCredit(*frame.message_as_Credit());
            break;
        case MeshWire::LinkMessage::Cancel: {
            // Taken out before it is destroyed: that may end other exchanges of this link.
            const auto cancelled = m_exchanges.extract(frame.message_as_Cancel()->stream());
            break;
        }
        case MeshWire::LinkMessage::StateNews:
            m_links.m_events.onStateNews(*frame.message_as_StateNews());
            break;
        case MeshWire::LinkMessage::StateRequest: {
            const auto reply = m_links.m_events.onStateRequest(*frame.message_as_StateRequest());
            if (!reply.empty()) {
                write(reply);
            }
            break;
        }
        default:
            break;
        }
        return {};
    }

    Result<void> greet(const MeshWire::Greeting &greeting, TimePoint now)
    {
        if (greeting.protocol() != LinkProtocol) {
            return badFrame("protocol " + std::to_string(greeting.protocol()) + ", spoken here is " + std::to_string(LinkProtocol));
        }
        m_peer = decodeGreeting(greeting);
        m_offset.timeOnTheWay(greeting.sent_at(), now);
        m_greeted = true;
        m_reader.allowLargeFrames();
        write(encodeGreeting(m_links.m_self, now));
        writePulse(encodePulse(m_links.m_events.ownPulse(), now));
        if (const auto request = m_links.m_events.greetingRequest(m_peer); !request.empty()) {
            write(request);
        }
        return {};
    }

    void open(const MeshWire::Open &open, TimePoint now)
    {
        const auto id = open.stream();
        m_lastExchange = now;
        auto &exchange = *m_exchanges.insert_or_assign(id, std::make_unique<Exchange>(*this, id)).first->second;
        exchange.stream = m_links.m_gate.open(decodeOpen(open, now, m_offset.timeOnTheWay(open.sent_at(), now)), exchange);
    }

    void takeBody(const MeshWire::RequestBody &body)
    {
        const auto it = m_exchanges.find(body.stream());
        if (it == m_exchanges.end() || it->second->ended) {
            return;
        }
        const auto bytes = bytesOf(body.bytes());
        it->second->stream->sendBody(bytes, body.last());
        it->second->bodyOwed += bytes.size();
        it->second->onReadyForBody();
    }

    void grantCredit(const MeshWire::Credit &credit)
    {
        const auto it = m_exchanges.find(credit.stream());
        if (it != m_exchanges.end()) {
            it->second->credit += credit.bytes();
            pump();
        }
    }

    using Exchanges = std::map<std::uint64_t, std::unique_ptr<Exchange>>;

    bool hasRoom() const
    {
        return m_tcp->isOpen() && m_tcp->pendingBytes() < LinkBufferBytes;
    }

    /// Sends what is small at once, and asks for a share of the host's link for the rest.
    void pump()
    {
        bool largeWaits = false;
        for (auto it = m_exchanges.begin(); it != m_exchanges.end() && m_tcp->isOpen();) {
            auto &exchange = *it->second;
            if (exchange.isLarge && !exchange.waiting.empty()) {
                largeWaits = true;
                ++it;
                continue;
            }
            while (!exchange.waiting.empty() && exchange.credit > 0 && hasRoom()) {
                sendPiece(it->first, exchange);
            }
            it = endIfSent(it);
        }
        if (largeWaits) {
            m_links.pumpLargeAnswers();
        }
    }

    void sendPiece(std::uint64_t id, Exchange &exchange)
    {
        const auto n = std::min({exchange.waiting.size(), exchange.credit, PieceBytes});
        write(encodeAnswerBody(id, std::string_view(exchange.waiting).substr(0, n)));
        exchange.waiting.erase(0, n);
        exchange.credit -= n;
        if (!exchange.ended) {
            exchange.stream->grantCredit(n);
        }
    }

    /// Tells the end of an exchange whose bytes have all left; gives the next exchange.
    Exchanges::iterator endIfSent(Exchanges::iterator it)
    {
        if (!it->second->waiting.empty() || !it->second->ended) {
            return std::next(it);
        }
        write(encodeEnded(it->first, *it->second->ended));
        m_lastAnswerEnd = m_lastWrite;
        // The caller may be a function of this exchange.
        m_links.m_loop.destroyLater(std::move(it->second));
        return m_exchanges.erase(it);
    }

    PeerLinks &m_links;
    std::unique_ptr<TcpStream> m_tcp;
    LinkReader m_reader;
    LinkIdentity m_peer;
    ClockOffset m_offset;
    bool m_greeted = false;
    TimePoint m_lastWrite;
    TimePoint m_lastPulse;
    TimePoint m_lastExchange; ///< began
    TimePoint m_lastAnswerEnd = TimePoint::min();
    Exchanges m_exchanges; ///< by stream
};

// ---- [all links] ------------------------------------------------------------------------------------------------

PeerLinks::PeerLinks(EventLoop &loop, const LinkIdentity &self, double mbps, Forwarder &gate, LinkEvents &events, MetricsRegistry &metrics)
    : m_loop(loop)
    , m_self(self)
    , m_gate(gate)
    , m_events(events)
    , m_pacer(mbps)
    , m_opened(metrics.counter("fescuenotch_mesh_links_opened_total", "Links opened to other nodes."))
    , m_lost(metrics.counter("fescuenotch_mesh_links_lost_total", "Links to other nodes that broke or went silent."))
    , m_lostRequests(metrics.counter("fescuenotch_mesh_links_lost_requests_total", "Requests that were on a link when it was lost."))
    , m_badFrames(metrics.counter("fescuenotch_mesh_bad_frames_total", "Frames from other nodes that do not verify."))
{
    metrics.gauge("fescuenotch_mesh_links", "Links to other nodes.", {}, [this] { return static_cast<double>(m_outbound.size()); });
    m_timer.repeat(loop.timers(), TickPeriod, [this](TimePoint now) { tick(now); });
}

PeerLinks::~PeerLinks() = default;

Result<void> PeerLinks::listen(const Endpoint &endpoint)
{
    BOOST_LEAF_AUTO(listener, TcpListener::listen(m_loop, endpoint, "the peer address", [this](int fd) { accept(fd); }));
    m_listener = std::move(listener);
    return {};
}

void PeerLinks::accept(int fd)
{
    auto link = std::make_unique<InboundLink>(*this, fd);
    auto *key = link.get();
    m_inbound.emplace(key, std::move(link));
}

PeerLinks::OutboundLink &PeerLinks::linkTo(const Endpoint &peer)
{
    auto &link = m_outbound[peer];
    if (!link) {
        m_opened.add();
        link = std::make_unique<OutboundLink>(*this, peer);
    }
    return *link;
}

std::unique_ptr<ForwardStream> PeerLinks::open(const Endpoint &peer, ForwardRequest request, ForwardListener &listener)
{
    auto &link = linkTo(peer);
    const auto id = link.open(std::move(request), listener);
    return std::make_unique<LinkStream<OutboundLink>>(link.self(), id);
}

void PeerLinks::prepare(const Endpoint &peer)
{
    linkTo(peer);
}

void PeerLinks::sendState(const Endpoint &peer, const std::string &frame)
{
    linkTo(peer).write(frame);
}

void PeerLinks::pulseNow()
{
    const auto frame = encodePulse(m_events.ownPulse(), m_loop.turnTime());
    for (const auto &[key, link] : m_inbound) {
        link->writePulse(frame);
    }
}

void PeerLinks::askLinked(const std::function<std::string(const LinkIdentity &peer)> &question)
{
    for (const auto &[key, link] : m_inbound) {
        const auto frame = link->isGreeted() ? question(link->peer()) : std::string();
        if (!frame.empty()) {
            link->write(frame);
            return;
        }
    }
}

bool PeerLinks::isUp(const Endpoint &peer) const
{
    const auto it = m_outbound.find(peer);
    return it != m_outbound.end() && it->second->isUp();
}

void PeerLinks::endOutbound(OutboundLink &link)
{
    auto node = m_outbound.extract(link.peer());
    if (!node.empty()) {
        m_loop.destroyLater(std::move(node.mapped()));
    }
}

void PeerLinks::endInbound(InboundLink &link)
{
    auto node = m_inbound.extract(&link);
    if (!node.empty()) {
        m_loop.destroyLater(std::move(node.mapped()));
    }
}

void PeerLinks::noteOtherTraffic(std::size_t bytes)
{
    m_pacer.onLeft(m_loop.turnTime(), bytes);
}

std::size_t PeerLinks::answersInFlight(TimePoint now) const
{
    std::size_t n = 0;
    for (const auto &[key, link] : m_inbound) {
        n += link->answersInFlight(now);
    }
    return n;
}

std::size_t PeerLinks::uplinkBacklog() const
{
    std::size_t bytes = 0;
    for (const auto &[key, link] : m_inbound) {
        bytes += link->largeBacklog();
    }
    return bytes;
}

/// Sends pieces of large answers of all links, the nearest to its end first, as far as the host's link goes.
void PeerLinks::pumpLargeAnswers()
{
    if (m_pumping) {
        return;
    }
    m_pumping = true;
    const auto now = m_loop.turnTime();
    for (;;) {
        InboundLink *next = nullptr;
        std::size_t least = 0;
        for (const auto &[key, link] : m_inbound) {
            const auto left = link->leastLargeLeft();
            if (left > 0 && (next == nullptr || left < least)) {
                next = key;
                least = left;
            }
        }
        if (next == nullptr) {
            break;
        }
        if (!m_pacer.mayLeave(now)) {
            m_pacerTimer.start(m_loop.timers(), m_pacer.nextAt(now) - now, [this](TimePoint) { pumpLargeAnswers(); });
            break;
        }
        next->sendLargePiece(least);
    }
    m_pumping = false;
}

void PeerLinks::tick(TimePoint now)
{
    std::vector<OutboundLink *> silent;
    for (const auto &[peer, link] : m_outbound) {
        if (link->isSilent(now) || link->isUnused(now)) {
            silent.push_back(link.get());
        }
    }
    for (auto *link : silent) {
        link->lose(CloseCause::TimedOut);
    }
    const auto beat = encodeBeat(now);
    std::string pulse; // the same for all that need one
    for (const auto &[key, link] : m_inbound) {
        if (!link->isDue(now)) {
            continue;
        }
        if (link->rests(now)) {
            link->write(beat);
            continue;
        }
        if (pulse.empty()) {
            pulse = encodePulse(m_events.ownPulse(), now);
        }
        link->writePulse(pulse);
    }
}

} // namespace Fescuenotch
