#include "tests/forward/meshfixture.h"

#include "kernel/logging.h"
#include "platform/documents.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace Fescuenotch::Tests {

namespace {

constexpr std::uint16_t TargetPort = 9'701;
constexpr std::uint16_t CallerPort = 9'702;
constexpr std::uint16_t PeerPort = 9'703;
constexpr std::uint16_t HealthPort = 9'704;
constexpr std::uint16_t StorePort = 9'705;

constexpr unsigned FirstProcessNetwork = 30; ///< second byte of the addresses; other tests use lower ones
constexpr unsigned ProcessNetworks = 200;

/// Each fixture uses other addresses, so that sockets left over from the previous one cannot interfere.
unsigned nextBase()
{
    static std::atomic<unsigned> base{1};
    return base++;
}

std::string hostAddress(unsigned base, std::size_t n)
{
    // By process, so that several test programs can run at the same time.
    const auto process = FirstProcessNetwork + static_cast<unsigned>(::getpid()) % ProcessNetworks;
    return "127." + std::to_string(process) + "." + std::to_string(base) + "." + std::to_string(n + 1);
}

/// Uses the platform's documents, but the header names of this fixture.
class FixedAdapter final : public PlatformAdapter
{
public:
    explicit FixedAdapter(DeploymentSettings settings)
        : m_settings(std::move(settings))
    {
    }

    Result<DeploymentSettings> readSettings() override
    {
        return m_settings;
    }

    Result<DeploymentSettings> readSettingsFile(const std::string &) const override
    {
        return m_settings;
    }

    std::string settingsPath() const override
    {
        return {};
    }

    std::vector<std::string> environmentVariables() const override
    {
        return {};
    }

    const PlatformHeaderNames &headers() const override
    {
        static const PlatformHeaderNames names{RequestIdHeader,
                                               TimeLeftHeader,
                                               CallerServiceHeader,
                                               TargetIdHeader,
                                               NotRunHeader,
                                               SignatureHeader,
                                               LeavingHeader,
                                               LeavingValue,
                                               RequestRateHeader,
                                               HealthTargetIdHeader,
                                               ColdRemainingHeader};
        return names;
    }

    std::string healthPath() const override
    {
        return "/up";
    }

    unsigned wrongTargetStatus() const override
    {
        return 421;
    }

    std::string storeRequestTarget(const StoreQuery &query) const override
    {
        return Platform::storeRequestTarget(query);
    }

    Result<std::optional<std::uint64_t>> decodeStoreEra(const Headers &headers) const override
    {
        return Platform::decodeStoreEra(headers);
    }

    Result<StoreResponse> decodeResponse(const StoreQuery &query, const std::string &body) const override
    {
        return Platform::decodeResponse(query, body);
    }

    Result<MeshConfiguration> decodeConfiguration(const std::string &value) const override
    {
        return Platform::decodeConfiguration(value);
    }

    Result<TargetRecord> decodeTarget(const std::string &id, const std::string &value) const override
    {
        return Platform::decodeTarget(id, value);
    }

private:
    DeploymentSettings m_settings;
};

std::string headerValue(const Headers &headers, const char *name)
{
    const auto *value = findHeader(headers, name);
    return value == nullptr ? std::string() : *value;
}

} // namespace

std::unique_ptr<PlatformAdapter> makeFixtureAdapter(const DeploymentSettings &settings)
{
    return std::make_unique<FixedAdapter>(settings);
}

// ---- [target] ---------------------------------------------------------------------------------------------------

TargetStandin::TargetStandin(std::string id, const Endpoint &endpoint)
    : m_id(std::move(id))
    , m_server(
          std::make_unique<Standins::HttpServer>(Standins::ServerSettings{endpoint, 256}, [this](const Standins::ServerCall &call) { return answer(call); }))
{
    if (const auto error = errorOf([&] { return m_server->start(); })) {
        throw std::runtime_error(describe(*error));
    }
}

void TargetStandin::setBehaviour(Behaviour behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_behaviour = std::move(behaviour);
}

std::vector<ReceivedRequest> TargetStandin::requests() const
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

