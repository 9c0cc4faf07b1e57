// A TCP connection on the event loop: buffered input, output that leaves in one write per turn.
//
// How to use: derive from StreamEvents, then `TcpStream::connect` or adopt an accepted socket. Take bytes off the front
// of `input()`. `write` queues; what was queued during a turn leaves at its end.
//
// Pitfalls:
// - The owner may destroy the stream inside any callback.
// - `onClosed` comes once, and never after `close` or `reset` of one's own.
// - Whoever waits for room must wait at a backlog of `DrainNotifyBytes` or more, or is never told.
// - A half-closed connection counts as closed: no caller of this system ends its requests that way.
#pragma once

#include "kernel/endpoint.h"
#include "loop/eventloop.h"

#include <memory>
#include <string>
#include <string_view>

namespace Fescuenotch {

constexpr std::size_t DrainNotifyBytes = 64 * 1024; ///< bytes; `onDrained` follows whenever so much was queued

enum class CloseCause { EndOfStream, Reset, ConnectFailed, TimedOut };
const char *closeCauseName(CloseCause cause); ///< "end-of-stream", "reset", ...

class StreamEvents
{
public:
    virtual ~StreamEvents() = default;
    virtual void onConnected()
    {
    } ///< for outgoing connections
    virtual void onInput() = 0; ///< more bytes in `input()`
    virtual void onDrained()
    {
    } ///< all output has left after some had to wait
    virtual void onClosed(CloseCause cause) = 0; ///< by the other side or the network
};

struct StreamOptions {
    milliseconds connectTimeout{1'000}; ///< ms; for outgoing connections
    milliseconds unresponsiveTimeout{4'000}; ///< ms; unacknowledged bytes or keep-alive probes end the connection after this
};

class TcpStream final : public SocketWatcher
{
public:
    static std::unique_ptr<TcpStream> connect(EventLoop &loop, const Endpoint &to, StreamEvents &events, const StreamOptions &options = {});
    /// Takes over an accepted, non-blocking socket.
    static std::unique_ptr<TcpStream> adopt(EventLoop &loop, int fd, StreamEvents &events, const StreamOptions &options = {});

    TcpStream(const TcpStream &) = delete;
    TcpStream &operator=(const TcpStream &) = delete;
    ~TcpStream() override; ///< closes

    std::string &input()
    {
        return m_input;
    }
    void write(std::string_view bytes);
    void flush();
    std::size_t pendingBytes() const ///< bytes queued and not yet taken by the kernel
    {
        return m_output.size() - m_sentBytes;
    }
    bool isOpen() const
    {
        return m_fd >= 0;
    }
    /// Stops reading, so that the other side is slowed down.
    void pauseInput();
    void resumeInput();
    void shutdownOutput(); ///< tells the other side, after the queued output, that nothing follows; input goes on
    void close();
    void reset(); ///< so that the other side does not take the end for a regular one

    void onReady(std::uint32_t events) override;

private:
    TcpStream(EventLoop &loop, int fd, StreamEvents &events, const StreamOptions &options, bool connected);
    void readAll();
    void scheduleFlush();
    void finishConnect();
    void closeAndNotify(CloseCause cause);

    EventLoop &m_loop;
    StreamEvents &m_events;
    int m_fd;
    WatchId m_watch = 0;
    bool m_connected;
    bool m_paused = false;
    bool m_readable = false;
    bool m_flushScheduled = false;
    bool m_writeBlocked = false; ///< the kernel took no more output
    bool m_notifyDrained = false;
    bool m_shutdownWhenSent = false;
    std::string m_input;
    std::string m_output;
    std::size_t m_sentBytes = 0; ///< bytes of m_output that have left
    ScopedTimer m_connectTimer;
    std::shared_ptr<TcpStream *> m_self; ///< tells deferred calls whether this object still lives
};

/// Accepts connections.
class TcpListener final : public SocketWatcher
{
public:
    using AcceptCallback = std::function<void(int fd)>;

    /// Binds and listens; error ListenFailed names `setting`.
    static Result<std::unique_ptr<TcpListener>> listen(EventLoop &loop, const Endpoint &endpoint, const std::string &setting, AcceptCallback onAccepted);
    ~TcpListener() override;
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
