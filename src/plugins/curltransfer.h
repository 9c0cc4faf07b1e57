// One libcurl transfer at a time, run on the calling thread, that can be ended from outside at short notice.
//
// The blocking call of libcurl looks for an end only once a second while a connection is silent; this one waits on the
// socket and asks `stop` at least each `pollPeriod`, without adding time to a transfer that moves.
//
// How to use: keep one CurlTransfer for as long as its connection shall be reused; set options on `handle()` (they are
// kept), then `run`. Not for use from two threads at once.
#pragma once

#include "kernel/clock.h"
#include "kernel/http.h"

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Fescuenotch {

/// Sets an option of a transfer; a refusal by libcurl is a defect of this program.
template<typename Value>
void setCurlOption(CURL *handle, CURLoption option, Value value)
{
    curl_easy_setopt(handle, option, value);
}

/// A list of request headers in libcurl's form.
class CurlHeaders
{
public:
    void add(const std::string &line);
    curl_slist *list() const;

private:
    struct Deleter {
        void operator()(curl_slist *list) const;
    };
    std::unique_ptr<curl_slist, Deleter> m_list;
};

class CurlTransfer
{
public:
    CurlTransfer();
    CurlTransfer(const CurlTransfer &) = delete;
    CurlTransfer &operator=(const CurlTransfer &) = delete;
    ~CurlTransfer();

    CURL *handle() const;
    /// Clears the options of the last transfer; the connection stays.
    void reset();
    /// Runs the transfer. CURLE_ABORTED_BY_CALLBACK when `stop` said so; the connection is closed then.
    CURLcode run(const std::function<bool()> &stop, milliseconds pollPeriod);
    /// Ends the wait of `run` at once, so that it asks `stop`. From any thread.
    void wake();

private:
    CURLcode drive(const std::function<bool()> &stop, milliseconds pollPeriod);
    CURLcode finished() const;

    CURL *m_easy;
    CURLM *m_multi;
};

/// Splits "Name: value\r\n". Nothing for lines without a name or with space before the colon.
std::optional<Header> parseHeaderLine(std::string_view line);
/// True for "HTTP/1.1 200 OK\r\n".
bool isStatusLine(std::string_view line);
/// The status of a status line, 0 when it has none.
unsigned statusOfLine(std::string_view line);

} // namespace Fescuenotch