Standins::ServerReply TargetStandin::answer(const Standins::ServerCall &call)
{
    Behaviour behaviour;
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back({call.method, call.path, call.headers, call.body, headerValue(call.headers, TargetIdHeader), Clock::now()});
        behaviour = m_behaviour;
    }
    return behaviour ? behaviour(call) : validReply(call, "from " + m_id);
}

Standins::ServerReply TargetStandin::validReply(const Standins::ServerCall &call, const std::string &body) const
{
    Standins::ServerReply reply;
    reply.headers = {{RequestIdHeader, headerValue(call.headers, RequestIdHeader)}, {SignatureHeader, "mark-" + m_id}};
    reply.body = body;
    return reply;
}

Standins::ServerReply TargetStandin::delayedReply(const Standins::ServerCall &call, milliseconds delay)
{
    const auto until = Clock::now() + delay;
    while (Clock::now() < until) {
        if (call.callerLeft && call.callerLeft()) {
            ++m_abandonedRequests;
            break;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return validReply(call, "from " + m_id);
}

// ---- [mesh] -----------------------------------------------------------------------------------------------------

MeshFixture::MeshFixture()
    : m_base(nextBase())
    , store({hostAddress(m_base, 100), StorePort})
{
    startLogging(std::getenv("FESCUENOTCH_TEST_LOG") != nullptr ? LogLevel::Info : LogLevel::Error, "");
}

MeshFixture::~MeshFixture()
{
    for (const auto &host : m_hosts) {
        if (host->node) { // none after a failed start
            host->node->beginStop();
        }
    }
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        stopNode(n);
    }
}

MeshFixture::Host &MeshFixture::makeHost(const std::string &service, const std::string &dataCentre)
{
    const auto address = hostAddress(m_base, m_hosts.size());
    auto host = std::make_unique<Host>();
    auto &s = host->settings;
    s.nodeName = "node-" + std::to_string(m_hosts.size());
    s.host = address;
    s.dataCentre = dataCentre;
    s.service = service;
    s.targetAddress = {address, TargetPort};
    s.callerListen = {address, CallerPort};
    s.peerListen = {address, PeerPort};
    s.healthListen = {address, HealthPort};
    s.store = store.endpoint();
    s.linkMbps = linkMbps;
    s.evacuationLimit = evacuationLimit;
    s.memoryBytes = memoryBytes;
    s.stopLimit = seconds(3);
    s.stopAnnouncement = milliseconds(50);
    m_hosts.push_back(std::move(host));
    return *m_hosts.back();
}

void MeshFixture::startNode(Host &host)
{
    const auto id = "t" + std::to_string(m_hosts.size() - 1);
    store.put("servers/" + id, entryText(host.settings.service, host.settings.targetAddress, host.settings.dataCentre));
    host.node = std::make_unique<MeshNode>(std::make_unique<FixedAdapter>(host.settings), MeshNodeOptions{});
    const auto error = errorOf([&] { return host.node->start(); });
    BOOST_REQUIRE_MESSAGE(!error.has_value(), (error ? describe(*error) : std::string()));
    host.thread = std::thread([&host] { host.node->run(); });
}

void MeshFixture::addNode(const std::string &service, const std::string &dataCentre)
{
    auto &host = makeHost(service, dataCentre);
    host.target = std::make_unique<TargetStandin>("t" + std::to_string(m_hosts.size() - 1), host.settings.targetAddress);
    startNode(host);
}

void MeshFixture::addRawNode(const std::string &service, RawServer::Script script)
{
    auto &host = makeHost(service, "one");
    host.rawTarget = std::make_unique<RawServer>(host.settings.targetAddress, std::move(script));
    startNode(host);
}

void MeshFixture::addCrashingNode(const std::string &service, const std::string &crashText, milliseconds downFor, std::function<void()> onCrash)
{
    CrashingTargetSettings settings;
    settings.crashText = crashText;
    settings.downFor = downFor;
    settings.onCrash = std::move(onCrash);
    settings.answer = crashingTargetAnswer;
    addCrashingNode(service, std::move(settings));
}

std::string MeshFixture::crashingTargetAnswer(const std::string &request)
{
    const std::string name = std::string(RequestIdHeader) + ": ";
    const auto at = request.find(name) + name.size();
    const auto id = request.substr(at, request.find('\r', at) - at);
    return "HTTP/1.1 200 OK\r\n" + name + id + "\r\n" + SignatureHeader + ": m\r\nContent-Length: 2\r\n\r\nok";
}

void MeshFixture::addCrashingNode(const std::string &service, CrashingTargetSettings settings)
{
    auto &host = makeHost(service, "one");
    settings.listen = host.settings.targetAddress;
    host.crashingTarget = std::make_unique<CrashingTarget>(std::move(settings));
    startNode(host);
}

void MeshFixture::publish(std::uint64_t version, const std::string &readService, milliseconds timeout)
{
    store.put("op/config", configurationText(version, readService, timeout));
}

void MeshFixture::waitReady()
{
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        const auto ready = [&] {
            auto socket = RawSocket::connectTo(m_hosts[n]->settings.healthListen);
            socket.send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
            return socket.receiveAnswer().find("200") != std::string::npos;
        };
        BOOST_REQUIRE(waitUntil(ready));
    }
    const auto linked = [&] { return metric(0, "fescuenotch_mesh_links") == std::to_string(m_hosts.size() - 1); };
    BOOST_REQUIRE(waitUntil(linked));
}

