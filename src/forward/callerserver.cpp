// Sections: [one request of a connection] [connection] [server]
#include "forward/callerserver.h"

#include "kernel/logging.h"
#include "plugins/requestcheck.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr std::size_t MostPipelined = 64; ///< requests of one connection that run at once; more wait unread
constexpr milliseconds SweepPeriod{250}; ///< ms; between looks for slow or resting connections
constexpr milliseconds LingerLimit{1'000}; ///< ms; input is discarded so long after the last answer, so that it is not lost in a reset
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

bool expectsContinue(const MessageHead &head)
{
    const auto *expect = findHeader(head.headers, "Expect");
    return expect != nullptr && sameHeaderName(*expect, "100-continue");
}

} // namespace

class CallerConnections::Connection final : public StreamEvents
{
public:
    Connection(CallerConnections &server, int fd)
        : m_server(server)
        , m_tcp(TcpStream::adopt(server.m_core.loop(), fd, *this))
        , m_reader(MessageReader::Kind::Request, limits())
        , m_restsSince(now())
    {
    }

    /// Answers that were made but have not left count too.
    std::size_t requestsInFlight() const
    {
        const std::size_t unsent = m_tcp->pendingBytes() > 0 && m_requests.empty() ? 1 : 0;
        return unsent + static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [](const auto &each) { return !each->isOver(); }));
    }

    void closeIfIdle()
    {
        if (m_requests.empty() && !m_headStarted && m_tcp->pendingBytes() == 0) {
            m_tcp->close();
            m_server.remove(*this);
        }
    }

    /// Ends what takes too long: a head, a pause between requests, the discarding of input.
    void sweep(TimePoint time)
    {
        if (m_lingerSince && time - *m_lingerSince > LingerLimit) {
            m_tcp->close();
            m_server.remove(*this);
            return;
        }
        const auto &bounds = m_server.m_bounds;
        if (m_headStarted && !m_reader.isHeadComplete() && time - *m_headStarted > bounds.headLimit) {
            refuse({408, "slow-head", "send the head of a request within " + std::to_string(bounds.headLimit.count()) + " ms"});
            return;
        }
        const bool bodyStalls = m_receiving != nullptr && time - m_lastInput > bounds.idleLimit;
        const bool rests = m_requests.empty() && !m_headStarted && time - m_restsSince > bounds.idleLimit;
        if (bodyStalls || rests) {
            m_tcp->close();
            m_server.remove(*this);
        }
    }

    void onInput() override
    {
        m_lastInput = now();
        if (m_readNoMore) {
            m_tcp->input().clear();
            return;
        }
        readRequests();
    }

    void onDrained() override
    {
        advance();
        for (const auto &each : m_requests) {
            if (each->hasRequest()) {
                each->request().onBacklogShrunk();
            }
        }
    }

    void onClosed(CloseCause) override
    {
        for (const auto &each : m_requests) {
            if (each->hasRequest()) {
                each->request().onCallerLeft();
            }
        }
        m_server.remove(*this);
    }

