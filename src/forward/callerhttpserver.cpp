// Sections: [connection] [server]
#include "forward/callerhttpserver.h"

#include "kernel/logging.h"
#include "mesh/answerdelivery.h"
#include "plugins/requestcheck.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <limits>

namespace Fescuenotch {

namespace {

constexpr std::size_t MaxPipelinedRequests = 64; ///< concurrent requests of one connection; input is paused beyond that
constexpr milliseconds TimeoutCheckPeriod{250}; ///< ms between checks for slow and idle connections
/// ms; after the last answer was delivered, input is read and discarded for this long. Closing with unread input would send a reset, which
/// can make the caller lose the answer.
constexpr milliseconds LingerTimeout{1'000};
/// 128 KB unsent in the kernel keep a fast link busy; the rest of an answer that is read slowly is counted by the MemoryBudget.
/// Connection::checkTimeouts closes the connection of a caller that takes nothing. Callers are many, and each may send a large body, so little
/// of it is read at once.
constexpr StreamOptions CallerStreamOptions{.connectTimeout = milliseconds(1'000),
                                            .unresponsiveTimeout = milliseconds(4'000),
                                            .limitsClosedWindow = false,
                                            .maxReadPerTurnBytes = 64 * 1024,
                                            .maxUnsentBytes = 128 * 1024};
/// Descriptors that callers' connections leave to others: connections to the target, the store and the health check. The share is for
/// processes with few descriptors.
constexpr std::size_t ReservedDescriptors = 256;
constexpr std::size_t ReservedShare = 4; ///< at most one descriptor in this many is reserved
constexpr std::size_t EvictionBatch = 128; ///< one open connection in this many is evicted at once, so that not every new one needs a search
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

bool expectsContinue(const MessageHead &head)
{
    const auto *expect = findHeader(head.headers, "Expect");
    return expect != nullptr && sameHeaderName(*expect, "100-continue");
}

/// For the logs and metrics of lost answers and input.
const char *closeReasonName(CallerHttpServer::CloseReason reason)
{
    switch (reason) {
    case CallerHttpServer::CloseReason::Linger:
        return "linger";
    case CallerHttpServer::CloseReason::Idle:
        return "idle";
    case CallerHttpServer::CloseReason::Stalled:
        return "stalled";
    case CallerHttpServer::CloseReason::Unresponsive:
        return "unresponsive";
    case CallerHttpServer::CloseReason::Evicted:
        return "evicted";
    case CallerHttpServer::CloseReason::Exit:
        return "exit";
    }
    return "unknown";
}

} // namespace

class CallerHttpServer::Connection final : public StreamEvents
{
public:
    Connection(CallerHttpServer &server, int fd)
        : m_server(server)
        , m_tcp(TcpStream::adopt(server.m_context.loop(), fd, *this, CallerStreamOptions))
        , m_reader(MessageReader::Kind::Request, messageLimits())
        , m_idleSince(now())
        , m_account(*server.m_context.dependencies().memory, MemoryBudget::Holder::Caller, now(), [this] { dropForMemory(); })
        , m_bodyAccount(*server.m_context.dependencies().memory, MemoryBudget::Holder::Body, now(), [this] { dropBody(); })
    {
    }

    /// Neither an answer nor the work for a complete request is under way on the connection.
    bool waitsForCaller() const
    {
        const bool hasOutput = m_tcp->pendingBytes() > 0;
        return !hasOutput && (m_requests.empty() || (m_receiving != nullptr && m_requests.size() == 1));
    }

    TimePoint lastActivity() const
    {
        return std::max(m_lastInput, m_idleSince);
    }

    /// Closes the connection to make room for another one, unless the rest of a request has arrived. Returns whether it did.
    bool evict()
    {
        m_tcp->readNow();
        if (!m_tcp->isOpen() || !waitsForCaller()) {
            return false;
        }
        logLosses(CloseReason::Evicted);
        abandon();
        return true;
    }

    void updateDelivery()
    {
        if (!m_delivery.isDelivered()) {
            m_delivery.update(now(), {m_tcp->pendingBytes(), m_tcp->unacknowledgedBytes()});
        }
    }

    /// Call it before this node closes the connection: logs and counts what the caller loses by that. After a regular close the kernel goes
    /// on sending what it has; with unread input the close is a reset.
    void logLosses(CloseReason reason)
    {
        updateDelivery();
        if (m_tcp->pendingBytes() > 0 || m_tcp->unreadBytes() > 0) {
            logCutAnswers(reason);
        }
        logDiscardedInput(reason);
    }

    void logCutAnswers(CloseReason reason)
    {
        for (const auto &answer : m_delivery.undelivered()) {
            m_server.m_cutAnswers[reason]->add();
            const auto acknowledged = std::max(m_delivery.acknowledged(), answer.begin);
            logEvent(LogLevel::Warning, "answer_cut")
                .with("request", answer.requestId)
                .with("closed_by", closeReasonName(reason))
                .with("answer_bytes", answer.end - answer.begin)
                .with("acknowledged_bytes", acknowledged - answer.begin)
                .with("connection_pending_bytes", m_delivery.backlog().pending)
                .with("connection_unacknowledged_bytes", m_delivery.backlog().unacknowledged)
                .with("stalled_ms", std::chrono::duration_cast<milliseconds>(now() - m_delivery.lastProgressAt()).count());
        }
    }

    void logDiscardedInput(CloseReason reason)
    {
        if (const auto unread = m_inputEnded ? 0 : m_tcp->unreadBytes(); unread > 0) {
            m_server.m_discardedInput[reason]->add();
            logEvent(LogLevel::Warning, "input_discarded")
                .with("closed_by", closeReasonName(reason))
                .with("bytes", unread)
                .with("last_request", m_lastRequestId);
        }
    }

    void updateMemoryAccount()
    {
        std::size_t held = m_tcp->pendingBytes();
        for (const auto &each : m_requests) {
            held += each->pendingBody.size() + (each->hasRequest() ? each->request().heldAnswerBytes() : 0);
        }
        m_account.update(now(), held, m_delivery.handedOver() - m_tcp->pendingBytes(), m_tcp->pendingBytes() > 0);
        m_bodyAccount.update(now(), heldRequestBytes(), m_tcp->receivedBytes(), awaitsInput());
    }

    /// Counts a finished answer as in flight until the caller's host has acknowledged it.
    std::size_t requestsInFlight()
    {
        updateDelivery();
        const std::size_t undelivered = !m_delivery.isDelivered() && m_requests.empty() ? 1 : 0;
        return undelivered + static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [](const auto &each) { return !each->isDone(); }));
    }

    void logUnanswered() const
    {
        for (const auto &each : m_requests) {
            if (each->hasRequest() && !each->isDone()) {
                each->request().logUnanswered();
            }
        }
    }

    void onNodeStops()
    {
        for (const auto &each : m_requests) {
            if (each->hasRequest()) {
                each->request().onNodeStops();
            }
        }
    }

    bool isIdle() const
    {
        return m_requests.empty() && !m_headStarted && m_tcp->pendingBytes() == 0;
    }

    void close()
    {
        endOutput();
        m_server.remove(*this);
    }

    /// For the end of the process: ends the connection and logs what is lost by that.
    void closeBeforeExit(UndeliveredOutput &total)
    {
        logDiscardedInput(CloseReason::Exit);
        const bool isCut = m_tcp->flushBeforeExit() > 0;
        updateDelivery();
        if (isCut) {
            logCutAnswers(CloseReason::Exit);
        }
        total.answers += m_delivery.undelivered().size();
        if (!m_delivery.isDelivered()) {
            total.backlog.pending += m_delivery.backlog().pending;
            total.backlog.unacknowledged += m_delivery.backlog().unacknowledged;
        }
        endOutput();
    }

    /// Answers requests that have arrived and were not read: while this node accepts them they are served, then refused.
    void readNow()
    {
        m_tcp->readNow();
    }

    /// Call it after `readNow`. A request that crosses the close is reset unread, so its caller may send it again.
    void closeIfIdle()
    {
        if (m_tcp->isOpen() && isIdle() && m_delivery.isDelivered()) {
            logLosses(CloseReason::Idle);
            close();
        }
    }

    /// Answers 408 to a header that is not complete in time. Closes the connection if a body stalls, if it is idle for too long, if its
    /// caller takes nothing of an answer for as long, or when the lingering after the last answer is over.
    void checkTimeouts(TimePoint time)
    {
        const auto &callerLimits = m_server.m_limits;
        resetIfDelivered();
        if (!m_tcp->isOpen()) {
            return;
        }
        if (m_requests.empty() && !m_delivery.isDelivered()) {
            if (time - m_delivery.lastProgressAt() > callerLimits.idleTimeout) {
                logLosses(CloseReason::Stalled);
                close();
                return;
            }
            m_lingeringSince = m_lingeringSince ? std::optional(time) : std::nullopt;
            m_idleSince = time;
        }
        if (m_lingeringSince && time - *m_lingeringSince > LingerTimeout) {
            logLosses(CloseReason::Linger);
            close();
            return;
        }
        if (!isLate(time)) {
            return;
        }
        m_tcp->readNow(); // what arrived while this process did not run is not late
        if (!m_tcp->isOpen() || !isLate(time)) {
            return;
        }
        if (isHeadLate(time)) {
            refuse({408, "slow-head", "send the head of a request within " + std::to_string(callerLimits.headTimeout.count()) + " ms"});
            return;
        }
        if (isBodyStalled(time)) {
            logLosses(CloseReason::Idle);
            close();
            return;
        }
        closeIfIdle();
    }

    void onInput() override
    {
        m_lastInput = now();
        if (m_inputEnded) {
            m_tcp->input().clear();
            return;
        }
        readRequests();
        updateMemoryAccount();
    }

    void onDrained() override
    {
        flush();
        updateMemoryAccount();
        for (const auto &each : m_requests) {
            if (each->hasRequest()) {
                each->request().onAnswerBacklogReduced();
            }
        }
    }

    void onClosed(CloseCause cause) override
    {
        if (cause == CloseCause::TimedOut) {
            logCutAnswers(CloseReason::Unresponsive);
        }
        for (const auto &each : m_requests) {
            if (each->hasRequest()) {
                each->request().onCallerDisconnected();
            }
        }
        m_server.remove(*this);
    }

private:
    /// One request and its answer. The answer is buffered until all answers before it have been sent.
    class Exchange final : public AnswerWriter
    {
    public:
        Exchange(Connection &connection, MessageHead head)
            : m_connection(connection)
            , m_isHead(head.method == "HEAD")
            , m_acceptsChunked(head.isHttp11)
            , m_request(std::make_unique<EntryRequest>(connection.m_server.m_context, *this, std::move(head)))
        {
        }

        /// For a refusal that the server writes itself; there is no EntryRequest.
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

        bool isDone() const
        {
            return m_finished || m_aborted;
        }

        void beginAnswer(unsigned status, const Headers &headers, std::optional<std::uint64_t> length) override
        {
            const bool hasNoBody = m_isHead || status == 204 || status == 304;
            m_chunked = !length && !hasNoBody && m_acceptsChunked;
            m_delimitedByClose = !length && !hasNoBody && !m_acceptsChunked;
            const bool withoutLength = status == 204;
            m_delimiter = {withoutLength ? std::nullopt : length, m_chunked};
            m_status = status;
            m_headers = headers;
            m_begun = true;
            m_connection.flush();
        }

        void answerBody(std::string_view bytes) override
        {
            if (m_isHead || bytes.empty()) {
                return;
            }
            pendingBody += m_chunked ? formatChunk(bytes) : std::string(bytes);
            m_connection.flush();
        }

        void finishAnswer() override
        {
            if (m_chunked) {
                pendingBody += LastChunk;
            }
            m_finished = true;
            m_connection.flush();
        }

        void abortAnswer() override
        {
            m_aborted = true;
            m_connection.flush();
        }

        std::size_t answerBacklog() const override
        {
            return pendingBody.size() + (m_connection.isFront(*this) ? m_connection.m_tcp->pendingBytes() : 0);
        }

        void resumeRequestBody() override
        {
            m_connection.resumeBody();
        }

        /// Returns the header on the first call after `beginAnswer`, else an empty string. Called when this answer is the next to be
        /// sent, since only then is it known whether the connection closes after it.
        std::string formatHeadOnce(bool closes)
        {
            if (!m_begun || m_headFormatted) {
                return {};
            }
            m_headFormatted = true;
            return formatResponseHead(m_status, m_headers, m_delimiter, closes || m_delimitedByClose);
        }

        bool headFormatted() const
        {
            return m_headFormatted;
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
            return m_delimitedByClose;
        }

        std::string requestId; ///< empty for a refusal that the server writes itself
        std::string pendingBody; ///< encoded body bytes that are not written yet

    private:
        Connection &m_connection;
        bool m_isHead = false;
        bool m_acceptsChunked = true;
        bool m_begun = false;
        bool m_headFormatted = false;
        bool m_finished = false;
        bool m_aborted = false;
        bool m_chunked = false;
        bool m_delimitedByClose = false;
        unsigned m_status = 0;
        Headers m_headers;
        BodyDelimiter m_delimiter;
        std::unique_ptr<EntryRequest> m_request; ///< last member: it may call this AnswerWriter while it is being constructed
    };

    TimePoint now() const
    {
        return m_server.m_context.now();
    }

    std::size_t heldRequestBytes() const
    {
        auto held = m_tcp->heldInputBytes();
        for (const auto &each : m_requests) {
            held += each->hasRequest() ? each->request().heldBytes() : 0;
        }
        return held;
    }

    /// The caller has to send more before the request that it has begun can be served.
    bool awaitsInput() const
    {
        return m_headStarted || m_receiving != nullptr;
    }

    MessageLimits messageLimits() const
    {
        return {m_server.m_limits.maxHeadBytes, m_server.m_limits.maxBodyBytes};
    }

    bool isHeadLate(TimePoint time) const
    {
        return m_headStarted && !m_reader.isHeadComplete() && time - *m_headStarted > m_server.m_limits.headTimeout;
    }

    bool isBodyStalled(TimePoint time) const
    {
        return m_receiving != nullptr && time - m_lastInput > m_server.m_limits.idleTimeout;
    }

    bool isLate(TimePoint time) const
    {
        const bool idleTooLong = m_requests.empty() && !m_headStarted && !m_lingeringSince && time - m_idleSince > m_server.m_limits.idleTimeout;
        return isHeadLate(time) || isBodyStalled(time) || idleTooLong;
    }

    bool isFront(const Exchange &exchange) const
    {
        return !m_requests.empty() && m_requests.front().get() == &exchange;
    }

    // Input.

    void readRequests()
    {
        while (!m_inputEnded && m_tcp->isOpen()) {
            if (!m_reader.isHeadComplete()) {
                if (m_requests.size() >= MaxPipelinedRequests) {
                    m_tcp->pauseInput();
                    return;
                }
                if (!readHead()) {
                    return;
                }
                if (m_receiving == nullptr) {
                    continue; // the request was refused
                }
            }
            if (!readBody()) {
                return;
            }
        }
    }

    /// Returns false if more input is needed or no more input is to be parsed.
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
            refuse({431, "too-large", "send at most " + std::to_string(m_server.m_limits.maxHeadBytes) + " bytes of headers"});
            return false;
        case MessageReader::ReadResult::BodyTooLarge:
            refuse(bodyTooLarge(m_server.m_limits.maxBodyBytes));
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
        if (const auto refusal = checkRequestHead(checked, {m_server.m_limits.maxHeadBytes, m_server.m_limits.maxBodyBytes})) {
            refuse(*refusal);
            return false;
        }
        const auto *id = findHeader(head.headers, m_server.m_context.dependencies().adapter->headers().requestId);
        m_lastRequestId = id == nullptr ? std::string() : *id;
        m_closeAfterLast = m_closeAfterLast || !head.keepAlive;
        m_server.m_lastRequestAt = now();
        ++m_server.m_requestsRead;
        if (expectsContinue(head) && m_requests.empty() && m_tcp->input().empty()) {
            m_tcp->write(ContinueAnswer);
        }
        if (m_server.m_acceptStopped) {
            return refuseAsLeaving();
        }
        m_requests.push_back(std::make_unique<Exchange>(*this, std::move(head)));
        m_requests.back()->requestId = m_lastRequestId;
        m_receiving = m_requests.back().get();
        m_receiving->request().start();
        return true;
    }