void MeshFixture::stopNode(std::size_t n)
{
    auto &host = *m_hosts[n];
    if (host.thread.joinable()) {
        host.node->beginStop();
        host.thread.join();
    }
}

void MeshFixture::removeNode(std::size_t n)
{
    stopNode(n);
    m_hosts[n]->node.reset();
}

Endpoint MeshFixture::callerEndpoint(std::size_t n) const
{
    return m_hosts[n]->settings.callerListen;
}

Endpoint MeshFixture::peerEndpoint(std::size_t n) const
{
    return m_hosts[n]->settings.peerListen;
}

Endpoint MeshFixture::nextTargetAddress() const
{
    return {hostAddress(m_base, m_hosts.size()), TargetPort};
}

std::string MeshFixture::metric(std::size_t n, const std::string &line) const
{
    auto socket = RawSocket::connectTo(m_hosts[n]->settings.healthListen);
    socket.send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto text = socket.receiveAll();
    const auto at = text.find("\n" + line + " ");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + line.size() + 2;
    return text.substr(start, text.find('\n', start) - start);
}

std::string MeshFixture::statusOf(std::size_t n) const
{
    auto socket = RawSocket::connectTo(m_hosts[n]->settings.healthListen);
    socket.send("GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    return socket.receiveAll();
}

unsigned MeshFixture::totalRequests() const
{
    std::size_t n = 0;
    for (const auto &host : m_hosts) {
        n += host->target ? host->target->requests().size() : 0;
    }
    return static_cast<unsigned>(n);
}

std::string
MeshFixture::request(const std::string &method, const std::string &path, const std::string &id, const std::string &extraHeaders, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk\r\n" + RequestIdHeader + ": " + id + "\r\n" + extraHeaders;
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

std::string MeshFixture::get(std::size_t n, const std::string &path, const std::string &extraHeaders)
{
    auto socket = RawSocket::connectTo(callerEndpoint(n));
    socket.send(request("GET", path, "id-1", extraHeaders));
    return socket.receiveAnswer();
}

std::string MeshFixture::post(std::size_t n, const std::string &path, const std::string &body, const std::string &extraHeaders)
{
    auto socket = RawSocket::connectTo(callerEndpoint(n));
    socket.send(request("POST", path, "id-2", extraHeaders, body));
    return socket.receiveAnswer();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

bool isComplete(const std::string &answer)
{
    const auto headEnd = answer.find("\r\n\r\n");
    const auto length = answer.find("Content-Length: ");
    if (headEnd == std::string::npos || length > headEnd) {
        return false;
    }
    return answer.size() == headEnd + 4 + std::stoul(answer.substr(length + 16));
}

} // namespace Fescuenotch::Tests
