// Order in which the large answers that are queued on a host's uplink are sent.
//
// The shortest answer first gives the best mean time, but makes a long answer wait for as long as shorter ones keep coming, even
// past its deadline. So the queue is first reduced to answers that can all be sent by their deadlines, as many as possible
// (Moore and Hodgson's rule for the least number of late jobs). Of these the shortest is sent, unless one of them would then come
// too close to its deadline: in that case the one with the earliest deadline is. Answers that are left out follow after all
// others, shortest first: they may still be useful, because deadlines are estimates.
//
// Usage: call `nextAnswer` for each piece that the link can take; deadlines and remaining sizes may change between calls. Time is
// an argument, there are no sockets.
#pragma once

#include "kernel/clock.h"
#include "mesh/uplinkpacer.h"

#include <optional>
#include <vector>

namespace Fescuenotch {

struct PendingAnswer {
    std::size_t remaining = 0; ///< bytes
    TimePoint deadline; ///< an answer that is completely sent after this is useless
};

constexpr milliseconds MinAnswerSlack{400}; ///< ms; an answer is sent by deadline if it would otherwise have less than this to spare

/// Index of the answer to send next; nothing if there are none.
std::optional<std::size_t> nextAnswer(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link);

/// The largest set of answers that the link can all send by their deadlines, as indices in the order of their deadlines.
std::vector<std::size_t> answersInTime(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link);

} // namespace Fescuenotch
