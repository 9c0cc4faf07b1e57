#include "tests/support/storestandin.h"

#include <boost/beast/core/detail/base64.hpp>

#include <nlohmann/json.hpp>

namespace Fescuenotch::Tests {

namespace {

using Standins::jsonReply;
using Standins::ServerCall;
using Standins::ServerReply;

std::string encode(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string queryValue(const ServerCall &call, const std::string &name)
{
    const auto it = call.query.find(name);
    return it == call.query.end() ? std::string() : it->second;
}

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

nlohmann::json routeJson(const std::string &name, const std::string &prefix, const std::string &type, const std::string &service, milliseconds timeout)
{
    return {{"name", name},
            {"host", "desk"},
            {"prefix", prefix},
            {"route_type", type},
            {"timeout", std::to_string(timeout.count()) + "ms"},
            {"latency_goal", std::to_string(timeout.count() / 2) + "ms"},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 2}};
}

std::string versionText(std::uint64_t version)
{
    std::array<char, 9> text{};
    std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version));
    return text.data();
}

} // namespace

StoreStandin::StoreStandin(const Endpoint &endpoint)
    : m_endpoint(endpoint)
    , m_server(std::make_unique<Standins::HttpServer>(Standins::ServerSettings{endpoint, 64}, [this](const ServerCall &call) { return answer(call); }))
{
    if (const auto error = errorOf([&] { return m_server->start(); })) {
        throw std::runtime_error(describe(*error));
    }
}

StoreStandin::~StoreStandin()
{
    fault(StoreFault::Lost);
}

std::uint64_t StoreStandin::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = {value, ++m_revision};
    m_changed.notify_all();
    return m_revision;
}

std::uint64_t StoreStandin::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = {std::nullopt, ++m_revision};
    m_changed.notify_all();
    return m_revision;
}

void StoreStandin::fault(StoreFault kind)
{
    const std::lock_guard lock(m_mutex);
    m_fault = kind;
    m_changed.notify_all();
}

void StoreStandin::forgetHistory()
{
    const std::lock_guard lock(m_mutex);
    m_oldestHistory = ++m_revision;
    m_changed.notify_all();
}

void StoreStandin::snapshot()
{
    const std::lock_guard lock(m_mutex);
    m_copiedItems = m_items;
    m_copiedRevision = m_revision;
}

void StoreStandin::answerStaleReadsFromSnapshot()
{
    const std::lock_guard lock(m_mutex);
    m_staleReadsFromSnapshot = true;
}

void StoreStandin::restore()
{
    const std::lock_guard lock(m_mutex);
    m_items = m_copiedItems;
    m_revision = m_copiedRevision;
    m_statedEra = std::to_string(++m_era);
    m_changed.notify_all();
}

void StoreStandin::stateEra(const std::optional<std::string> &value)
{
    const std::lock_guard lock(m_mutex);
    m_statedEra = value;
}

void StoreStandin::setPageItems(std::size_t items)
{
    const std::lock_guard lock(m_mutex);
    m_pageItems = items;
}

unsigned StoreStandin::calls(const std::string &path) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_calls.find(path);
    return it == m_calls.end() ? 0 : it->second;
}

ServerReply StoreStandin::answer(const ServerCall &call)
{
    auto reply = answerWithoutEra(call);
    const std::lock_guard lock(m_mutex);
    if (m_statedEra) {
        reply.headers.push_back({"Store-Era", *m_statedEra});
    }
    return reply;
}

ServerReply StoreStandin::answerWithoutEra(const ServerCall &call)
{
    StoreFault fault = StoreFault::None;
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls[call.path];
        fault = m_fault;
    }
    if (fault == StoreFault::Busy || fault == StoreFault::Limited) {
        return jsonReply(fault == StoreFault::Busy ? 503 : 429, "{}");
    }
    if (fault == StoreFault::Lost) {
        ServerReply reply;
        reply.dropConnection = true;
        return reply;
    }
    if (call.path == "/kv-key") {
        return answerKey(call);
    }
    return call.path == "/kv-range" ? answerRange(call) : answerWatch(call);
}

