// Sections: [parsers] [reading] [writing]
#include "http1/messagereader.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Fescuenotch {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = beast::error_code;
using Text = beast::string_view;

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr unsigned FirstFinalStatus = 200;

std::string toString(Text text)
{
    return {text.data(), text.size()};
}

/// True for folded lines, null bytes and line ends other than CRLF, which parsers interpret differently.
bool hasAmbiguousSyntax(std::string_view head)
{
    for (std::size_t n = 0; n < head.size(); ++n) {
        const char c = head[n];
        if (c == '\0' || (c == '\r' && (n + 1 == head.size() || head[n + 1] != '\n'))) {
            return true;
        }
        if (c != '\n') {
            continue;
        }
        const bool afterCarriageReturn = n > 0 && head[n - 1] == '\r';
        const bool foldFollows = n + 1 < head.size() && (head[n + 1] == ' ' || head[n + 1] == '\t');
        if (!afterCarriageReturn || foldFollows) {
            return true;
        }
    }
    return false;
}

} // namespace

// ---- [parsers] --------------------------------------------------------------------------------------------------

/// Interface of the request and the response parser: stores header fields in `head` and body bytes in `body`.
class MessageReader::Parser
{
public:
    virtual ~Parser() = default;
    virtual std::size_t put(std::string_view bytes, ErrorCode &ec) = 0;
    virtual void putEnd(ErrorCode &ec) = 0;
    virtual bool isDone() const = 0;
    virtual void fillHead(MessageHead &head) const = 0;

    MessageHead *head = nullptr;
    std::string *body = nullptr;
    bool headComplete = false;

protected:
    void addField(Text name, Text value) const
    {
        if (!headComplete) {
            head->headers.push_back({toString(name), toString(value)});
        }
    }

    std::size_t appendBody(Text bytes) const
    {
        body->append(bytes.data(), bytes.size());
        return bytes.size();
    }

    template<typename Basic>
    static std::size_t feed(Basic &parser, std::string_view bytes, ErrorCode &ec)
    {
        std::size_t taken = 0;
        while (!parser.is_done() && taken < bytes.size()) {
            const auto n = parser.put(boost::asio::const_buffer(bytes.data() + taken, bytes.size() - taken), ec);
            taken += n;
            if (ec || n == 0) {
                break;
            }
        }
        if (ec == http::error::need_more) {
            ec = {};
        }
        return taken;
    }

    template<typename Basic>
    static void fillFraming(const Basic &parser, MessageHead &head)
    {
        head.chunked = parser.chunked();
        head.keepAlive = parser.keep_alive();
        if (const auto n = parser.content_length()) {
            head.length = *n;
        }
    }
};

/// Boost.Beast's parser for requests or for responses.
template<bool IsRequest>
class MessageReader::DirectedParser final : public MessageReader::Parser, public http::basic_parser<IsRequest>
{
    using Basic = http::basic_parser<IsRequest>;

public:
    std::size_t put(std::string_view bytes, ErrorCode &ec) override
    {
        return feed<Basic>(*this, bytes, ec);
    }

    void putEnd(ErrorCode &ec) override
    {
        this->put_eof(ec);
    }

    bool isDone() const override
    {
        return this->is_done();
    }

    void fillHead(MessageHead &out) const override
    {
        fillFraming(static_cast<const Basic &>(*this), out);
        out.closeDelimited = this->need_eof();
        if (this->is_done()) {
            out.length = out.length.value_or(0);
        }
    }

private:
    void on_request_impl(http::verb, Text method, Text target, int version, ErrorCode &) override
    {
        head->method = toString(method);
        head->target = toString(target);
        head->isHttp11 = version == 11;
    }

    void on_response_impl(int code, Text, int version, ErrorCode &) override
    {
        head->status = static_cast<unsigned>(code);
        head->isHttp11 = version == 11;
    }

    void on_field_impl(http::field, Text name, Text value, ErrorCode &) override
    {
        addField(name, value);
    }

    void on_header_impl(ErrorCode &) override
    {
        headComplete = true;
    }

    void on_body_init_impl(boost::optional<std::uint64_t> const &, ErrorCode &) override
    {
    }

    std::size_t on_body_impl(Text bytes, ErrorCode &) override
    {
        return appendBody(bytes);
    }

    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, ErrorCode &) override
    {
        return appendBody(bytes);
    }

    void on_finish_impl(ErrorCode &) override
    {
    }
};

// ---- [reading] --------------------------------------------------------------------------------------------------

MessageReader::MessageReader(Kind kind, const MessageLimits &limits)
    : m_kind(kind)
    , m_limits(limits)
{
    resetParser();
}

MessageReader::~MessageReader() = default;

void MessageReader::resetParser()
{
    const auto prepare = [&](auto &parser) {
        parser.eager(true);
        parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeadBytes + HeadEnd.size()));
        parser.body_limit(m_limits.maxBodyBytes);
    };
    if (m_kind == Kind::Request) {
        auto parser = std::make_unique<DirectedParser<true>>();
        prepare(*parser);
        m_parser = std::move(parser);
    } else {
        auto parser = std::make_unique<DirectedParser<false>>();
        prepare(*parser);
        parser->skip(m_noBody);
        m_parser = std::move(parser);
    }
    m_head = {};
    m_headComplete = false;
    m_parser->head = &m_head;
}

