// A server for callers with a small handler that records what reaches it.
#pragma once

#include "plugins/callerhttp.h"
#include "tests/support/rawsocket.h"

#include <deque>
#include <map>

namespace Fescuenotch {

/// What the handler of the fixture saw of one request.
struct SeenRequest {
    CallerRequest request;
    std::string body; ///< the first 64 KiB
    std::uint64_t bodyBytes = 0;
    bool responded = false;
    bool ended = false; ///< the session was destroyed
};

/// Answers by path: see callerfixture.cpp.
class RecordingHandler : public CallerHandler
{
public:
    std::unique_ptr<CallerSession> begin(const CallerRequest &request) override;
    std::size_t count() const;
    SeenRequest seen(std::size_t number) const;
    bool sawLeft() const; ///< callerLeft turned true in a session
    void release(); ///< lets /wait answer

private:
    friend class RecordingSession;
    mutable std::mutex m_mutex;
    std::deque<SeenRequest> m_seen;
    std::atomic<bool> m_released{false};
    std::atomic<bool> m_sawLeft{false};
};

struct CallerFixture {
    CallerFixture();
    ~CallerFixture();
    void start(const CallerLimits &limits = {});
    RawSocket connect(int receiveBuffer = 0) const;
    /// Sends `bytes` on a new connection and gives everything until it closes.
    std::string exchange(std::string_view bytes) const;
    /// One GET on a new connection.
    std::string get(const std::string &path) const;
    std::string metric(const std::string &line) const; ///< value of a metrics line, empty when there is none

    NodeSettings settings;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    std::unique_ptr<TimerService> timers = makeThreadTimerService();
    NodeContext context;
    RecordingHandler handler;
    std::unique_ptr<CallerServer> server;
};

} // namespace Fescuenotch
