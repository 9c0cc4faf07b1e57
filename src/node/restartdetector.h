// Finds out when a target that drained is back: it went away and accepts connections again.
//
// How to use: `watch` when the target says that it drains; `back` is called once, on the probe's thread, after a
// connection failed and a later one succeeded. No request is sent, since a draining target takes no new work.
// Pitfall: a target that restarts faster than `ProbeInterval` is not noticed; the owner must forget the draining after a while.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Fescuenotch {

class RestartDetector
{
public:
    static constexpr milliseconds ProbeInterval{100}; ///< ms; between two connections
    static constexpr milliseconds ConnectTimeout{500}; ///< ms; a connection that takes longer has failed

    using ReachabilityCheck = std::function<bool(const Endpoint &address, milliseconds limit)>;

    RestartDetector(ReachabilityCheck reachable, std::function<void()> back);
    ~RestartDetector();
    RestartDetector(const RestartDetector &) = delete;
    RestartDetector &operator=(const RestartDetector &) = delete;
    /// Probes `address` until it is back or `until` has passed; a later call extends the time.
    void watch(const Endpoint &address, TimePoint until);
    void stop();

private:
    void run();
    void probe(const Endpoint &address);

    ReachabilityCheck m_checkReachable;
    std::function<void()> m_onRestarted;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Endpoint m_address;
    TimePoint m_until;
    bool m_wasUnreachable = false;
    bool m_stopped = false;
    std::thread m_thread; ///< last: it uses all of the above
};

} // namespace Fescuenotch
