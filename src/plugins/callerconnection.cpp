// Sections: [counters and shared state] [connection] [request] [answer]
#include "plugins/callerconnection.h"

#include "plugins/directanswer.h"
#include "plugins/headlayout.h"

#include <poll.h>
#include <sys/socket.h>

namespace Fescuenotch {

namespace {

constexpr std::size_t AnswerBlockBytes = 65'536; ///< bytes pulled from a body source at a time
constexpr std::uint64_t SmallBodyBytes = 16'384; ///< bytes; up to this an answer leaves with its head in one write

/// Headers that the HTTP library writes itself.
bool isWrittenByLibrary(const std::string &name)
{
    return sameHeaderName(name, "Content-Length") || sameHeaderName(name, "Transfer-Encoding") || sameHeaderName(name, "Connection");
}

/// Ends a connection with a reset, so that its end is not taken for the end of a body. The library still closes the socket.
void resetConnection(int fd)
{
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(fd, &unspecified, sizeof unspecified));
}

bool hasNoBody(unsigned status)
{
    return status == 204 || status == 304;
}

MHD_Result collectHeader(void *cls, MHD_ValueKind, const char *name, std::size_t nameSize, const char *value, std::size_t valueSize)
{
    static_cast<HeadLayout *>(cls)->headers.push_back({{name, nameSize}, value == nullptr ? std::string_view() : std::string_view(value, valueSize)});
    return MHD_YES;
}

std::string_view trimmedEnd(std::string_view text)
{
    const auto last = text.find_last_not_of(" \t");
    return text.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

RequestHead headOf(const HeadLayout &layout, const std::string &uri)
{
    RequestHead head{std::string(layout.method), uri, std::string(layout.version), {}, layout.headBytes, isStrictLayout(layout)};
    for (const auto &header : layout.headers) {
        head.headers.push_back({std::string(header.name), std::string(trimmedEnd(header.value))});
    }
    return head;
}

} // namespace

// ---- [counters and shared state] --------------------------------------------------------------------------------

CallerCounters::CallerCounters(MetricsRegistry &metrics)
    : requests(&metrics.counter("fescuenotch_caller_requests_total", "Requests of callers handed to routing."))
    , brokenAnswers(&metrics.counter("fescuenotch_caller_broken_answers_total", "Answers cut short, seen as such by the caller."))
    , connectionsLost(
          &metrics.counter("fescuenotch_caller_connections_lost_total", "Requests whose connection broke or stalled before the whole answer was sent."))
    , bytesIn(&metrics.counter("fescuenotch_caller_body_in_bytes_total", "Bytes of request bodies read from callers."))
    , bytesOut(&metrics.counter("fescuenotch_caller_body_out_bytes_total", "Bytes of answer bodies handed to callers."))
{
    for (const auto *reason : {"bad-request", "too-large", "connection-limit", "malformed", "slow-head"}) {
        refusals[reason] = &metrics.counter("fescuenotch_caller_refusals_total", "Requests refused by the server for callers itself.", {{"reason", reason}});
    }
}

Counter &CallerCounters::refusal(const std::string &reason)
{
    return *refusals.at(reason);
}

CallerShared::CallerShared(const NodeContext &context, const CallerLimits &callerLimits)
    : limits(callerLimits)
    , requestLimits{context.settings->maxHeaderBytes, context.settings->maxBodyBytes}
    , maxConnections(context.settings->maxCallerConnections)
    , counters(*context.metrics)
{
}

// ---- [connection] -----------------------------------------------------------------------------------------------

CallerConnection::CallerConnection(int fd)
    : m_fd(fd)
    , m_waitingSince(Clock::now())
{
}

int CallerConnection::fd() const
{
    return m_fd;
}

void CallerConnection::onHeadRead()
{
    m_waiting = false;
}

void CallerConnection::onRequestEnded()
{
    m_waitingSince = Clock::now();
    m_waiting = true;
}

std::optional<TimePoint> CallerConnection::waitsForHead() const
{
    return m_waiting ? std::optional(m_waitingSince.load()) : std::nullopt;
}

// ---- [request] --------------------------------------------------------------------------------------------------

CallerExchange::CallerExchange(CallerShared &shared, std::string uri)
    : m_shared(shared)
    , m_uri(std::move(uri))
{
}

CallerExchange::~CallerExchange() = default;

MHD_Result CallerExchange::onAccess(MHD_Connection *connection, const char *url, const char *method, const char *version, Bytes piece)
{
    m_connection = connection;
    if (!m_headSeen) {
        m_headSeen = true;
        m_socket = static_cast<CallerConnection *>(MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context);
        m_socket->onHeadRead();
        return onHead(url, method, version);
    }
    if (!piece.empty()) {
        return onPiece(piece);
    }
    return m_answered ? MHD_YES : onRequestRead();
}

MHD_Result CallerExchange::onHead(const char *url, const char *method, const char *version)
{
    HeadLayout layout{method, {url, m_uri.size()}, version, {}, 0};
    MHD_get_connection_values_n(m_connection, MHD_HEADER_KIND, collectHeader, &layout);
    layout.headBytes = MHD_get_connection_info(m_connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)->header_size;
    auto head = headOf(layout, m_uri);
    if (m_shared.connections > m_shared.maxConnections) {
        return refuse(tooManyConnections());
    }
    if (const auto refusal = checkRequestHead(head, m_shared.requestLimits)) {
        return refuse(*refusal);
    }
    const auto framing = bodyFraming(head.headers);
    const auto *connectionHeader = findHeader(head.headers, "Connection");
    m_callerCloses = connectionHeader != nullptr && sameHeaderName(*connectionHeader, "close");
    m_chunksUnderstood = head.version == "HTTP/1.1";
    m_request = {head.method, head.uri, std::move(head.headers), framing.length, framing.chunked || framing.length.value_or(0) > 0, Clock::now()};
    removeHopByHopHeaders(m_request.headers);
    if (!framing.chunked) {
        begin();
    }
    return MHD_YES;
}

void CallerExchange::begin()
{
    m_shared.counters.requests->add();
    m_session = m_shared.handler->begin(m_request);
}

MHD_Result CallerExchange::onPiece(Bytes piece)
{
    if (!m_session) {
        begin();
    }
    m_received += piece.size();
    m_shared.counters.bytesIn->add(piece.size());
    if (m_received > m_shared.requestLimits.maxBodyBytes) {
        m_session.reset();
        return refuse(bodyTooLarge(m_shared.requestLimits.maxBodyBytes));
    }
    restartStallTimer(false);
    if (!m_session->onBody(piece)) {
        return answerAndClose(m_session->respond([this] { return callerLeft(); }));
    }
    restartStallTimer(true);
    return MHD_YES;
}

MHD_Result CallerExchange::onRequestRead()
{
    if (!m_session) {
        begin();
    }
    restartStallTimer(false);
    auto response = m_session->respond([this] { return callerLeft(); });
    if (!gatherSmallBody(response)) {
        return MHD_NO;
    }
    restartStallTimer(true);
    return queue(std::move(response));
}

bool CallerExchange::callerLeft() const
{
    pollfd poll{m_socket->fd(), POLLRDHUP, 0};
    return ::poll(&poll, 1, 0) == 1 && (poll.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

/// The library counts time without traffic also while a handler works; this starts the count anew or holds it.
void CallerExchange::restartStallTimer(bool enabled)
{
    const auto limit = enabled ? static_cast<unsigned>(m_shared.limits.stallLimit.count()) : 0U;
    MHD_set_connection_option(m_connection, MHD_CONNECTION_OPTION_TIMEOUT, limit);
}

void CallerExchange::onEnded(bool whole)
{
    if (!m_headSeen || (!m_answered && m_request.method.empty())) {
        m_shared.counters.refusal("malformed").add();
    } else if (m_answerBroken) {
        m_shared.counters.brokenAnswers->add();
    } else if (!whole && !m_answeredDirectly) {
        m_shared.counters.connectionsLost->add();
    } else if (whole && m_endsConnection) {
        endOutput(m_socket->fd(), m_shared.limits.stallLimit); // the session counts as in flight until then
    }
}

// ---- [answer] ---------------------------------------------------------------------------------------------------

MHD_Result CallerExchange::refuse(const RequestRefusal &refusal)
{
    m_shared.counters.refusal(refusal.reason).add();
    logEvent(LogLevel::Info, "caller_refused").with("status", refusal.status).with("reason", refusal.reason).with("remedy", refusal.remedy);
    return answerAndClose(refusalResponse(refusal));
}

MHD_Result CallerExchange::answerAndClose(CallerResponse response)
{
    m_answered = true;
    m_answeredDirectly = true;
    const auto stall = std::chrono::duration_cast<milliseconds>(m_shared.limits.stallLimit);
    writeDirectAnswer(m_socket->fd(), std::move(response), m_request.method == "HEAD", stall);
    return MHD_NO;
}

/// Pulls a short body of known length, so that it leaves in one write with the head. False when it broke.
bool CallerExchange::gatherSmallBody(CallerResponse &response)
{
    const bool small = response.body && response.bodyLength && *response.bodyLength <= SmallBodyBytes && m_request.method != "HEAD";
    if (!small || hasNoBody(response.status)) {
        return true;
    }
    std::string text(*response.bodyLength, '\0');
    std::size_t filled = 0;
    while (filled < text.size()) {
        const auto n = response.body->read(std::span(text).subspan(filled));
        if (n <= 0) {
            m_answerBroken = true;
            return false;
        }
        filled += static_cast<std::size_t>(n);
    }
    response.text = std::move(text);
    response.body.reset();
    return true;
}

MHD_Response *CallerExchange::makeResponse(CallerResponse &response)
{
    if (hasNoBody(response.status)) {
        return MHD_create_response_from_buffer(0, nullptr, MHD_RESPMEM_PERSISTENT);
    }
    if (response.body || (m_request.method == "HEAD" && response.bodyLength)) {
        m_answerBody = std::move(response.body);
        const auto size = response.bodyLength ? *response.bodyLength : MHD_SIZE_UNKNOWN;
        m_endsByClose = !response.bodyLength && !m_chunksUnderstood;
        return MHD_create_response_from_callback(size, AnswerBlockBytes, readAnswerBody, this, nullptr);
    }
    m_shared.counters.bytesOut->add(response.text.size());
    return MHD_create_response_from_buffer(response.text.size(), response.text.data(), MHD_RESPMEM_MUST_COPY);
}

MHD_Result CallerExchange::queue(CallerResponse response)
{
    m_answered = true;
    MHD_Response *answer = makeResponse(response);
    removeHopByHopHeaders(response.headers);
    for (const auto &h : response.headers) {
        if (!isWrittenByLibrary(h.name)) {
            MHD_add_response_header(answer, h.name.c_str(), h.value.c_str());
        }
    }
    const bool closing = m_shared.closing;
    m_endsConnection = m_callerCloses || closing;
    if (closing) {
        MHD_add_response_header(answer, "Connection", "close");
    }
    const auto result = MHD_queue_response(m_connection, response.status, answer);
    MHD_destroy_response(answer);
    return result;
}

ssize_t CallerExchange::readAnswerBody(void *cls, std::uint64_t, char *buf, std::size_t capacity)
{
    auto *exchange = static_cast<CallerExchange *>(cls);
    exchange->restartStallTimer(false);
    const auto n = exchange->m_answerBody ? exchange->m_answerBody->read({buf, capacity}) : -1;
    exchange->restartStallTimer(true);
    if (n < 0) {
        exchange->m_answerBroken = true;
        if (exchange->m_endsByClose) {
            resetConnection(exchange->m_socket->fd());
        }
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    exchange->m_shared.counters.bytesOut->add(static_cast<std::uint64_t>(n));
    return n == 0 ? MHD_CONTENT_READER_END_OF_STREAM : n;
}

} // namespace Fescuenotch
