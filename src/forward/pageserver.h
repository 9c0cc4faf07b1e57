// A small HTTP server on the event loop for pages: health, readiness, metrics, status.
//
// How to use: `addPage` for each path, then `listen` on one or more addresses. A page gives its answer at once.
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

class PageServer
{
public:
    explicit PageServer(EventLoop &loop);
    ~PageServer();
    void addPage(const std::string &path, std::function<PageAnswer()> page);
    Result<void> listen(const Endpoint &endpoint, const std::string &setting);

private:
    class Connection;
    friend class Connection;

    PageAnswer answer(const std::string &target) const;
    void remove(Connection &connection);

    EventLoop &m_loop;
    std::map<std::string, std::function<PageAnswer()>> m_pages; ///< by path
    std::vector<std::unique_ptr<TcpListener>> m_listeners;
    std::map<Connection *, std::unique_ptr<Connection>> m_connections;
    ScopedTimer m_idleCheckTimer;
};

} // namespace Fescuenotch
