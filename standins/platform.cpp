#include "standins/platform.h"

#include "standins/program.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <thread>

namespace Fescuenotch::Standins {

namespace {

constexpr milliseconds WatchCheck{200}; ///< ms; between looks at whether the watcher is still there
constexpr std::int64_t LongestWait = 300'000; ///< ms

std::int64_t numberOf(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto it = query.find(name);
    std::int64_t n = 0;
    if (it != query.end()) {
        std::from_chars(it->second.data(), it->second.data() + it->second.size(), n);
    }
    return std::max<std::int64_t>(n, 0);
}

ServerReply errorReply(unsigned status, const std::string &reason)
{
    return jsonReply(status, nlohmann::json{{"reason", reason}}.dump());
}

} // namespace

Platform::Platform(const PlatformSettings &settings)
    : m_settings(settings)
{
}

std::uint64_t Platform::publish(const std::string &key, const nlohmann::json &value)
{
    const std::lock_guard guard(m_lock);
    const auto revision = (m_log.empty() ? 0 : m_log.back().revision) + 1;
    m_log.push_back({revision, key, value});
    m_changed.notify_all();
    return revision;
}

void Platform::setHosts(const nlohmann::json &hosts)
{
    const std::lock_guard guard(m_lock);
    m_hosts = hosts;
    ++m_hostsRevision;
}

// ---- [read protocol] --------------------------------------------------------------------------------------------

ServerReply Platform::answer(const ServerCall &call)
{
    const bool config = call.path == "/v1/config";
    if (call.method != "GET" || (!config && call.path != "/v1/hosts")) {
        return errorReply(404, "only GET /v1/config and GET /v1/hosts are answered");
    }
    if (const auto status = admit(config)) {
        return refusal(status);
    }
    Question question;
    question.after = static_cast<std::uint64_t>(numberOf(call.query, "after"));
    question.wait = milliseconds(std::min(numberOf(call.query, "wait_ms"), LongestWait));
    return config ? answerConfig(call, question) : answerHosts();
}

ServerReply Platform::refusal(unsigned status)
{
    auto reply = errorReply(status, status == 429 ? "more calls than the rate" : "outage");
    reply.headers.push_back({"Retry-After", "1"});
    return reply;
}

unsigned Platform::admit(bool config)
{
    std::unique_lock guard(m_lock);
    const auto now = std::chrono::duration_cast<seconds>(Clock::now().time_since_epoch()).count();
    if (now != m_stats.second) {
        m_stats.second = now;
        m_stats.currentSecond = 0;
    }
    ++m_stats.calls;
    ++(config ? m_stats.configCalls : m_stats.hostsCalls);
    m_stats.busiestSecond = std::max(m_stats.busiestSecond, ++m_stats.currentSecond);
    if (m_stats.currentSecond > m_settings.rate) {
        ++m_stats.limited;
        return 429;
    }
    if (m_outage) {
        ++m_stats.outage;
        return 503;
    }
    const auto delay = m_delay;
    guard.unlock();
    std::this_thread::sleep_for(delay);
    return 0;
}

std::uint64_t Platform::visibleRevision() const
{
    const auto newest = m_log.empty() ? 0 : m_log.back().revision;
    return m_stale != 0 ? std::min(m_stale, newest) : newest;
}

ServerReply Platform::answerConfig(const ServerCall &call, const Question &question)
{
    std::unique_lock guard(m_lock);
    const auto until = Clock::now() + question.wait;
    const auto epoch = m_epoch;
    const auto quiet = [&] { return !m_outage && epoch == m_epoch && question.after == visibleRevision(); };
    m_stats.waitingMost = std::max(m_stats.waitingMost, ++m_stats.waiting);
    while (quiet() && Clock::now() < until && !call.callerLeft()) {
        m_changed.wait_until(guard, std::min(until, Clock::now() + WatchCheck));
    }
    --m_stats.waiting;
    if (m_outage) {
        ++m_stats.outage;
        return refusal(503);
    }
    return jsonReply(200, page(question).dump());
}

std::vector<PlatformChange> Platform::changesAfter(std::uint64_t after, bool complete) const
{
    std::map<std::string, const PlatformChange *> newest;
    for (const auto &change : m_log) {
        if (change.revision <= visibleRevision()) {
            newest[change.key] = &change;
        }
    }
    std::vector<PlatformChange> changes;
    for (const auto &[key, change] : newest) {
        const bool wanted = complete ? !change->value.is_null() : change->revision > after;
        if (wanted) {
            changes.push_back(*change);
        }
    }
    std::sort(changes.begin(), changes.end(), [](const auto &a, const auto &b) { return a.revision < b.revision; });
    return changes;
}

nlohmann::json Platform::page(const Question &question) const
{
    const bool complete = question.after == 0 || question.after > visibleRevision();
    nlohmann::json answer{{"epoch", m_epoch}, {"revision", visibleRevision()}, {"complete", complete}, {"more", false}};
    answer["changes"] = nlohmann::json::array();
    std::size_t bytes = 0;
    for (const auto &change : changesAfter(question.after, complete)) {
        bytes += change.value.dump().size();
        if (bytes > m_settings.pageBytes && !answer["changes"].empty()) {
            answer["more"] = true;
            break;
        }
        answer["changes"].push_back({{"key", change.key}, {"revision", change.revision}, {"value", change.value}});
    }
    return answer;
}

ServerReply Platform::answerHosts()
{
    const std::lock_guard guard(m_lock);
    return jsonReply(200, nlohmann::json{{"revision", m_hostsRevision}, {"hosts", m_hosts}}.dump());
}

// ---- [operator port] --------------------------------------------------------------------------------------------

ServerReply Platform::operate(const ServerCall &call)
{
    if (call.method == "GET" && call.path == "/stats") {
        return jsonReply(200, statsJson().dump());
    }
    if (call.method == "POST" && call.path == "/publish") {
        return operatePublish(call.body);
    }
    if (call.method == "POST" && call.path == "/hosts") {
        return operateHosts(call.body);
    }
    if (call.method == "POST" && call.path == "/fault") {
        return operateFault(call.body);
    }
    if (call.method == "POST" && call.path == "/reset") {
        const std::lock_guard guard(m_lock);
        const auto waiting = m_stats.waiting;
        m_stats = {};
        m_stats.waiting = waiting;
        m_stats.waitingMost = waiting;
        return jsonReply(200, "{}");
    }
    return errorReply(404, "use POST /publish, /hosts, /fault, /reset or GET /stats");
}

ServerReply Platform::operatePublish(const std::string &body)
{
    auto changes = nlohmann::json::parse(body, nullptr, false);
    if (changes.is_object()) {
        changes = nlohmann::json::array({changes});
    }
    const auto isChange = [](const nlohmann::json &it) { return it.is_object() && it.contains("value") && it.contains("key") && it["key"].is_string(); };
    if (!changes.is_array() || !std::all_of(changes.begin(), changes.end(), isChange)) {
        return errorReply(400, "send {\"key\":..,\"value\":..} or a list of them");
    }
    std::uint64_t revision = 0;
    for (const auto &change : changes) {
        revision = publish(change["key"].get<std::string>(), change["value"]);
    }
    return jsonReply(200, nlohmann::json{{"revision", revision}}.dump());
}

ServerReply Platform::operateHosts(const std::string &body)
{
    const auto hosts = nlohmann::json::parse(body, nullptr, false);
    if (!hosts.is_array()) {
        return errorReply(400, "send the list of hosts as a JSON array");
    }
    setHosts(hosts);
    return jsonReply(200, "{}");
}

ServerReply Platform::operateFault(const std::string &body)
{
    const auto fault = parseObject(body);
    if (fault.is_null()) {
        return errorReply(400, "send an object with outage, stale, restore, epoch, delay_ms or rate");
    }
    const std::lock_guard guard(m_lock);
    m_outage = fault.value("outage", m_outage);
    m_stale = fault.value("stale", m_stale);
    m_epoch = fault.value("epoch", m_epoch);
    m_delay = milliseconds(fault.value("delay_ms", m_delay.count()));
    m_settings.rate = fault.value("rate", m_settings.rate);
    if (fault.contains("restore")) {
        restore(fault["restore"].get<std::uint64_t>());
    }
    m_changed.notify_all();
    return jsonReply(200, nlohmann::json{{"epoch", m_epoch}, {"revision", visibleRevision()}}.dump());
}

void Platform::restore(std::uint64_t revision)
{
    std::erase_if(m_log, [&](const PlatformChange &change) { return change.revision > revision; });
    m_stale = 0;
    ++m_epoch;
}

nlohmann::json Platform::statsJson()
{
    const std::lock_guard guard(m_lock);
    return {{"calls", m_stats.calls},
            {"config", m_stats.configCalls},
            {"hosts", m_stats.hostsCalls},
            {"limited", m_stats.limited},
            {"outage", m_stats.outage},
            {"busiest_second", m_stats.busiestSecond},
            {"waiting", m_stats.waiting},
            {"waiting_most", m_stats.waitingMost},
            {"epoch", m_epoch},
            {"revision", visibleRevision()}};
}

} // namespace Fescuenotch::Standins
