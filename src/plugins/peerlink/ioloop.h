// A POSIX thread that waits for sockets with epoll and calls their handlers.
//
// How to use: `add` a descriptor with its handler; the loop keeps the handler alive until `onEvent` gives false.
// Pitfall: a handler's descriptor must stay open until the handler is destroyed.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace Fescuenotch {

class IoHandler
{
public:
    virtual ~IoHandler() = default;
    virtual int descriptor() const = 0;
    /// Called on the loop's thread. False: remove it from the loop.
    virtual bool onEvent(bool readable, bool writable) = 0;
};

class IoLoop
{
public:
    IoLoop();
    ~IoLoop();
    IoLoop(const IoLoop &) = delete;
    IoLoop &operator=(const IoLoop &) = delete;
    /// Watches for readability, and for writability too while `writable`.
    void add(std::shared_ptr<IoHandler> handler, bool writable);
    void watchWritable(int descriptor, bool writable);
    void stop();

private:
    void run();
    void dispatch(int descriptor, std::uint32_t events);

    int m_epoll = -1;
    int m_wakeup = -1;
    std::atomic<bool> m_stopped{false};
    std::mutex m_mutex;
    std::map<int, std::shared_ptr<IoHandler>> m_handlers;
    std::thread m_thread;
};

} // namespace Fescuenotch
