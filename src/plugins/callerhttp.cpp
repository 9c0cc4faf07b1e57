#include "plugins/callerhttp.h"

#include "kernel/plugin.h"
#include "kernel/socketqueue.h"
#include "plugins/callerconnection.h"
#include "plugins/directanswer.h"
#include "plugins/listensocket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>
#include <set>

namespace Fescuenotch {

namespace {

constexpr unsigned ExtraConnections = 32; ///< connections over the limit that are answered with a refusal
constexpr std::size_t MinPoolBytes = 131'072; ///< bytes of head and buffers for each connection
constexpr std::size_t PoolHeadFactor = 4; ///< pool size in header caps
constexpr std::size_t ThreadStackBytes = 1'048'576; ///< bytes
/// Bytes that the kernel holds beyond what is in flight. Without this limit it takes megabytes and asks for more only when a third of them is
/// read, so a steady but slow reader looks stalled.
constexpr int MaxUnsentBytes = 128 * 1024;
constexpr milliseconds SweepPeriod{500}; ///< ms; between looks for slow heads

class HttpCallerServer final : public CallerServer
{
public:
    HttpCallerServer(const NodeContext &context, const CallerLimits &limits)
        : m_context(context)
        , m_shared(context, limits)
    {
        context.metrics->gauge("fescuenotch_caller_connections", "Connections of callers open now.", {}, [this] { return double(m_shared.connections); });
    }

    ~HttpCallerServer() override
    {
        stop();
    }

    Result<void> start(CallerHandler &handler) override
    {
        m_shared.handler = &handler;
        BOOST_LEAF_AUTO(fd, openListenSocket(m_context.settings->callerListen, "--caller-listen"));
        m_daemon = startDaemon(fd);
        if (m_daemon == nullptr) {
            ::close(fd);
            return fail(ErrorKind::ListenFailed, "the server for callers did not start", "raise the limits of threads and open files for this process");
        }
        if (m_context.timers != nullptr) {
            m_sweep = m_context.timers->every(SweepPeriod, [this](TimePoint now) { endSlowHeads(now); });
        }
        return {};
    }

    void stopAccepting() override
    {
        const std::lock_guard lock(m_stopMutex);
        m_shared.closing = true;
        if (m_daemon == nullptr || m_quiesced) {
            return;
        }
        m_quiesced = true;
        const int fd = MHD_quiesce_daemon(m_daemon);
        takeWaitingConnections(fd);
        ::shutdown(fd, SHUT_RDWR); // the library may still poll it, and closing alone would leave it listening until then
        ::close(fd);
    }

    std::size_t undeliveredAnswers() override
    {
        const std::lock_guard lock(m_connectionsMutex);
        return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(), [](const auto *each) { return unacknowledgedBytes(each->fd()) > 0; }));
    }

