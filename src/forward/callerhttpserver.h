// HTTP/1.1 server for callers. Pipelined requests of a connection run concurrently; their answers are sent in the order of
// the requests.
//
// How to use: `listen`, and `setLimits` when the configuration changes. At SIGTERM call `beginDrain`: requests that arrive
// later are still served, but their answers close their connections. `stopAccepting` ends that: it closes the listening
// socket, and further requests on open connections get 503 with the outcome "not-run".
//
// The number of connections is limited by the descriptors of the process (`max_fds` in the settings). At the limit, a new connection takes the
// place of one that waits for its caller, idle or in the middle of a request, and has been inactive for the longest time.
//
// Pitfalls:
// - After an answer that closes its connection no more input is parsed. Requests pipelined behind it have not run, and the
//   caller may send them again.
// - The parser of a connection keeps the size limits that were set when the connection was accepted; timeouts follow
//   `setLimits` at once.
#pragma once

#include "forward/entryrequest.h"
#include "mesh/answerdelivery.h"

#include <deque>
#include <map>

namespace Fescuenotch {

/// Complete answers of all connections that callers' hosts have not acknowledged.
struct UndeliveredOutput {
    std::size_t answers = 0;
    OutputBacklog backlog;
};

class CallerHttpServer
{
public:
    /// Why a connection was closed whose caller was still there.
    enum class CloseReason { Linger, Idle, Stalled, Unresponsive, Evicted, Exit };

    CallerHttpServer(EntryContext &context, MetricsRegistry &metrics);
    ~CallerHttpServer();
    Result<void> listen(const Endpoint &endpoint);
    void setLimits(const CallerRequestLimits &limits);
    void beginDrain();
    /// Refuses new connections and answers further requests on open ones with 503 "not-run". Idle connections stay open: a request may be on
    /// its way, and its caller learns more from the refusal than from a close.
    void stopAccepting();
    /// Before the end of the process, after `stopAccepting`: reads what has arrived on all connections and answers requests among it with 503
    /// "not-run". Returns whether there were any.
    bool refuseArrived();
    /// Requests without a complete answer, and answers that are not delivered.
    std::size_t requestsInFlight();
    /// Updates the memory accounts of all connections. Call it from time to time and before MemoryBudget::enforce.
    void updateMemoryAccounts();
    /// For the end of the process, once the loop has ended: ends all connections and leaves to the kernel what it takes of their output. Logs
    /// a line for each request and answer that is cut by that, and returns what was not delivered.
    UndeliveredOutput closeBeforeExit();
    TimePoint lastRequestAt() const
    {
        return m_lastRequestAt;
    }

private:
    class Connection;
    friend class Connection;

    void accept(int fd);
    std::size_t maxConnections() const;
    void makeRoom(); ///< closes connections that wait for their callers
    void remove(Connection &connection);
    void checkTimeouts(TimePoint now);
    std::vector<Connection *> connections() const;

    EntryContext &m_context;
    CallerRequestLimits m_limits;
    std::unique_ptr<TcpListener> m_listener;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    ScopedTimer m_timeoutCheckTimer;
    bool m_draining = false;
    bool m_acceptStopped = false;
    TimePoint m_lastRequestAt;
    std::uint64_t m_requestsRead = 0; ///< heads
    Counter &m_opened;
    Counter &m_evicted;
    Counter &m_turnedAway;
    std::map<std::string, Counter *> m_refusals; ///< by reason
    std::map<CloseReason, Counter *> m_cutAnswers;
    std::map<CloseReason, Counter *> m_discardedInput;
};

} // namespace Fescuenotch
