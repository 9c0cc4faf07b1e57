// Relays the body of a long answer to the caller while the attempt delivers it.
//
// If the body is cut short, the remainder is requested from another target with a range request (Range, If-Range). This
// requires an idempotent GET without a Range header of its own and a 200 answer with a strong ETag. In all other cases
// `read` returns -1; the caller's connection is then closed, so that a truncated body is never taken for a complete one.
#pragma once

#include "node/answercollector.h"

namespace Fescuenotch {

class AnswerStream final : public BodySource
{
public:
    /// `answer` is the Partial answer of `attempt`; `state` and `triedHosts` are those of the attempts made so far.
    AnswerStream(std::shared_ptr<EntryCore> core,
                 std::shared_ptr<const RequestContext> context,
                 std::unique_ptr<TrackedAttempt> attempt,
                 CollectedAnswer answer,
                 const RetryState &state,
                 std::vector<std::string> triedHosts);
    std::ptrdiff_t read(std::span<char> buf) override;

private:
    std::ptrdiff_t copyFromChunk(std::span<char> buf);
    /// Waits for the next event of the attempt. False at the end of the body (`m_ended`) and after a failure (`m_broken`).
    bool receiveChunk();
    bool handleEnd(AttemptEvent event);
    bool resumeOrFail(const AttemptResult &result);
    bool resume(const AttemptResult &result);
    bool openRangeAttempt();
    bool isMatchingRemainder(const AnswerHead &remainder) const;

    InFlightGuard m_guard;
    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<const RequestContext> m_context;
    std::unique_ptr<TrackedAttempt> m_attempt;
    AnswerHead m_head;
    RetryState m_state;
    std::vector<std::string> m_triedHosts;
    std::string m_chunk; ///< received bytes; those from `m_chunkOffset` on have not been returned yet
    std::size_t m_chunkOffset = 0; ///< bytes of `m_chunk` already returned
    std::uint64_t m_received = 0; ///< bytes of the body, over all attempts
    bool m_ended = false;
    bool m_broken = false;
};

} // namespace Fescuenotch
