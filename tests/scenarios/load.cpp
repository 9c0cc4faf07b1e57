#include "tests/scenarios/load.h"

#include "standins/archive.h"
#include "standins/httpclient.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Fescuenotch::Scenarios {

using Standins::ClientCall;
using Standins::ClientReply;
using Standins::HttpClient;

namespace {

constexpr unsigned Threads = 8;
constexpr milliseconds CallLimit{20'000}; ///< ms
constexpr std::size_t MaxWrong = 20; ///< wrong answers kept

const char *endName(CallEnd end)
{
    switch (end) {
    case CallEnd::Ran:
        return "ran";
    case CallEnd::NotRun:
        return "not-run";
    case CallEnd::Unknown:
        return "unknown";
    case CallEnd::Cut:
        return "cut";
    case CallEnd::Unreachable:
        return "unreachable";
    }
    return "";
}

} // namespace

/// Makes calls and checks their answers; one for each thread.
class CallMaker
{
public:
    explicit CallMaker(const LoadSettings &settings)
        : m_settings(settings)
    {
    }

    struct Made {
        CallEnd end = CallEnd::Cut;
        std::string token;
        std::string wrong; ///< empty: right
        std::string reason;
    };

    Made call(std::uint64_t number)
    {
        Made made;
        made.token = m_settings.name + "-" + std::to_string(number);
        std::uint64_t received = 0;
        std::string contentFault;
        ClientCall call = makeCall(made.token, number);
        if (m_settings.kind == LoadKind::Archives) {
            call.onBody = [&](std::span<const char> piece) {
                if (const auto at = Standins::archiveFault(received, piece)) {
                    contentFault = "byte " + std::to_string(*at) + " is wrong";
                }
                received += piece.size();
                return true;
            };
        }
        const auto reply = m_client.run(call);
        made.end = endOf(reply);
        made.reason = reasonOf(reply);
        if (made.end == CallEnd::Ran) {
            made.wrong = m_settings.kind == LoadKind::Archives ? wrongArchive(received, contentFault) : wrongText(reply, made.token);
        }
        return made;
    }

private:
    ClientCall makeCall(const std::string &token, std::uint64_t number) const
    {
        ClientCall call;
        const auto &url = m_settings.urls[number % m_settings.urls.size()];
        call.timeout = CallLimit;
        switch (m_settings.kind) {
        case LoadKind::Reads:
            call.url = url + "/echo/" + token;
            break;
        case LoadKind::Writes:
            call.method = "POST";
            call.url = url + "/run/" + token;
            call.body = token;
            break;
        case LoadKind::Archives:
            call.url = url + "/archive/" + std::to_string(m_settings.archiveBytes);
            break;
        }
        return call;
    }

    static CallEnd endOf(const ClientReply &reply)
    {
        if (!reply.connected) {
            return CallEnd::Unreachable;
        }
        const auto outcome = reply.header("Fescuenotch-Outcome");
        if (!reply.whole || outcome.empty()) {
            return CallEnd::Cut;
        }
        return outcome == "ran" ? CallEnd::Ran : outcome == "not-run" ? CallEnd::NotRun : CallEnd::Unknown;
    }

    static std::string reasonOf(const ClientReply &reply)
    {
        if (!reply.whole) {
            return reply.error;
        }
        const auto json = nlohmann::json::parse(reply.body, nullptr, false);
        return json.is_object() ? json.value("reason", "") : "";
    }

    static std::string wrongText(const ClientReply &reply, const std::string &token)
    {
        const bool right = reply.status == 200 && reply.body == token;
        return right ? "" : token + " got status " + std::to_string(reply.status) + " and '" + reply.body.substr(0, 60) + "'";
    }

    std::string wrongArchive(std::uint64_t received, const std::string &contentFault) const
    {
        if (!contentFault.empty() || received == m_settings.archiveBytes) {
            return contentFault;
        }
        return std::to_string(received) + " bytes of " + std::to_string(m_settings.archiveBytes) + " passed as whole";
    }

    const LoadSettings &m_settings;
    HttpClient m_client;
};

std::uint64_t LoadResult::count(CallEnd end) const
{
    const auto it = ends.find(end);
    return it == ends.end() ? 0 : it->second;
}

std::string LoadResult::summary() const
{
    std::string text = std::to_string(sent) + " sent";
    for (const auto &[end, n] : ends) {
        text += ", " + std::to_string(n) + " " + endName(end);
    }
    for (const auto &[reason, n] : reasons) {
        text += ", " + std::to_string(n) + " x '" + reason + "'";
    }
    return text;
}

Load::Load(const LoadSettings &settings)
    : m_settings(settings)
    , m_start(Clock::now())
{
    for (unsigned n = 0; n < Threads; ++n) {
        m_threads.emplace_back([this, n] { run(n); });
    }
}

Load::~Load()
{
    m_stopping = true;
    finish();
}

const LoadResult &Load::finish()
{
    m_stopping = m_stopping || m_settings.count == 0;
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    return m_result;
}

void Load::run(unsigned)
{
    CallMaker maker(m_settings);
    while (!m_stopping) {
        const auto number = m_next++;
        if (m_settings.count != 0 && number >= m_settings.count) {
            return;
        }
        const auto due = m_start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(number) / m_settings.rate));
        std::this_thread::sleep_until(due);
        callOnce(maker, number);
    }
}

void Load::callOnce(CallMaker &maker, std::uint64_t number)
{
    const auto made = maker.call(number);
    const std::lock_guard guard(m_lock);
    ++m_result.sent;
    ++m_result.ends[made.end];
    if (m_settings.kind == LoadKind::Writes) {
        m_result.writes[made.token] = made.end;
    }
    if (!made.wrong.empty() && m_result.wrong.size() < MaxWrong) {
        m_result.wrong.push_back(made.wrong);
    }
    if (made.end != CallEnd::Ran && !made.reason.empty()) {
        ++m_result.reasons[made.reason];
    }
}

} // namespace Fescuenotch::Scenarios
