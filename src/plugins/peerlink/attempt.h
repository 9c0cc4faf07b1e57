// The two ends of an attempt on a link: what was received and not yet taken, and how much may still be sent.
//
// How to use: the link's thread calls the `on...` functions; the owner's thread blocks in the functions of the abstract
// interface. Each object has its own lock and calls the link only without holding it.
#pragma once

#include "plugins/interfaces.h"
#include "wire/framing.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace Fescuenotch {

/// What an attempt asks of its link.
class AttemptLink
{
public:
    virtual ~AttemptLink() = default;
    virtual bool send(std::string frame) = 0; ///< false when the link is closed
    virtual void forget(std::uint64_t stream) = 0; ///< frames for it are late from now on
};

/// Body bytes that may still be sent, granted by the other side.
class SendWindow
{
public:
    /// Takes up to `wanted` bytes; blocks while there are none. 0 when closed or `until` passed.
    std::size_t take(std::size_t wanted, TimePoint until);
    void grant(std::uint32_t bytes);
    void close();

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_credit = StreamWindowBytes; ///< bytes
    bool m_closed = false;
};

/// State of an outbound attempt that the link and the owner share.
class OutboundState
{
public:
    OutboundState(std::uint64_t stream, std::shared_ptr<AttemptLink> link);
    void onAnswer(AnswerHead head);
    bool onPiece(std::string bytes); ///< false: the other side sent more than its window
    void onEnd(const AttemptEnd &end);
    void onLinkLost(bool anythingSent);
    void onWindow(std::uint32_t bytes);

    AttemptEvent wait(TimePoint until);
    bool sendBody(Bytes piece, TimePoint until);
    bool finishBody();
    void cancel();
    void abandon(); ///< cancels, and has the link drop what still comes
    bool ended() const;
    std::uint64_t stream() const
    {
        return m_stream;
    }
    std::uint64_t headOffset = 0; ///< bytes; where the head starts in the link's output

private:
    void push(AttemptEvent event, bool last);
    AttemptEvent pop();

    const std::uint64_t m_stream;
    const std::shared_ptr<AttemptLink> m_link;
    SendWindow m_window;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<AttemptEvent> m_events;
    std::size_t m_buffered = 0; ///< bytes of body in m_events
    std::uint32_t m_ungranted = 0; ///< bytes taken and not yet granted again
    bool m_ended = false;
};

/// The owner's handle; dropping it cancels.
class LinkOutboundAttempt final : public OutboundAttempt
{
public:
    explicit LinkOutboundAttempt(std::shared_ptr<OutboundState> state);
    ~LinkOutboundAttempt() override;
    LinkOutboundAttempt(const LinkOutboundAttempt &) = delete;
    LinkOutboundAttempt &operator=(const LinkOutboundAttempt &) = delete;
    bool sendBody(Bytes piece, TimePoint until) override;
    bool finishBody() override;
    AttemptEvent wait(TimePoint until) override;
    void cancel() override;

private:
    std::shared_ptr<OutboundState> m_state;
};

class LinkInboundAttempt final : public InboundAttempt
{
public:
    LinkInboundAttempt(AttemptHead head, std::shared_ptr<AttemptLink> link);
    bool onPiece(std::string bytes); ///< false: the other side sent more than its window
    void onPiecesEnd();
    void onCancelled(); ///< by the entry node or a lost link
    void onWindow(std::uint32_t bytes);

    const AttemptHead &head() const override;
    std::ptrdiff_t readBody(std::span<char> buf, TimePoint until) override;
    bool cancelled() const override;
    void onCancel(std::function<void()> callback) override;
    bool sendHead(const AnswerHead &head) override;
    bool sendBody(Bytes piece, TimePoint until) override;
    void end(const AttemptEnd &end) override;

private:
    std::size_t takePiece(std::span<char> buf);

    const AttemptHead m_head;
    const std::shared_ptr<AttemptLink> m_link;
    SendWindow m_window;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::string> m_pieces;
    std::size_t m_offset = 0; ///< bytes taken of the first piece
    std::size_t m_buffered = 0; ///< bytes not taken
    std::uint32_t m_ungranted = 0; ///< bytes taken and not yet granted again
    bool m_bodyEnded = false;
    bool m_cancelled = false;
    bool m_ended = false;
    std::function<void()> m_onCancel;
};

} // namespace Fescuenotch
