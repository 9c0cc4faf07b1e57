// One HTTP/1.1 connection from an exit node to its target. Runs one request at a time and matches answers to requests by
// request id.
//
// A target may close the connection early, send bytes that are not a valid answer, send a second answer late, or answer
// before it has read a long body. Bytes that do not belong to the running request invalidate the connection, not the
// request:
// - an answer with the id of another request is read to its end and discarded;
// - bytes after a complete answer, or on an idle connection, close the connection.
// Answers up to `MaxBufferedAnswerBytes` are forwarded only when complete, so that the request of a broken answer can be
// retried on another target.
//
// An endless answer fails the exchange when it exceeds the limits of MessageReader, a head also when it takes too long. A body may
// take until the request's deadline.
//
// How to use: call `send` while `isIdle`; the answer and the end of the exchange are reported to
// `TargetConnectionEvents`. Destroy the connection when it is not `isReusable`.
#pragma once

#include "adapter/adapter.h"
#include "forward/types.h"
#include "http1/messagereader.h"
#include "loop/tcpstream.h"
#include "mesh/memorybudget.h"

namespace Fescuenotch {

constexpr std::size_t MaxBufferedAnswerBytes = 1024 * 1024; ///< bytes; larger answers are forwarded as they arrive

/// Result of one request and its answer on a connection to the target.
struct ExchangeResult {
    enum class Kind {
        Answered, ///< the complete answer was forwarded
        ConnectFailed, ///< no connection; nothing was sent
        Broken, ///< the connection ended early or sent bytes that are not a valid answer
    } kind
        = Kind::Broken;
    bool answerStarted = false; ///< a valid head of the answer was received
    Duration idleTime{0}; ///< idle time of the connection before this request; zero for a new connection
    std::string detail; ///< cause, for the log
};

/// Callbacks for one exchange. `onExchangeEnded` is the last one; it isn't called after `abandon`.
class TargetConnectionEvents
{
public:
    virtual ~TargetConnectionEvents() = default;
    virtual void onTargetAnswer(ForwardAnswer answer) = 0;
    virtual void onTargetBody(std::string_view bytes) = 0;
    virtual void onTargetWritable() = 0; ///< more of the request's body may be sent
    virtual void onExchangeEnded(const ExchangeResult &end) = 0;
};

class TargetConnection final : public StreamEvents
{
public:
    /// `onIdleClosed` is called when the connection ends while no request is running on it.
    TargetConnection(EventLoop &loop, const Endpoint &target, const PlatformHeaderNames &headers, std::function<void(TargetConnection &)> onIdleClosed);

    /// Counts what this connection holds in `budget`: parts of answers, and of requests that the target has not read.
    void accountTo(MemoryBudget &budget);
    /// Sends `head` and the first bytes of the request's body. Allowed only while the connection is idle.
    void send(const ForwardRequest &request, const std::string &head, TargetConnectionEvents &events);
    /// Sends more of the body. The bytes must already have chunk framing if the length of the body is unknown.
    void sendBody(std::string_view bytes, bool last);
    std::size_t pendingBytes() const; ///< bytes queued and not yet passed to the kernel
    /// Drops the running request: resets the connection, so that the target can stop processing it.
    void abandon();
    void pauseAnswer();
    void resumeAnswer();

    bool isIdle() const
    {
        return m_events == nullptr;
    }
    /// A valid head of the answer to the running request was received.
    bool hasAnswerBegun() const
    {
        return m_answerStarted;
    }
    /// Idle, open, and in a state that allows another request.
    bool isReusable() const;
    TimePoint idleSince() const
    {
        return m_idleSince;
    }
    /// Idle timeout from the `Keep-Alive` header of the target; Duration::max() if it sent none.
    Duration advertisedIdleTimeout() const
    {
        return m_advertisedIdleTimeout;
    }

private:
    void onConnected() override;
    void onInput() override;
    void onDrained() override;
    void onClosed(CloseCause cause) override;
    void updateMemoryAccount();
    void readAnswer();
    void startHeadTimer();
    void startHeadGraceTimer();
    bool acceptHead(); ///< false: the head was rejected and the exchange has ended
    void forwardAnswer(bool complete);
    void finishExchange();
    void failExchange(const std::string &detail);
    void end(ExchangeResult::Kind kind, const std::string &detail);

    EventLoop &m_loop;
    const PlatformHeaderNames &m_headers;
    std::function<void(TargetConnection &)> m_onIdleClosed;
    std::unique_ptr<TcpStream> m_stream;
    MessageReader m_reader;
    TargetConnectionEvents *m_events = nullptr;
    std::string m_requestId;
    bool m_bodySent = true;
    bool m_discardingAnswer = false; ///< the answer being read belongs to an earlier request
    bool m_answerStarted = false;
    bool m_headForwarded = false;
    bool m_reusable = true;
    ScopedTimer m_headTimer; ///< runs while a head has begun and not ended
    std::string m_bufferedBody; ///< body bytes not forwarded yet
    std::uint64_t m_requests = 0;
    Duration m_idleTime{0}; ///< idle time before the running request
    TimePoint m_idleSince;
    Duration m_advertisedIdleTimeout = Duration::max();
    std::optional<MemoryBudget::Account> m_account;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< detects destruction of this object inside a callback
};

} // namespace Fescuenotch
