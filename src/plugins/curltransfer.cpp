#include "plugins/curltransfer.h"

#include <boost/algorithm/string/trim.hpp>

#include <charconv>
#include <mutex>
#include <new>

namespace Fescuenotch {

namespace {

constexpr long IdleConnections = 1; ///< connections kept by one transfer object

void initialiseLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

} // namespace

void CurlHeaders::add(const std::string &line)
{
    auto *head = curl_slist_append(m_list.get(), line.c_str());
    if (head == nullptr) {
        throw std::bad_alloc();
    }
    static_cast<void>(m_list.release());
    m_list.reset(head);
}

curl_slist *CurlHeaders::list() const
{
    return m_list.get();
}

void CurlHeaders::Deleter::operator()(curl_slist *list) const
{
    curl_slist_free_all(list);
}

CurlTransfer::CurlTransfer()
{
    initialiseLibrary();
    m_easy = curl_easy_init();
    m_multi = curl_multi_init();
    if (m_easy == nullptr || m_multi == nullptr) {
        throw std::bad_alloc();
    }
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, IdleConnections);
    reset();
}

CurlTransfer::~CurlTransfer()
{
    curl_easy_cleanup(m_easy);
    curl_multi_cleanup(m_multi);
}

CURL *CurlTransfer::handle() const
{
    return m_easy;
}

void CurlTransfer::reset()
{
    curl_easy_reset(m_easy);
    setCurlOption(m_easy, CURLOPT_NOSIGNAL, 1L);
    setCurlOption(m_easy, CURLOPT_PROXY, "");
    setCurlOption(m_easy, CURLOPT_PROTOCOLS_STR, "http");
    setCurlOption(m_easy, CURLOPT_FOLLOWLOCATION, 0L);
    setCurlOption(m_easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    setCurlOption(m_easy, CURLOPT_TCP_NODELAY, 1L);
}

CURLcode CurlTransfer::run(const std::function<bool()> &stop, milliseconds pollPeriod)
{
    if (curl_multi_add_handle(m_multi, m_easy) != CURLM_OK) {
        return CURLE_FAILED_INIT;
    }
    const auto code = drive(stop, pollPeriod);
    curl_multi_remove_handle(m_multi, m_easy);
    return code;
}

CURLcode CurlTransfer::drive(const std::function<bool()> &stop, milliseconds pollPeriod)
{
    int running = 1;
    while (curl_multi_perform(m_multi, &running) == CURLM_OK) {
        if (running == 0) {
            return finished();
        }
        if (stop()) {
            return CURLE_ABORTED_BY_CALLBACK;
        }
        if (curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(pollPeriod.count()), nullptr) != CURLM_OK) {
            break;
        }
    }
    return CURLE_FAILED_INIT;
}

CURLcode CurlTransfer::finished() const
{
    int left = 0;
    const CURLMsg *message = curl_multi_info_read(m_multi, &left);
    return message != nullptr && message->msg == CURLMSG_DONE ? message->data.result : CURLE_FAILED_INIT;
}

void CurlTransfer::wake()
{
    curl_multi_wakeup(m_multi);
}

std::optional<Header> parseHeaderLine(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0 || line.substr(0, colon).find_first_of(" \t") != std::string_view::npos) {
        return std::nullopt;
    }
    return Header{std::string(line.substr(0, colon)), boost::algorithm::trim_copy(std::string(line.substr(colon + 1)))};
}

bool isStatusLine(std::string_view line)
{
    return line.rfind("HTTP/", 0) == 0;
}

unsigned statusOfLine(std::string_view line)
{
    const auto space = line.find(' ');
    unsigned status = 0;
    if (space != std::string_view::npos) {
        std::from_chars(line.data() + space + 1, line.data() + line.size(), status);
    }
    return status;
}

} // namespace Fescuenotch
