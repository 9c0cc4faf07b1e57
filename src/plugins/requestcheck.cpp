#include "plugins/requestcheck.h"

#include <algorithm>
#include <charconv>

namespace Fescuenotch {

namespace {

constexpr std::string_view TokenPunctuation = "!#$%&'*+-.^_`|~";

bool isTokenByte(char c)
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || TokenPunctuation.find(c) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenByte);
}

bool isUriByte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte < 0x7f && c != '#';
}

bool isValueByte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

std::optional<std::uint64_t> parseLength(std::string_view text)
{
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return n;
}

std::size_t countHeader(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [&](const Header &h) { return sameHeaderName(h.name, name); }));
}

std::optional<RequestRefusal> checkRequestLine(const RequestHead &head)
{
    if (head.version != "HTTP/1.1" && head.version != "HTTP/1.0") {
        return badRequest("speak HTTP/1.1");
    }
    if (!isToken(head.method) || head.method == "CONNECT") {
        return badRequest("use a method that is a token and not CONNECT");
    }
    if (head.uri.empty() || head.uri[0] != '/' || !std::all_of(head.uri.begin(), head.uri.end(), isUriByte)) {
        return badRequest("send a path that starts with / and has its spaces and control characters percent-encoded");
    }
    return std::nullopt;
}

std::optional<RequestRefusal> checkFraming(const RequestHead &head, const RequestLimits &limits)
{
    const auto lengths = countHeader(head.headers, "Content-Length");
    const auto encodings = countHeader(head.headers, "Transfer-Encoding");
    if (lengths + encodings > 1) {
        return badRequest("send one Content-Length or one Transfer-Encoding, not both and none twice");
    }
    if (encodings == 1 && (head.version != "HTTP/1.1" || !sameHeaderName(*findHeader(head.headers, "Transfer-Encoding"), "chunked"))) {
        return badRequest("send Transfer-Encoding: chunked over HTTP/1.1 and no other coding");
    }
    if (lengths == 0) {
        return std::nullopt;
    }
    const auto length = parseLength(*findHeader(head.headers, "Content-Length"));
    if (!length) {
        return badRequest("send Content-Length as a whole number in digits");
    }
    return *length > limits.maxBodyBytes ? std::optional(bodyTooLarge(limits.maxBodyBytes)) : std::nullopt;
}

} // namespace

std::optional<RequestRefusal> checkRequestHead(const RequestHead &head, const RequestLimits &limits)
{
    if (head.headBytes > limits.maxHeaderBytes) {
        return RequestRefusal{431, "too-large", "send at most " + std::to_string(limits.maxHeaderBytes) + " bytes of headers"};
    }
    if (auto refusal = checkRequestLine(head)) {
        return refusal;
    }
    if (!head.strictLayout) {
        return badRequest("separate lines by CRLF and parts by one space, fold no header, and send no null byte");
    }
    for (const auto &h : head.headers) {
        if (!isToken(h.name) || !std::all_of(h.value.begin(), h.value.end(), isValueByte)) {
            return badRequest("send header names as tokens, without space before the colon, and values without control characters");
        }
    }
    const auto hosts = countHeader(head.headers, "Host");
    if (hosts > 1 || (hosts == 0 && head.version == "HTTP/1.1")) {
        return badRequest("send exactly one Host header");
    }
    return checkFraming(head, limits);
}

BodyFraming bodyFraming(const Headers &headers)
{
    BodyFraming framing;
    framing.chunked = findHeader(headers, "Transfer-Encoding") != nullptr;
    if (const auto *length = findHeader(headers, "Content-Length")) {
        framing.length = parseLength(*length);
    }
    return framing;
}

RequestRefusal badRequest(const std::string &remedy)
{
    return {400, "bad-request", remedy};
}

RequestRefusal bodyTooLarge(std::uint64_t maxBodyBytes)
{
    return {413, "too-large", "send a body of at most " + std::to_string(maxBodyBytes) + " bytes"};
}

RequestRefusal tooManyConnections()
{
    return {503, "connection-limit", "reuse connections, or connect to another node"};
}

} // namespace Fescuenotch
