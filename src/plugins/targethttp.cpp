// Sections: [limits] [one exchange: callbacks] [one exchange: request] [one exchange: result] [client]
//
// Exchanges with the target by libcurl, each on the calling thread with a connection that is reused.
// A request that is not idempotent leaves this process at most once: libcurl repeats a request whose reused connection
// turns out dead, so the second permission to send is refused here.
#include "kernel/plugin.h"
#include "plugins/curltransfer.h"
#include "plugins/interfaces.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <mutex>
#include <vector>

namespace Fescuenotch {

namespace {

// ---- [limits] ---------------------------------------------------------------------------------------------------

constexpr milliseconds CancelPoll{10}; ///< ms; between looks at TargetSink::cancelled
constexpr milliseconds ConnectLimit{1'000}; ///< ms; longest wait for a connection
constexpr long IdleAge = 10; ///< s; an older idle connection is not reused
constexpr long IdleAgeNotIdempotent = 1; ///< s; the same for requests that cannot be repeated
constexpr seconds IdleKept{30}; ///< s; a connection idle for longer is closed
constexpr unsigned UserTimeout = 10'000; ///< ms; sent bytes that are not acknowledged for so long break the connection
constexpr long KeepAliveIdle = 2; ///< s; silence before a probe
constexpr long KeepAliveInterval = 1; ///< s; between probes
constexpr int KeepAliveProbes = 3; ///< unanswered probes that break the connection
constexpr long BufferBytes = 65'536; ///< bytes read or written at a time
constexpr std::size_t MaxHeadBytes = 65'536; ///< bytes; cap of the target's answer head

// ---- [one exchange: callbacks] ----------------------------------------------------------------------------------

class TargetExchange
{
public:
    TargetExchange(const TargetRequest &request, TargetSink &sink, CurlTransfer &transfer)
        : m_request(request)
        , m_sink(sink)
        , m_transfer(transfer)
    {
    }

    TargetResult run();

private:
    void setConnectionOptions(milliseconds left);
    void setRequestOptions();
    void setCallbacks();
    void setHeaders();
    TargetResult result(CURLcode code) const;
    Reason reasonOf(CURLcode code) const;
    bool bodyEndIsKnown() const;
    bool isWholeBeforeTheBodyIsSent() const;

    int onPermission();
    std::size_t onHeaderLine(std::string_view line);
    bool onHeadEnd();
    std::size_t onBody(Bytes piece);
    std::size_t onUpload(std::span<char> buf);

    const TargetRequest &m_request;
    TargetSink &m_sink;
    CurlTransfer &m_transfer;
    CurlHeaders m_headerList;
    Headers m_answerHeaders;
    unsigned m_status = 0;
    std::size_t m_headBytes = 0;
    std::uint64_t m_uploaded = 0; ///< bytes of the request body
    std::uint64_t m_received = 0; ///< bytes of the answer body
    bool m_headDone = false;
    bool m_sent = false;
    bool m_cancelled = false;
    bool m_brokenHead = false;
    bool m_repeatRefused = false;
    bool m_bodyRead = false; ///< the request body was asked for
};

/// Asked by libcurl each time that a connection is there and the request is about to leave.
int TargetExchange::onPermission()
{
    if (m_sent) {
        m_repeatRefused = !m_request.idempotent || m_bodyRead;
        return m_repeatRefused ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
    }
    m_sent = m_sink.mayStart();
    m_cancelled = !m_sent;
    return m_sent ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t TargetExchange::onHeaderLine(std::string_view line)
{
    m_headBytes += line.size();
    m_brokenHead = m_brokenHead || m_headBytes > MaxHeadBytes;
    if (m_headDone || m_brokenHead) {
        return m_brokenHead ? 0 : line.size(); // trailers are not relayed
    }
    if (isStatusLine(line)) {
        m_status = statusOfLine(line);
        m_answerHeaders.clear();
        return line.size();
    }
    if (line == "\r\n" || line == "\n") {
        return onHeadEnd() ? line.size() : 0;
    }
    auto header = parseHeaderLine(line);
    m_brokenHead = !header;
    if (header) {
        m_answerHeaders.push_back(std::move(*header));
    }
    return m_brokenHead ? 0 : line.size();
}

bool TargetExchange::onHeadEnd()
{
    if (!isResponseStatus(m_status)) {
        m_brokenHead = true;
        return false;
    }
    if (m_status >= 100 && m_status < 200) {
        m_brokenHead = m_status == 101;
        return !m_brokenHead;
    }
    m_headDone = true;
    const bool chunked = findHeader(m_answerHeaders, "Transfer-Encoding") != nullptr;
    auto endToEnd = m_answerHeaders;
    if (chunked) {
        std::erase_if(endToEnd, [](const Header &h) { return sameHeaderName(h.name, "Content-Length"); });
    }
    removeHopByHopHeaders(endToEnd);
    m_cancelled = !m_sink.onHead(m_status, endToEnd);
    return !m_cancelled;
}

std::size_t TargetExchange::onBody(Bytes piece)
{
    m_received += piece.size();
    m_cancelled = !m_sink.onBody(piece);
    return m_cancelled ? 0 : piece.size();
}

std::size_t TargetExchange::onUpload(std::span<char> buf)
{
    m_bodyRead = true;
    const auto n = m_sink.readBody(buf);
    const bool tooShort = n == 0 && m_request.bodyLength && m_uploaded < *m_request.bodyLength;
    if (n < 0 || tooShort) {
        m_cancelled = true;
        return CURL_READFUNC_ABORT;
    }
    m_uploaded += static_cast<std::uint64_t>(n);
    return static_cast<std::size_t>(n);
}

// ---- [one exchange: request] ------------------------------------------------------------------------------------

/// Headers that libcurl writes itself or that must not reach a target.
bool isWrittenByLibrary(const std::string &name)
{
    return sameHeaderName(name, "Content-Length") || sameHeaderName(name, "Transfer-Encoding") || sameHeaderName(name, "Expect");
}

/// Methods whose requests tell a length even when there is no body (RFC 9110, 8.6).
bool expectsLength(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

void TargetExchange::setHeaders()
{
    m_headerList.add("Expect:");
    if (findHeader(m_request.headers, "Accept") == nullptr) {
        m_headerList.add("Accept:");
    }
    if (!m_request.hasBody && expectsLength(m_request.method)) {
        m_headerList.add("Content-Length: 0");
    }
    for (const auto &h : m_request.headers) {
        if (!isWrittenByLibrary(h.name)) {
            m_headerList.add(h.value.empty() ? h.name + ";" : h.name + ": " + h.value);
        }
    }
    setCurlOption(m_transfer.handle(), CURLOPT_HTTPHEADER, m_headerList.list());
}

int onSocket(void *, curl_socket_t fd, curlsocktype)
{
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeout, sizeof UserTimeout);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof KeepAliveProbes);
    return CURL_SOCKOPT_OK;
}

void TargetExchange::setConnectionOptions(milliseconds left)
{
    auto *handle = m_transfer.handle();
    setCurlOption(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(left.count()));
    setCurlOption(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(left, ConnectLimit).count()));
    setCurlOption(handle, CURLOPT_MAXAGE_CONN, m_request.idempotent ? IdleAge : IdleAgeNotIdempotent);
    setCurlOption(handle, CURLOPT_SOCKOPTFUNCTION, onSocket);
    setCurlOption(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    setCurlOption(handle, CURLOPT_TCP_KEEPIDLE, KeepAliveIdle);
    setCurlOption(handle, CURLOPT_TCP_KEEPINTVL, KeepAliveInterval);
    setCurlOption(handle, CURLOPT_BUFFERSIZE, BufferBytes);
    setCurlOption(handle, CURLOPT_UPLOAD_BUFFERSIZE, BufferBytes);
}

void TargetExchange::setRequestOptions()
{
    auto *handle = m_transfer.handle();
    setCurlOption(handle, CURLOPT_URL, ("http://" + toString(m_request.address) + "/").c_str());
    setCurlOption(handle, CURLOPT_REQUEST_TARGET, m_request.path.c_str());
    if (m_request.method == "HEAD") {
        setCurlOption(handle, CURLOPT_NOBODY, 1L);
    } else if (m_request.hasBody) {
        const auto length = m_request.bodyLength ? static_cast<curl_off_t>(*m_request.bodyLength) : curl_off_t{-1};
        setCurlOption(handle, CURLOPT_UPLOAD, 1L);
        setCurlOption(handle, CURLOPT_INFILESIZE_LARGE, length);
    }
    if (m_request.method != "HEAD") {
        setCurlOption(handle, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    }
}

void TargetExchange::setCallbacks()
{
    using Self = TargetExchange;
    auto *handle = m_transfer.handle();
    const curl_prereq_callback permission = [](void *cls, char *, char *, int, int) { return static_cast<Self *>(cls)->onPermission(); };
    const curl_write_callback header = [](char *data, std::size_t size, std::size_t count, void *cls) {
        return static_cast<Self *>(cls)->onHeaderLine({data, size * count});
    };
    const curl_write_callback body = [](char *data, std::size_t size, std::size_t count, void *cls) {
        return static_cast<Self *>(cls)->onBody({data, size * count});
    };
    const curl_read_callback upload = [](char *data, std::size_t size, std::size_t count, void *cls) {
        return static_cast<Self *>(cls)->onUpload({data, size * count});
    };
    setCurlOption(handle, CURLOPT_PREREQFUNCTION, permission);
    setCurlOption(handle, CURLOPT_PREREQDATA, this);
    setCurlOption(handle, CURLOPT_HEADERFUNCTION, header);
    setCurlOption(handle, CURLOPT_HEADERDATA, this);
    setCurlOption(handle, CURLOPT_WRITEFUNCTION, body);
    setCurlOption(handle, CURLOPT_WRITEDATA, this);
    setCurlOption(handle, CURLOPT_READFUNCTION, upload);
    setCurlOption(handle, CURLOPT_READDATA, this);
}

TargetResult TargetExchange::run()
{
    const auto left = std::chrono::ceil<milliseconds>(m_request.deadline - Clock::now());
    if (left <= milliseconds(0)) {
        return {false, false, Reason::DeadlinePassed, "the deadline had passed before a connection was there"};
    }
    m_transfer.reset();
    setConnectionOptions(left);
    setRequestOptions();
    setCallbacks();
    setHeaders();
    const auto code = m_transfer.run(
        [this] {
            m_cancelled = m_cancelled || (!isWholeBeforeTheBodyIsSent() && m_sink.cancelled());
            return m_cancelled || isWholeBeforeTheBodyIsSent();
        },
        CancelPoll);
    return result(code);
}

// ---- [one exchange: result] -------------------------------------------------------------------------------------

/// False when only the end of the connection ends the body, which a broken target cannot be told from.
bool TargetExchange::bodyEndIsKnown() const
{
    const bool noBody = m_request.method == "HEAD" || m_status == 204 || m_status == 304;
    return noBody || findHeader(m_answerHeaders, "Content-Length") != nullptr || findHeader(m_answerHeaders, "Transfer-Encoding") != nullptr;
}

/// libcurl goes on sending the request's body after a whole answer, or fails when the target has closed.
bool TargetExchange::isWholeBeforeTheBodyIsSent() const
{
    const auto *length = findHeader(m_answerHeaders, "Content-Length");
    return m_headDone && !m_cancelled && m_request.hasBody && length != nullptr && findHeader(m_answerHeaders, "Transfer-Encoding") == nullptr
        && *length == std::to_string(m_received);
}

Reason TargetExchange::reasonOf(CURLcode code) const
{
    if (m_cancelled) {
        return Reason::Cancelled;
    }
    if (Clock::now() >= m_request.deadline) {
        return Reason::DeadlinePassed;
    }
    if (!m_sent) {
        return Reason::ConnectFailed;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? Reason::DeadlinePassed : Reason::TargetBroke;
}

TargetResult TargetExchange::result(CURLcode code) const
{
    if ((code == CURLE_OK && m_headDone && bodyEndIsKnown()) || isWholeBeforeTheBodyIsSent()) {
        return {m_sent, true, Reason::None, ""};
    }
    TargetResult result{m_sent, false, reasonOf(code), curl_easy_strerror(code)};
    if (m_brokenHead) {
        result.detail = "the target's answer head is malformed or larger than " + std::to_string(MaxHeadBytes) + " bytes";
    } else if (m_repeatRefused) {
        result.detail = "the target closed a reused connection; the request is not repeated";
    } else if (code == CURLE_OK) {
        result.detail = "the answer has neither Content-Length nor chunks, so its end is not known";
    }
    return result;
}

// ---- [client] ---------------------------------------------------------------------------------------------------

struct IdleTransfer {
    std::unique_ptr<CurlTransfer> transfer;
    TimePoint since;
};

class HttpTargetClient final : public TargetClient
{
public:
    TargetResult exchange(const TargetRequest &request, TargetSink &sink) override
    {
        auto transfer = take();
        auto result = TargetExchange(request, sink, *transfer).run();
        giveBack(std::move(transfer));
        return result;
    }

    bool reachable(const Endpoint &address, milliseconds limit) override
    {
        CurlTransfer transfer;
        const auto url = "http://" + toString(address) + "/";
        setCurlOption(transfer.handle(), CURLOPT_URL, url.c_str());
        setCurlOption(transfer.handle(), CURLOPT_PROXY, "");
        setCurlOption(transfer.handle(), CURLOPT_NOSIGNAL, 1L);
        setCurlOption(transfer.handle(), CURLOPT_CONNECT_ONLY, 1L);
        setCurlOption(transfer.handle(), CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(limit.count()));
        return transfer.run([] { return false; }, limit) == CURLE_OK;
    }

private:
    /// The transfer that was used last: its connection is the least likely to be stale.
    std::unique_ptr<CurlTransfer> take()
    {
        const std::lock_guard lock(m_mutex);
        if (m_idle.empty()) {
            return std::make_unique<CurlTransfer>();
        }
        auto transfer = std::move(m_idle.back().transfer);
        m_idle.pop_back();
        return transfer;
    }

    void giveBack(std::unique_ptr<CurlTransfer> transfer)
    {
        const auto now = Clock::now();
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_idle, [&](const IdleTransfer &idle) { return now - idle.since > IdleKept; });
        m_idle.push_back({std::move(transfer), now});
    }

    std::mutex m_mutex;
    std::vector<IdleTransfer> m_idle; ///< oldest first
};

const PluginRegistration<TargetClient> registration("http", [](const NodeContext &) { return std::make_unique<HttpTargetClient>(); });

} // namespace

} // namespace Fescuenotch
