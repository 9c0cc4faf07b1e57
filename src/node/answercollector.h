// Takes the events of an attempt until its answer can be told to the caller.
//
// An answer of up to 64 KiB is collected whole, so that its outcome is known before the first byte goes out; a longer
// one is handed on as soon as that much is there.
//
// Slow comes back when `patience` has passed without a head: the attempt still runs, and the owner either drops it for
// another one or collects on.
#pragma once

#include "node/trackedattempt.h"

#include <functional>

namespace Fescuenotch {

struct CollectedAnswer {
    enum class Kind { Complete, Partial, HeadTimedOut, Failed } kind = Kind::Failed;
    AnswerHead head; ///< for Whole and Partial
    std::string body; ///< all of it for Whole, its start for Partial
    AttemptResult result; ///< for Failed
};

/// Blocks until the answer is there, the attempt has failed, the deadline has passed or the caller has left.
CollectedAnswer
collectAnswer(TrackedAttempt &attempt, const RequestContext &context, const std::function<bool()> &callerLeft, TimePoint headDeadline = TimePoint::max());

/// True when `size` is all of the body that this head announces.
bool isCompleteBody(const RequestContext &context, const AnswerHead &head, std::uint64_t size);

} // namespace Fescuenotch
