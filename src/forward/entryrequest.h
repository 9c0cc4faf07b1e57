// One caller's request at its entry node, from its header to the end of its answer: matches the route, chooses a target,
// forwards the request, retries it on another target where that is allowed, and writes the answer.
//
// How to use: construct it with the parsed header, call `start`, pass the body to `onRequestBody` while `isReadyForBody`.
// The answer goes to the AnswerWriter, which must outlive the request. Every request is answered or aborted by its deadline
// plus a short grace. Destroying it cancels the running attempt.
//
// While the node is stopping, an answer is held until it is complete, so that one that comes too late can be replaced by an error
// that the caller can read.
//
// Pitfall: a body of up to `MaxBufferedBodyBytes` is buffered, so that the request can be sent to another target. A longer
// body is streamed to the first target, and such a request is never retried.
#pragma once

#include "forward/entrycontext.h"
#include "http1/messagereader.h"

namespace Fescuenotch {

constexpr std::size_t MaxBufferedBodyBytes = 64 * 1024; ///< bytes; a longer body is streamed
constexpr std::size_t MaxHeldAnswerBytes = 1024 * 1024; ///< bytes; a longer answer is passed on piece by piece also by a stopping node

/// Receives the answer: one `beginAnswer`, pieces of the body, then `finishAnswer` or `abortAnswer`.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;
    virtual void beginAnswer(unsigned status, const Headers &headers, std::optional<std::uint64_t> length) = 0;
    virtual void answerBody(std::string_view bytes) = 0;
    virtual void finishAnswer() = 0;
    virtual void abortAnswer() = 0; ///< breaks the connection, so that the caller sees that the answer is incomplete
    virtual std::size_t answerBacklog() const = 0; ///< bytes of the answer that are not sent yet
    virtual void resumeRequestBody() = 0; ///< `isReadyForBody` may be true again
};

class EntryRequest final : public ForwardListener
{
public:
    EntryRequest(EntryContext &context, AnswerWriter &writer, MessageHead head);
    ~EntryRequest() override;

    void start(); ///< may answer at once
    void onRequestBody(std::string_view bytes, bool last);
    bool isReadyForBody() const;
    void onAnswerBacklogReduced();
    void onNodeStops(); ///< shortens the deadline to that of the EntryContext, and tells the exit node
    /// Cancels the running attempt; nothing is written to the AnswerWriter afterwards.
    void onCallerDisconnected();
    /// Ends a request whose body is not complete, since this node has no room for it.
    void refuseForMemory();
    std::size_t heldBytes() const; ///< of the request's head and body
    std::size_t heldAnswerBytes() const; ///< of an answer that is not passed on yet
    void logUnanswered() const; ///< for a request that the end of the process cuts

private:
    void onAnswer(ForwardAnswer answer) override;
    void onAnswerBody(std::string_view bytes) override;
    void onEnded(const ForwardEnd &end) override;
    void onReadyForBody() override;

    bool resolveRoute();
    void computeDeadline(TimePoint arrived);
    void startDeadlineTimer();
    bool mayHold(const ForwardAnswer &answer) const;
    bool hasForwardedAnswer() const; ///< at least a part of the target's answer was written
    void prepareHeaders();
    void startAttempt();
    Duration transferOnOwnLink() const;
    ForwardRequest forwardRequest() const;
    bool refuseIfQuarantined(); ///< returns whether it did
    void excludeDataCentre(const std::string &dataCentre);
    bool refuseIfMemoryIsFull(); ///< returns whether it did; only before the first attempt
    bool mayCrashTheNextTarget(const DeliveryResult &end) const;
    bool retryOnServerError(unsigned status);
    void handleFailure(const DeliveryResult &end, milliseconds retryAfter);
    void failRequest(const DeliveryResult &end, milliseconds retryAfter);
    void refuse(unsigned status, Outcome outcome, Reason reason, milliseconds retryAfter);
    void onDeadline();
    /// Ends a request that has no complete answer, for a reason of this node.
    void endUnfinished(Reason reason, milliseconds retryAfter);
    void cancelAttempt();
    void logAttemptEnd(const char *event, const DeliveryResult &end) const;
    void finish(unsigned status);

    EntryContext &m_context;
    AnswerWriter &m_writer;
    MessageHead m_head;
    TimePoint m_arrivedAt;
    RoutingTablePtr m_table; ///< the configuration at the arrival; keeps `m_route` valid
    const MeshRoute *m_route = nullptr;
    std::string m_service;
    Fingerprint m_fingerprint = 0; ///< see mesh/crashsuspects.h
    std::string m_requestId;
    Headers m_headers; ///< as forwarded; the exit node adds its own
    TimePoint m_deadline;
    TimePoint m_goal; ///< latency goal of the route, counted from the estimated time of the caller's first attempt
    Duration m_estimatedAge{0}; ///< lower bound of the time since the caller first sent the request; 0 if unknown, see RequestAgeEstimator
    ScopedTimer m_deadlineTimer;

    std::string m_body; ///< buffered body; empty once it is streamed
    bool m_bodyComplete = false;
    bool m_streaming = false; ///< the body is too long to be buffered
    bool m_attempted = false; ///< at least one attempt was started
    bool m_done = false; ///< the answer is complete or aborted, or the caller has disconnected

    std::optional<TargetRecord> m_target; ///< of the current attempt
    std::unique_ptr<ForwardStream> m_stream;
    std::vector<std::string> m_triedTargets; ///< ids of all targets to which an attempt was started
    MeshRetryState m_retryState;
    bool m_answerStarted = false; ///< the target's answer has begun
    std::optional<ForwardAnswer> m_heldAnswer; ///< the answer begun, while nothing of it is written
    std::string m_heldBody;
    unsigned m_status = 0; ///< HTTP status of the target's answer; 0 before it
    std::size_t m_answerBytes = 0;
    std::size_t m_uncreditedBytes = 0; ///< answer bytes received for which no credit was returned yet
    milliseconds m_retryAfter{0}; ///< ms; shortest Retry-After of the exit nodes tried; 0 if none gave one
    Reason m_refusalReason = Reason::NoTarget; ///< of the exit node that gave it; NoTarget if none gave one
};

} // namespace Fescuenotch
