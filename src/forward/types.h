// What the entry side and the exit side of a request say to each other, whether they share a process or a peer link.
//
// How to use: the entry side calls `Forwarder::open` with a request and a listener, and keeps the stream that it gets.
// The exit side calls the listener: at most one answer with body pieces, then `onEnded` once.
//
// Pitfalls:
// - The listener is never called from inside `open` or a function of the stream, only later from the loop.
// - Dropping a stream cancels it; nothing is called after that.
#pragma once

#include "kernel/clock.h"
#include "kernel/http.h"
#include "mesh/routes.h"
#include "mesh/slotqueue.h"
#include "request/types.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Fescuenotch {

/// One request on its way to one target.
struct ForwardRequest {
    std::string requestId; ///< the caller's id of its attempt; empty when it sent none
    std::string service;
    std::string targetId; ///< lifetime that the request is meant for
    std::string route; ///< name
    std::string method;
    std::string path; ///< with the query
    Headers headers; ///< end-to-end headers only
    RouteKind kind = RouteKind::Idempotent;
    unsigned priority = 0; ///< 0 first
    TimePoint deadline;
    TimePoint goal; ///< an answer by then is worth most
    std::optional<std::uint64_t> bodyLength; ///< bytes; none: not known before it ends
    std::string body; ///< its first bytes
    bool bodyComplete = true; ///< nothing follows `body`
    bool fromPeer = false; ///< its answer leaves over this host's link; set by the exit node
};

struct ForwardAnswer {
    unsigned status = 0;
    Headers headers; ///< end-to-end headers only
    std::optional<std::uint64_t> bodyLength; ///< bytes; none: not known before it ends
};

struct ForwardEnd {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool complete = false; ///< the whole answer was passed on
    bool offered = false; ///< the target may have seen the request, even if it turned it away
    milliseconds retryAfter{0}; ///< ms; until the exit node expects room
    std::optional<TargetReport> report; ///< of the target, at the end
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
    virtual bool isReadyForBody() const = 0; ///< false: wait for `onReadyForBody`
    virtual void grantCredit(std::size_t bytes) = 0; ///< so many bytes of the answer were taken
};

class Forwarder
{
public:
    virtual ~Forwarder() = default;
    virtual std::unique_ptr<ForwardStream> open(ForwardRequest request, ForwardListener &listener) = 0;
};

constexpr std::size_t StreamWindow = 256 * 1024; ///< bytes of one body on the way and not yet taken

} // namespace Fescuenotch
