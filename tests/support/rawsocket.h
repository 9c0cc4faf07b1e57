// Raw TCP sockets for tests: a client that sends bytes as they are written, and a server whose connections run a script.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Fescuenotch {

/// One connected socket, closed at its end.
class RawSocket
{
public:
    explicit RawSocket(int fd);
    RawSocket(RawSocket &&other) noexcept;
    RawSocket(const RawSocket &) = delete;
    RawSocket &operator=(const RawSocket &) = delete;
    ~RawSocket();
    static RawSocket connectTo(const Endpoint &endpoint, int receiveBuffer = 0); ///< receiveBuffer in bytes, 0: the system's

    bool send(std::string_view bytes);
    /// What arrives until `end` is among it, the other side closes, or `limit` passes.
    std::string receiveUntil(std::string_view end, milliseconds limit = seconds(5));
    /// What arrives until the other side closes or `limit` passes.
    std::string receiveAll(milliseconds limit = seconds(5));
    /// One answer with Content-Length, or a head alone.
    std::string receiveAnswer(milliseconds limit = seconds(5));
    /// What arrives until the other side closes or `limit` passes, read at most at this rate.
    std::string receiveAtRate(std::size_t bytesPerSecond, milliseconds limit);
    std::size_t receiveSome(std::string &buf, milliseconds limit, std::size_t maxBytes = 65'536); ///< bytes, 0 at the end or when `limit` passes
    bool closedByPeer(milliseconds limit); ///< the other side closes within `limit`
    bool wasReset() const; ///< the last receive ended with a reset
    /// The other side closed before it read all that was sent: its host has answered with a reset, or not acknowledged all of it.
    bool closedBeforeAllWasRead() const;
    void close();
    void reset(); ///< closes with a reset
    int fd() const;

private:
    int m_fd;
    bool m_reset = false;
};

/// Accepts connections and runs `script` for each on a thread of its own, with the connection's number from 0.
class RawServer
{
public:
    using Script = std::function<void(RawSocket &socket, unsigned number)>;
    RawServer(const Endpoint &endpoint, Script script);
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;
    ~RawServer();
    unsigned accepted() const;

private:
    void acceptLoop();

    int m_fd;
    Script m_script;
    std::atomic<unsigned> m_accepted{0};
    std::atomic<bool> m_stopped{false};
    std::vector<std::thread> m_connections; ///< used by the accepting thread, then by the destructor
    std::thread m_acceptor;
};

/// Waits until `condition` holds; false when `limit` passed.
bool waitUntil(const std::function<bool()> &condition, milliseconds limit = seconds(5));

} // namespace Fescuenotch
