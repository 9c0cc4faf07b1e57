// Reads HTTP/1.1 messages from bytes as they come, with Boost.Beast's parser. No sockets.
//
// How to use, for one message after the other on a connection:
//   MessageReader reader(MessageReader::Kind::Response, limits);
//   if (reader.readHead(input) == MessageReader::ReadResult::Done) { use reader.head(); }
//   while (reader.readBody(input, body) ...)
//   reader.next();
// Consumed bytes are taken off the front of `input`; what follows a message stays there.
//
// Pitfalls:
// - Lenient shapes (folded headers, bare line ends, null bytes) are refused, not repaired: two parsers may read them
//   differently.
// - An answer without a length ends with its connection: call `endOfStream` then, and never after a reset.
#pragma once

#include "kernel/http.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Fescuenotch {

struct MessageLimits {
    std::size_t maxHeadBytes = 32'768; ///< bytes; start line with headers
    std::uint64_t maxBodyBytes = 67'108'864; ///< bytes
};

struct MessageHead {
    std::string method; ///< of a request
    std::string target; ///< of a request: path with query, as it came
    unsigned status = 0; ///< of an answer
    bool isHttp11 = true; ///< false: HTTP/1.0
    Headers headers; ///< all of them, hop-by-hop ones too
    std::size_t headBytes = 0; ///< bytes as received
    std::optional<std::uint64_t> length; ///< bytes of the body; none: chunked or until the end of the connection
    bool chunked = false;
    bool closeDelimited = false; ///< of an answer
    bool keepAlive = true; ///< the sender takes more messages on this connection
};

class MessageReader
{
public:
    enum class Kind { Request, Response };
    enum class ReadResult { NeedMore, Done, HeadTooLarge, BodyTooLarge, Malformed };

    MessageReader(Kind kind, const MessageLimits &limits);
    ~MessageReader();

    /// The next answer belongs to a HEAD request: it has no body.
    void expectNoBody();
    ReadResult readHead(std::string &input);
    /// Appends body bytes to `body`. Done: the message is complete.
    ReadResult readBody(std::string &input, std::string &body);
    /// The connection ended regularly. True when that completes the message.
    bool endOfStream();
    const MessageHead &head() const
    {
        return m_head;
    }
    bool isHeadComplete() const
    {
        return m_headComplete;
    }
    /// Makes ready for the next message.
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
    std::unique_ptr<Parser> m_parser;
};

/// How the body of a message that is written is delimited.
struct BodyDelimiter {
    std::optional<std::uint64_t> length; ///< bytes; none and not chunked: no body
    bool chunked = false;
};

/// Heads as bytes. `headers` must not hold framing headers; the delimiter adds them.
std::string formatRequestHead(const std::string &method, const std::string &target, const Headers &headers, const BodyDelimiter &delimiter);
std::string formatResponseHead(unsigned status, const Headers &headers, const BodyDelimiter &delimiter, bool closes);
std::string formatChunk(std::string_view bytes);
constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Removes hop-by-hop headers and Content-Length.
void removeFramingHeaders(Headers &headers);

} // namespace Fescuenotch