private:
    /// A request with its answer, in the order of the connection.
    class Exchange final : public AnswerWriter
    {
    public:
        Exchange(Connection &connection, MessageHead head)
            : m_connection(connection)
            , m_isHead(head.method == "HEAD")
            , m_takesChunks(head.isHttp11)
            , m_request(std::make_unique<EntryRequest>(connection.m_server.m_core, *this, std::move(head)))
        {
        }

        /// An answer of the server itself, without a request behind it.
        explicit Exchange(Connection &connection)
            : m_connection(connection)
        {
        }

        EntryRequest &request()
        {
            return *m_request;
        }

        bool hasRequest() const
        {
            return m_request != nullptr;
        }

        bool isOver() const
        {
            return m_finished || m_aborted;
        }

        void beginAnswer(unsigned status, const Headers &headers, std::optional<std::uint64_t> length) override
        {
            const bool hasNoBody = m_isHead || status == 204 || status == 304;
            m_chunked = !length && !hasNoBody && m_takesChunks;
            m_untilClose = !length && !hasNoBody && !m_takesChunks;
            const bool withoutLength = status == 204;
            m_head = {withoutLength ? std::nullopt : length, m_chunked};
            m_status = status;
            m_headers = headers;
            m_begun = true;
            m_connection.advance();
        }

        void answerBody(std::string_view bytes) override
        {
            if (m_isHead || bytes.empty()) {
                return;
            }
            out += m_chunked ? formatChunk(bytes) : std::string(bytes);
            m_connection.advance();
        }

        void finishAnswer() override
        {
            if (m_chunked) {
                out += LastChunk;
            }
            m_finished = true;
            m_connection.advance();
        }

        void abortAnswer() override
        {
            m_aborted = true;
            m_connection.advance();
        }

        std::size_t answerBacklog() const override
        {
            return out.size() + (m_connection.isFront(*this) ? m_connection.m_tcp->pendingBytes() : 0);
        }

        void onBodyTaken() override
        {
            m_connection.resumeBody();
        }

        /// The head, once; it is made when the answer's turn comes, since only then is it known whether it closes.
        std::string takeHead(bool closes)
        {
            if (!m_begun || m_headTaken) {
                return {};
            }
            m_headTaken = true;
            return formatResponseHead(m_status, m_headers, m_head, closes || m_untilClose);
        }

        bool headTaken() const
        {
            return m_headTaken;
        }

        bool isAborted() const
        {
            return m_aborted;
        }

        bool isFinished() const
        {
            return m_finished;
        }

        bool endsConnection() const
        {
            return m_untilClose;
        }

        std::string out; ///< body bytes that wait for their turn

    private:
        Connection &m_connection;
        bool m_isHead = false;
        bool m_takesChunks = true;
        bool m_begun = false;
        bool m_headTaken = false;
        bool m_finished = false;
        bool m_aborted = false;
        bool m_chunked = false;
        bool m_untilClose = false;
        unsigned m_status = 0;
        Headers m_headers;
        BodyDelimiter m_head;
        std::unique_ptr<EntryRequest> m_request; ///< last: it may write from its constructor's callees
    };

    TimePoint now() const
    {
        return m_server.m_core.now();
    }

    MessageLimits limits() const
    {
        return {m_server.m_bounds.maxHeadBytes, m_server.m_bounds.maxBodyBytes};
    }

    bool isFront(const Exchange &exchange) const
    {
        return !m_requests.empty() && m_requests.front().get() == &exchange;
    }

    // Reading.

    void readRequests()
    {
        while (!m_readNoMore && m_tcp->isOpen()) {
            if (!m_reader.isHeadComplete()) {
                if (m_requests.size() >= MostPipelined) {
                    m_tcp->pauseInput();
                    return;
                }
                if (!readHead()) {
                    return;
                }
            }
            if (!readBody()) {
                return;
            }
        }
    }

    /// False: more bytes are needed, or the connection is done.
    bool readHead()
    {
        if (!m_headStarted && !m_tcp->input().empty()) {
            m_headStarted = now();
        }
        switch (m_reader.readHead(m_tcp->input())) {
        case MessageReader::ReadResult::NeedMore:
            if (m_tcp->input().empty()) {
                m_headStarted.reset();
            }
            return false;
        case MessageReader::ReadResult::HeadTooLarge:
            refuse({431, "too-large", "send at most " + std::to_string(m_server.m_bounds.maxHeadBytes) + " bytes of headers"});
            return false;
        case MessageReader::ReadResult::BodyTooLarge:
            refuse(bodyTooLarge(m_server.m_bounds.maxBodyBytes));
            return false;
        case MessageReader::ReadResult::Malformed:
            refuse(badRequest("send requests as HTTP/1.1 has them: CRLF line ends, no folded headers, one framing of the body"));
            return false;
        case MessageReader::ReadResult::Done:
            break;
        }
        m_headStarted.reset();
        return beginRequest();
    }

    bool beginRequest()
    {
        auto head = m_reader.head();
        const RequestHead checked{head.method, head.target, head.isHttp11 ? "HTTP/1.1" : "HTTP/1.0", head.headers, head.headBytes, true};
        if (const auto refusal = checkRequestHead(checked, {m_server.m_bounds.maxHeadBytes, m_server.m_bounds.maxBodyBytes})) {
            refuse(*refusal);
            return false;
        }
        m_lastIsToClose = m_lastIsToClose || !head.keepAlive;
        m_server.m_lastRequestAt = now();
        if (expectsContinue(head) && m_requests.empty() && m_tcp->input().empty()) {
            m_tcp->write(ContinueAnswer);
        }
        if (m_server.m_acceptsNoMore) {
            refuse({503, "leaving", "send the request to another node, or to this one when it is back"});
            return false;
        }
        m_requests.push_back(std::make_unique<Exchange>(*this, std::move(head)));
        m_receiving = m_requests.back().get();
        m_receiving->request().start();
        return true;
    }

    /// False: more bytes are needed, or the connection is done.
    bool readBody()
    {
        if (m_receiving == nullptr) {
            return false;
        }
        if (!m_receiving->request().wantsBody()) {
            m_tcp->pauseInput();
            return false;
        }
        std::string piece;
        const auto step = m_reader.readBody(m_tcp->input(), piece);
        if (step == MessageReader::ReadResult::BodyTooLarge) {
            refuse(bodyTooLarge(m_server.m_bounds.maxBodyBytes));
            return false;
        }
        if (step == MessageReader::ReadResult::Malformed) {
            refuse(badRequest("send the body as its framing says"));
            return false;
        }
        const bool last = step == MessageReader::ReadResult::Done;
        auto *exchange = m_receiving;
        if (last) {
            m_receiving = nullptr;
            m_reader.next();
        }
        if (last || !piece.empty()) {
            exchange->request().onRequestBody(piece, last);
        }
        if (last && m_lastIsToClose) {
            m_readNoMore = true;
        }
        advance();
        return last && !m_readNoMore;
    }

    void resumeBody()
    {
        m_tcp->resumeInput();
        if (m_tcp->input().empty() && m_receiving == nullptr) {
            return;
        }
        m_server.m_core.loop().defer([this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired() && !m_readNoMore) {
                readRequests();
            }
        });
    }

    /// Answers what cannot be a request; nothing behind it is read.
    void refuse(const RequestRefusal &refusal)
    {
        const auto counter = m_server.m_refusals.find(refusal.reason);
        if (counter != m_server.m_refusals.end()) {
            counter->second->add();
        }
        logEvent(LogLevel::Info, "caller_refused").with("status", refusal.status).with("reason", refusal.reason).with("remedy", refusal.remedy);
        m_readNoMore = true;
        m_lastIsToClose = true;
        m_headStarted.reset();
        if (m_receiving != nullptr) {
            // The request whose body is malformed gets the refusal as its answer, unless it has one.
            auto *exchange = m_receiving;
            m_receiving = nullptr;
            if (!exchange->headTaken() && !exchange->isOver()) {
                exchange->request().onCallerLeft();
                writeRefusal(*exchange, refusal);
            } else {
                exchange->abortAnswer();
            }
            return;
        }
        m_requests.push_back(std::make_unique<Exchange>(*this));
        writeRefusal(*m_requests.back(), refusal);
    }

    static void writeRefusal(Exchange &exchange, const RequestRefusal &refusal)
    {
        const nlohmann::ordered_json body{{"reason", refusal.reason}, {"remedy", refusal.remedy}};
        const auto text = body.dump() + "\n";
        exchange.beginAnswer(refusal.status, {{"Content-Type", "application/json"}, {"Fescuenotch-Outcome", "not-run"}}, text.size());
        exchange.answerBody(text);
        exchange.finishAnswer();
    }

    // Writing.

    /// Writes what the first requests in order have ready.
    void advance()
    {
        if (m_advancing) {
            return;
        }
        m_advancing = true;
        while (!m_requests.empty() && m_tcp->isOpen()) {
            auto &front = *m_requests.front();
            if (front.isAborted()) {
                m_tcp->reset();
                m_server.remove(*this);
                break;
            }
            const bool isLast = m_requests.size() == 1 && m_receiving == nullptr;
            const bool leaves = m_server.m_leaving && isLast && m_tcp->input().empty();
            const bool closes = isLast && (m_lastIsToClose || leaves);
            const auto head = front.takeHead(closes);
            m_tcp->write(head);
            m_closing = m_closing || (!head.empty() && closes) || (front.headTaken() && front.endsConnection());
            m_readNoMore = m_readNoMore || m_closing;
            m_tcp->write(front.out);
            if (!head.empty() || !front.out.empty()) {
                m_server.m_core.parts().links->noteOtherTraffic(head.size() + front.out.size());
            }
            front.out.clear();
            const bool stillReceives = m_receiving == m_requests.front().get();
            if (!front.isFinished() || stillReceives) {
                break;
            }
            retire();
        }
        m_advancing = false;
    }

    void retire()
    {
        // The caller may be a function of this request.
        m_server.m_core.loop().destroyLater(std::move(m_requests.front()));
        m_requests.pop_front();
        m_restsSince = now();
        if (m_requests.empty() && m_closing) {
            m_lingerSince = now();
            m_tcp->shutdownOutput();
            m_tcp->resumeInput();
            return;
        }
        if (!m_readNoMore) {
            resumeBody();
        }
    }

    CallerConnections &m_server;
    std::unique_ptr<TcpStream> m_tcp;
    MessageReader m_reader;
    std::deque<std::unique_ptr<Exchange>> m_requests; ///< in order
    Exchange *m_receiving = nullptr; ///< whose body is being read
    std::optional<TimePoint> m_headStarted;
    TimePoint m_restsSince;
    TimePoint m_lastInput;
    std::optional<TimePoint> m_lingerSince;
    bool m_lastIsToClose = false; ///< the caller, or an error, ends the connection after the last request
    bool m_readNoMore = false;
    bool m_closing = false; ///< an answer said so
    bool m_advancing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// ---- [server] ---------------------------------------------------------------------------------------------------

