// Sections: [outbound link] [inbound link] [all links]
#include "forward/peerlinks.h"

#include "kernel/logging.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxPieceBytes = 16 * 1024; ///< bytes of a body in one frame
constexpr std::size_t LinkBufferBytes = 64 * 1024; ///< bytes queued on a link above which answer bodies are held back
constexpr milliseconds LinkCheckPeriod{200}; ///< ms; interval of the check for silent links and due heartbeats
constexpr StreamOptions LinkOptions{LinkConnectTimeout, milliseconds(3'000)};

} // namespace

// ---- [outbound link] --------------------------------------------------------------------------------------------

/// Link opened by this node. Carries its requests to one peer.
class PeerLinks::OutboundLink final : public StreamEvents
{
public:
    OutboundLink(PeerLinks &links, const Endpoint &peer)
        : m_links(links)
        , m_peer(peer)
        , m_tcp(TcpStream::connect(links.m_loop, peer, *this, LinkOptions))
        , m_lastReceivedAt(links.m_loop.turnTime())
        , m_lastUsedAt(m_lastReceivedAt)
    {
        if (links.m_memory != nullptr) {
            m_account.emplace(*links.m_memory, MemoryBudget::Holder::Peer, m_lastReceivedAt);
        }
    }

    /// What waits for this host's link or for the peer.
    void updateMemoryAccount()
    {
        if (!m_account) {
            return;
        }
        m_account->update(m_links.m_loop.turnTime(), m_tcp->pendingBytes() + m_unsentBytes, 0, false);
    }

    struct Request {
        std::optional<ForwardRequest> unsent; ///< set until the link is connected
        ForwardListener *listener = nullptr;
        std::size_t bodyCredit = BodyWindow; ///< bytes of the request's body that may be sent
        std::string pendingBody; ///< of a body that is streamed; waits for credit and for room in the link's buffer
        bool bodyEnds = false; ///< `pendingBody` has the end of the body
        bool isBodySent = true; ///< false until the end of a streamed body was sent
    };

    std::uint64_t open(ForwardRequest request, ForwardListener &listener)
    {
        const auto id = m_nextStream++;
        auto &entry = m_requests[id];
        entry.listener = &listener;
        m_lastUsedAt = m_links.m_loop.turnTime();
        if (!request.bodyComplete) {
            entry.isBodySent = false;
            entry.pendingBody = std::move(request.body);
            request.body.clear();
        }
        if (isUp()) {
            const auto frame = encodeOpen(id, request, m_links.m_loop.turnTime());
            m_links.m_pacer.onSent(m_links.m_loop.turnTime(), frame.size());
            m_tcp->write(frame);
            sendPendingBody(id, entry);
        } else {
            m_unsentBytes += request.body.size();
            entry.unsent = std::move(request);
        }
        updateMemoryAccount();
        return id;
    }

    void cancel(std::uint64_t id)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        if (it->second.unsent) {
            m_unsentBytes -= it->second.unsent->body.size();
        } else if (isUp()) {
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
        request.pendingBody.append(bytes);
        request.bodyEnds = last;
        if (!request.unsent) {
            sendPendingBody(id, request);
            updateMemoryAccount();
        }
    }

    bool isReadyForBody(std::uint64_t id) const
    {
        return unsentBodyBytes(id) == 0;
    }

    std::size_t unsentBodyBytes(std::uint64_t id) const
    {
        const auto it = m_requests.find(id);
        return it == m_requests.end() ? 0 : it->second.pendingBody.size();
    }

    void grantCredit(std::uint64_t id, std::size_t bytes)
    {
        if (isUp() && m_requests.contains(id)) {
            m_tcp->write(encodeCredit(id, bytes));
        }
    }

    void onEntryStops(std::uint64_t id, TimePoint deadline)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end()) {
            return;
        }
        if (it->second.unsent) {
            it->second.unsent->deadline = std::min(it->second.unsent->deadline, deadline);
            it->second.unsent->entryStops = true;
        } else if (isUp()) {
            m_tcp->write(encodeDeadline(id, deadline, m_links.m_loop.turnTime()));
        }
    }

    void write(const std::string &frame)
    {
        if (isUp()) {
            m_tcp->write(frame);
        } else {
            m_pendingFrames.push_back(frame);
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
        return m_up && now - m_lastReceivedAt > LinkSilenceTimeout;
    }

    bool isUnused(TimePoint now) const
    {
        return m_requests.empty() && now - m_lastUsedAt > UnusedLinkTimeout;
    }

    void fail(CloseCause cause)
    {
        m_tcp->reset();
        failRequests(cause);
    }

    void onConnected() override
    {
        m_up = true;
        const auto now = m_links.m_loop.turnTime();
        m_lastReceivedAt = now;
        m_tcp->write(encodeGreeting(m_links.m_self, now));
        for (const auto &frame : m_pendingFrames) {
            m_tcp->write(frame);
        }
        m_pendingFrames.clear();
        for (auto &[id, request] : m_requests) {
            m_tcp->write(encodeOpen(id, *request.unsent, now));
            request.unsent.reset();
            sendPendingBody(id, request);
        }
        m_unsentBytes = 0;
        updateMemoryAccount();
        m_links.m_events.onLinkUp(m_peer);
    }

    void onInput() override
    {
        m_lastReceivedAt = m_links.m_loop.turnTime();
        m_reader.append(m_tcp->input());
        m_tcp->input().clear();
        const auto error = errorOf([&] { return handleFrames(); });
        if (error) {
            m_links.m_badFrames.add();
            logEvent(LogLevel::Warning, "bad_frame").with("peer", toString(m_peer)).with(*error);
            fail(CloseCause::Reset);
        }
    }

    void onDrained() override
    {
        updateMemoryAccount();
        std::vector<std::uint64_t> waiting;
        for (const auto &[id, request] : m_requests) {
            if (!request.pendingBody.empty() && request.bodyCredit > 0) {
                waiting.push_back(id);
            }
        }
        for (const auto id : waiting) {
            if (auto *request = find(id)) {
                continueBody(id, *request);
            }
        }
    }

    void onClosed(CloseCause cause) override
    {
        failRequests(cause);
    }

private:
    Result<void> handleFrames()
    {
        for (;;) {
            BOOST_LEAF_AUTO(frame, m_reader.next());
            if (frame == nullptr || !m_tcp->isOpen()) {
                return {};
            }
            handleFrame(*frame);
        }
    }

    void handleFrame(const MeshWire::LinkFrame &frame)
    {
        switch (frame.message_type()) {
        case MeshWire::LinkMessage::Pulse:
            m_links.m_events.onHeartbeat(m_peer, decodeHeartbeat(*frame.message_as_Pulse(), m_links.m_loop.turnTime()));
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
                request->listener->onAnswerBody(toStringView(body->bytes()));
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
                continueBody(credit->stream(), *request);
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

    /// Sends as much of a body as the peer's credit and the link's buffer allow.
    void sendPendingBody(std::uint64_t id, Request &request)
    {
        std::string_view left = request.pendingBody;
        while (!left.empty() && request.bodyCredit > 0 && m_tcp->pendingBytes() < LinkBufferBytes) {
            const auto piece = left.substr(0, std::min(MaxPieceBytes, request.bodyCredit));
            left.remove_prefix(piece.size());
            request.bodyCredit -= piece.size();
            request.isBodySent = request.bodyEnds && left.empty();
            m_tcp->write(encodeRequestBody(id, piece, request.isBodySent));
        }
        if (left.size() < request.pendingBody.size()) {
            request.pendingBody = std::string(left); // also frees its memory
        }
        if (request.bodyEnds && left.empty() && !request.isBodySent) {
            request.isBodySent = true;
            m_tcp->write(encodeRequestBody(id, {}, true));
        }
    }

    /// May end the request, by its listener.
    void continueBody(std::uint64_t id, Request &request)
    {
        sendPendingBody(id, request);
        if (request.pendingBody.empty()) {
            request.listener->onReadyForBody();
        }
    }

    void failRequests(CloseCause cause)
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
            .with("silent_ms", std::chrono::duration_cast<milliseconds>(links.m_loop.turnTime() - m_lastReceivedAt).count());
        links.removeOutbound(*this); // destroys this object only at the end of the turn
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
    LinkFrameReader m_reader;
    bool m_up = false;
    std::uint64_t m_nextStream = 1;
    std::map<std::uint64_t, Request> m_requests; ///< by stream
    std::vector<std::string> m_pendingFrames; ///< to be sent when the link is connected
    std::size_t m_unsentBytes = 0; ///< of bodies in requests that wait for the link
    std::optional<MemoryBudget::Account> m_account;
    TimePoint m_lastReceivedAt;
    TimePoint m_lastUsedAt;
    std::shared_ptr<OutboundLink *> m_self = std::make_shared<OutboundLink *>(this); ///< expires with the link; LinkStream objects may outlive it
};

namespace {

/// The entry side's handle of a request on a link. After the link has ended its functions do nothing.
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

    std::size_t unsentBodyBytes() const override
    {
        const auto link = m_link.lock();
        return link ? (*link)->unsentBodyBytes(m_id) : 0;
    }

    void grantCredit(std::size_t bytes) override
    {
        if (const auto link = m_link.lock()) {
            (*link)->grantCredit(m_id, bytes);
        }
    }

    void onEntryStops(TimePoint deadline) override
    {
        if (const auto link = m_link.lock()) {
            (*link)->onEntryStops(m_id, deadline);
        }
    }

private:
    std::weak_ptr<Link *> m_link;
    std::uint64_t m_id;
};

} // namespace

// ---- [inbound link] ---------------------------------------------------------------------------------------------

/// Link opened by a peer. Carries the peer's requests to the target of this node.
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
        m_lastWriteAt = m_links.m_loop.turnTime();
        m_links.m_pacer.onSent(m_lastWriteAt, frame.size());
        m_tcp->write(frame);
        m_writtenBytes += frame.size();
    }

    bool isHandshakeDone() const
    {
        return m_handshakeDone;
    }

    const LinkIdentity &peer() const
    {
        return m_peer;
    }

    void writeHeartbeat(const std::string &frame)
    {
        write(frame);
        m_lastHeartbeatAt = m_lastWriteAt;
    }

    bool isHeartbeatDue(TimePoint now) const
    {
        return m_handshakeDone && now - m_lastWriteAt >= HeartbeatPeriod;
    }

    /// True when a keep-alive frame may replace the heartbeat: the link is idle, leads to another data centre, and the last
    /// heartbeat is recent.
    bool keepAliveSuffices(TimePoint now) const
    {
        const bool isOtherDataCentre = m_peer.dataCentre != m_links.m_self.dataCentre;
        const bool isInUse = !m_exchanges.empty() || now - m_lastExchangeAt < LinkIdleAfter;
        return isOtherDataCentre && !isInUse && now - m_lastHeartbeatAt < IdleHeartbeatPeriod;
    }

    /// Adds the large answers that can be sent now.
    void appendLargeAnswers(std::vector<LargeAnswer> &answers)
    {
        if (!hasBufferSpace()) {
            return;
        }
        for (const auto &[id, exchange] : m_exchanges) {
            if (exchange->isLarge && !exchange->pendingAnswer.empty() && exchange->answerCredit > 0) {
                answers.push_back({this, id, pendingOf(*exchange)});
            }
        }
    }

    /// Ends large answers of which nothing was sent and that this stopping node cannot send in time, so that their entry nodes can
    /// try another target.
    void endLateAnswers(const std::set<std::uint64_t> &inTime)
    {
        for (auto it = m_exchanges.begin(); it != m_exchanges.end();) {
            auto &exchange = *it->second;
            if (!exchange.isLarge || !exchange.head || inTime.contains(it->first)) {
                ++it;
                continue;
            }
            ForwardEnd end;
            end.reason = Reason::Leaving;
            end.offered = true;
            write(encodeEnded(it->first, end));
            m_links.m_loop.destroyLater(std::move(it->second));
            it = m_exchanges.erase(it);
        }
    }

    void sendLargePiece(std::uint64_t id)
    {
        const auto it = m_exchanges.find(id);
        sendPiece(it->first, *it->second);
        endIfSent(it);
    }

    std::size_t largeBacklog() const
    {
        std::size_t bytes = 0;
        for (const auto &[id, exchange] : m_exchanges) {
            bytes += exchange->isLarge ? exchange->pendingAnswer.size() : 0;
        }
        return bytes;
    }

    std::size_t answersInFlight(TimePoint now) const
    {
        const bool endedRecently = m_lastAnswerEndAt != TimePoint::min() && now - m_lastAnswerEndAt < UplinkFlushTime;
        return m_exchanges.size() + (endedRecently || hasUndeliveredAnswer() ? 1 : 0);
    }

    /// The peer's host has not acknowledged the end of the last answer. Frames after it do not count: heartbeats are always on their way.
    bool hasUndeliveredAnswer() const
    {
        const auto backlog = m_tcp->pendingBytes() + m_tcp->unacknowledgedBytes();
        return m_lastAnswerEnd + backlog > m_writtenBytes;
    }

    void onInput() override
    {
        m_reader.append(m_tcp->input());
        m_tcp->input().clear();
        const auto error = errorOf([&] { return handleFrames(); });
        if (error) {
            m_links.m_badFrames.add();
            logEvent(LogLevel::Warning, "bad_frame").with("peer", m_peer.host).with(*error);
            m_tcp->reset();
            m_links.removeInbound(*this);
        }
    }

    void onDrained() override
    {
        sendPendingAnswers();
    }

    void onClosed(CloseCause) override
    {
        m_links.removeInbound(*this);
    }

