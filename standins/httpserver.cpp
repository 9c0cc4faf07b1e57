#include "standins/httpserver.h"

#include "kernel/socketaddress.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <exception>
#include <mutex>
#include <vector>

namespace Fescuenotch::Standins {

namespace {

constexpr std::size_t MaxKeptBody = 8 * 1024 * 1024; ///< bytes
constexpr std::size_t ThreadStack = 256 * 1024; ///< bytes
constexpr std::size_t StreamBlock = 64 * 1024; ///< bytes

struct ConnectionState {
    std::uint64_t number = 0;
    std::uint64_t calls = 0;
};

struct CallState {
    ServerCall call;
    std::function<void()> done;
};

struct StreamState {
    BodyStream stream;
};

MHD_Result addHeader(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    static_cast<Headers *>(cls)->push_back({key, value == nullptr ? "" : value});
    return MHD_YES;
}

MHD_Result addQuery(void *cls, MHD_ValueKind, const char *key, const char *value)
{
    (*static_cast<std::map<std::string, std::string> *>(cls))[key] = value == nullptr ? "" : value;
    return MHD_YES;
}

bool hasClosed(int fd)
{
    char byte = 0;
    const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

ssize_t readStream(void *cls, std::uint64_t offset, char *buf, std::size_t max)
{
    const auto n = static_cast<StreamState *>(cls)->stream(offset, std::span<char>(buf, max));
    return n < 0 ? static_cast<ssize_t>(MHD_CONTENT_READER_END_WITH_ERROR) : static_cast<ssize_t>(n);
}

void freeStream(void *cls)
{
    delete static_cast<StreamState *>(cls);
}

MHD_Response *makeResponse(ServerReply &reply)
{
    if (!reply.stream) {
        return MHD_create_response_from_buffer(reply.body.size(), reply.body.data(), MHD_RESPMEM_MUST_COPY);
    }
    auto *state = new StreamState{std::move(reply.stream)};
    return MHD_create_response_from_callback(reply.streamBytes, StreamBlock, readStream, state, freeStream);
}

MHD_Result sendReply(MHD_Connection *connection, ServerReply &reply)
{
    MHD_Response *response = makeResponse(reply);
    for (const auto &header : reply.headers) {
        MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    const auto result = MHD_queue_response(connection, reply.status, response);
    MHD_destroy_response(response);
    return result;
}

std::unique_ptr<CallState> beginCall(MHD_Connection *connection, const char *url, const char *method)
{
    auto state = std::make_unique<CallState>();
    auto &call = state->call;
    call.method = method;
    call.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, addHeader, &call.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, addQuery, &call.query);
    const int fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    call.callerLeft = [fd] { return hasClosed(fd); };
    const auto *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    auto *own = static_cast<ConnectionState *>(info->socket_context);
    call.connection = own->number;
    call.connectionCalls = ++own->calls;
    return state;
}

void keepBody(ServerCall &call, const char *data, std::size_t size)
{
    call.bodyBytes += size;
    if (call.body.size() + size <= MaxKeptBody) {
        call.body.append(data, size);
    }
}

/// A handler that cannot use what it was sent answers 400 with the reason.
ServerReply runHandler(const ServerHandler &handler, const ServerCall &call)
{
    try {
        return handler(call);
    } catch (const std::exception &error) {
        ServerReply reply;
        reply.status = MHD_HTTP_BAD_REQUEST;
        reply.body = error.what();
        return reply;
    }
}

MHD_Result onCall(void *cls, MHD_Connection *connection, const char *url, const char *method, const char *, const char *data, std::size_t *size, void **slot)
{
    if (*slot == nullptr) {
        *slot = beginCall(connection, url, method).release();
        return MHD_YES;
    }
    auto *state = static_cast<CallState *>(*slot);
    if (*size > 0) {
        keepBody(state->call, data, *size);
        *size = 0;
        return MHD_YES;
    }
    ServerReply reply = runHandler(*static_cast<ServerHandler *>(cls), state->call);
    state->done = std::move(reply.done);
    return reply.dropConnection ? MHD_NO : sendReply(connection, reply);
}

void onCompleted(void *, MHD_Connection *, void **slot, MHD_RequestTerminationCode)
{
    const std::unique_ptr<CallState> state(static_cast<CallState *>(*slot));
    *slot = nullptr;
    if (state && state->done) {
        state->done();
    }
}

void onConnection(void *, MHD_Connection *, void **context, MHD_ConnectionNotificationCode code)
{
    static std::atomic<std::uint64_t> next{1};
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        *context = new ConnectionState{next++, 0};
    } else {
        delete static_cast<ConnectionState *>(*context);
        *context = nullptr;
    }
}

} // namespace

class HttpServer::Private
{
public:
    ServerSettings settings;
    ServerHandler handler;
    std::mutex lock;
    MHD_Daemon *listening = nullptr;
    std::vector<MHD_Daemon *> refused; ///< their open connections go on
};

HttpServer::HttpServer(const ServerSettings &settings, ServerHandler handler)
    : m_d(std::make_unique<Private>())
{
    m_d->settings = settings;
    m_d->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    for (auto *daemon : m_d->refused) {
        MHD_stop_daemon(daemon);
    }
    if (m_d->listening != nullptr) {
        MHD_stop_daemon(m_d->listening);
    }
}

Result<void> HttpServer::start()
{
    const std::lock_guard guard(m_d->lock);
    if (m_d->listening != nullptr) {
        return {};
    }
    const auto address = socketAddress(m_d->settings.listen);
    // clang-format off
    m_d->listening = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                                    0, nullptr, nullptr, onCall, &m_d->handler,
                                    MHD_OPTION_SOCK_ADDR, &address,
                                    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
                                    MHD_OPTION_LISTEN_BACKLOG_SIZE, 1'024U,
                                    MHD_OPTION_CONNECTION_LIMIT, m_d->settings.connections,
                                    MHD_OPTION_THREAD_STACK_SIZE, ThreadStack,
                                    MHD_OPTION_NOTIFY_COMPLETED, onCompleted, nullptr,
                                    MHD_OPTION_NOTIFY_CONNECTION, onConnection, nullptr,
                                    MHD_OPTION_END);
    // clang-format on
    if (m_d->listening == nullptr) {
        return fail(ErrorKind::ListenFailed, "cannot listen on " + toString(m_d->settings.listen), "choose a free address of this machine");
    }
    return {};
}

void HttpServer::refuse()
{
    const std::lock_guard guard(m_d->lock);
    if (m_d->listening == nullptr) {
        return;
    }
    const auto fd = MHD_quiesce_daemon(m_d->listening);
    if (fd != MHD_INVALID_SOCKET) {
        close(fd);
    }
    m_d->refused.push_back(m_d->listening);
    m_d->listening = nullptr;
}

ServerReply jsonReply(unsigned status, const std::string &json)
{
    ServerReply reply;
    reply.status = status;
    reply.headers.push_back({"Content-Type", "application/json"});
    reply.body = json;
    return reply;
}

} // namespace Fescuenotch::Standins