void MessageReader::expectNoBody()
{
    m_noBody = true;
    resetParser();
}

void MessageReader::next()
{
    m_noBody = false;
    m_interimResponses = 0;
    m_interimBytes = 0;
    m_bodyBytes = 0;
    resetParser();
}

MessageReader::ReadResult MessageReader::readHead(std::string &input)
{
    for (;;) {
        // Empty lines before a message are ignored (RFC 9112, 2.2).
        input.erase(0, input.compare(0, 2, "\r\n") == 0 ? 2 : 0);
        const auto end = input.find(HeadEnd);
        if (end == std::string::npos) {
            return input.size() > m_limits.maxHeadBytes ? ReadResult::HeadTooLarge : ReadResult::NeedMore;
        }
        const auto size = end + HeadEnd.size();
        if (size > m_limits.maxHeadBytes) {
            return ReadResult::HeadTooLarge;
        }
        const std::string_view bytes(input.data(), size);
        if (hasAmbiguousSyntax(bytes)) {
            return ReadResult::Malformed;
        }
        std::string none;
        m_parser->body = &none;
        ErrorCode ec;
        const auto taken = m_parser->put(bytes, ec);
        if (ec == http::error::body_limit) {
            return ReadResult::BodyTooLarge;
        }
        if (ec || taken != size || !m_parser->headComplete) {
            return ReadResult::Malformed;
        }
        if (m_kind == Kind::Response && !isResponseStatus(m_head.status)) {
            return ReadResult::Malformed;
        }
        input.erase(0, size);
        m_head.headBytes = size;
        if (m_kind == Kind::Response && m_head.status < FirstFinalStatus) {
            m_interimBytes += size;
            if (++m_interimResponses > m_limits.maxInterimResponses || m_interimBytes > m_limits.maxHeadBytes) {
                return ReadResult::HeadTooLarge;
            }
            resetParser(); // interim responses are not reported
            continue;
        }
        m_parser->fillHead(m_head);
        m_headComplete = true;
        return ReadResult::Done;
    }
}

MessageReader::ReadResult MessageReader::readBody(std::string &input, std::string &body)
{
    if (m_parser->isDone()) {
        return ReadResult::Done;
    }
    m_parser->body = &body;
    ErrorCode ec;
    const auto before = body.size();
    const auto taken = m_parser->put(input, ec);
    input.erase(0, taken);
    m_bodyBytes += body.size() - before;
    if (ec == http::error::body_limit || (!m_head.length && m_bodyBytes > m_limits.maxUndeclaredBodyBytes)) {
        return ReadResult::BodyTooLarge;
    }
    if (ec) {
        return ReadResult::Malformed;
    }
    if (m_parser->isDone()) {
        return ReadResult::Done;
    }
    // The parser leaves only incomplete chunk headers and trailers in `input`.
    return input.size() > m_limits.maxHeadBytes ? ReadResult::Malformed : ReadResult::NeedMore;
}

bool MessageReader::endOfStream()
{
    if (!m_headComplete) {
        return false;
    }
    if (m_parser->isDone()) {
        return true;
    }
    if (!m_head.closeDelimited) {
        return false;
    }
    ErrorCode ec;
    m_parser->putEnd(ec);
    return !ec;
}

// ---- [writing] --------------------------------------------------------------------------------------------------

namespace {

void appendHeaders(std::string &text, const Headers &headers)
{
    for (const auto &header : headers) {
        text.append(header.name).append(": ").append(header.value).append("\r\n");
    }
}

void appendDelimiter(std::string &text, const BodyDelimiter &delimiter)
{
    if (delimiter.chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    } else if (delimiter.length) {
        text.append("Content-Length: ").append(std::to_string(*delimiter.length)).append("\r\n");
    }
}

} // namespace

std::string formatRequestHead(const std::string &method, const std::string &target, const Headers &headers, const BodyDelimiter &delimiter)
{
    std::string text;
    text.reserve(512);
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    appendHeaders(text, headers);
    appendDelimiter(text, delimiter);
    return text.append("\r\n");
}

std::string formatResponseHead(unsigned status, const Headers &headers, const BodyDelimiter &delimiter, bool closes)
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    std::string text;
    text.reserve(512);
    text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason.data(), reason.size()).append("\r\n");
    appendHeaders(text, headers);
    appendDelimiter(text, delimiter);
    if (closes) {
        text += "Connection: close\r\n";
    }
    return text.append("\r\n");
}

std::string formatChunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string text(size.data(), static_cast<std::size_t>(n));
    return text.append(bytes).append("\r\n");
}

void removeFramingHeaders(Headers &headers)
{
    removeHopByHopHeaders(headers);
    std::erase_if(headers, [](const Header &header) { return sameHeaderName(header.name, "Content-Length"); });
}

} // namespace Fescuenotch
