// Names of the headers that callers, nodes and targets exchange.
#pragma once

namespace Fescuenotch::HeaderNames {

constexpr const char *Outcome = "Fescuenotch-Outcome"; ///< answers: ran, not-run or unknown; a target's 503: not-run
constexpr const char *Revision = "Fescuenotch-Revision"; ///< answers: EPOCH.REVISION of the snapshot that the request kept
constexpr const char *DeadlineMs = "Fescuenotch-Deadline-Ms"; ///< requests: ms that remain
constexpr const char *Attempt = "Fescuenotch-Attempt"; ///< to the target: identity of the attempt
constexpr const char *Depth = "Fescuenotch-Depth"; ///< requests: levels above this call; a target copies it into calls that it makes
constexpr const char *RetriesLeft = "Fescuenotch-Retries-Left"; ///< requests: retries that the call tree may still make; copied like the depth
constexpr const char *Retried = "Fescuenotch-Retried"; ///< answers: 1 when retries were given up below; a target copies it into its failure
constexpr const char *Draining = "Fescuenotch-Draining"; ///< a target's refusal: 1 when it drains
constexpr const char *RetryAfter = "Retry-After"; ///< s
constexpr const char *ContentLength = "Content-Length"; ///< bytes
constexpr const char *ContentRange = "Content-Range";
constexpr const char *Range = "Range";
constexpr const char *IfRange = "If-Range";
constexpr const char *EntityTag = "ETag";

} // namespace Fescuenotch::HeaderNames
