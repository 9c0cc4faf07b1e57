// Reads the platform by libcurl: one connection for the configuration, one for the host list.
#include "kernel/plugin.h"
#include "plugins/curltransfer.h"
#include "plugins/interfaces.h"

#include <atomic>
#include <charconv>
#include <mutex>

namespace Fescuenotch {

namespace {

constexpr milliseconds AnswerLimit{2'000}; ///< ms; an answer is this much later than the wait that was asked for, at most
constexpr milliseconds ConnectLimit{1'000}; ///< ms
constexpr milliseconds StopPoll{200}; ///< ms; between looks at the stop flag, besides being woken
constexpr long IdleConnectionAge = 10; ///< s; an older idle connection is not trusted
constexpr std::size_t MaxAnswerBytes = 33'554'432; ///< bytes; page of values up to 1 MiB each

struct Answer {
    std::string body;
    long status = 0;
    milliseconds retryAfter{0}; ///< ms
};

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *cls)
{
    auto &body = static_cast<Answer *>(cls)->body;
    if (body.size() + size * count > MaxAnswerBytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *cls)
{
    const auto header = parseHeaderLine({data, size * count});
    unsigned n = 0;
    if (header && sameHeaderName(header->name, "Retry-After")
        && std::from_chars(header->value.data(), header->value.data() + header->value.size(), n).ec == std::errc()) {
        static_cast<Answer *>(cls)->retryAfter = seconds(n);
    }
    return size * count;
}

/// One kind of call with a connection of its own.
class PlatformCall
{
public:
    Result<std::string> get(const std::string &url, milliseconds limit, const std::atomic<bool> &stopped)
    {
        const std::lock_guard lock(m_mutex);
        Answer answer;
        m_transfer.reset();
        auto *handle = m_transfer.handle();
        setCurlOption(handle, CURLOPT_URL, url.c_str());
        setCurlOption(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(limit.count()));
        setCurlOption(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(ConnectLimit.count()));
        setCurlOption(handle, CURLOPT_MAXAGE_CONN, IdleConnectionAge);
        setCurlOption(handle, CURLOPT_WRITEFUNCTION, onBody);
        setCurlOption(handle, CURLOPT_WRITEDATA, &answer);
        setCurlOption(handle, CURLOPT_HEADERFUNCTION, onHeader);
        setCurlOption(handle, CURLOPT_HEADERDATA, &answer);
        const auto code = m_transfer.run([&] { return stopped.load(); }, StopPoll);
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.status);
        return checked(code, std::move(answer), url);
    }

    void wake()
    {
        m_transfer.wake();
    }

private:
    static Result<std::string> checked(CURLcode code, Answer answer, const std::string &url)
    {
        if (code != CURLE_OK) {
            return failed(ErrorKind::PlatformUnavailable, url + ": " + curl_easy_strerror(code), answer.retryAfter);
        }
        if (answer.status == 429) {
            return failed(ErrorKind::PlatformLimited, url + ": the platform limits calls (429)", answer.retryAfter);
        }
        if (answer.status != 200) {
            return failed(ErrorKind::PlatformUnavailable, url + ": status " + std::to_string(answer.status), answer.retryAfter);
        }
        return std::move(answer.body);
    }

    static leaf::error_id failed(ErrorKind kind, std::string what, milliseconds retryAfter)
    {
        const std::string remedy = kind == ErrorKind::PlatformLimited ? "lower --platform-share, or raise the platform's rate and --platform-rate"
                                                                      : "check --platform and that the platform answers; what is in force stays in force";
        return leaf::new_error(Error{kind, std::move(what), remedy, retryAfter});
    }

    std::mutex m_mutex; ///< one call at a time
    CurlTransfer m_transfer;
};

class HttpPlatformReader final : public PlatformReader
{
public:
    explicit HttpPlatformReader(const NodeContext &context)
        : m_platform(context.settings->platform)
        , m_bytes(context.metrics->counter("fescuenotch_platform_bytes_total", "Bytes of the platform's answers, without HTTP headers."))
    {
    }

    Result<ConfigPage> watchConfig(std::uint64_t after, milliseconds wait) override
    {
        const auto url = m_platform + "/v1/config?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
        BOOST_LEAF_AUTO(text, m_config.get(url, wait + AnswerLimit, m_stopped));
        m_bytes.add(text.size());
        BOOST_LEAF_AUTO(page, parseConfigPage(text));
        page.after = after;
        return page;
    }

    Result<HostList> hosts() override
    {
        BOOST_LEAF_AUTO(text, m_hosts.get(m_platform + "/v1/hosts", AnswerLimit, m_stopped));
        m_bytes.add(text.size());
        return parseHostList(text);
    }

    void interrupt() override
    {
        m_stopped = true;
        m_config.wake();
        m_hosts.wake();
    }

private:
    std::string m_platform;
    Counter &m_bytes;
    std::atomic<bool> m_stopped{false};
    PlatformCall m_config;
    PlatformCall m_hosts;
};

const PluginRegistration<PlatformReader> registration("http", [](const NodeContext &context) { return std::make_unique<HttpPlatformReader>(context); });

} // namespace

} // namespace Fescuenotch
