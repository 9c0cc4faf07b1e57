// Sections: [sending] [answer] [end]
#include "forward/targetconnection.h"

#include <boost/algorithm/string/predicate.hpp>

#include <charconv>

namespace Fescuenotch {

namespace {

constexpr MessageLimits AnswerLimits{65'536, 4'294'967'296}; ///< bytes; a head above this is no answer of a target

unsigned statusClass(unsigned status)
{
    return status / 100;
}

/// Seconds of "timeout=N" in a Keep-Alive header.
std::optional<seconds> statedTimeout(const Headers &headers)
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

TargetConnection::TargetConnection(EventLoop &loop, const Endpoint &target, const HeaderNameSet &headers, std::function<void(TargetConnection &)> onIdleEnd)
    : m_loop(loop)
    , m_headers(headers)
    , m_onIdleEnd(std::move(onIdleEnd))
    , m_stream(TcpStream::connect(loop, target, *this))
    , m_reader(MessageReader::Kind::Response, AnswerLimits)
{
}

// ---- [sending] --------------------------------------------------------------------------------------------------

void TargetConnection::send(const ForwardRequest &request, const std::string &head, TargetConnectionEvents &events)
{
    m_events = &events;
    m_requestId = request.requestId;
    m_idleBefore = m_requests == 0 ? Duration(0) : m_loop.turnTime() - m_idleSince;
    ++m_requests;
    m_anyAnswer = false;
    m_headPassed = false;
    m_skipping = false;
    m_held.clear();
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
    m_bodySent = request.bodyWhole;
    if (chunked && request.bodyWhole) {
        m_stream->write(LastChunk);
    }
}

void TargetConnection::sendBody(std::string_view bytes, bool last)
{
    m_stream->write(bytes);
    m_bodySent = last;
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
        m_usable = false; // bytes that nobody asked for
        m_stream->reset();
        m_onIdleEnd(*this);
        return;
    }
    readAnswer();
}

void TargetConnection::readAnswer()
{
    for (;;) {
        if (!m_reader.isHeadComplete()) {
            const auto step = m_reader.readHead(m_stream->input());
            if (step == MessageReader::ReadResult::NeedMore) {
                return;
            }
            if (step != MessageReader::ReadResult::Done) {
                breakOff("the target's bytes are no answer");
                return;
            }
            if (!acceptHead()) {
                return;
            }
        }
        const auto step = m_reader.readBody(m_stream->input(), m_held);
        if (step != MessageReader::ReadResult::Done && step != MessageReader::ReadResult::NeedMore) {
            breakOff("the target's answer is malformed");
            return;
        }
        const bool complete = step == MessageReader::ReadResult::Done;
        if (m_skipping) {
            m_held.clear();
            if (!complete) {
                return;
            }
            m_skipping = false;
            m_reader.next();
            continue;
        }
        if (complete || m_held.size() > HeldAnswerBytes || m_headPassed) {
            passOn(complete);
        }
        return;
    }
}

bool TargetConnection::acceptHead()
{
    const auto &head = m_reader.head();
    const auto *echoed = findHeader(head.headers, m_headers.requestId);
    const bool isSuccess = statusClass(head.status) == 2;
    const bool otherRequest = echoed != nullptr && *echoed != m_requestId;
    const bool unproven = isSuccess && (findHeader(head.headers, m_headers.signature) == nullptr || (echoed == nullptr && !m_requestId.empty()));
    if (otherRequest && !head.closeDelimited) {
        m_skipping = true;
        return true;
    }
    if (otherRequest || unproven) {
        breakOff("the target's answer belongs to no request");
        return false;
    }
    m_anyAnswer = true;
    if (const auto timeout = statedTimeout(head.headers)) {
        m_statedIdleLimit = *timeout;
    }
    return true;
}

void TargetConnection::passOn(bool complete)
{
    const auto guard = std::weak_ptr(m_alive);
    if (!m_headPassed) {
        m_headPassed = true;
        ForwardAnswer answer{m_reader.head().status, m_reader.head().headers, m_reader.head().length};
        removeFramingHeaders(answer.headers);
        if (!answer.bodyLength && complete) {
            answer.bodyLength = m_held.size();
        }
        m_events->onTargetAnswer(std::move(answer));
        if (guard.expired() || m_events == nullptr) {
            return;
        }
    }
    if (!m_held.empty()) {
        std::string bytes;
        bytes.swap(m_held);
        m_events->onTargetBody(bytes);
        if (guard.expired() || m_events == nullptr) {
            return;
        }
    }
    if (complete) {
        finish();
    }
}

bool TargetConnection::mayBeReused() const
{
    return m_usable && m_stream->isOpen() && m_events == nullptr;
}

// ---- [end] ------------------------------------------------------------------------------------------------------

void TargetConnection::finish()
{
    const bool leftovers = !m_stream->input().empty();
    m_usable = m_usable && m_reader.head().keepAlive && m_bodySent && !leftovers && m_stream->isOpen();
    if (!m_usable) {
        m_stream->reset();
    }
    end(ExchangeEnd::Kind::Answered, "");
}

void TargetConnection::breakOff(const std::string &detail)
{
    m_usable = false;
    m_stream->reset();
    end(ExchangeEnd::Kind::Broke, detail);
}

void TargetConnection::abandon()
{
    m_usable = false;
    m_events = nullptr;
    m_stream->reset();
}

void TargetConnection::end(ExchangeEnd::Kind kind, const std::string &detail)
{
    auto *events = m_events;
    m_events = nullptr;
    m_idleSince = m_loop.turnTime();
    events->onExchangeEnd({kind, m_anyAnswer, m_idleBefore, detail});
}

void TargetConnection::onClosed(CloseCause cause)
{
    m_usable = false;
    if (m_events == nullptr) {
        m_onIdleEnd(*this);
        return;
    }
    if (cause == CloseCause::ConnectFailed) {
        end(ExchangeEnd::Kind::ConnectFailed, "no connection");
        return;
    }
    const bool completed = cause == CloseCause::EndOfStream && !m_skipping && m_reader.endOfStream();
    if (completed) {
        passOn(true);
    } else {
        end(ExchangeEnd::Kind::Broke, closeCauseName(cause));
    }
}

} // namespace Fescuenotch
