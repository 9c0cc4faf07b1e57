// The interface between the entry side and the exit side of a request. It is the same in one process and over a peer link.
//
// How to use: the entry side calls `Forwarder::open` with a request and a listener and keeps the returned stream. The exit
// side calls the listener: at most one `onAnswer`, then `onAnswerBody` for each piece of the body, then `onEnded` exactly
// once. Both directions have flow control: send body bytes while `isReadyForBody`, and return credit for answer bytes with
// `grantCredit`.
//
// Pitfalls:
// - The listener is never called from inside `open` or a function of the stream, only later from the event loop.
// - Destroying a stream cancels the request; the listener is not called after that.
// - Failures are not thrown or returned: they arrive as `onEnded` with an outcome and a reason.
#pragma once

#include "kernel/clock.h"
#include "kernel/http.h"
#include "mesh/admissionqueue.h"
#include "mesh/crashsuspects.h"
#include "mesh/routes.h"
#include "request/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Fescuenotch {

/// One attempt of a request at one target.
struct ForwardRequest {
    std::string requestId; ///< the caller's id of this attempt; empty if it sent none
    std::string service;
    std::string targetId; ///< identifies one lifetime of a target: a restarted target has a new id
    std::string route; ///< name of the route
    std::string method;
    std::string path; ///< including the query
    Headers headers; ///< end-to-end headers only
    RouteKind kind = RouteKind::Idempotent;
    unsigned priority = 0; ///< 0 is served first
    TimePoint deadline;
    TimePoint goal; ///< latency goal; an answer by then has its full value
    std::optional<std::uint64_t> bodyLength; ///< bytes; empty if unknown (chunked)
    std::string body; ///< the bytes received so far; more may follow through `sendBody`
    bool bodyComplete = true; ///< `body` is the complete body
    std::optional<double>
        targetRequestRate; ///< rate limit of the target in requests per second, as last reported to the entry node; for an exit node that has just started
    Fingerprint fingerprint = 0; ///< equal for requests with the same host, path, method and body; 0: not known
    bool isLastAttempt = false; ///< the entry node will not send it to another target, so the target's work is worth waiting for
    bool entryStops = false; ///< the entry node is stopping; the deadline is not later than its end
    bool fromPeer = false; ///< the answer is sent over this host's uplink to a peer; set by the exit node
};

struct ForwardAnswer {
    unsigned status = 0;
    Headers headers; ///< end-to-end headers only
    std::optional<std::uint64_t> bodyLength; ///< bytes; empty if unknown (chunked)
};

struct ForwardEnd {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool complete = false; ///< the complete answer was passed to the listener
    bool offered = false; ///< the target may have received the request, even if it rejected it
    milliseconds retryAfter{0}; ///< ms until the exit node expects free capacity; 0 if unknown
    std::optional<TargetReport> report; ///< the target's load when the request ended
};

class ForwardListener
{
public:
    virtual ~ForwardListener() = default;
    virtual void onAnswer(ForwardAnswer answer) = 0;
    virtual void onAnswerBody(std::string_view bytes) = 0;
    virtual void onEnded(const ForwardEnd &end) = 0;
    virtual void onReadyForBody() = 0; ///< more of the request's body may be sent
};

class ForwardStream
{
public:
    virtual ~ForwardStream() = default;
    virtual void sendBody(std::string_view bytes, bool last) = 0;
    virtual bool isReadyForBody() const = 0; ///< if false, wait for `onReadyForBody`
    virtual std::size_t unsentBodyBytes() const = 0; ///< of the body; held for the entry side until they can be sent, and counted by it
    virtual void grantCredit(std::size_t bytes) = 0; ///< `bytes` more of the answer may be sent, since as many were consumed
    /// The entry node is stopping: it gives up at `deadline` if that is earlier, and the request is not to be ended for another target.
    virtual void onEntryStops(TimePoint deadline) = 0;
};

class Forwarder
{
public:
    virtual ~Forwarder() = default;
    virtual std::unique_ptr<ForwardStream> open(ForwardRequest request, ForwardListener &listener) = 0;
};

constexpr std::size_t StreamWindow = 256 * 1024; ///< bytes of one body that may be in flight before the receiver returns credit
constexpr std::size_t BodyWindow = 64 * 1024; ///< bytes of a request body that may be sent over a link before the exit node returns credit

} // namespace Fescuenotch
