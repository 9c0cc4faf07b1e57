// The body of a long answer, relayed to the caller as the attempt delivers it.
//
// A body cut short is resumed from another target by range when the request is idempotent and the answer carries a
// strong ETag; otherwise `read` gives -1, so that the caller's connection breaks and a part never passes as whole.
#pragma once

#include "node/answercollector.h"

namespace Fescuenotch {

class AnswerStream final : public BodySource
{
public:
    /// `state` and `tried` are those of the attempts made so far.
    AnswerStream(std::shared_ptr<EntryCore> core,
                 std::shared_ptr<const RequestContext> context,
                 std::unique_ptr<TrackedAttempt> attempt,
                 CollectedAnswer answer,
                 const RetryState &state,
                 std::vector<std::string> triedHosts);
    std::ptrdiff_t read(std::span<char> buf) override;

private:
    std::ptrdiff_t copyFromChunk(std::span<char> buf);
    /// Waits for more bytes. False at the end, which `m_ended` or `m_broken` tells apart.
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
    std::string m_chunk; ///< received and not yet served whole
    std::size_t m_chunkOffset = 0; ///< bytes of m_chunk
    std::uint64_t m_received = 0; ///< bytes of the whole body
    bool m_ended = false;
    bool m_broken = false;
};

} // namespace Fescuenotch
