// Detects that a draining target has restarted: a connection to it failed and a later one succeeded.
//
// How to use: call `watch` when the target reports that it is draining. The callback is called once, on the detector's
// thread, when the restart is detected. The detector only opens connections; it sends no request, since a draining target
// accepts no new work.
// Pitfall: a restart that takes less than `ProbeInterval` may go undetected, so the owner must limit how long it treats
// the target as draining.
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
    static constexpr milliseconds ProbeInterval{100}; ///< ms; between two connection attempts
    static constexpr milliseconds ConnectTimeout{500}; ///< ms; a connection that takes longer counts as failed

    using ReachabilityCheck = std::function<bool(const Endpoint &address, milliseconds limit)>;

    RestartDetector(ReachabilityCheck reachable, std::function<void()> back);
    ~RestartDetector();
    RestartDetector(const RestartDetector &) = delete;
    RestartDetector &operator=(const RestartDetector &) = delete;
    /// Probes `address` until it has restarted or `until` has passed. A later call replaces both.
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