    void stop() override
    {
        stopAccepting();
        const std::lock_guard lock(m_stopMutex);
        if (m_daemon == nullptr) {
            return;
        }
        if (m_context.timers != nullptr) {
            m_context.timers->cancel(m_sweep);
        }
        MHD_stop_daemon(m_daemon);
        m_daemon = nullptr;
    }

private:
    MHD_Daemon *startDaemon(int fd)
    {
        const auto pool = std::max(MinPoolBytes, m_context.settings->maxHeaderBytes * PoolHeadFactor);
        return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL_INTERNAL_THREAD | MHD_USE_ITC | MHD_USE_ERROR_LOG,
                                0,
                                nullptr,
                                nullptr,
                                onAccess,
                                this,
                                MHD_OPTION_EXTERNAL_LOGGER,
                                onLibraryLog,
                                nullptr,
                                MHD_OPTION_LISTEN_SOCKET,
                                fd,
                                MHD_OPTION_CONNECTION_LIMIT,
                                m_shared.maxConnections + ExtraConnections,
                                MHD_OPTION_CONNECTION_TIMEOUT,
                                static_cast<unsigned>(m_shared.limits.stallLimit.count()),
                                MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                pool,
                                MHD_OPTION_THREAD_STACK_SIZE,
                                ThreadStackBytes,
                                MHD_OPTION_URI_LOG_CALLBACK,
                                onUri,
                                this,
                                MHD_OPTION_UNESCAPE_CALLBACK,
                                keepEscapes,
                                nullptr,
                                MHD_OPTION_NOTIFY_CONNECTION,
                                onConnection,
                                this,
                                MHD_OPTION_NOTIFY_COMPLETED,
                                onCompleted,
                                this,
                                MHD_OPTION_END);
    }

    /// Callers whose connection the kernel has accepted already are served; closing the socket would reset them.
    void takeWaitingConnections(int listenFd)
    {
        for (unsigned n = 0; n < m_shared.maxConnections; ++n) {
            sockaddr_in address{};
            socklen_t size = sizeof address;
            const int fd = ::accept4(listenFd, reinterpret_cast<sockaddr *>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            MHD_add_connection(m_daemon, fd, reinterpret_cast<const sockaddr *>(&address), size);
        }
    }

    void endSlowHeads(TimePoint now)
    {
        const std::lock_guard lock(m_connectionsMutex);
        for (const auto *connection : m_connections) {
            const auto since = connection->waitsForHead();
            if (since && now - *since > m_shared.limits.headLimit) {
                m_shared.counters.refusal("slow-head").add();
                ::shutdown(connection->fd(), SHUT_RDWR);
            }
        }
    }

    void opened(MHD_Connection *connection, void **socketContext)
    {
        const int fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ::setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &MaxUnsentBytes, sizeof MaxUnsentBytes);
        auto state = std::make_unique<CallerConnection>(fd);
        const std::lock_guard lock(m_connectionsMutex);
        m_connections.insert(state.get());
        *socketContext = state.release();
        ++m_shared.connections;
    }

    void closed(void **socketContext)
    {
        const std::unique_ptr<CallerConnection> state(static_cast<CallerConnection *>(*socketContext));
        const std::lock_guard lock(m_connectionsMutex);
        m_connections.erase(state.get());
        --m_shared.connections;
    }

    // Callbacks of the library.

    static void *onUri(void *cls, const char *uri, MHD_Connection *)
    {
        return new CallerExchange(static_cast<HttpCallerServer *>(cls)->m_shared, uri);
    }

    static std::size_t keepEscapes(void *, MHD_Connection *, char *text)
    {
        return std::char_traits<char>::length(text);
    }

    static MHD_Result onAccess(void *,
                               MHD_Connection *connection,
                               const char *url,
                               const char *method,
                               const char *version,
                               const char *piece,
                               std::size_t *pieceSize,
                               void **requestContext)
    {
        const Bytes bytes(piece, *pieceSize);
        *pieceSize = 0;
        return static_cast<CallerExchange *>(*requestContext)->onAccess(connection, url, method, version, bytes);
    }

    static void onCompleted(void *, MHD_Connection *connection, void **requestContext, MHD_RequestTerminationCode code)
    {
        const std::unique_ptr<CallerExchange> exchange(static_cast<CallerExchange *>(*requestContext));
        *requestContext = nullptr;
        if (exchange) {
            exchange->onEnded(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
        }
        auto *socketContext = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
        if (socketContext != nullptr) {
            static_cast<CallerConnection *>(socketContext)->onRequestEnded();
        }
    }

    static void onConnection(void *cls, MHD_Connection *connection, void **socketContext, MHD_ConnectionNotificationCode code)
    {
        auto *server = static_cast<HttpCallerServer *>(cls);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            server->opened(connection, socketContext);
        } else {
            server->closed(socketContext);
        }
    }

    static void onLibraryLog(void *, const char *format, va_list)
    {
        logEvent(LogLevel::Debug, "caller_http").with("message", format);
    }

    NodeContext m_context;
    CallerShared m_shared;
    MHD_Daemon *m_daemon = nullptr;
    TimerId m_sweep = 0;
    std::mutex m_stopMutex;
    bool m_quiesced = false;
    std::mutex m_connectionsMutex;
    std::set<CallerConnection *> m_connections;
};

const PluginRegistration<CallerServer> registration("http", [](const NodeContext &context) { return makeHttpCallerServer(context, CallerLimits{}); });

} // namespace

std::unique_ptr<CallerServer> makeHttpCallerServer(const NodeContext &context, const CallerLimits &limits)
{
    return std::make_unique<HttpCallerServer>(context, limits);
}

} // namespace Fescuenotch
