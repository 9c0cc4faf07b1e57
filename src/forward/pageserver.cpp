#include "forward/pageserver.h"

namespace Fescuenotch {

namespace {

constexpr MessageLimits PageRequestLimits{8'192, 0}; ///< bytes of header and body; health checks and scrapes have short headers and no body
constexpr seconds IdleTimeout{60}; ///< s; longer than the usual interval of health checks and scrapes
constexpr seconds IdleCheckPeriod{10};
constexpr std::size_t MaxConnections = 64;

} // namespace

class PageServer::Connection final : public StreamEvents
{
public:
    Connection(PageServer &server, int fd)
        : m_server(server)
        , m_tcp(TcpStream::adopt(server.m_loop, fd, *this))
        , m_reader(MessageReader::Kind::Request, PageRequestLimits)
        , m_lastInput(server.m_loop.turnTime())
    {
    }

    bool isIdle(TimePoint now) const
    {
        return now - m_lastInput > IdleTimeout;
    }

    void onInput() override
    {
        m_lastInput = m_server.m_loop.turnTime();
        while (m_tcp->isOpen()) {
            const auto result = m_reader.readHead(m_tcp->input());
            if (result == MessageReader::ReadResult::NeedMore) {
                return;
            }
            std::string body;
            if (result != MessageReader::ReadResult::Done || m_reader.readBody(m_tcp->input(), body) != MessageReader::ReadResult::Done) {
                m_tcp->close();
                m_server.remove(*this);
                return;
            }
            write(m_server.answer(m_reader.head().target), !m_reader.head().keepAlive);
            m_reader.next();
        }
    }

    void onClosed(CloseCause) override
    {
        m_server.remove(*this);
    }

private:
    void write(const PageAnswer &answer, bool closes)
    {
        m_tcp->write(formatResponseHead(answer.status, {{"Content-Type", answer.contentType}}, {answer.text.size(), false}, closes));
        m_tcp->write(answer.text);
        if (closes) {
            m_tcp->shutdownOutput();
        }
    }

    PageServer &m_server;
    std::unique_ptr<TcpStream> m_tcp;
    MessageReader m_reader;
    TimePoint m_lastInput;
};

PageServer::PageServer(EventLoop &loop)
    : m_loop(loop)
{
    m_idleCheckTimer.repeat(loop.timers(), IdleCheckPeriod, [this](TimePoint now) {
        std::vector<Connection *> idle;
        for (const auto &[key, connection] : m_connections) {
            if (connection->isIdle(now)) {
                idle.push_back(key);
            }
        }
        for (auto *connection : idle) {
            remove(*connection);
        }
    });
}

PageServer::~PageServer() = default;

void PageServer::addPage(const std::string &path, std::function<PageAnswer()> page)
{
    m_pages[path] = std::move(page);
}

Result<void> PageServer::listen(const Endpoint &endpoint, const std::string &setting)
{
    BOOST_LEAF_AUTO(listener, TcpListener::listen(m_loop, endpoint, setting, [this](int fd) {
                        auto connection = std::make_unique<Connection>(*this, fd);
                        auto *key = connection.get();
                        if (m_connections.size() < MaxConnections) {
                            m_connections.emplace(key, std::move(connection));
                        }
                    }));
    m_listeners.push_back(std::move(listener));
    return {};
}

PageAnswer PageServer::answer(const std::string &target) const
{
    const auto it = m_pages.find(target.substr(0, target.find('?')));
    if (it == m_pages.end()) {
        return {404, "text/plain", "no such page\n"};
    }
    return it->second();
}

void PageServer::remove(Connection &connection)
{
    auto node = m_connections.extract(&connection);
    if (!node.empty()) {
        m_loop.destroyLater(std::move(node.mapped()));
    }
}

} // namespace Fescuenotch
