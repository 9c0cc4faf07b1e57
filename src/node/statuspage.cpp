#include "node/statuspage.h"

#include <nlohmann/json.hpp>

namespace Fescuenotch {

namespace {

using Json = nlohmann::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

Json toJson(const SpreadLine &line)
{
    return {
        {"profile", line.profile},
        {"data_centre", line.dataCentre},
        {"epoch", line.newest.epoch},
        {"revision", line.newest.revision},
        {"in_force", line.inForce},
        {"behind", line.behind},
        {"silent", line.silent},
        {"rejecting", line.rejecting},
        {"lag_ms", line.lag.count()},
    };
}

const char *stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    }
    return "unknown";
}

Json memberCounts(const std::vector<MemberView> &members)
{
    Json counts = {{"alive", 0}, {"suspect", 0}, {"dead", 0}, {"leaving", 0}};
    for (const auto &member : members) {
        auto &count = counts[stateName(member.state)];
        count = count.get<unsigned>() + 1;
    }
    return counts;
}

Json inForceJson(const SnapshotPtr &snapshot)
{
    Json list = Json::array();
    if (snapshot == nullptr) {
        return list;
    }
    Json services = Json::object();
    for (const auto &[name, version] : snapshot->serviceVersions) {
        services[name] = version.revision;
    }
    list.push_back({
        {"profile", snapshot->profileName},
        {"epoch", snapshot->version.epoch},
        {"revision", snapshot->version.revision},
        {"profile_revision", snapshot->profileVersion.revision},
        {"services", services},
    });
    return list;
}

class StatusPages final : public OperatorHandler
{
public:
    explicit StatusPages(const StatusDependencies &dependencies)
        : m_dependencies(dependencies)
    {
    }

    OperatorAnswer answer(const std::string &path) override
    {
        if (path == "/healthz") {
            return {StatusOk, "application/json", "{\"alive\":true}\n"};
        }
        if (path == "/readyz") {
            return ready();
        }
        if (path == "/status") {
            return {StatusOk, "application/json", status().dump() + "\n"};
        }
        if (path == "/metrics") {
            return {StatusOk, "text/plain; version=0.0.4", m_dependencies.metrics->text()};
        }
        return {StatusNotFound, "application/json", "{\"reason\":\"no such page\",\"remedy\":\"ask for /healthz, /readyz, /status or /metrics\"}\n"};
    }

private:
    OperatorAnswer ready() const
    {
        const auto spread = m_dependencies.spread->status();
        std::string reason;
        if (m_dependencies.leaving()) {
            reason = "leaving";
        } else if (spread.inForce == nullptr) {
            reason = "no-profile-in-force";
        } else if (!spread.viewTrusted) {
            reason = "view-not-trusted";
        }
        const Json page = {{"ready", reason.empty()}, {"reason", reason}};
        return {reason.empty() ? StatusOk : StatusUnavailable, "application/json", page.dump() + "\n"};
    }

    Json status() const
    {
        const auto spread = m_dependencies.spread->status();
        Json rejected = Json::array();
        for (const auto &record : spread.rejected) {
            rejected.push_back({{"key", record.key}, {"epoch", record.version.epoch}, {"revision", record.version.revision}, {"reason", record.reason}});
        }
        Json lines = Json::array();
        for (const auto &line : spread.report) {
            lines.push_back(toJson(line));
        }
        return {
            {"host", m_dependencies.settings->host},
            {"data_centre", m_dependencies.settings->dataCentre},
            {"service", m_dependencies.settings->service},
            {"incarnation", m_dependencies.incarnation},
            {"in_force", inForceJson(spread.inForce)},
            {"rejected", rejected},
            {"spread", lines},
            {"members", memberCounts(spread.members)},
            {"high_water", {{"epoch", spread.highWater.epoch}, {"revision", spread.highWater.revision}}},
            {"stale_pages", spread.stalePages},
            {"reader", spread.reader},
            {"view_trusted", spread.viewTrusted},
            {"leaving", m_dependencies.leaving()},
            {"in_flight", m_dependencies.inFlight()},
        };
    }

    const StatusDependencies m_dependencies;
};

} // namespace

std::unique_ptr<OperatorHandler> makeStatusPages(const StatusDependencies &dependencies)
{
    return std::make_unique<StatusPages>(dependencies);
}

} // namespace Fescuenotch