ServerReply StoreStandin::answerKey(const ServerCall &call)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_items.find(queryValue(call, "key"));
    if (it == m_items.end() || !it->second.value) {
        return jsonReply(404, "{}");
    }
    const nlohmann::json json{{"key", it->first}, {"value", encode(*it->second.value)}, {"revision", it->second.revision}, {"as_of", m_revision}};
    return jsonReply(200, json.dump());
}

ServerReply StoreStandin::answerRange(const ServerCall &call)
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json json{{"items", nlohmann::json::array()}, {"has_more", false}, {"as_of", m_revision}};
    const bool fromSnapshot = m_staleReadsFromSnapshot && queryValue(call, "allow_stale") == "1";
    for (const auto &[key, item] : fromSnapshot ? m_copiedItems : m_items) {
        if (!item.value || !hasPrefix(key, queryValue(call, "prefix")) || key <= queryValue(call, "after")) {
            continue;
        }
        if (json["items"].size() == m_pageItems) {
            json["has_more"] = true;
            break;
        }
        json["items"].push_back({{"key", key}, {"value", encode(*item.value)}, {"revision", item.revision}, {"lease", 1}});
    }
    return jsonReply(200, json.dump());
}

ServerReply StoreStandin::answerWatch(const ServerCall &call)
{
    const auto after = std::stoull(queryValue(call, "after"));
    const auto until = Clock::now() + milliseconds(std::stoll(queryValue(call, "wait_ms")));
    std::unique_lock lock(m_mutex);
    const auto events = [&] {
        auto list = nlohmann::json::array();
        for (const auto &[key, item] : m_items) {
            if (item.revision > after && item.value) {
                list.push_back({{"key", key}, {"value", encode(*item.value)}, {"revision", item.revision}});
            } else if (item.revision > after) {
                list.push_back({{"key", key}, {"revision", item.revision}, {"deleted", true}});
            }
        }
        return list;
    };
    const auto era = m_era;
    const auto historyIsGone = [&] { return after < m_oldestHistory || after > m_revision; };
    m_changed.wait_until(lock, until, [&] { return era != m_era || historyIsGone() || m_fault != StoreFault::None || !events().empty(); });
    if (m_fault != StoreFault::None || era != m_era) {
        ServerReply reply;
        reply.dropConnection = true;
        return reply;
    }
    if (historyIsGone()) {
        return jsonReply(410, nlohmann::json{{"as_of", m_revision}}.dump());
    }
    return jsonReply(200, nlohmann::json{{"events", events()}, {"as_of", m_revision}}.dump());
}

std::string entryText(const std::string &service, const Endpoint &address, const std::string &zone, const std::string &state)
{
    return entryText(service, address, zone, state, EntryStatement{});
}

std::string entryText(const std::string &service, const Endpoint &address, const std::string &zone, const std::string &state, const EntryStatement &statement)
{
    const nlohmann::json json{{"service", service},
                              {"address", toString(address)},
                              {"zone", zone},
                              {"version", "v1"},
                              {"max_concurrency", 4},
                              {"state", state},
                              {"cold_remaining", "0ms"},
                              {"sequence", statement.sequence},
                              {"born", statement.bornMs}};
    return json.dump();
}

std::string configurationText(std::uint64_t version, const std::string &readService, milliseconds timeout)
{
    nlohmann::json json{{"version", versionText(version)},
                        {"services", {{{"name", "desk"}}, {{"name", "feed"}}}},
                        {"limits", {{"max_header_bytes", 16'384}, {"max_body_bytes", 8'388'608}, {"header_timeout", "1s"}, {"idle_timeout", "5s"}}}};
    json["routes"] = {routeJson("read", "/read/", "idempotent", readService, timeout),
                      routeJson("file", "/file/", "non_idempotent", "desk", timeout),
                      routeJson("feed", "/feed/", "download", "feed", timeout)};
    return json.dump();
}

} // namespace Fescuenotch::Tests
