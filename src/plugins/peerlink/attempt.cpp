#include "plugins/peerlink/attempt.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>

namespace Fescuenotch {

namespace {

constexpr std::uint32_t GrantAfterBytes = StreamWindowBytes / 4; ///< bytes; smaller grants would only cost frames

/// Sends `piece` in frames as the window allows. False when the window closed or `until` passed.
bool sendPieces(AttemptLink &link, SendWindow &window, std::uint64_t stream, Bytes piece, TimePoint until)
{
    while (!piece.empty()) {
        const auto n = window.take(std::min(piece.size(), MaxPieceBytes), until);
        if (n == 0 || !link.send(encodePiece(stream, piece.first(n)))) {
            return false;
        }
        piece = piece.subspan(n);
    }
    return true;
}

} // namespace

std::string toString(AttemptId id)
{
    std::array<char, 40> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx-%llu", static_cast<unsigned long long>(id.node), static_cast<unsigned long long>(id.number));
    return buf.data();
}

std::size_t SendWindow::take(std::size_t wanted, TimePoint until)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, until, [this] { return m_closed || m_credit > 0; });
    if (m_closed) {
        return 0;
    }
    const auto n = std::min<std::uint64_t>(wanted, m_credit);
    m_credit -= n;
    return n;
}

void SendWindow::grant(std::uint32_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_credit = std::min<std::uint64_t>(m_credit + bytes, StreamWindowBytes);
    m_changed.notify_all();
}

void SendWindow::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

OutboundState::OutboundState(std::uint64_t stream, std::shared_ptr<AttemptLink> link)
    : m_stream(stream)
    , m_link(std::move(link))
{
}

void OutboundState::push(AttemptEvent event, bool last)
{
    const std::lock_guard lock(m_mutex);
    if (m_ended) {
        return;
    }
    m_ended = last;
    m_buffered += event.body.size();
    m_events.push_back(std::move(event));
    m_changed.notify_all();
}

void OutboundState::onAnswer(AnswerHead head)
{
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::Head;
    event.head = std::move(head);
    push(std::move(event), false);
}

bool OutboundState::onPiece(std::string bytes)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_buffered + m_ungranted + bytes.size() > StreamWindowBytes) {
            return false;
        }
    }
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::Body;
    event.body = std::move(bytes);
    push(std::move(event), false);
    return true;
}

void OutboundState::onEnd(const AttemptEnd &end)
{
    m_window.close();
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::End;
    event.end = end;
    push(std::move(event), true);
}

void OutboundState::onLinkLost(bool anythingSent)
{
    m_window.close();
    AttemptEvent event;
    event.kind = AttemptEvent::Kind::LinkLost;
    event.anythingSent = anythingSent;
    push(std::move(event), true);
}

void OutboundState::onWindow(std::uint32_t bytes)
{
    m_window.grant(bytes);
}

AttemptEvent OutboundState::pop()
{
    AttemptEvent event = std::move(m_events.front());
    m_events.pop_front();
    m_buffered -= event.body.size();
    m_ungranted += static_cast<std::uint32_t>(event.body.size());
    return event;
}

AttemptEvent OutboundState::wait(TimePoint until)
{
    std::uint32_t grant = 0;
    AttemptEvent event;
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, until, [this] { return !m_events.empty(); });
        if (m_events.empty()) {
            return event;
        }
        event = pop();
        if (m_ungranted >= GrantAfterBytes && !m_ended) {
            std::swap(grant, m_ungranted);
        }
    }
    if (grant > 0) {
        m_link->send(encodeWindow(m_stream, grant));
    }
    return event;
}

bool OutboundState::sendBody(Bytes piece, TimePoint until)
{
    return sendPieces(*m_link, m_window, m_stream, piece, until);
}

bool OutboundState::finishBody()
{
    return m_link->send(encodePiecesEnd(m_stream));
}

void OutboundState::cancel()
{
    if (!ended()) {
        m_link->send(encodeCancel(m_stream));
    }
}

void OutboundState::abandon()
{
    cancel();
    m_link->forget(m_stream);
    onLinkLost(true);
}

bool OutboundState::ended() const
{
    const std::lock_guard lock(m_mutex);
    return m_ended;
}

