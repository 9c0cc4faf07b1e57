// The server for operators: GET only, on a few threads of its own, so that it answers while callers keep the node busy.
#include "kernel/plugin.h"
#include "plugins/interfaces.h"
#include "plugins/listensocket.h"

#include <microhttpd.h>

#include <unistd.h>

namespace Fescuenotch {

namespace {

constexpr unsigned Threads = 2;
constexpr unsigned MaxConnections = 64;
constexpr unsigned StallLimitSeconds = 10; ///< s; longest time without a byte from or to an operator
constexpr std::size_t PoolBytes = 32'768; ///< bytes; head and buffers of a connection

class HttpOperatorServer final : public OperatorServer
{
public:
    explicit HttpOperatorServer(const NodeContext &context)
        : m_listen(context.settings->operatorListen)
        , m_requests(context.metrics->counter("fescuenotch_operator_requests_total", "Requests of operators answered."))
    {
    }

    ~HttpOperatorServer() override
    {
        stop();
    }

    Result<void> start(OperatorHandler &handler) override
    {
        m_handler = &handler;
        BOOST_LEAF_AUTO(fd, openListenSocket(m_listen, "--operator-listen"));
        m_daemon = startDaemon(fd);
        if (m_daemon == nullptr) {
            ::close(fd);
            return fail(ErrorKind::ListenFailed, "the server for operators did not start", "raise the limits of threads and open files for this process");
        }
        return {};
    }

    void stop() override
    {
        if (m_daemon != nullptr) {
            MHD_stop_daemon(m_daemon);
            m_daemon = nullptr;
        }
    }

private:
    MHD_Daemon *startDaemon(int fd)
    {
        return MHD_start_daemon(MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ITC,
                                0,
                                nullptr,
                                nullptr,
                                onAccess,
                                this,
                                MHD_OPTION_LISTEN_SOCKET,
                                fd,
                                MHD_OPTION_THREAD_POOL_SIZE,
                                Threads,
                                MHD_OPTION_CONNECTION_LIMIT,
                                MaxConnections,
                                MHD_OPTION_CONNECTION_TIMEOUT,
                                StallLimitSeconds,
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                PoolBytes,
                                MHD_OPTION_STRICT_FOR_CLIENT,
                                1,
                                MHD_OPTION_END);
    }

    static MHD_Result queue(MHD_Connection *connection, OperatorAnswer answer)
    {
        MHD_Response *response = MHD_create_response_from_buffer(answer.text.size(), answer.text.data(), MHD_RESPMEM_MUST_COPY);
        MHD_add_response_header(response, "Content-Type", answer.contentType.c_str());
        if (answer.status == MHD_HTTP_METHOD_NOT_ALLOWED) {
            MHD_add_response_header(response, "Allow", "GET");
        }
        const auto result = MHD_queue_response(connection, answer.status, response);
        MHD_destroy_response(response);
        return result;
    }

    static MHD_Result onAccess(void *cls, MHD_Connection *connection, const char *url, const char *method, const char *, const char *, std::size_t *, void **)
    {
        auto *server = static_cast<HttpOperatorServer *>(cls);
        server->m_requests.add();
        if (std::string(method) != "GET") {
            return queue(connection,
                         {MHD_HTTP_METHOD_NOT_ALLOWED,
                          "application/json",
                          R"({"reason":"method","remedy":"use GET"})"
                          "\n"});
        }
        return queue(connection, server->m_handler->answer(url));
    }

    Endpoint m_listen;
    Counter &m_requests;
    OperatorHandler *m_handler = nullptr;
    MHD_Daemon *m_daemon = nullptr;
};

const PluginRegistration<OperatorServer> registration("http", [](const NodeContext &context) { return std::make_unique<HttpOperatorServer>(context); });

} // namespace

} // namespace Fescuenotch
