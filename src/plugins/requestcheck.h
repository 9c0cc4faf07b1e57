// Checks of a caller's request head before any of it is acted on: shapes that two parsers may read differently
// (request smuggling) are refused rather than repaired.
//
// How to use: fill a RequestHead with the bytes as they came, and answer what `checkRequestHead` returns, if anything.
#pragma once

#include "kernel/http.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Fescuenotch {

/// The head of a request as the HTTP library read it.
struct RequestHead {
    std::string method;
    std::string uri; ///< as it came, with the query, not decoded
    std::string version; ///< "HTTP/1.1"
    Headers headers;
    std::size_t headBytes = 0; ///< bytes, as received
    bool strictLayout = true; ///< false: the library has repaired it, see headlayout.h
};

struct RequestLimits {
    std::size_t maxHeaderBytes = 32'768; ///< bytes
    std::uint64_t maxBodyBytes = 2'147'483'648; ///< bytes
};

/// A refusal by the server itself, before a handler saw the request.
struct RequestRefusal {
    unsigned status = 400;
    std::string reason; ///< label of the counter and "reason" of the body
    std::string remedy;
};

/// How the body of a request is delimited.
struct BodyFraming {
    bool chunked = false;
    std::optional<std::uint64_t> length; ///< bytes; none without Content-Length
};

std::optional<RequestRefusal> checkRequestHead(const RequestHead &head, const RequestLimits &limits);
/// Framing of a head that passed `checkRequestHead`.
BodyFraming bodyFraming(const Headers &headers);

/// The refusals that are made elsewhere than in `checkRequestHead`.
RequestRefusal badRequest(const std::string &remedy);
RequestRefusal bodyTooLarge(std::uint64_t maxBodyBytes);
RequestRefusal tooManyConnections();

} // namespace Fescuenotch
