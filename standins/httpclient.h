// A small blocking HTTP client for tests and the bench, by libcurl. One object keeps its connections; use one per thread.
#pragma once

#include "kernel/clock.h"
#include "kernel/http.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace Fescuenotch::Standins {

struct ClientCall {
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::optional<std::string> body;
    milliseconds timeout{10'000}; ///< ms; over all
    /// Called with each piece of the answer's body instead of keeping it. False stops.
    std::function<bool(std::span<const char> piece)> onBody;
};

struct ClientReply {
    unsigned status = 0; ///< 0: no answer
    Headers headers;
    std::string body;
    bool whole = false; ///< the answer was read to its end
    bool connected = false; ///< false: the connection could not be made
    std::string error; ///< libcurl's words when not whole
    microseconds time{0}; ///< us; from the call to its end
    /// Value of a header, empty when it is not there.
    std::string header(const std::string &name) const;
};

class HttpClient
{
public:
    HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();
    ClientReply run(const ClientCall &call);
    /// GET of a JSON document; a null value when there is none.
    nlohmann::json getJson(const std::string &url, milliseconds timeout = milliseconds(5'000));
    /// POST of a JSON document. True when it was answered 200.
    bool postJson(const std::string &url, const nlohmann::json &body, milliseconds timeout = milliseconds(5'000));

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Fescuenotch::Standins
