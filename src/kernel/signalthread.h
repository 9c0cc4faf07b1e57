// Receives SIGTERM, SIGINT and SIGHUP on a thread of their own, so that none of them ever ends the process by its default action.
//
// How to use: call `prepareSignals` before anything may start a thread, since a thread inherits the mask of the one that starts
// it. Create a SignalThread when the handler can be called; signals that came before are delivered then.
//   prepareSignals();
//   ...
//   SignalThread signals([&node](int number) { number == SIGHUP ? node.reload() : node.beginStop(); });
//
// Pitfalls:
// - The kernel keeps one pending signal of each number: several that arrive before the handler is ready are delivered as one.
// - After the SignalThread is destroyed the signals stay blocked and are no longer handled.
#pragma once

#include <atomic>
#include <functional>
#include <thread>

namespace Fescuenotch {

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread and in all threads started afterwards, and ignores SIGPIPE.
void prepareSignals();

/// Name of a signal that SignalThread handles, such as "SIGTERM".
const char *signalName(int number);

class SignalThread
{
public:
    /// `handler` is called on this object's thread with the number of each signal.
    explicit SignalThread(std::function<void(int number)> handler);
    SignalThread(const SignalThread &) = delete;
    SignalThread &operator=(const SignalThread &) = delete;
    ~SignalThread(); ///< waits for a handler that runs

private:
    void receive();

    std::function<void(int number)> m_handler;
    std::atomic<bool> m_ended{false};
    std::thread m_thread;
};

} // namespace Fescuenotch
