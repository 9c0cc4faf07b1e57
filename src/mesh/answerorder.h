// Order in which the large answers that are queued on a host's uplink are sent.
//
// The shortest answer first gives the best mean time, and with more answers than the link can carry it serves the most within their
// latency goals, while an order by deadline would make all of them late. But the deadline of an answer to a node that is stopping
// is that node's end, after which nobody can receive it. So the shortest goes first as long as those answers have time to spare;
// when they have not, they go first, by their deadlines. If they cannot all be sent in time, as many as possible are (Moore and
// Hodgson's rule for the least number of late jobs). An answer that is too late in any case waits for all others.
//
// A long answer must not miss its deadline behind shorter ones that could wait. So while the link can send all answers by their
// deadlines and the backlog is short, only an answer that leaves all earlier deadlines some slack may go first. With a longer backlog
// the link is overloaded: answers will be lost in any order, and the shortest first serves the most, also within their goals.
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
    bool deadlineIsNodeEnd = false; ///< the deadline is the end of the node that waits for the answer, or of this one
};

constexpr milliseconds MinAnswerSlack{400}; ///< ms; answers to stopping nodes go first if they would otherwise have less than this to spare
constexpr milliseconds MinGuardedSlack{200}; ///< ms; an answer with less to spare goes before those with later deadlines
/// ms; deadlines are guarded up to this backlog. In the model of DownloadsOnSlowLinkTest 2,000 ms cost 8 of 100 downloads their goal at
/// 1.5 times what the link carries; 800 ms cost none.
constexpr milliseconds MaxGuardedBacklog{800};

/// Index of the answer to send next; nothing if there are none.
std::optional<std::size_t> nextAnswer(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link);

/// The largest set of answers that the link can all send by their deadlines, as indices in the order of their deadlines.
std::vector<std::size_t> answersInTime(TimePoint now, const std::vector<PendingAnswer> &answers, const UplinkPacer &link);

} // namespace Fescuenotch