    /// Returns false if more input is needed or no more input is to be parsed.
    bool readBody()
    {
        if (m_receiving == nullptr) {
            return false;
        }
        if (!m_receiving->request().isReadyForBody()) {
            m_tcp->pauseInput();
            return false;
        }
        std::string piece;
        const auto result = m_reader.readBody(m_tcp->input(), piece);
        if (result == MessageReader::ReadResult::BodyTooLarge) {
            refuse(bodyTooLarge(m_server.m_limits.maxBodyBytes));
            return false;
        }
        if (result == MessageReader::ReadResult::Malformed) {
            refuse(badRequest("send the body as its framing says"));
            return false;
        }
        const bool last = result == MessageReader::ReadResult::Done;
        auto *exchange = m_receiving;
        if (last) {
            m_receiving = nullptr;
            m_reader.next();
        }
        if (last || !piece.empty()) {
            exchange->request().onRequestBody(piece, last);
        }
        if (last && m_closeAfterLast) {
            m_inputEnded = true;
        }
        flush();
        return last && !m_inputEnded;
    }

    void resumeBody()
    {
        m_tcp->resumeInput();
        if (m_tcp->input().empty() && m_receiving == nullptr) {
            return;
        }
        m_server.m_context.loop().defer([this, alive = std::weak_ptr(m_alive)] {
            if (!alive.expired() && !m_inputEnded) {
                readRequests();
            }
        });
    }

