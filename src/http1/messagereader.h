// An incremental HTTP/1.1 parser on top of Boost.Beast, and functions that format message heads and chunks. No sockets.
//
// How to use, for consecutive messages of a connection:
//   MessageReader reader(MessageReader::Kind::Response, limits);
//   if (reader.readHead(input) == MessageReader::ReadResult::Done) { use reader.head(); }
//   while (reader.readBody(input, body) == MessageReader::ReadResult::NeedMore) { append received bytes to input; }
//   reader.next();
// Consumed bytes are removed from the front of `input`; bytes of the next message stay there.
//
// Pitfalls:
// - Folded header lines, line ends other than CRLF and null bytes are rejected, not repaired: another parser may read them
//   differently, which permits request smuggling.
// - A response without a length ends when its connection is closed: call `endOfStream` then, but never after a reset.
// - Every part of a message has a size limit, so that endless input fails: a head together with the interim responses before it, a
//   chunk header, trailers (maxHeadBytes each) and a body. Time limits are up to the owner of the connection.
// - After HeadTooLarge, BodyTooLarge or Malformed the connection cannot be used further.
#pragma once

#include "kernel/http.h"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace Fescuenotch {

struct MessageLimits {
    std::size_t maxHeadBytes = 32'768; ///< bytes; start line and headers
    std::uint64_t maxBodyBytes = 67'108'864; ///< bytes; after chunked decoding
    std::uint64_t maxUndeclaredBodyBytes = std::numeric_limits<std::uint64_t>::max(); ///< bytes; of a body whose head does not state its length
    unsigned maxInterimResponses = 32; ///< before the final response; together not longer than maxHeadBytes
};

struct MessageHead {
    std::string method; ///< of a request
    std::string target; ///< of a request: path with query, as received
    unsigned status = 0; ///< of a response
    bool isHttp11 = true; ///< false: HTTP/1.0
    Headers headers; ///< as received, including hop-by-hop headers
    std::size_t headBytes = 0; ///< bytes; size of the head as received
    std::optional<std::uint64_t> length; ///< bytes of the body; none: chunked or close-delimited
    bool chunked = false;
    bool closeDelimited = false; ///< of a response: the end of the connection ends the body
    bool keepAlive = true; ///< the connection stays open for further messages
};

class MessageReader
{
public:
    enum class Kind { Request, Response };
    enum class ReadResult { NeedMore, Done, HeadTooLarge, BodyTooLarge, Malformed };

    MessageReader(Kind kind, const MessageLimits &limits);
    ~MessageReader();

    /// The next response answers a HEAD request: it has no body. Call it before `readHead`.
    void expectNoBody();
    /// Done: `head()` is complete. Interim responses (status 1xx) are skipped.
    ReadResult readHead(std::string &input);
    /// Appends decoded body bytes to `body`. Done: the message is complete. Trailers are dropped.
    ReadResult readBody(std::string &input, std::string &body);
    /// Call it when the connection ended without a reset. True when the message is complete.
    bool endOfStream();
    const MessageHead &head() const
    {
        return m_head;
    }
    bool isHeadComplete() const
    {
        return m_headComplete;
    }
    /// Prepares the reader for the next message.
    void next();

private:
    class Parser;
    template<bool IsRequest>
    class DirectedParser;

    void resetParser();

    Kind m_kind;
    MessageLimits m_limits;
    MessageHead m_head;
    bool m_headComplete = false;
    bool m_noBody = false;
    unsigned m_interimResponses = 0; ///< before the current message
    std::size_t m_interimBytes = 0; ///< of these responses
    std::uint64_t m_bodyBytes = 0; ///< of the current message, after chunked decoding
    std::unique_ptr<Parser> m_parser;
};

/// Framing of the body of an outgoing message.
struct BodyDelimiter {
    std::optional<std::uint64_t> length; ///< bytes; none and not chunked: no body
    bool chunked = false;
};

/// Format a message head. `headers` must not contain framing headers (see `removeFramingHeaders`); they come from
/// `delimiter`. `closes` adds "Connection: close".
std::string formatRequestHead(const std::string &method, const std::string &target, const Headers &headers, const BodyDelimiter &delimiter);
std::string formatResponseHead(unsigned status, const Headers &headers, const BodyDelimiter &delimiter, bool closes);
std::string formatChunk(std::string_view bytes); ///< `bytes` must not be empty: an empty chunk ends the body
constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Removes the hop-by-hop headers and Content-Length.
void removeFramingHeaders(Headers &headers);

} // namespace Fescuenotch
