#include "standins/httpclient.h"

#include <curl/curl.h>

#include <mutex>

namespace Fescuenotch::Standins {

namespace {

struct Receiver {
    const ClientCall *call = nullptr;
    ClientReply *reply = nullptr;
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto *receiver = static_cast<Receiver *>(cls);
    const std::size_t n = size * count;
    if (receiver->call->onBody) {
        return receiver->call->onBody({data, n}) ? n : 0;
    }
    receiver->reply->body.append(data, n);
    return n;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto *receiver = static_cast<Receiver *>(cls);
    const std::size_t n = size * count;
    std::string line(data, n);
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
        line.pop_back();
    }
    if (line.rfind("HTTP/", 0) == 0) {
        receiver->reply->headers.clear();
    }
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
        const auto start = line.find_first_not_of(' ', colon + 1);
        receiver->reply->headers.push_back({line.substr(0, colon), start == std::string::npos ? "" : line.substr(start)});
    }
    return n;
}

void setRequest(CURL *handle, const ClientCall &call)
{
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    if (call.body) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body->size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body->data());
    }
    // libcurl repeats a request by itself when a kept connection turns out closed; only a new one prevents that.
    if (call.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (call.method == "HEAD") {
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    }
}

using HeaderList = std::unique_ptr<curl_slist, void (*)(curl_slist *)>;

HeaderList makeHeaders(const ClientCall &call)
{
    curl_slist *list = nullptr;
    for (const auto &header : call.headers) {
        list = curl_slist_append(list, (header.name + ": " + header.value).c_str());
    }
    list = curl_slist_append(list, "Expect:");
    return {list, curl_slist_free_all};
}

} // namespace

class HttpClient::Private
{
public:
    CURL *handle = nullptr;
};

HttpClient::HttpClient()
    : m_d(std::make_unique<Private>())
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
    m_d->handle = curl_easy_init();
}

HttpClient::~HttpClient()
{
    curl_easy_cleanup(m_d->handle);
}

ClientReply HttpClient::run(const ClientCall &call)
{
    ClientReply reply;
    Receiver receiver{&call, &reply};
    const auto headers = makeHeaders(call);
    curl_easy_reset(m_d->handle);
    setRequest(m_d->handle, call);
    curl_easy_setopt(m_d->handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(m_d->handle, CURLOPT_WRITEFUNCTION, onBody);
    curl_easy_setopt(m_d->handle, CURLOPT_WRITEDATA, &receiver);
    curl_easy_setopt(m_d->handle, CURLOPT_HEADERFUNCTION, onHeader);
    curl_easy_setopt(m_d->handle, CURLOPT_HEADERDATA, &receiver);
    const auto start = Clock::now();
    const auto code = curl_easy_perform(m_d->handle);
    reply.time = std::chrono::duration_cast<microseconds>(Clock::now() - start);
    long status = 0;
    curl_easy_getinfo(m_d->handle, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<unsigned>(status);
    reply.whole = code == CURLE_OK;
    reply.connected = code != CURLE_COULDNT_CONNECT;
    reply.error = code == CURLE_OK ? "" : curl_easy_strerror(code);
    return reply;
}

std::string ClientReply::header(const std::string &name) const
{
    const auto *value = findHeader(headers, name);
    return value == nullptr ? "" : *value;
}

nlohmann::json HttpClient::getJson(const std::string &url, milliseconds timeout)
{
    ClientCall call;
    call.url = url;
    call.timeout = timeout;
    const auto reply = run(call);
    const bool good = reply.whole && reply.status == 200;
    auto json = good ? nlohmann::json::parse(reply.body, nullptr, false) : nlohmann::json();
    return json.is_discarded() ? nlohmann::json() : json;
}

bool HttpClient::postJson(const std::string &url, const nlohmann::json &body, milliseconds timeout)
{
    ClientCall call;
    call.method = "POST";
    call.url = url;
    call.body = body.dump();
    call.timeout = timeout;
    const auto reply = run(call);
    return reply.whole && reply.status == 200;
}

} // namespace Fescuenotch::Standins
