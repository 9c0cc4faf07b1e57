// One request of a caller at its entry node, from the head of the request to the head of the answer.
//
// A request body of up to 256 KiB is buffered, so that it can be sent again in a retry. A longer body is streamed to a
// single attempt; such a request is never retried. Long answers are relayed by AnswerStream.
#pragma once

#include "node/answercollector.h"

namespace Fescuenotch {

/// Why this node answers a request itself.
struct Refusal {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    milliseconds retryAfter{1'000}; ///< ms; Retry-After of the answer
};

class EntrySession final : public CallerSession
{
public:
    EntrySession(std::shared_ptr<EntryCore> core, const CallerRequest &request);
    bool onBody(Bytes piece) override;
    CallerResponse respond(const std::function<bool()> &callerLeft) override;

private:
    void initializeContext(const CallerRequest &request);
    bool readRequestLimits(const CallerRequest &request);
    bool refuse(Reason reason, Outcome outcome = Outcome::NotRun);
    bool waitForTrustedView() const;
    bool openAttempt(std::optional<std::uint64_t> bodyLength);
    bool startStreaming();
    CallerResponse runAttempts(const std::function<bool()> &callerLeft);
    CollectedAnswer runAttempt(const std::function<bool()> &callerLeft);
    /// When to give up waiting for the head of the answer and retry elsewhere: after half of the remaining time, so that an
    /// unresponsive target leaves the other half for the retry. No limit for requests that are not idempotent and for the
    /// last attempt.
    TimePoint headDeadline() const;
    CollectedAnswer handleHeadTimeout(const std::function<bool()> &callerLeft);
    /// Waits for the backoff `delay` before a retry. False when the caller has disconnected.
    bool waitForBackoff(Duration delay, const std::function<bool()> &callerLeft) const;
    CallerResponse makeResponse(CollectedAnswer collected);
    CallerResponse makeRefusalResponse(const Refusal &refusal);
    std::string revisionText() const;

    InFlightGuard m_guard;
    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<RequestContext> m_context;
    std::optional<Refusal> m_refusal;
    std::optional<std::uint64_t> m_declaredLength; ///< bytes; nothing for a chunked body
    std::string m_body; ///< buffered for retries; empty once the body is streamed
    std::unique_ptr<TrackedAttempt> m_attempt;
    bool m_streaming = false;
    bool m_streamOpen = true; ///< the attempt still accepts body bytes
    RetryState m_state;
    std::optional<RetryDecision> m_earlyRetry; ///< decision to retry because the head of the current attempt timed out
    std::vector<std::string> m_triedHosts; ///< in the order of the attempts
};

} // namespace Fescuenotch
