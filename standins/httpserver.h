// A small HTTP server for the stand-ins, by libmicrohttpd: one thread for each connection, so a handler may block.
//
// How to use: `HttpServer server(settings, handler); server.start()` binds and serves until the process ends.
// `refuse()` closes the listening socket (new connections are refused, open ones go on); `start()` opens it again.
//
// Pitfall: handlers run on many threads at once and must guard what they share.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "kernel/errors.h"
#include "kernel/http.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace Fescuenotch::Standins {

struct ServerCall {
    std::string method;
    std::string path; ///< without the query
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body; ///< the first 8 MiB
    std::uint64_t bodyBytes = 0; ///< bytes; all of them
    std::uint64_t connection = 0; ///< number of the connection, from 1
    std::uint64_t connectionCalls = 0; ///< calls on this connection so far, this one included
    std::function<bool()> callerLeft; ///< true once the other end closed the connection
};

/// Writes the piece of a body at `offset`: bytes written, or -1 to break the connection.
using BodyStream = std::function<std::ptrdiff_t(std::uint64_t offset, std::span<char> buf)>;

struct ServerReply {
    unsigned status = 200;
    Headers headers;
    std::string body; ///< when `stream` is empty
    BodyStream stream;
    std::uint64_t streamBytes = 0; ///< bytes; length of the streamed body
    bool dropConnection = false; ///< close without any answer
    std::function<void()> done; ///< called once after the answer was sent or could not be
};

using ServerHandler = std::function<ServerReply(const ServerCall &call)>;

struct ServerSettings {
    Endpoint listen;
    unsigned connections = 2'048; ///< connections at once; more are closed at once
};

class HttpServer
{
public:
    HttpServer(const ServerSettings &settings, ServerHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();
    Result<void> start(); ///< error ListenFailed; does nothing while it listens
    void refuse();

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/// 200 or another status with a JSON body.
ServerReply jsonReply(unsigned status, const std::string &json);

} // namespace Fescuenotch::Standins
