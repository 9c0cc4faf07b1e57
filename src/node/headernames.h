// Names of the HTTP headers that callers, nodes and targets exchange.
#pragma once

namespace Fescuenotch::HeaderNames {

constexpr const char *Outcome
    = "Fescuenotch-Outcome"; ///< answers: ran, not-run or unknown; a target sends not-run with a 503 when it has not executed the request
constexpr const char *Revision = "Fescuenotch-Revision"; ///< answers: EPOCH.REVISION of the snapshot that the request used
constexpr const char *DeadlineMs = "Fescuenotch-Deadline-Ms"; ///< requests: remaining time in ms
constexpr const char *Attempt = "Fescuenotch-Attempt"; ///< requests to the target: id of the attempt
constexpr const char *Depth = "Fescuenotch-Depth"; ///< requests: level in the call tree; a target copies it into the calls that it makes
constexpr const char *RetriesLeft = "Fescuenotch-Retries-Left"; ///< requests: retries left for the call tree; copied like the depth
constexpr const char *Retried
    = "Fescuenotch-Retried"; ///< answers: 1 when a node further down the call tree has stopped retrying; a target copies it into its own failure
constexpr const char *Draining = "Fescuenotch-Draining"; ///< a target's refusal: 1 when it is draining
constexpr const char *RetryAfter = "Retry-After"; ///< s
constexpr const char *ContentLength = "Content-Length"; ///< bytes
constexpr const char *ContentRange = "Content-Range";
constexpr const char *Range = "Range";
constexpr const char *IfRange = "If-Range";
constexpr const char *EntityTag = "ETag";

} // namespace Fescuenotch::HeaderNames
