// The server for callers: HTTP/1.1 connections, many requests on each, pipelined ones run side by side and are answered
// in the order in which they came.
//
// How to use: `listen`, and `beginDrain` at SIGTERM: requests that come after it are still served, and their answers
// close their connections. `setBounds` when the configuration changes.
//
// Pitfall: a connection whose answer closes it is read no further, so what was sent behind that request has not run and
// may be sent again by the caller.
#pragma once

#include "forward/entryrequest.h"

#include <deque>
#include <map>

namespace Fescuenotch {

class CallerHttpServer
{
public:
    CallerHttpServer(EntryContext &context, MetricsRegistry &metrics);
    ~CallerHttpServer();
    Result<void> listen(const Endpoint &endpoint);
    void setBounds(const CallerBounds &bounds);
    void beginDrain();
    /// Takes no more: new connections are refused, requests that still come are answered as not run.
    void stopAccepting();
    std::size_t requestsInFlight() const;
    std::size_t connections() const
    {
        return m_connections.size();
    }
    /// Closes connections that rest, for the end of a stop.
    void closeIdle();
    TimePoint lastRequestAt() const
    {
        return m_lastRequestAt;
    }

private:
    class Connection;
    friend class Connection;

    void accept(int fd);
    void remove(Connection &connection);
    void checkTimeouts(TimePoint now);

    EntryContext &m_context;
    CallerBounds m_bounds;
    std::unique_ptr<TcpListener> m_listener;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    ScopedTimer m_timeoutCheckTimer;
    bool m_draining = false;
    bool m_acceptStopped = false;
    TimePoint m_lastRequestAt;
    Counter &m_opened;
    std::map<std::string, Counter *> m_refusals; ///< by reason
};

} // namespace Fescuenotch