LinkOutboundAttempt::LinkOutboundAttempt(std::shared_ptr<OutboundState> state)
    : m_state(std::move(state))
{
}

LinkOutboundAttempt::~LinkOutboundAttempt()
{
    m_state->abandon();
}

bool LinkOutboundAttempt::sendBody(Bytes piece, TimePoint until)
{
    return m_state->sendBody(piece, until);
}

bool LinkOutboundAttempt::finishBody()
{
    return m_state->finishBody();
}

AttemptEvent LinkOutboundAttempt::wait(TimePoint until)
{
    return m_state->wait(until);
}

void LinkOutboundAttempt::cancel()
{
    m_state->cancel();
}

LinkInboundAttempt::LinkInboundAttempt(AttemptHead head, std::shared_ptr<AttemptLink> link)
    : m_head(std::move(head))
    , m_link(std::move(link))
{
}

bool LinkInboundAttempt::onPiece(std::string bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_buffered + m_ungranted + bytes.size() > StreamWindowBytes) {
        return false;
    }
    m_buffered += bytes.size();
    m_pieces.push_back(std::move(bytes));
    m_changed.notify_all();
    return true;
}

void LinkInboundAttempt::onPiecesEnd()
{
    const std::lock_guard lock(m_mutex);
    m_bodyEnded = true;
    m_changed.notify_all();
}

void LinkInboundAttempt::onCancelled()
{
    m_window.close();
    std::function<void()> callback;
    {
        const std::lock_guard lock(m_mutex);
        if (m_ended || m_cancelled) {
            return;
        }
        m_cancelled = true;
        callback = m_onCancel;
        m_changed.notify_all();
    }
    if (callback) {
        callback();
    }
}

void LinkInboundAttempt::onWindow(std::uint32_t bytes)
{
    m_window.grant(bytes);
}

const AttemptHead &LinkInboundAttempt::head() const
{
    return m_head;
}

std::size_t LinkInboundAttempt::takePiece(std::span<char> buf)
{
    const auto &piece = m_pieces.front();
    const auto n = std::min(buf.size(), piece.size() - m_offset);
    std::memcpy(buf.data(), piece.data() + m_offset, n);
    m_offset += n;
    m_buffered -= n;
    m_ungranted += static_cast<std::uint32_t>(n);
    if (m_offset == piece.size()) {
        m_pieces.pop_front();
        m_offset = 0;
    }
    return n;
}

std::ptrdiff_t LinkInboundAttempt::readBody(std::span<char> buf, TimePoint until)
{
    std::uint32_t grant = 0;
    std::size_t n = 0;
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_until(lock, until, [this] { return m_cancelled || m_bodyEnded || !m_pieces.empty(); });
        if (m_cancelled) {
            return -1;
        }
        if (m_pieces.empty()) {
            return m_bodyEnded ? 0 : -1;
        }
        n = takePiece(buf);
        if (m_ungranted >= GrantAfterBytes) {
            std::swap(grant, m_ungranted);
        }
    }
    if (grant > 0) {
        m_link->send(encodeWindow(m_head.id.number, grant));
    }
    return static_cast<std::ptrdiff_t>(n);
}

bool LinkInboundAttempt::cancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_cancelled;
}

void LinkInboundAttempt::onCancel(std::function<void()> callback)
{
    {
        const std::lock_guard lock(m_mutex);
        m_onCancel = callback;
        if (!m_cancelled) {
            return;
        }
    }
    callback();
}

bool LinkInboundAttempt::sendHead(const AnswerHead &head)
{
    return !cancelled() && m_link->send(encodeAnswer(m_head.id.number, head));
}

bool LinkInboundAttempt::sendBody(Bytes piece, TimePoint until)
{
    return sendPieces(*m_link, m_window, m_head.id.number, piece, until);
}

void LinkInboundAttempt::end(const AttemptEnd &end)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_ended) {
            return;
        }
        m_ended = true;
        m_onCancel = nullptr;
    }
    m_window.close();
    m_link->forget(m_head.id.number);
    m_link->send(encodeAttemptEnd(m_head.id.number, end));
}

} // namespace Fescuenotch
