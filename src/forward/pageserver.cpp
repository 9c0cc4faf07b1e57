#include "forward/pageserver.h"

#include "mesh/answerdelivery.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr MessageLimits PageRequestLimits{8'192, 0}; ///< bytes of header and body; health checks and scrapes have short headers and no body
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

    /// A connection is not idle while its page is being read, however slowly. One that has ended its output is idle as soon as all is delivered.
    bool isIdle(TimePoint now)
    {
        updateDelivery(now);
        return (m_ended && m_delivery.isDelivered()) || now - std::max(m_lastInput, m_delivery.lastProgressAt()) > m_server.m_limits.idleTimeout;
    }

    void onInput() override
    {
        m_lastInput = m_server.m_loop.turnTime();
        updateDelivery(m_lastInput);
        while (m_tcp->isOpen() && !m_ended) {
            const auto result = m_reader.readHead(m_tcp->input());
            if (result == MessageReader::ReadResult::NeedMore) {
                return;
            }
            std::string body;
            if (result != MessageReader::ReadResult::Done || m_reader.readBody(m_tcp->input(), body) != MessageReader::ReadResult::Done) {
                m_invalid = true;
                endOutput();
                break;
            }
            write(m_server.answer(m_reader.head().target), !m_reader.head().keepAlive);
            m_reader.next();
        }
        m_tcp->input().clear();
        if (m_invalid && m_delivery.isDelivered()) {
            m_tcp->close();
            m_server.remove(*this);
        }
    }

    void onClosed(CloseCause) override
    {
        m_server.remove(*this);
    }

private:
    void write(const PageAnswer &answer, bool closes)
    {
        const auto head = formatResponseHead(answer.status, {{"Content-Type", answer.contentType}}, {answer.text.size(), false}, closes);
        m_tcp->write(head);
        m_tcp->write(answer.text);
        m_delivery.onHandedOver(m_lastInput, head.size() + answer.text.size());
        if (closes) {
            endOutput();
        }
    }

    /// Further input is discarded, so that closing does not become a reset.
    void endOutput()
    {
        m_ended = true;
        m_tcp->shutdownOutput();
    }

    void updateDelivery(TimePoint now)
    {
        m_delivery.update(now, {m_tcp->pendingBytes(), m_tcp->unacknowledgedBytes()});
    }

    PageServer &m_server;
    std::unique_ptr<TcpStream> m_tcp;
    MessageReader m_reader;
    TimePoint m_lastInput;
    AnswerDelivery m_delivery;
    bool m_ended = false; ///< the last page was handed over
    bool m_invalid = false; ///< the last input was not a valid request
};

PageServer::PageServer(EventLoop &loop, const PageServerLimits &limits)
    : m_loop(loop)
    , m_limits(limits)
{
    m_idleCheckTimer.repeat(loop.timers(), limits.idleCheckPeriod, [this](TimePoint now) {
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
