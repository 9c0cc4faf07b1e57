// Fakes for the tests of the request handlers: an in-memory transport and a scripted target.
//
// InMemoryTransport connects an entry handler to exit handlers by host. A test can replace the handler of a host in `exits`
// to break connections, or to leave attempts unanswered.
#pragma once

#include "node/entryhandler.h"
#include "node/exithandler.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch::Testing {

/// Both ends of one attempt.
class InMemoryStream : public InboundAttempt
{
public:
    explicit InMemoryStream(AttemptHead head)
        : m_head(std::move(head))
    {
    }

    const AttemptHead &head() const override
    {
        return m_head;
    }
    std::ptrdiff_t readBody(std::span<char> buf, TimePoint until) override;
    bool cancelled() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_cancelled;
    }
    void onCancel(std::function<void()> callback) override
    {
        const std::lock_guard lock(m_mutex);
        m_onCancel = std::move(callback);
    }
    bool sendHead(const AnswerHead &head) override;
    bool sendBody(Bytes piece, TimePoint until) override;
    void end(const AttemptEnd &end) override;

    // For the entry node.
    AttemptEvent wait(TimePoint until);
    void pushRequestBody(Bytes piece);
    void finishRequestBody();
    void cancel();
    void loseConnection(bool anythingSent); ///< `anythingSent`: bytes may have reached the exit node
    std::optional<AttemptEnd> attemptEnd() const; ///< nothing until the exit node has ended the attempt
    bool waitForEnd(Duration limit);

private:
    bool push(AttemptEvent event);

    AttemptHead m_head;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<AttemptEvent> m_events;
    std::string m_body;
    bool m_bodyDone = false;
    bool m_cancelled = false;
    std::function<void()> m_onCancel;
    std::optional<AttemptEnd> m_end;
};

class InMemoryTransport : public PeerTransport
{
public:
    Result<void> start(PeerListener &) override
    {
        return {};
    }
    bool sendControl(const Endpoint &, const std::string &, std::string) override
    {
        return true;
    }
    std::unique_ptr<OutboundAttempt> open(const Endpoint &to, const AttemptHead &head) override;
    void sayGoodbye() override
    {
    }
    void stop() override
    {
    }

    /// Handlers of the attempts, by the host of the peer address; attempts to other hosts lose their connection.
    std::map<std::string, std::function<void(std::shared_ptr<InMemoryStream>)>> exits;
    std::vector<AttemptHead> heads() const; ///< of all attempts opened so far

private:
    mutable std::mutex m_mutex;
    std::vector<AttemptHead> m_heads;
};

/// A target that runs a function for each request and counts the requests started.
class ScriptedTarget : public TargetClient
{
public:
    TargetResult exchange(const TargetRequest &request, TargetSink &sink) override;
    bool reachable(const Endpoint &, milliseconds) override
    {
        return accepts;
    }

    std::atomic<bool> accepts{true}; ///< whether connections succeed
    std::function<TargetResult(const TargetRequest &, TargetSink &)> script; ///< called after `mayStart`; if empty, the answer is 200 with the path as its body
    std::atomic<unsigned> started{0};
    std::atomic<unsigned> running{0};
    std::atomic<unsigned> maxRunning{0};
};

/// Sends a complete answer.
TargetResult answerWith(TargetSink &sink, unsigned status, Headers headers, const std::string &body);

} // namespace Fescuenotch::Testing
