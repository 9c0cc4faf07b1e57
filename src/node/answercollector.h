// Receives the events of an attempt until the entry node can respond to the caller.
//
// An answer of up to 64 KiB is buffered completely, so that its outcome is known before its first byte is sent to the
// caller. A longer answer is returned as Partial as soon as 64 KiB have arrived; AnswerStream relays the remainder.
//
// Pitfall: after HeadTimedOut the attempt still runs. The owner either finishes it and starts another one, or calls
// `collectAnswer` again without a head deadline.
#pragma once

#include "node/trackedattempt.h"

#include <functional>

namespace Fescuenotch {

struct CollectedAnswer {
    enum class Kind { Complete, Partial, HeadTimedOut, Failed } kind = Kind::Failed;
    AnswerHead head; ///< for Complete and Partial
    std::string body; ///< the complete body for Complete, its beginning for Partial
    AttemptResult result; ///< for Failed
};

/// Blocks until the answer can be returned, the attempt has failed, the request's deadline has passed, the caller has
/// disconnected (polled every 20 ms), or no head has arrived by `headDeadline`. At the deadline and after a disconnect the
/// attempt is cancelled.
CollectedAnswer
collectAnswer(TrackedAttempt &attempt, const RequestContext &context, const std::function<bool()> &callerLeft, TimePoint headDeadline = TimePoint::max());

/// Whether a body of `size` bytes is complete according to `head`. Answers without a body (to HEAD, 204, 304) and answers
/// without a declared length are always complete.
bool isCompleteBody(const RequestContext &context, const AnswerHead &head, std::uint64_t size);

} // namespace Fescuenotch
