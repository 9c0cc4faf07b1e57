// One caller's request at its entry node, from its head to the end of its answer.
//
// How to use: make one when a head was read; feed its body with `onRequestBody`; it writes its answer to the
// AnswerWriter. Destroying it (the caller left) cancels what runs.
//
// Bodies up to `MaxBufferedBodyBytes` are kept so that the request can be sent to another target; a longer one is streamed to
// one target, which is then the only one.
#pragma once

#include "forward/entrycontext.h"
#include "http1/messagereader.h"

namespace Fescuenotch {

constexpr std::size_t MaxBufferedBodyBytes = 64 * 1024; ///< bytes

/// Where the answer goes.
class AnswerWriter
{
public:
    virtual ~AnswerWriter() = default;
    virtual void beginAnswer(unsigned status, const Headers &headers, std::optional<std::uint64_t> length) = 0;
    virtual void answerBody(std::string_view bytes) = 0;
    virtual void finishAnswer() = 0;
    virtual void abortAnswer() = 0; ///< the caller must see that the answer is not whole
    virtual std::size_t answerBacklog() const = 0; ///< bytes that the caller has not taken
    virtual void resumeRequestBody() = 0; ///< more of the request's body may be read
};

class EntryRequest final : public ForwardListener
{
public:
    EntryRequest(EntryContext &context, AnswerWriter &writer, MessageHead head);
    ~EntryRequest() override;

    void start(); ///< the head is there; may answer at once
    void onRequestBody(std::string_view bytes, bool last);
    bool isReadyForBody() const;
    void onAnswerBacklogReduced();
    /// The caller is gone: nothing is written any more.
    void onCallerDisconnected();

private:
    void onAnswer(ForwardAnswer answer) override;
    void onAnswerBody(std::string_view bytes) override;
    void onEnded(const ForwardEnd &end) override;
    void onReadyForBody() override;

    bool resolveRoute();
    void computeDeadline(TimePoint arrived);
    void prepareHeaders();
    void startAttempt();
    ForwardRequest forwardRequest() const;
    bool retryOnServerError(unsigned status);
    void handleFailure(const SendEnd &end, milliseconds retryAfter);
    void failRequest(const SendEnd &end, milliseconds retryAfter);
    void refuse(unsigned status, Outcome outcome, Reason reason, milliseconds retryAfter);
    void onDeadline();
    void cancelAttempt();
    void logAttemptEnd(const char *step, const SendEnd &end) const;
    void finish(unsigned status);

    EntryContext &m_context;
    AnswerWriter &m_writer;
    MessageHead m_head;
    TimePoint m_arrivedAt;
    RoutingTablePtr m_table; ///< for the life of the request
    const MeshRoute *m_route = nullptr;
    std::string m_service;
    std::string m_requestId;
    Headers m_headers; ///< as the target gets them, without those that the exit node sets
    TimePoint m_deadline;
    TimePoint m_goal;
    Duration m_estimatedAge{0}; ///< since the caller's first try, as guessed
    ScopedTimer m_deadlineTimer;

    std::string m_body; ///< kept, while it may be
    bool m_bodyComplete = false;
    bool m_streaming = false; ///< the body is too long to be kept
    bool m_attempted = false; ///< sent to a first target
    bool m_done = false; ///< the answer is complete, aborted or not wanted

    std::optional<TargetRecord> m_target; ///< of the sending that runs
    std::unique_ptr<ForwardStream> m_stream;
    std::vector<std::string> m_triedTargets; ///< target ids
    RepeatState m_retryState;
    bool m_answerStarted = false;
    unsigned m_status = 0; ///< of the target's answer
    std::size_t m_answerBytes = 0;
    std::size_t m_uncreditedBytes = 0; ///< bytes of the answer not yet granted anew
    milliseconds m_retryAfter{0}; ///< ms; shortest that an exit node told
};

} // namespace Fescuenotch
