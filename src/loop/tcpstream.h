// Non-blocking TCP connections and listeners on the event loop, with buffered input and output.
//
// How to use: derive from StreamEvents, then call `TcpStream::connect`, or `TcpStream::adopt` with the socket that a
// TcpListener accepted. Remove processed bytes from the front of `input()`. `write` only queues: all bytes that were queued
// during a turn of the loop are sent together at its end.
//
// Pitfalls:
// - The owner may destroy the stream inside any of its callbacks; the stream handles that.
// - `onClosed` is called at most once, and never after the owner called `close` or `reset`.
// - A writer that waits for `onDrained` must have a backlog of at least `DrainNotifyBytes`; no notification
//   follows a smaller backlog that the kernel accepts at once.
// - A connection that the remote side half-closed is reported as closed: no caller of this system ends requests that way.
#pragma once

#include "kernel/endpoint.h"
#include "loop/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Fescuenotch {

constexpr std::size_t DrainNotifyBytes = 64 * 1024; ///< bytes; a backlog of at least this size is followed by `onDrained`

enum class CloseCause { EndOfStream, Reset, ConnectFailed, TimedOut };
const char *closeCauseName(CloseCause cause); ///< "end-of-stream", "reset", ...

class StreamEvents
{
public:
    virtual ~StreamEvents() = default;
    virtual void onConnected()
    {
    } ///< the outgoing connection is established
    virtual void onInput() = 0; ///< bytes were added to `input()`
    virtual void onDrained()
    {
    } ///< all queued output was passed to the kernel, after a backlog
    virtual void onClosed(CloseCause cause) = 0; ///< the remote side or the network ended the connection
};

struct StreamOptions {
    milliseconds connectTimeout{1'000}; ///< ms; for outgoing connections
    milliseconds unresponsiveTimeout{4'000}; ///< ms; closes the connection when data or keep-alive probes stay unacknowledged this long
    /// False: the owner watches whether its output moves. A receiver that reads slowly keeps its window closed most of the time, which the kernel
    /// takes for unresponsive.
    bool limitsClosedWindow = true;
    /// True: what the remote side sent before it closed the connection is read first, also if input is paused when it closes.
    bool readsToEnd = false;
    std::size_t maxReadPerTurnBytes = 256 * 1024; ///< bytes; read from the socket per turn, so that the others are served too
    int maxUnsentBytes = 0; ///< bytes of output that the kernel holds beyond what is in flight; the rest stays in `pendingBytes`. 0: no limit
};

class TcpStream final : public SocketWatcher
{
public:
    /// Starts to connect. Never fails at once: `onConnected` or `onClosed` with ConnectFailed follows in a later callback.
    static std::unique_ptr<TcpStream> connect(EventLoop &loop, const Endpoint &to, StreamEvents &events, const StreamOptions &options = {});
    /// Takes ownership of an accepted, non-blocking socket.
    static std::unique_ptr<TcpStream> adopt(EventLoop &loop, int fd, StreamEvents &events, const StreamOptions &options = {});

    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;
    ~TcpStream() override; ///< closes the connection

    std::string &input()
    {
        return m_input;
    }
    void write(std::string_view bytes); ///< queues; ignored when the stream is closed
    void flush(); ///< sends queued bytes now instead of at the end of the turn
    std::size_t pendingBytes() const ///< bytes queued and not yet passed to the kernel
    {
        return m_output.size() - m_sentBytes;
    }
    /// Bytes passed to the kernel that the remote host has not acknowledged; 0 where the kernel does not tell.
    std::size_t unacknowledgedBytes() const;
    std::size_t unreadBytes() const; ///< bytes received by the kernel and not yet read; closing now discards them and resets the connection
    std::uint64_t receivedBytes() const ///< since the stream began
    {
        return m_receivedBytes;
    }
    std::size_t heldInputBytes() const; ///< memory that the input keeps after `onInput`
    bool isOpen() const
    {
        return m_fd >= 0;
    }
    /// Stops reading, so that TCP flow control slows down the remote side (back-pressure).
    void pauseInput();
    void resumeInput();
    /// Reads at once what the kernel holds and hands it to the owner; nothing while input is paused. Call it before a regular close: input may
    /// have arrived since the loop last waited for events, and a close with unread input discards it and resets the connection.
    void readNow();
    void shutdownOutput(); ///< sends the queued output, then shuts down the sending side; input continues
    /// For the end of the process: passes as much output to the kernel as it takes, and discards unread input, which would turn the close into a
    /// reset. The kernel goes on sending without the process. Returns the bytes of output that the kernel did not take.
    std::size_t flushBeforeExit();
    void close(); ///< drops queued output
    void reset(); ///< aborts with RST, so that the remote side does not mistake the end for a regular one

    void onReady(std::uint32_t events) override;
    void onHandlerFailed() override; ///< resets the connection

private:
    TcpStream(EventLoop &loop, int fd, StreamEvents &events, const StreamOptions &options, bool connected);
    void readAll();
    std::function<void()> readCall() const; ///< reads if input is not paused then
    void scheduleFlush();
    void sendPending(); ///< as much as the kernel takes now
    void finishConnect();
    void closeAndNotify(CloseCause cause); ///< resets unless the stream ended regularly; may destroy this object

    EventLoop &m_loop;
    StreamEvents &m_events;
    int m_fd;
    WatchId m_watch = 0;
    bool m_connected;
    bool m_readsToEnd;
    std::size_t m_maxReadPerTurnBytes;
    bool m_paused = false;
    bool m_readable = false; ///< the kernel may hold unread input
    bool m_flushScheduled = false;
    bool m_writeBlocked = false; ///< the send buffer of the kernel is full; wait for EPOLLOUT
    bool m_notifyDrained = false; ///< call `onDrained` when all output is sent
    bool m_shutdownWhenSent = false;
    std::string m_input;
    std::uint64_t m_receivedBytes = 0;
    std::string m_output;
    std::size_t m_sentBytes = 0; ///< bytes at the front of m_output that were passed to the kernel
    ScopedTimer m_connectTimer;
    std::shared_ptr<TcpStream *> m_self; ///< deferred calls hold a weak reference, to detect that this object was destroyed
};

/// Accepts connections; while the process has no free file descriptors it retries periodically.
class TcpListener final : public SocketWatcher
{
public:
    using AcceptCallback = std::function<void(int fd)>; ///< gets ownership of the non-blocking socket

    /// Binds and listens. Error ListenFailed, which names `setting`, when that fails.
    static Result<std::unique_ptr<TcpListener>> listen(EventLoop &loop, const Endpoint &endpoint, const std::string &setting, AcceptCallback onAccepted);
    ~TcpListener() override;
    /// From now on the kernel establishes no further connections, apart from handshakes under way. Call it before the last `acceptPending`,
    /// and destroy the listener right after that: callers that connect in between wait a second before they are refused.
    void dropConnectionRequests();
    /// Accepts all connections that the kernel has established so far. Call it before the listener is destroyed for a
    /// regular stop, since the kernel resets the connections that were not accepted.
    void acceptPending();
    void onReady(std::uint32_t events) override;

private:
    TcpListener(EventLoop &loop, int fd, AcceptCallback onAccepted);

    EventLoop &m_loop;
    int m_fd;
    WatchId m_watch = 0;
    AcceptCallback m_onAccepted;
    ScopedTimer m_acceptRetryTimer;
};

} // namespace Fescuenotch
