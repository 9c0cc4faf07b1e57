// One HTTP/1.1 connection from an exit node to its target: one request at a time, answers matched by request id.
//
// A target may break off, send bytes that are no answer, send a second answer late, or answer before it has read a long
// body. Bytes that don't belong to the running request spoil the connection, never the request:
// - an answer that bears another request's id is read to its end and dropped;
// - bytes behind a complete answer, or on an idle connection, end the connection.
// An answer is held back until it is whole, up to `MaxBufferedAnswerBytes`, so that a broken one can be tried elsewhere.
//
// How to use: `send` while `isIdle`; `TargetConnectionEvents` tells what comes of it.
#pragma once

#include "adapter/adapter.h"
#include "forward/types.h"
#include "http1/messagereader.h"
#include "loop/tcpstream.h"

namespace Fescuenotch {

constexpr std::size_t MaxBufferedAnswerBytes = 1024 * 1024; ///< bytes; larger answers are passed on as they come

/// How an exchange with the target ended.
struct ExchangeResult {
    enum class Kind {
        Answered, ///< the whole answer was passed on
        ConnectFailed, ///< nothing was sent
        Broken, ///< the connection ended or gave bytes that are no answer
    } kind
        = Kind::Broken;
    bool answerStarted = false; ///< a byte of the answer came
    Duration idleTime{0}; ///< how long the connection had rested before this request; zero for a new one
    std::string detail; ///< for the log
};

class TargetConnectionEvents
{
public:
    virtual ~TargetConnectionEvents() = default;
    virtual void onTargetAnswer(ForwardAnswer answer) = 0;
    virtual void onTargetBody(std::string_view bytes) = 0;
    virtual void onTargetWritable() = 0; ///< the request's body may go on
    virtual void onExchangeEnded(const ExchangeResult &end) = 0;
};

class TargetConnection final : public StreamEvents
{
public:
    /// `onIdleEnd` is called when the connection ends while no request runs on it.
    TargetConnection(EventLoop &loop, const Endpoint &target, const HeaderNameSet &headers, std::function<void(TargetConnection &)> onIdleClosed);

    /// Sends a request head with the first bytes of its body. Only while idle.
    void send(const ForwardRequest &request, const std::string &head, TargetConnectionEvents &events);
    void sendBody(std::string_view bytes, bool last);
    std::size_t pendingBytes() const;
    /// No answer is wanted any more: resets the connection, so that the target stops its work.
    void abandon();
    void pauseAnswer();
    void resumeAnswer();

    bool isIdle() const
    {
        return m_events == nullptr;
    }
    bool isReusable() const;
    TimePoint idleSince() const
    {
        return m_idleSince;
    }
    /// Idle time after which the target closes, as it said; Duration::max() when it did not.
    Duration advertisedIdleTimeout() const
    {
        return m_advertisedIdleTimeout;
    }

private:
    void onConnected() override;
    void onInput() override;
    void onDrained() override;
    void onClosed(CloseCause cause) override;
    void readAnswer();
    bool acceptHead(); ///< false: the exchange has ended
    void forwardAnswer(bool complete);
    void finish();
    void failExchange(const std::string &detail);
    void end(ExchangeResult::Kind kind, const std::string &detail);

    EventLoop &m_loop;
    const HeaderNameSet &m_headers;
    std::function<void(TargetConnection &)> m_onIdleClosed;
    std::unique_ptr<TcpStream> m_stream;
    MessageReader m_reader;
    TargetConnectionEvents *m_events = nullptr;
    std::string m_requestId;
    bool m_bodySent = true;
    bool m_discardingAnswer = false; ///< the answer being read belongs to another request
    bool m_answerStarted = false;
    bool m_headForwarded = false;
    bool m_reusable = true;
    std::string m_bufferedBody; ///< body bytes not yet passed on
    std::uint64_t m_requests = 0;
    Duration m_idleTime{0};
    TimePoint m_idleSince;
    Duration m_advertisedIdleTimeout = Duration::max();
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); ///< tells whether a callback destroyed this object
};

} // namespace Fescuenotch
