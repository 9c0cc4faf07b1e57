// The five outside parties, each behind an abstract interface that a self-registering plug-in implements:
// platform, peers, targets, callers, operators.
//
// How to use: derive from one of these in src/plugins/, register it (kernel/plugin.h), and name it in `PluginNames`.
// All calls may come from many threads at once. Calls that block say so and take the time until which they may.
#pragma once

#include "config/documents.h"
#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "kernel/http.h"
#include "kernel/metrics.h"
#include "kernel/settings.h"
#include "kernel/timerservice.h"
#include "request/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace Fescuenotch {

/// What every plug-in gets when it is made. The node owns all of it and outlives the plug-ins.
struct NodeContext {
    const NodeSettings *settings = nullptr;
    MetricsRegistry *metrics = nullptr;
    TimerService *timers = nullptr;
    std::uint64_t incarnation = 0; ///< of this start of the node
};

using Bytes = std::span<const char>;

// ---- Platform ---------------------------------------------------------------------------------------------------

/// Reads the platform. Both calls block; errors are PlatformUnavailable or PlatformLimited (with retryAfter).
class PlatformReader
{
public:
    virtual ~PlatformReader() = default;
    /// Changes after revision `after`; the platform may hold the question for `wait`. The client gives up a little later.
    virtual Result<ConfigPage> watchConfig(std::uint64_t after, milliseconds wait) = 0;
    virtual Result<HostList> hosts() = 0;
    /// Ends calls that wait, for a stop.
    virtual void interrupt() = 0;
};

// ---- Peers ------------------------------------------------------------------------------------------------------

/// Identity of one attempt, unique over the fleet's life.
struct AttemptId {
    std::uint64_t node = 0; ///< hash of the entry node's host and incarnation
    std::uint64_t number = 0;
    auto operator<=>(const AttemptId &) const = default;
};
std::string toString(AttemptId id);

/// First message of an attempt, entry to exit.
struct AttemptHead {
    AttemptId id;
    std::string service;
    std::string targetHost; ///< host of the target that was chosen
    std::string method;
    std::string path; ///< with the query
    Headers headers; ///< end-to-end headers only
    std::optional<std::uint64_t> bodyLength; ///< bytes; none: unknown until it ends
    TimePoint deadline; ///< local time of the reader; the transport converts and adds the time spent on the way
    RequestClass requestClass = RequestClass::Read;
    bool idempotent = false;
    unsigned depth = 0;
    Version version; ///< of the snapshot that the request keeps
};

/// Head of the target's answer, exit to entry.
struct AnswerHead {
    unsigned status = 0;
    Headers headers; ///< end-to-end headers only
    std::optional<std::uint64_t> bodyLength; ///< bytes
    TargetLoad load;
};

/// Last message of an attempt, exit to entry.
struct AttemptEnd {
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    bool complete = false; ///< the whole answer was relayed
    bool retriedBelow = false;
    milliseconds retryAfter{0}; ///< ms
    TargetLoad load;
};

/// What an entry node's attempt tells next.
struct AttemptEvent {
    enum class Kind { Head, Body, End, LinkLost, Timeout } kind = Kind::Timeout;
    AnswerHead head; ///< for Head
    std::string body; ///< for Body, at most 64 KiB
    AttemptEnd end; ///< for End
    bool anythingSent = true; ///< for LinkLost: false proves that no byte of the head left this node
};

/// The entry node's side of an attempt. Dropping it cancels.
class OutboundAttempt
{
public:
    virtual ~OutboundAttempt() = default;
    /// Sends a piece of the request body; blocks for the peer's window. False when the attempt has ended or `until` passed.
    virtual bool sendBody(Bytes piece, TimePoint until) = 0;
    virtual bool finishBody() = 0;
    /// Waits for the next event. Timeout when `until` passed.
    virtual AttemptEvent wait(TimePoint until) = 0;
    /// Asks the exit node to stop. An End event follows that says whether the attempt was started.
    virtual void cancel() = 0;
};

/// The exit node's side of an attempt.
class InboundAttempt
{
public:
    virtual ~InboundAttempt() = default;
    virtual const AttemptHead &head() const = 0;
    /// Next piece of the request body: bytes read, 0 at its end, or -1 when cancelled, lost or `until` passed.
    virtual std::ptrdiff_t readBody(std::span<char> buf, TimePoint until) = 0;
    virtual bool cancelled() const = 0; ///< by the entry node, or its link is lost
    /// Called once at a cancel or a lost link, from the link's thread; must not block.
    virtual void onCancel(std::function<void()> callback) = 0;
    virtual bool sendHead(const AnswerHead &head) = 0;
    virtual bool sendBody(Bytes piece, TimePoint until) = 0; ///< blocks for the peer's window
    virtual void end(const AttemptEnd &end) = 0;
};

/// What the transport tells the node. Called from link threads; must not block.
class PeerListener
{
public:
    virtual ~PeerListener() = default;
    virtual void onControl(const Endpoint &from, std::string bytes) = 0;
    virtual void onAttempt(std::shared_ptr<InboundAttempt> attempt) = 0;
    virtual void onPeerLost(const Endpoint &peer) = 0; ///< a control link to it broke or missed its heartbeats
    virtual void onPeerLoad(const Endpoint &peer, const TargetLoad &load) = 0; ///< from a heartbeat
    virtual void onPeerLeaving(const Endpoint &peer) = 0; ///< its goodbye
    virtual TargetLoad localLoad() = 0; ///< put into this node's heartbeats
};

