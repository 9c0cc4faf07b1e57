// Sections: [sending] [answer] [end]
#include "forward/targetconnection.h"

#include <boost/algorithm/string/predicate.hpp>

#include <charconv>

namespace Fescuenotch {

namespace {

constexpr MessageLimits AnswerLimits{
    65'536, 4'294'967'296, 16'777'216}; ///< bytes of head, body, and body without a stated length; a larger answer fails the exchange
constexpr Duration MaxHeadTime = seconds(1); ///< s; from the first byte of a head to its end, so that one that comes byte by byte fails
constexpr Duration HeadGraceTime = milliseconds(50); ///< ms; after MaxHeadTime, to read what arrived while this node was paused

unsigned statusClass(unsigned status)
{
    return status / 100;
}

/// The "timeout=N" parameter of the Keep-Alive header, if there is a valid one.
std::optional<seconds> keepAliveTimeout(const Headers &headers)
{
    const auto *value = findHeader(headers, "Keep-Alive");
    const auto at = value == nullptr ? std::string::npos : value->find("timeout=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto *first = value->data() + at + std::string_view("timeout=").size();
    long n = 0;
    const auto [end, ec] = std::from_chars(first, value->data() + value->size(), n);
    return ec == std::errc() && n >= 0 ? std::optional(seconds(n)) : std::nullopt;
}

} // namespace

TargetConnection::TargetConnection(EventLoop &loop,
                                   const Endpoint &target,
                                   const PlatformHeaderNames &headers,
                                   std::function<void(TargetConnection &)> onIdleClosed)
    : m_loop(loop)
    , m_headers(headers)
    , m_onIdleClosed(std::move(onIdleClosed))
    , m_stream(TcpStream::connect(loop, target, *this, {.readsToEnd = true}))
    , m_reader(MessageReader::Kind::Response, AnswerLimits)
{
}

void TargetConnection::accountTo(MemoryBudget &budget)
{
    m_account.emplace(budget, MemoryBudget::Holder::Target, m_loop.turnTime());
}

/// Never blocked in the sense of the budget: the target's answers wait for this node.
void TargetConnection::updateMemoryAccount()
{
    if (m_account) {
        const auto held = m_bufferedBody.size() + m_stream->input().size() + m_stream->pendingBytes();
        m_account->update(m_loop.turnTime(), held, 0, false);
    }
}

// ---- [sending] --------------------------------------------------------------------------------------------------

void TargetConnection::send(const ForwardRequest &request, const std::string &head, TargetConnectionEvents &events)
{
    m_events = &events;
    m_requestId = request.requestId;
    m_idleTime = m_requests == 0 ? Duration(0) : m_loop.turnTime() - m_idleSince;
    ++m_requests;
    m_answerStarted = false;
    m_headForwarded = false;
    m_discardingAnswer = false;
    m_bufferedBody.clear();
    m_reader.next();
    if (request.method == "HEAD") {
        m_reader.expectNoBody();
    }
    m_stream->write(head);
    m_bodySent = false;
    const bool chunked = !request.bodyLength;
    if (!request.body.empty()) {
        m_stream->write(chunked ? formatChunk(request.body) : request.body);
    }
    m_bodySent = request.bodyComplete;
    if (chunked && request.bodyComplete) {
        m_stream->write(LastChunk);
    }
}

void TargetConnection::sendBody(std::string_view bytes, bool last)
{
    m_stream->write(bytes);
    m_bodySent = last;
    updateMemoryAccount();
}

std::size_t TargetConnection::pendingBytes() const
{
    return m_stream->pendingBytes();
}

void TargetConnection::onConnected()
{
}

void TargetConnection::onDrained()
{
    if (m_events != nullptr) {
        m_events->onTargetWritable();
    }
}

// ---- [answer] ---------------------------------------------------------------------------------------------------

void TargetConnection::pauseAnswer()
{
    m_stream->pauseInput();
}

void TargetConnection::resumeAnswer()
{
    m_stream->resumeInput();
}

void TargetConnection::onInput()
{
    if (m_events == nullptr) {
        m_reusable = false; // unsolicited bytes on an idle connection
        m_stream->reset();
        m_onIdleClosed(*this);
        return;
    }
    const auto guard = std::weak_ptr(m_alive);
    readAnswer();
    if (!guard.expired()) {
        updateMemoryAccount();
    }
}

void TargetConnection::readAnswer()
{
    for (;;) {
        if (!m_reader.isHeadComplete()) {
            const auto step = m_reader.readHead(m_stream->input());
            if (step == MessageReader::ReadResult::NeedMore) {
                startHeadTimer();
                return;
            }
            m_headTimer.cancel();
            if (step != MessageReader::ReadResult::Done) {
                failExchange(step == MessageReader::ReadResult::HeadTooLarge ? "target sent a response head without end"
                                                                             : "target sent an invalid response head");
                return;
            }
            if (!acceptHead()) {
                return;
            }
        }
        const auto step = m_reader.readBody(m_stream->input(), m_bufferedBody);
        if (step != MessageReader::ReadResult::Done && step != MessageReader::ReadResult::NeedMore) {
            failExchange(step == MessageReader::ReadResult::BodyTooLarge ? "target sent a response body without end" : "target sent a malformed response body");
            return;
        }
        const bool complete = step == MessageReader::ReadResult::Done;
        if (m_discardingAnswer) {
            m_bufferedBody.clear();
            if (!complete) {
                return;
            }
            m_discardingAnswer = false;
            m_reader.next();
            continue;
        }
        if (complete || m_bufferedBody.size() > MaxBufferedAnswerBytes || m_headForwarded) {
            forwardAnswer(complete);
        }
        return;
    }
}

void TargetConnection::startHeadTimer()
{
    if (m_stream->input().empty()) {
        m_headTimer.cancel(); // only interim responses so far
    } else if (!m_headTimer.isActive()) {
        m_headTimer.start(m_loop.timers(), MaxHeadTime, [this](TimePoint) { startHeadGraceTimer(); });
    }
}

/// After a pause of this node the rest may lie in the socket: it is read before the second timer ends.
void TargetConnection::startHeadGraceTimer()
{
    m_headTimer.start(m_loop.timers(), HeadGraceTime, [this](TimePoint) { failExchange("target did not end its response head in time"); });
}

bool TargetConnection::acceptHead()
{
    const auto &head = m_reader.head();
    const auto *echoed = findHeader(head.headers, m_headers.requestId);
    const bool isSuccess = statusClass(head.status) == 2;
    const bool isForOtherRequest = echoed != nullptr && *echoed != m_requestId;
    const bool isUnverified = isSuccess && (findHeader(head.headers, m_headers.signature) == nullptr || (echoed == nullptr && !m_requestId.empty()));
    if (isForOtherRequest && !head.closeDelimited) {
        m_discardingAnswer = true;
        return true;
    }
    if (isForOtherRequest || isUnverified) {
        failExchange("target response has a wrong or missing request id or no signature");
        return false;
    }
    m_answerStarted = true;
    if (const auto timeout = keepAliveTimeout(head.headers)) {
        m_advertisedIdleTimeout = *timeout;
    }
    return true;
}

void TargetConnection::forwardAnswer(bool complete)
{
    const auto guard = std::weak_ptr(m_alive);
    if (!m_headForwarded) {
        m_headForwarded = true;
        ForwardAnswer answer{m_reader.head().status, m_reader.head().headers, m_reader.head().length};
        removeFramingHeaders(answer.headers);
        if (!answer.bodyLength && complete) {
            answer.bodyLength = m_bufferedBody.size();
        }
        m_events->onTargetAnswer(std::move(answer));
        if (guard.expired() || m_events == nullptr) {
            return;
        }
    }
    if (!m_bufferedBody.empty()) {
        std::string bytes;
        bytes.swap(m_bufferedBody);
        m_events->onTargetBody(bytes);
        if (guard.expired() || m_events == nullptr) {
            return;
        }
    }
    if (complete) {
        finishExchange();
    }
}

bool TargetConnection::isReusable() const
{
    return m_reusable && m_stream->isOpen() && m_events == nullptr;
}

// ---- [end] ------------------------------------------------------------------------------------------------------

void TargetConnection::finishExchange()
{
    const bool hasTrailingBytes = !m_stream->input().empty();
    m_reusable = m_reusable && m_reader.head().keepAlive && m_bodySent && !hasTrailingBytes && m_stream->isOpen();
    if (!m_reusable) {
        m_stream->reset();
    }
    end(ExchangeResult::Kind::Answered, "");
}

void TargetConnection::failExchange(const std::string &detail)
{
    m_reusable = false;
    m_stream->reset();
    end(ExchangeResult::Kind::Broken, detail);
}

void TargetConnection::abandon()
{
    m_headTimer.cancel();
    m_reusable = false;
    m_events = nullptr;
    m_stream->reset();
    m_account.reset();
}

void TargetConnection::end(ExchangeResult::Kind kind, const std::string &detail)
{
    auto *events = m_events;
    m_events = nullptr;
    m_headTimer.cancel();
    m_idleSince = m_loop.turnTime();
    m_stream->resumeInput(); // the end of a large answer may have been read while input was paused
    events->onExchangeEnded({kind, m_answerStarted, m_idleTime, detail});
}

void TargetConnection::onClosed(CloseCause cause)
{
    m_reusable = false;
    if (m_events == nullptr) {
        m_onIdleClosed(*this);
        return;
    }
    if (cause == CloseCause::ConnectFailed) {
        end(ExchangeResult::Kind::ConnectFailed, "connection to the target failed");
        return;
    }
    const bool completed = cause == CloseCause::EndOfStream && !m_discardingAnswer && m_reader.endOfStream();
    if (completed) {
        forwardAnswer(true);
    } else {
        end(ExchangeResult::Kind::Broken, closeCauseName(cause));
    }
}

} // namespace Fescuenotch
