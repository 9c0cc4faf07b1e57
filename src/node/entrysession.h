// One caller's request at its entry node, from its head to the head of its answer.
//
// Bodies of up to 256 KiB are kept for retries; a longer one is streamed to one attempt, which is then the only one.
#pragma once

#include "node/answercollector.h"

namespace Fescuenotch {

/// Why a request is answered by this node and not by a target.
struct Refusal {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    milliseconds retryAfter{1'000}; ///< ms
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
    /// Half of the time that remains, for idempotent requests with attempts left; a silent target then costs only that.
    TimePoint headDeadline() const;
    CollectedAnswer handleHeadTimeout(const std::function<bool()> &callerLeft);
    /// Waits before a retry. False when the caller left.
    bool waitForBackoff(Duration delay, const std::function<bool()> &callerLeft) const;
    CallerResponse makeResponse(CollectedAnswer collected);
    CallerResponse makeRefusalResponse(const Refusal &refusal);
    std::string revisionText() const;

    InFlightGuard m_guard;
    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<RequestContext> m_context;
    std::optional<Refusal> m_refusal;
    std::optional<std::uint64_t> m_declaredLength; ///< bytes; by the caller
    std::string m_body; ///< while it may still be kept
    std::unique_ptr<TrackedAttempt> m_attempt;
    bool m_streaming = false;
    bool m_streamOpen = true; ///< the attempt still takes body
    RetryState m_state;
    std::optional<RetryDecision> m_earlyRetry; ///< to retry, taken while the last attempt was still running
    std::vector<std::string> m_triedHosts; ///< hosts
};

} // namespace Fescuenotch
