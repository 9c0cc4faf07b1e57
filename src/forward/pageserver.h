// Small HTTP/1.1 server on the event loop for health, readiness, metrics and status pages.
//
// How to use: `addPage` for each path, then `listen` on one or more addresses.
//
// Pitfalls:
// - Pages are produced synchronously on the event loop's thread, so they must be quick.
// - Methods are not checked, the query is ignored, and a request with a body closes the connection. Connections beyond the
//   limit, and idle ones, are closed without an answer.
#pragma once

#include "http1/messagereader.h"
#include "loop/tcpstream.h"

#include <map>

namespace Fescuenotch {

struct PageAnswer {
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string text;
};

struct PageServerLimits {
    milliseconds idleTimeout{60'000}; ///< ms; longer than the usual interval of health checks and scrapes
    milliseconds idleCheckPeriod{10'000}; ///< ms
};

class PageServer
{
public:
    explicit PageServer(EventLoop &loop, const PageServerLimits &limits = {});
    ~PageServer();
    /// `page` is called for each request of `path`.
    void addPage(const std::string &path, std::function<PageAnswer()> page);
    /// `setting` names the address in errors.
    Result<void> listen(const Endpoint &endpoint, const std::string &setting);

private:
    class Connection;
    friend class Connection;

    PageAnswer answer(const std::string &target) const;
    void remove(Connection &connection);

    EventLoop &m_loop;
    PageServerLimits m_limits;
    std::map<std::string, std::function<PageAnswer()>> m_pages; ///< by path
    std::vector<std::unique_ptr<TcpListener>> m_listeners;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    ScopedTimer m_idleCheckTimer;
};

} // namespace Fescuenotch