CallerConnections::CallerConnections(MeshEntry &core, MetricsRegistry &metrics)
    : m_core(core)
    , m_opened(metrics.counter("fescuenotch_entry_connections_total", "Connections of callers."))
{
    for (const auto *reason : {"bad-request", "too-large", "slow-head", "leaving"}) {
        m_refusals[reason] = &metrics.counter("fescuenotch_entry_malformed_total", "Requests that were refused before they had a route.", {{"reason", reason}});
    }
    metrics.gauge("fescuenotch_entry_open_connections", "Connections of callers open now.", {}, [this] { return static_cast<double>(m_connections.size()); });
    m_sweep.repeat(core.loop().timers(), SweepPeriod, [this](TimePoint now) { sweep(now); });
}

CallerConnections::~CallerConnections() = default;

Result<void> CallerConnections::listen(const Endpoint &endpoint)
{
    BOOST_LEAF_AUTO(listener, TcpListener::listen(m_core.loop(), endpoint, "the callers' address", [this](int fd) { accept(fd); }));
    m_listener = std::move(listener);
    return {};
}

void CallerConnections::setBounds(const CallerBounds &bounds)
{
    m_bounds = bounds;
}

void CallerConnections::beginLeaving()
{
    m_leaving = true;
}

void CallerConnections::stopAccepting()
{
    m_acceptsNoMore = true;
    m_listener.reset();
    closeIdle();
}

void CallerConnections::accept(int fd)
{
    m_opened.add();
    auto connection = std::make_unique<Connection>(*this, fd);
    auto *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

void CallerConnections::remove(Connection &connection)
{
    auto node = m_connections.extract(&connection);
    if (!node.empty()) {
        m_core.loop().destroyLater(std::move(node.mapped()));
    }
}

std::size_t CallerConnections::requestsInFlight() const
{
    std::size_t n = 0;
    for (const auto &[key, connection] : m_connections) {
        n += connection->requestsInFlight();
    }
    return n;
}

void CallerConnections::closeIdle()
{
    std::vector<Connection *> all;
    for (const auto &[key, connection] : m_connections) {
        all.push_back(key);
    }
    for (auto *connection : all) {
        connection->closeIfIdle();
    }
}

void CallerConnections::sweep(TimePoint now)
{
    std::vector<Connection *> all;
    all.reserve(m_connections.size());
    for (const auto &[key, connection] : m_connections) {
        all.push_back(key);
    }
    for (auto *connection : all) {
        connection->sweep(now);
    }
}

} // namespace Fescuenotch