private:
    /// One request received on this link.
    class Exchange final : public ForwardListener
    {
    public:
        Exchange(InboundLink &link, std::uint64_t id)
            : m_link(link)
            , m_id(id)
        {
        }

        /// The head is sent with the first piece of the body: until then another target can still take over.
        void onAnswer(ForwardAnswer answer) override
        {
            head = std::move(answer);
        }

        void onAnswerBody(std::string_view bytes) override
        {
            pendingAnswer.append(bytes);
            updateMemoryAccount();
            isLarge = isLarge || pendingAnswer.size() > MaxSmallResponseBytes;
            m_link.sendPendingAnswers();
        }

        void onEnded(const ForwardEnd &end) override
        {
            ended = end;
            m_link.sendPendingAnswers();
        }

        void onReadyForBody() override
        {
            if (ungrantedBodyBytes > 0 && (!stream || stream->isReadyForBody())) {
                m_link.write(encodeCredit(m_id, ungrantedBodyBytes));
                ungrantedBodyBytes = 0;
            }
        }

        std::unique_ptr<ForwardStream> stream;
        TimePoint deadline; ///< the entry node gives up at this time
        bool entryStops = false; ///< the entry node is stopping: `deadline` is not later than its end
        std::optional<ForwardAnswer> head; ///< not sent yet
        std::string pendingAnswer; ///< answer bytes not sent yet
        bool isLarge = false; ///< paced, together with the other large answers, to the bandwidth of the host's link
        std::size_t answerCredit = StreamWindow; ///< bytes of the answer that the entry node accepts now
        /// Blocked while the entry node grants no credit, because its caller reads slowly. Waiting for this host's link is not.
        void updateMemoryAccount()
        {
            if (account) {
                account->update(m_link.m_links.m_loop.turnTime(), pendingAnswer.size(), sentBytes, answerCredit == 0 && !pendingAnswer.empty());
            }
        }

        std::optional<MemoryBudget::Account> account;
        std::uint64_t sentBytes = 0; ///< bytes of the answer
        std::size_t ungrantedBodyBytes = 0; ///< bytes of the request's body that were received and for which no new credit was granted yet
        std::optional<ForwardEnd> ended;

    private:
        InboundLink &m_link;
        std::uint64_t m_id;
    };

    Result<void> handleFrames()
    {
        for (;;) {
            BOOST_LEAF_AUTO(frame, m_reader.next());
            if (frame == nullptr || !m_tcp->isOpen()) {
                return {};
            }
            if (!m_handshakeDone && frame->message_type() != MeshWire::LinkMessage::Greeting) {
                return badFrame("first frame of the link is not a greeting");
            }
            BOOST_LEAF_CHECK(handleFrame(*frame));
        }
    }

    Result<void> handleFrame(const MeshWire::LinkFrame &frame)
    {
        const auto now = m_links.m_loop.turnTime();
        switch (frame.message_type()) {
        case MeshWire::LinkMessage::Greeting:
            return handleGreeting(*frame.message_as_Greeting(), now);
        case MeshWire::LinkMessage::Open:
            open(*frame.message_as_Open(), now);
            break;
        case MeshWire::LinkMessage::RequestBody:
            handleRequestBody(*frame.message_as_RequestBody());
            break;
        case MeshWire::LinkMessage::Credit:
            grantCredit(*frame.message_as_Credit());
            break;
        case MeshWire::LinkMessage::Cancel: {
            // Removed from the map before it is destroyed: its destructor may end other exchanges of this link.
            const auto cancelled = m_exchanges.extract(frame.message_as_Cancel()->stream());
            break;
        }
        case MeshWire::LinkMessage::Deadline:
            onEntryStops(*frame.message_as_Deadline(), now);
            break;
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

    Result<void> handleGreeting(const MeshWire::Greeting &greeting, TimePoint now)
    {
        if (greeting.protocol() != LinkProtocol) {
            return badFrame("unsupported link protocol " + std::to_string(greeting.protocol()) + ", expected " + std::to_string(LinkProtocol));
        }
        m_peer = decodeGreeting(greeting);
        m_offset.transitTime(greeting.sent_at(), now);
        m_handshakeDone = true;
        m_reader.allowLargeFrames();
        write(encodeGreeting(m_links.m_self, now));
        writeHeartbeat(encodeHeartbeat(m_links.m_events.ownHeartbeat(true), now));
        if (const auto request = m_links.m_events.initialStateRequest(m_peer); !request.empty()) {
            write(request);
        }
        return {};
    }

    void open(const MeshWire::Open &open, TimePoint now)
    {
        const auto id = open.stream();
        m_lastExchangeAt = now;
        auto &exchange = *m_exchanges.insert_or_assign(id, std::make_unique<Exchange>(*this, id)).first->second;
        auto request = decodeOpen(open, now, m_offset.transitTime(open.sent_at(), now));
        if (m_links.m_memory != nullptr) {
            exchange.account.emplace(*m_links.m_memory, MemoryBudget::Holder::Peer, now, [this, id] { dropForMemory(id); });
        }
        exchange.deadline = request.deadline;
        exchange.entryStops = request.entryStops;
        exchange.stream = m_links.m_forwarder.open(std::move(request), exchange);
    }

    void onEntryStops(const MeshWire::Deadline &frame, TimePoint now)
    {
        const auto deadline = now + microseconds(frame.remaining_us()) - m_offset.transitTime(frame.sent_at(), now);
        const auto it = m_exchanges.find(frame.stream());
        if (it == m_exchanges.end()) {
            return;
        }
        it->second->deadline = std::min(it->second->deadline, deadline);
        it->second->entryStops = true;
        it->second->stream->onEntryStops(deadline);
        m_links.sendLargeAnswers();
    }

    void handleRequestBody(const MeshWire::RequestBody &body)
    {
        const auto it = m_exchanges.find(body.stream());
        if (it == m_exchanges.end() || it->second->ended) {
            return;
        }
        const auto bytes = toStringView(body.bytes());
        it->second->stream->sendBody(bytes, body.last());
        it->second->ungrantedBodyBytes += bytes.size();
        it->second->onReadyForBody();
    }

    void grantCredit(const MeshWire::Credit &credit)
    {
        const auto it = m_exchanges.find(credit.stream());
        if (it != m_exchanges.end()) {
            it->second->answerCredit += credit.bytes();
            it->second->updateMemoryAccount();
            sendPendingAnswers();
        }
    }

    /// The entry node gets an end without a complete answer, so it breaks the answer to its caller, or tries another target.
    void dropForMemory(std::uint64_t id)
    {
        auto node = m_exchanges.extract(id);
        if (node.empty()) {
            return;
        }
        logEvent(LogLevel::Warning, "answer_dropped")
            .with("peer", m_peer.host)
            .with("holder", MemoryBudget::holderName(MemoryBudget::Holder::Peer))
            .with("unsent_bytes", node.mapped()->pendingAnswer.size())
            .with("sent_bytes", node.mapped()->sentBytes)
            .with("remedy", "read answers faster, or give the host more memory");
        ForwardEnd end;
        end.reason = Reason::MemoryFull;
        end.offered = true;
        write(encodeEnded(id, end));
        m_links.m_loop.destroyLater(std::move(node.mapped()));
    }

    using Exchanges = std::map<std::uint64_t, std::unique_ptr<Exchange>>;

    bool hasBufferSpace() const
    {
        return m_tcp->isOpen() && m_tcp->pendingBytes() < LinkBufferBytes;
    }

    /// Sends small answers at once. Large ones are left to PeerLinks::sendLargeAnswers, which paces them over all links.
    void sendPendingAnswers()
    {
        bool largePending = false;
        for (auto it = m_exchanges.begin(); it != m_exchanges.end() && m_tcp->isOpen();) {
            auto &exchange = *it->second;
            if (exchange.isLarge && !exchange.pendingAnswer.empty()) {
                largePending = true;
                ++it;
                continue;
            }
            while (!exchange.pendingAnswer.empty() && exchange.answerCredit > 0 && hasBufferSpace()) {
                sendPiece(it->first, exchange);
            }
            it = endIfSent(it);
        }
        if (largePending) {
            m_links.sendLargeAnswers();
        }
    }

    PendingAnswer pendingOf(const Exchange &exchange) const
    {
        const bool selfStops = m_links.m_latestDeadline <= exchange.deadline;
        return {exchange.pendingAnswer.size(), std::min(exchange.deadline, m_links.m_latestDeadline), selfStops || exchange.entryStops};
    }

    void sendHead(std::uint64_t id, Exchange &exchange)
    {
        if (exchange.head) {
            write(encodeForwardAnswer(id, *exchange.head));
            exchange.head.reset();
        }
    }

    void sendPiece(std::uint64_t id, Exchange &exchange)
    {
        sendHead(id, exchange);
        const auto n = std::min({exchange.pendingAnswer.size(), exchange.answerCredit, MaxPieceBytes});
        write(encodeAnswerBody(id, std::string_view(exchange.pendingAnswer).substr(0, n)));
        exchange.pendingAnswer.erase(0, n);
        exchange.answerCredit -= n;
        exchange.sentBytes += n;
        exchange.updateMemoryAccount();
        if (!exchange.ended) {
            exchange.stream->grantCredit(n);
        }
    }

    /// Ends an exchange whose answer is completely sent. Returns an iterator to the next exchange.
    Exchanges::iterator endIfSent(Exchanges::iterator it)
    {
        if (!it->second->pendingAnswer.empty() || !it->second->ended) {
            return std::next(it);
        }
        if (it->second->ended->complete) {
            sendHead(it->first, *it->second);
        }
        write(encodeEnded(it->first, *it->second->ended));
        m_lastAnswerEndAt = m_lastWriteAt;
        m_lastAnswerEnd = m_writtenBytes;
        // Destroyed later, since this may be called from a function of the exchange.
        m_links.m_loop.destroyLater(std::move(it->second));
        return m_exchanges.erase(it);
    }

    PeerLinks &m_links;
    std::unique_ptr<TcpStream> m_tcp;
    LinkFrameReader m_reader;
    LinkIdentity m_peer;
    ClockOffset m_offset;
    bool m_handshakeDone = false;
    TimePoint m_lastWriteAt;
    TimePoint m_lastHeartbeatAt;
    TimePoint m_lastExchangeAt; ///< when the last exchange began
    TimePoint m_lastAnswerEndAt = TimePoint::min();
    std::uint64_t m_writtenBytes = 0; ///< since the link was accepted
    std::uint64_t m_lastAnswerEnd = 0; ///< bytes of the link's output up to the end of the last answer
    Exchanges m_exchanges; ///< by stream
};

// ---- [all links] ------------------------------------------------------------------------------------------------

PeerLinks::PeerLinks(EventLoop &loop, const LinkIdentity &self, double mbps, Forwarder &forwarder, LinkEvents &events, MetricsRegistry &metrics)
    : m_loop(loop)
    , m_self(self)
    , m_forwarder(forwarder)
    , m_events(events)
    , m_pacer(mbps)
    , m_opened(metrics.counter("fescuenotch_mesh_links_opened_total", "Links opened to other nodes."))
    , m_lost(metrics.counter("fescuenotch_mesh_links_lost_total", "Links to other nodes that broke or went silent."))
    , m_lostRequests(metrics.counter("fescuenotch_mesh_links_lost_requests_total", "Requests that were on a link when it was lost."))
    , m_badFrames(metrics.counter("fescuenotch_mesh_bad_frames_total", "Frames from other nodes that do not verify."))
{
    metrics.gauge("fescuenotch_mesh_links", "Links to other nodes.", {}, [this] { return static_cast<double>(m_outbound.size()); });
    m_timer.repeat(loop.timers(), LinkCheckPeriod, [this](TimePoint now) { tick(now); });
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

PeerLinks::OutboundLink &PeerLinks::getOrOpenLink(const Endpoint &peer)
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
    auto &link = getOrOpenLink(peer);
    const auto id = link.open(std::move(request), listener);
    return std::make_unique<LinkStream<OutboundLink>>(link.self(), id);
}

void PeerLinks::connect(const Endpoint &peer)
{
    getOrOpenLink(peer);
}

void PeerLinks::sendStateFrame(const Endpoint &peer, const std::string &frame)
{
    getOrOpenLink(peer).write(frame);
}

void PeerLinks::sendHeartbeatsNow()
{
    const auto frame = encodeHeartbeat(m_events.ownHeartbeat(false), m_loop.turnTime());
    for (const auto &[key, link] : m_inbound) {
        link->writeHeartbeat(frame);
    }
}

void PeerLinks::sendToFirstLinkedNode(const std::function<std::string(const LinkIdentity &peer)> &makeFrame)
{
    for (const auto &[key, link] : m_inbound) {
        const auto frame = link->isHandshakeDone() ? makeFrame(link->peer()) : std::string();
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

void PeerLinks::removeOutbound(OutboundLink &link)
{
    auto node = m_outbound.extract(link.peer());
    if (!node.empty()) {
        m_loop.destroyLater(std::move(node.mapped()));
    }
}

void PeerLinks::removeInbound(InboundLink &link)
{
    auto node = m_inbound.extract(&link);
    if (!node.empty()) {
        m_loop.destroyLater(std::move(node.mapped()));
    }
}

void PeerLinks::recordOtherTraffic(std::size_t bytes)
{
    m_pacer.onSent(m_loop.turnTime(), bytes);
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

void PeerLinks::beginStopping(TimePoint latestDeadline)
{
    m_latestDeadline = latestDeadline;
    endLateAnswers(m_loop.turnTime());
}

void PeerLinks::endLateAnswers(TimePoint now)
{
    std::vector<LargeAnswer> answers;
    for (const auto &[key, link] : m_inbound) {
        link->appendLargeAnswers(answers);
    }
    std::map<InboundLink *, std::set<std::uint64_t>> inTime;
    for (const auto n : answersInTime(now, pendingOf(answers), m_pacer)) {
        inTime[answers[n].link].insert(answers[n].stream);
    }
    std::set<InboundLink *> waiting;
    for (const auto &each : answers) {
        waiting.insert(each.link);
    }
    for (auto *link : waiting) {
        link->endLateAnswers(inTime[link]);
    }
}

std::vector<PendingAnswer> PeerLinks::pendingOf(const std::vector<LargeAnswer> &answers)
{
    std::vector<PendingAnswer> pending;
    pending.reserve(answers.size());
    for (const auto &each : answers) {
        pending.push_back(each.pending);
    }
    return pending;
}

std::optional<PeerLinks::LargeAnswer> PeerLinks::nextLargeAnswer(TimePoint now) const
{
    std::vector<LargeAnswer> answers;
    for (const auto &[key, link] : m_inbound) {
        link->appendLargeAnswers(answers);
    }
    const auto n = nextAnswer(now, pendingOf(answers), m_pacer);
    return n ? std::optional(answers[*n]) : std::nullopt;
}

/// Sends pieces of the large answers of all links as far as the bandwidth of the host's link allows. Otherwise starts a timer
/// for the next piece.
void PeerLinks::sendLargeAnswers()
{
    if (m_sendingLargeAnswers) {
        return;
    }
    m_sendingLargeAnswers = true;
    const auto now = m_loop.turnTime();
    while (const auto next = nextLargeAnswer(now)) {
        if (!m_pacer.maySend(now)) {
            m_pacerTimer.start(m_loop.timers(), m_pacer.nextAt(now) - now, [this](TimePoint) { sendLargeAnswers(); });
            break;
        }
        next->link->sendLargePiece(next->stream);
    }
    m_sendingLargeAnswers = false;
}

void PeerLinks::tick(TimePoint now)
{
    if (m_latestDeadline != TimePoint::max()) {
        endLateAnswers(now);
    }
    std::vector<OutboundLink *> expired;
    for (const auto &[peer, link] : m_outbound) {
        link->updateMemoryAccount();
        if (link->isSilent(now) || link->isUnused(now)) {
            expired.push_back(link.get());
        }
    }
    for (auto *link : expired) {
        link->fail(CloseCause::TimedOut);
    }
    const auto keepAlive = encodeKeepAlive(now);
    std::string heartbeat; // encoded once, at the first link that needs it
    for (const auto &[key, link] : m_inbound) {
        if (!link->isHeartbeatDue(now)) {
            continue;
        }
        if (link->keepAliveSuffices(now)) {
            link->write(keepAlive);
            continue;
        }
        if (heartbeat.empty()) {
            heartbeat = encodeHeartbeat(m_events.ownHeartbeat(false), now);
        }
        link->writeHeartbeat(heartbeat);
    }
}

} // namespace Fescuenotch
