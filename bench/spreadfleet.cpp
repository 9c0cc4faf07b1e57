#include "bench/spreadfleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace Fescuenotch::Bench {

namespace {

constexpr unsigned PlatformPort = 7000;
constexpr unsigned PlatformOperatorPort = 7001;
constexpr unsigned CallerPort = 8080;
constexpr unsigned OperatorPort = 8081;
constexpr unsigned PeerPort = 7400;
constexpr unsigned TargetPort = 9000;
constexpr unsigned FirstHost = 10; ///< last number of the first host in each data centre
constexpr unsigned BaseSlots = 10;
constexpr milliseconds ReadyWait{10'000}; ///< ms
constexpr milliseconds MetricsWait{3'000}; ///< ms

std::string at(const std::string &host, unsigned port)
{
    return host + ":" + std::to_string(port);
}

std::string serviceName(unsigned service)
{
    return "service-" + std::to_string(service);
}

std::string dataCentreName(unsigned number)
{
    return "region-" + std::to_string(number / 2) + "-dc-" + std::to_string(number);
}

Result<void> writeJson(const std::string &file, const nlohmann::json &json)
{
    std::ofstream out(file);
    out << json.dump();
    out.close();
    if (!out) {
        return fail(ErrorKind::InvalidInput, file + ": cannot be written", "give --out a folder that can be written");
    }
    return {};
}

} // namespace

SpreadFleet::SpreadFleet(const FleetSettings &settings)
    : m_settings(settings)
    , m_services(std::max(1U, settings.nodes / settings.targetsPerService))
{
    for (unsigned n = 0; n < settings.nodes; ++n) {
        FleetNode node;
        node.host = nodeAddress(n);
        node.dataCentre = dataCentreName(n % DataCentres);
        node.service = serviceName(n % m_services);
        node.logFile = settings.folder + "/node-" + std::to_string(n) + ".log";
        m_nodes.push_back(std::move(node));
    }
}

SpreadFleet::~SpreadFleet()
{
    killNodes();
}

std::string SpreadFleet::nodeAddress(unsigned number) const
{
    return m_settings.prefix + "." + std::to_string(number % DataCentres + 1) + "." + std::to_string(FirstHost + number / DataCentres);
}

// ---- documents --------------------------------------------------------------------------------------------------

nlohmann::json SpreadFleet::serviceDocument(unsigned service) const
{
    auto targets = nlohmann::json::array();
    for (const auto &node : m_nodes) {
        if (node.service == serviceName(service)) {
            targets.push_back({{"host", node.host},
                               {"data_centre", node.dataCentre},
                               {"address", at(node.host, TargetPort)},
                               {"slots", BaseSlots + m_changes % BaseSlots},
                               {"connections", 130}});
        }
    }
    return {{"profile", "mesh"}, {"targets", targets}};
}

nlohmann::json SpreadFleet::documents() const
{
    auto routes = nlohmann::json::array();
    nlohmann::json all;
    for (unsigned n = 0; n < m_services; ++n) {
        routes.push_back({{"path_prefix", "/" + serviceName(n)}, {"service", serviceName(n)}, {"rule", "read"}});
        all["service/" + serviceName(n)] = serviceDocument(n);
    }
    all["profile/mesh"] = {
        {"spread", "time"}, {"routes", routes}, {"rules", {{"read", {{"idempotent", true}, {"timeout_ms", 800}, {"max_attempts", 3}, {"class", "lookup"}}}}}};
    return all;
}

nlohmann::json SpreadFleet::hosts() const
{
    auto list = nlohmann::json::array();
    for (const auto &node : m_nodes) {
        list.push_back(
            {{"host", node.host}, {"data_centre", node.dataCentre}, {"service", node.service}, {"peer", at(node.host, PeerPort)}, {"state", "live"}});
    }
    return list;
}

// ---- processes --------------------------------------------------------------------------------------------------

Result<void> SpreadFleet::startPlatform()
{
    std::filesystem::remove_all(m_settings.folder);
    std::filesystem::create_directories(m_settings.folder);
    const std::string documentsFile = m_settings.folder + "/documents.json";
    const std::string hostsFile = m_settings.folder + "/hosts.json";
    BOOST_LEAF_CHECK(writeJson(documentsFile, documents()));
    BOOST_LEAF_CHECK(writeJson(hostsFile, hosts()));
    const std::string host = m_settings.prefix + ".0.1";
    Standins::ProcessCommand command{Standins::buildFolder() + "/fescuenotch-platform", {}, m_settings.folder + "/platform.log"};
    command.args = {"--listen", at(host, PlatformPort), "--operator", at(host, PlatformOperatorPort), "--documents", documentsFile, "--hosts", hostsFile};
    m_platform = std::make_unique<Standins::ChildProcess>(command);
    BOOST_LEAF_CHECK(m_platform->start());
    if (!m_platform->waitForText("ready", ReadyWait)) {
        return fail(ErrorKind::InvalidInput, "the platform stand-in did not start", "read " + command.logFile);
    }
    m_revision = platformStats().value("revision", std::uint64_t(0));
    return {};
}

Result<void> SpreadFleet::startNode(FleetNode &node)
{
    Standins::ProcessCommand command{Standins::buildFolder() + "/fescuenotch", {}, node.logFile};
    command.args = {"node",
                    "--host",
                    node.host,
                    "--data-centre",
                    node.dataCentre,
                    "--service",
                    node.service,
                    "--platform",
                    "http://" + at(m_settings.prefix + ".0.1", PlatformPort),
                    "--caller-listen",
                    at(node.host, CallerPort),
                    "--peer-listen",
                    at(node.host, PeerPort),
                    "--operator-listen",
                    at(node.host, OperatorPort),
                    "--spread-mode",
                    m_settings.spreadMode};
    std::error_code ec;
    const auto logSize = std::filesystem::file_size(node.logFile, ec);
    node.logRead = ec ? 0 : static_cast<std::size_t>(logSize);
    node.events.clear();
    node.process = std::make_unique<Standins::ChildProcess>(command);
    BOOST_LEAF_CHECK(node.process->start());
    node.stopped = false;
    return {};
}

Result<void> SpreadFleet::startNodes()
{
    for (auto &node : m_nodes) {
        const bool runs = node.process != nullptr && node.process->running();
        if (!runs) {
            BOOST_LEAF_CHECK(startNode(node));
        }
    }
    return {};
}

void SpreadFleet::killNodes()
{
    for (auto &node : m_nodes) {
        if (node.process != nullptr) {
            node.process->signal(SIGKILL);
        }
    }
    for (auto &node : m_nodes) {
        node.process.reset();
    }
}

Result<std::uint64_t> SpreadFleet::publishChange()
{
    ++m_changes;
    const unsigned service = m_changes % m_services;
    Standins::ClientCall call;
    call.method = "POST";
    call.url = "http://" + at(m_settings.prefix + ".0.1", PlatformOperatorPort) + "/publish";
    call.body = nlohmann::json{{"key", "service/" + serviceName(service)}, {"value", serviceDocument(service)}}.dump();
    const auto reply = m_client.run(call);
    const auto answer = nlohmann::json::parse(reply.body, nullptr, false);
    if (reply.status != 200 || !answer.is_object()) {
        return fail(ErrorKind::InvalidInput, "the platform stand-in refused a change: " + reply.body, "read " + m_settings.folder + "/platform.log");
    }
    m_revision = answer.value("revision", std::uint64_t(0));
    return m_revision;
}

// ---- readings ---------------------------------------------------------------------------------------------------

void SpreadFleet::readEvents()
{
    for (auto &node : m_nodes) {
        const std::string text = Standins::readFile(node.logFile, node.logRead);
        std::size_t from = 0;
        for (auto end = text.find('\n'); end != std::string::npos; end = text.find('\n', from)) {
            if (const auto event = parseInForceEvent(std::string_view(text).substr(from, end - from))) {
                node.events.push_back(*event);
            }
            from = end + 1;
        }
        node.logRead += from;
    }
}

FleetTotals SpreadFleet::totals()
{
    FleetTotals totals;
    totals.at = Clock::now();
    totals.platformCalls = platformStats().value("calls", 0.0);
    for (auto &node : m_nodes) {
        const bool answers = node.process != nullptr && node.process->running() && !node.stopped;
        if (!answers) {
            continue;
        }
        Standins::ClientCall call;
        call.url = "http://" + at(node.host, OperatorPort) + "/metrics";
        call.timeout = MetricsWait;
        const std::string text = m_client.run(call).body;
        const double fromPlatform = sumMetric(text, "fescuenotch_platform_bytes_total", "");
        totals.platformBytes += fromPlatform;
        totals.controlBytes += fromPlatform + sumMetric(text, "fescuenotch_control_bytes_total", "direction=\"out\"");
        totals.processorTime += processorTime(node.process->pid());
        totals.residentBytes += residentBytes(node.process->pid());
    }
    return totals;
}

nlohmann::json SpreadFleet::platformStats()
{
    return m_client.getJson("http://" + at(m_settings.prefix + ".0.1", PlatformOperatorPort) + "/stats");
}

void SpreadFleet::resetPlatformStats()
{
    m_client.postJson("http://" + at(m_settings.prefix + ".0.1", PlatformOperatorPort) + "/reset", nlohmann::json::object());
}

} // namespace Fescuenotch::Bench