    /// Requests that are pipelined behind a refused one are refused, too, unless its body has not arrived. Returns false if no more input is
    /// to be parsed.
    bool refuseAsLeaving()
    {
        const RequestRefusal leaving{503, "leaving", "send the request to another node, or to this one when it is back"};
        std::string body;
        if (m_closeAfterLast || m_reader.readBody(m_tcp->input(), body) != MessageReader::ReadResult::Done) {
            refuse(leaving);
            return false;
        }
        m_reader.next();
        countRefusal(leaving);
        m_requests.push_back(std::make_unique<Exchange>(*this));
        writeRefusal(*m_requests.back(), leaving);
        return true;
    }

    void countRefusal(const RequestRefusal &refusal)
    {
        const auto counter = m_server.m_refusals.find(refusal.reason);
        if (counter != m_server.m_refusals.end()) {
            counter->second->add();
        }
        logEvent(LogLevel::Info, "caller_refused").with("status", refusal.status).with("reason", refusal.reason).with("remedy", refusal.remedy);
    }

    /// Answers input that cannot be served (malformed, too large, too slow, or after `stopAccepting`); nothing behind it is parsed.
    void refuse(const RequestRefusal &refusal)
    {
        countRefusal(refusal);
        m_inputEnded = true;
        m_closeAfterLast = true;
        m_headStarted.reset();
        if (m_receiving != nullptr) {
            // The body of a running request is malformed: the refusal becomes its answer unless an answer has been sent in part.
            auto *exchange = m_receiving;
            m_receiving = nullptr;
            if (!exchange->headFormatted() && !exchange->isDone()) {
                exchange->request().onCallerDisconnected();
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

    // Output.

    /// An answer that ends with the connection looks complete after a regular close, so a cut one needs a reset.
    void endOutput()
    {
        const bool isCut = !m_requests.empty() || m_tcp->pendingBytes() > 0;
        if (m_resetsWhenDelivered || (m_delimitedByClose && isCut)) {
            m_tcp->reset();
        } else {
            m_tcp->close();
        }
    }

    /// The connection is reset, so that the caller sees that its answer is incomplete.
    void dropForMemory()
    {
        logEvent(LogLevel::Warning, "answer_dropped")
            .with("request", m_lastRequestId)
            .with("holder", MemoryBudget::holderName(MemoryBudget::Holder::Caller))
            .with("unsent_bytes", m_tcp->pendingBytes())
            .with("sent_bytes", m_delivery.handedOver() - m_tcp->pendingBytes())
            .with("requests", m_requests.size())
            .with("remedy", "read answers faster, or give the host more memory");
        abandon();
    }

    /// Cancels what runs and closes the connection; with requests or output left it is reset, so that no answer looks complete.
    void abandon()
    {
        for (const auto &each : m_requests) {
            if (each->hasRequest()) {
                each->request().onCallerDisconnected();
            }
        }
        if (m_requests.empty() && m_tcp->pendingBytes() == 0) {
            m_tcp->close();
        } else {
            m_tcp->reset();
        }
        m_server.remove(*this);
    }

    /// Refuses the request that is being received; the connection closes after the answer.
    void dropBody()
    {
        logEvent(LogLevel::Warning, "body_dropped")
            .with("request", m_lastRequestId)
            .with("holder", MemoryBudget::holderName(MemoryBudget::Holder::Body))
            .with("held_bytes", heldRequestBytes())
            .with("received_bytes", m_tcp->receivedBytes())
            .with("remedy", "send bodies faster, or give the host more memory");
        auto *exchange = std::exchange(m_receiving, nullptr);
        m_inputEnded = true;
        m_closeAfterLast = true;
        std::string().swap(m_tcp->input());
        m_tcp->resumeInput(); // it is discarded, so that the close is not a reset
        if (exchange == nullptr) {
            refuse({503, "memory-full", "send the request again, or to another node"});
        } else {
            m_closing = m_closing || exchange->headFormatted();
            exchange->request().refuseForMemory();
        }
        flush();
    }

    /// Writes the available part of the first answer in the queue. Each finished answer is removed, and the next one follows.
    void flush()
    {
        if (m_flushing) {
            return;
        }
        m_flushing = true;
        while (!m_requests.empty() && m_tcp->isOpen()) {
            auto &front = *m_requests.front();
            if (front.isAborted()) {
                endAfterAbortedAnswer();
                break;
            }
            const bool isLast = m_requests.size() == 1 && m_receiving == nullptr;
            const bool closesForDrain = m_server.m_draining && isLast && m_tcp->input().empty() && m_tcp->unreadBytes() == 0;
            const bool closes = isLast && (m_closeAfterLast || closesForDrain);
            const auto head = front.formatHeadOnce(closes);
            m_tcp->write(head);
            m_closing = m_closing || (!head.empty() && closes) || (front.headFormatted() && front.endsConnection());
            m_delimitedByClose = m_delimitedByClose || (front.headFormatted() && front.endsConnection());
            m_inputEnded = m_inputEnded || m_closing;
            m_tcp->write(front.pendingBody);
            m_delivery.onHandedOver(now(), head.size() + front.pendingBody.size());
            if (!head.empty() || !front.pendingBody.empty()) {
                m_server.m_context.dependencies().links->recordOtherTraffic(head.size() + front.pendingBody.size());
            }
            std::string().swap(front.pendingBody); // also frees its memory
            const bool stillReceives = m_receiving == m_requests.front().get();
            if (!front.isFinished() || stillReceives) {
                break;
            }
            removeFront();
        }
        m_flushing = false;
        updateMemoryAccount();
    }

    /// Drops the requests that are left. The connection is reset, so that the caller sees that the aborted answer is incomplete, but only when
    /// the complete answers before it are delivered: a reset discards what the caller's host has not acknowledged.
    void endAfterAbortedAnswer()
    {
        m_inputEnded = true;
        m_headStarted.reset();
        m_receiving = nullptr;
        for (auto &each : m_requests) {
            m_server.m_context.loop().destroyLater(std::move(each)); // this may run inside a call from one of them
        }
        m_requests.clear();
        m_resetsWhenDelivered = true;
        m_tcp->resumeInput();
        resetIfDelivered();
    }

    void resetIfDelivered()
    {
        updateDelivery();
        if (m_resetsWhenDelivered && m_delivery.undelivered().empty()) {
            m_tcp->reset();
            m_server.remove(*this);
        }
    }

    void removeFront()
    {
        m_delivery.onAnswerEnd(m_requests.front()->requestId);
        // This may run inside a call from the front request, so it is destroyed at the end of the turn.
        m_server.m_context.loop().destroyLater(std::move(m_requests.front()));
        m_requests.pop_front();
        m_idleSince = now();
        if (m_requests.empty() && m_closing) {
            m_lingeringSince = now();
            m_tcp->shutdownOutput();
            m_tcp->resumeInput();
            return;
        }
        if (!m_inputEnded) {
            resumeBody();
        }
    }

    CallerHttpServer &m_server;
    std::unique_ptr<TcpStream> m_tcp;
    MessageReader m_reader;
    std::deque<std::unique_ptr<Exchange>> m_requests; ///< in the order of arrival
    Exchange *m_receiving = nullptr; ///< the request whose body is being read; null between requests
    std::optional<TimePoint> m_headStarted;
    TimePoint m_idleSince;
    TimePoint m_lastInput;
    std::optional<TimePoint> m_lingeringSince;
    bool m_closeAfterLast = false; ///< close after the last request, because of `Connection: close` or an error
    bool m_inputEnded = false;
    bool m_closing = false; ///< an answer with `Connection: close`, or one delimited by the close, has begun
    bool m_resetsWhenDelivered = false; ///< an answer was aborted behind complete ones
    bool m_delimitedByClose = false; ///< the close of the connection ends the answer that has begun
    bool m_flushing = false;
    std::string m_lastRequestId;
    AnswerDelivery m_delivery;
    /// Of answers alone: the rate at which one is read is measured from its first byte on.
    MemoryBudget::Account m_account;
    MemoryBudget::Account m_bodyAccount; ///< of input and of requests
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

// ---- [server] ---------------------------------------------------------------------------------------------------

CallerHttpServer::CallerHttpServer(EntryContext &context, MetricsRegistry &metrics)
    : m_context(context)
    , m_opened(metrics.counter("fescuenotch_entry_connections_total", "Connections of callers."))
    , m_evicted(metrics.counter("fescuenotch_entry_evicted_connections_total", "Connections that waited for their callers and made room for new ones."))
    , m_turnedAway(metrics.counter("fescuenotch_entry_turned_away_connections_total", "New connections that were closed since all others were in use."))
{
    for (const auto *reason : {"bad-request", "too-large", "slow-head", "leaving", "memory-full"}) {
        m_refusals[reason] = &metrics.counter("fescuenotch_entry_malformed_total", "Requests that were refused before they had a route.", {{"reason", reason}});
    }
    for (const auto reason :
         {CloseReason::Linger, CloseReason::Idle, CloseReason::Stalled, CloseReason::Unresponsive, CloseReason::Evicted, CloseReason::Exit}) {
        const Labels labels{{"closed_by", closeReasonName(reason)}};
        m_cutAnswers[reason] = &metrics.counter(
            "fescuenotch_entry_cut_answers_total", "Complete answers that did not arrive whole because their connection was closed.", labels);
        m_discardedInput[reason] = &metrics.counter(
            "fescuenotch_entry_discarded_input_total", "Connections of callers that this node closed with input that it had not read.", labels);
    }
    metrics.gauge("fescuenotch_entry_open_connections", "Connections of callers open now.", {}, [this] { return static_cast<double>(m_connections.size()); });
    m_timeoutCheckTimer.repeat(context.loop().timers(), TimeoutCheckPeriod, [this](TimePoint now) { checkTimeouts(now); });
}

CallerHttpServer::~CallerHttpServer() = default;

Result<void> CallerHttpServer::listen(const Endpoint &endpoint)
{
    BOOST_LEAF_AUTO(listener, TcpListener::listen(m_context.loop(), endpoint, "the callers' address", [this](int fd) { accept(fd); }));
    m_listener = std::move(listener);
    return {};
}

void CallerHttpServer::setLimits(const CallerRequestLimits &limits)
{
    m_limits = limits;
}

void CallerHttpServer::beginDrain()
{
    m_draining = true;
    for (auto *connection : connections()) {
        connection->onNodeStops();
    }
}

void CallerHttpServer::stopAccepting()
{
    m_acceptStopped = true;
    if (m_listener) {
        m_listener->dropConnectionRequests();
        m_listener->acceptPending(); // closing the listening socket resets connections that were not accepted
        m_listener.reset();
    }
}

bool CallerHttpServer::refuseArrived()
{
    const auto before = m_requestsRead;
    for (auto *connection : connections()) {
        connection->readNow();
    }
    return m_requestsRead != before;
}

void CallerHttpServer::accept(int fd)
{
    m_opened.add();
    if (m_connections.size() >= maxConnections()) {
        makeRoom();
    }
    if (m_connections.size() >= maxConnections()) {
        m_turnedAway.add();
        ::close(fd);
        return;
    }
    auto connection = std::make_unique<Connection>(*this, fd);
    auto *key = connection.get();
    m_connections.emplace(key, std::move(connection));
}

std::size_t CallerHttpServer::maxConnections() const
{
    const auto &dependencies = m_context.dependencies();
    const auto descriptors = dependencies.settings->maxDescriptors;
    if (descriptors == 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    const auto others = std::min(ReservedDescriptors, descriptors / ReservedShare) + dependencies.links->linkCount();
    return std::max(descriptors - std::min(descriptors, others), descriptors / ReservedShare);
}

void CallerHttpServer::makeRoom()
{
    std::vector<Connection *> waiting;
    for (const auto &[key, connection] : m_connections) {
        if (connection->waitsForCaller()) {
            waiting.push_back(key);
        }
    }
    const auto n = std::min(waiting.size(), 1 + m_connections.size() / EvictionBatch);
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(n);
    std::partial_sort(waiting.begin(), end, waiting.end(), [](const auto *a, const auto *b) { return a->lastActivity() < b->lastActivity(); });
    const auto open = m_connections.size();
    const auto evicted = static_cast<std::size_t>(std::count_if(waiting.begin(), end, [](auto *connection) { return connection->evict(); }));
    m_evicted.add(evicted);
    logEvent(LogLevel::Warning, "connections_evicted")
        .with("connections", open)
        .with("waiting", waiting.size())
        .with("evicted", evicted)
        .with("remedy", "reuse connections, or raise max_fds");
}

void CallerHttpServer::remove(Connection &connection)
{
    auto node = m_connections.extract(&connection);
    if (!node.empty()) {
        m_context.loop().destroyLater(std::move(node.mapped()));
    }
}

std::size_t CallerHttpServer::requestsInFlight()
{
    std::size_t n = 0;
    for (const auto &[key, connection] : m_connections) {
        n += connection->requestsInFlight();
    }
    return n;
}

UndeliveredOutput CallerHttpServer::closeBeforeExit()
{
    UndeliveredOutput total;
    for (auto *connection : connections()) {
        connection->logUnanswered();
        connection->closeBeforeExit(total);
    }
    return total;
}

void CallerHttpServer::updateMemoryAccounts()
{
    for (const auto &[key, connection] : m_connections) {
        connection->updateMemoryAccount();
    }
}

void CallerHttpServer::checkTimeouts(TimePoint now)
{
    updateMemoryAccounts();
    for (auto *connection : connections()) {
        connection->checkTimeouts(now);
    }
}

/// A copy, since a connection may remove itself while the caller iterates.
std::vector<CallerHttpServer::Connection *> CallerHttpServer::connections() const
{
    std::vector<Connection *> all;
    all.reserve(m_connections.size());
    for (const auto &[key, connection] : m_connections) {
        all.push_back(key);
    }
    return all;
}

} // namespace Fescuenotch