class PeerTransport
{
public:
    virtual ~PeerTransport() = default;
    virtual Result<void> start(PeerListener &listener) = 0; ///< binds peerListen; error ListenFailed
    /// Queues a control message. False when the link's queue is full or cannot be opened; digests repair the loss.
    virtual bool sendControl(const Endpoint &to, const std::string &kind, std::string bytes) = 0;
    /// Opens an attempt. Never blocks; a peer that cannot be reached gives a LinkLost event.
    virtual std::unique_ptr<OutboundAttempt> open(const Endpoint &to, const AttemptHead &head) = 0;
    virtual void sayGoodbye() = 0; ///< tells every linked peer that this node leaves
    virtual void stop() = 0;
};

// ---- Targets ----------------------------------------------------------------------------------------------------

struct TargetRequest {
    Endpoint address;
    std::string method;
    std::string path;
    Headers headers; ///< with Fescuenotch-Deadline-Ms and Fescuenotch-Attempt already among them
    std::optional<std::uint64_t> bodyLength; ///< bytes; none: chunked, unless `hasBody` is false
    bool hasBody = false;
    bool idempotent = false; ///< false: never sent twice, not even by the HTTP library
    TimePoint deadline;
};

/// The exit node's side of an exchange with a target; called on the thread that runs it.
class TargetSink
{
public:
    virtual ~TargetSink() = default;
    /// Asked once, after a connection is there and before the first byte of the request leaves. False: do not send.
    virtual bool mayStart() = 0;
    virtual std::ptrdiff_t readBody(std::span<char> buf) = 0; ///< as InboundAttempt::readBody
    virtual bool onHead(unsigned status, const Headers &headers) = 0; ///< false: stop
    virtual bool onBody(Bytes piece) = 0; ///< may block; false: stop
    virtual bool cancelled() = 0; ///< polled at least each 20 ms; true closes the connection
};

struct TargetResult {
    bool sent = false; ///< a byte of the request may have left
    bool complete = false; ///< the whole answer was read
    Reason reason = Reason::None; ///< ConnectFailed, TargetBroke, DeadlinePassed, Cancelled or None
    std::string detail; ///< for the log
};

class TargetClient
{
public:
    virtual ~TargetClient() = default;
    /// Runs one exchange on the calling thread; blocks until it ends.
    virtual TargetResult exchange(const TargetRequest &request, TargetSink &sink) = 0;
    /// True when the target accepts a connection within `limit`; no request is sent. Blocks.
    virtual bool reachable(const Endpoint &address, milliseconds limit) = 0;
};

// ---- Callers ----------------------------------------------------------------------------------------------------

struct CallerRequest {
    std::string method;
    std::string path; ///< with the query
    Headers headers; ///< end-to-end headers only
    std::optional<std::uint64_t> bodyLength; ///< bytes
    bool hasBody = false;
    TimePoint arrived;
};

/// The body of an answer, pulled by the server.
class BodySource
{
public:
    virtual ~BodySource() = default;
    /// Bytes written to `buf`, 0 at the end, -1 when the answer is broken: the connection is then closed. May block.
    virtual std::ptrdiff_t read(std::span<char> buf) = 0;
};

struct CallerResponse {
    unsigned status = 500;
    Headers headers;
    std::optional<std::uint64_t> bodyLength; ///< bytes; none: chunked
    std::unique_ptr<BodySource> body; ///< null: `text` is the body
    std::string text;
};

/// One caller's request on its server thread.
class CallerSession
{
public:
    virtual ~CallerSession() = default;
    /// A piece of the request body; may block. False: no more is wanted, answer now.
    virtual bool onBody(Bytes piece) = 0;
    /// The whole request is there (or onBody said false). Blocks until the head of the answer is known.
    /// `callerLeft` may be asked at any time while it waits.
    virtual CallerResponse respond(const std::function<bool()> &callerLeft) = 0;
};

class CallerHandler
{
public:
    virtual ~CallerHandler() = default;
    virtual std::unique_ptr<CallerSession> begin(const CallerRequest &request) = 0;
};

class CallerServer
{
public:
    virtual ~CallerServer() = default;
    virtual Result<void> start(CallerHandler &handler) = 0; ///< binds callerListen; error ListenFailed
    virtual void stopAccepting() = 0; ///< no new connections; answers carry Connection: close
    virtual std::size_t undeliveredAnswers() = 0; ///< connections whose callers' hosts have not acknowledged all that was written
    virtual void stop() = 0;
};

// ---- Operators --------------------------------------------------------------------------------------------------

struct OperatorAnswer {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string text;
};

class OperatorHandler
{
public:
    virtual ~OperatorHandler() = default;
    virtual OperatorAnswer answer(const std::string &path) = 0;
};

class OperatorServer
{
public:
    virtual ~OperatorServer() = default;
    virtual Result<void> start(OperatorHandler &handler) = 0; ///< binds operatorListen; error ListenFailed
    virtual void stop() = 0;
};

} // namespace Fescuenotch
