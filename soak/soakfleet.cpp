#include "soak/soakfleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace Fescuenotch::Soak {

namespace {

constexpr std::uint16_t StorePort = 9'805;
constexpr milliseconds StartLimit{20'000}; ///< ms
constexpr milliseconds KillLimit{2'000}; ///< ms; a killed process is gone after this
constexpr milliseconds SignalsLimit{2'000}; ///< ms; a started process receives its signals after this
constexpr milliseconds RouteTimeout{2'000}; ///< ms
constexpr milliseconds PacedRouteTimeout{6'000}; ///< ms; for answers that are read slowly

std::string address(const SoakSettings &settings, unsigned kind, unsigned number)
{
    return "127." + std::to_string(settings.net) + "." + std::to_string(kind) + "." + std::to_string(number);
}

std::string nodeAddress(const SoakSettings &settings, unsigned number)
{
    return address(settings, 1, number);
}

std::string publicAddress(const SoakSettings &settings, unsigned number)
{
    return address(settings, 2, number);
}

Endpoint storeLinkEndpoint(const SoakSettings &settings, unsigned number)
{
    return {address(settings, 4, number), StorePort};
}

std::string dataCentreOf(unsigned number)
{
    return number % 2 == 0 ? "one" : "two";
}

std::string serviceOf(unsigned number)
{
    return number % 3 == 0 ? "feed" : "desk";
}

Tests::NodePlace placeOf(const SoakSettings &settings, unsigned number)
{
    Tests::NodePlace place;
    place.folder = settings.folder;
    place.name = "node-" + std::to_string(number);
    place.address = publicAddress(settings, number);
    place.listenAddress = nodeAddress(settings, number);
    place.service = serviceOf(number);
    place.dataCentre = dataCentreOf(number);
    place.store = storeLinkEndpoint(settings, number);
    return place;
}

bool takesSignalsItself(pid_t pid)
{
    const auto threads = Tests::threadsThatTakeSignals(pid);
    return std::all_of(threads.begin(), threads.end(), [](const auto &name) { return name == "signals"; });
}

void check(const std::optional<Error> &error)
{
    if (error) {
        throw std::runtime_error(describe(*error));
    }
}

} // namespace

// ---- [starter] --------------------------------------------------------------------------------------------------

ProcessStarter::ProcessStarter()
    : m_thread([this] { work(); })
{
}

ProcessStarter::~ProcessStarter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_ended = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void ProcessStarter::start(Tests::NodeProcess &node)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_next == nullptr; });
    m_next = &node;
    m_changed.notify_all();
    m_changed.wait(lock, [&] { return m_next != &node; });
}

void ProcessStarter::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_ended || m_next != nullptr; });
        if (m_ended) {
            return;
        }
        m_next->start();
        m_next = nullptr;
        m_changed.notify_all();
    }
}

// ---- [host] -----------------------------------------------------------------------------------------------------

SoakHost::SoakHost(const SoakSettings &settings, unsigned number, const Endpoint &store, Tests::RunJournal &journal, ProcessStarter &starter)
    : m_starter(starter)
    , m_storeLink(storeLinkEndpoint(settings, number), store)
    , m_node(placeOf(settings, number))
    , m_peerLink({publicAddress(settings, number), m_node.peerEndpoint().port}, m_node.peerEndpoint())
    , m_target("t" + std::to_string(number), m_node.targetEndpoint(), journal)
{
}

Result<void> SoakHost::startProxies()
{
    BOOST_LEAF_CHECK(m_storeLink.start());
    return m_peerLink.start();
}

bool SoakHost::take()
{
    const std::lock_guard lock(m_mutex);
    return !std::exchange(m_taken, true);
}

void SoakHost::release()
{
    const std::lock_guard lock(m_mutex);
    m_taken = false;
}

void SoakHost::signal(int number)
{
    const std::lock_guard lock(m_mutex);
    m_node.process().signal(number);
}

void SoakHost::beginStop()
{
    const std::lock_guard lock(m_mutex);
    m_stops.push_back(Clock::now());
    m_node.process().signal(SIGTERM);
}

std::vector<TimePoint> SoakHost::stops() const
{
    const std::lock_guard lock(m_mutex);
    return m_stops;
}

void SoakHost::restart()
{
    const std::lock_guard lock(m_mutex);
    m_node.process().signal(SIGKILL);
    m_node.process().waitForEnd(KillLimit);
    ++m_life;
    m_starter.start(m_node);
    // Until the program's own code runs, a signal still ends it.
    const auto pid = m_node.process().pid();
    waitUntil([pid] { return takesSignalsItself(pid); }, SignalsLimit);
}

bool SoakHost::waitForEnd(milliseconds limit)
{
    return waitUntil(
        [this] {
            const std::lock_guard lock(m_mutex);
            return !m_node.process().running();
        },
        limit);
}

int SoakHost::exitCode()
{
    const std::lock_guard lock(m_mutex);
    return m_node.process().exitCode();
}

unsigned SoakHost::life() const
{
    const std::lock_guard lock(m_mutex);
    return m_life;
}

// ---- [fleet] ----------------------------------------------------------------------------------------------------

SoakFleet::SoakFleet(const SoakSettings &settings)
    : m_settings(settings)
    , m_store(std::make_unique<Tests::StoreStandin>(Endpoint{address(settings, 3, 1), StorePort}))
{
    for (unsigned n = 1; n <= settings.hosts; ++n) {
        m_hosts.push_back(std::make_unique<SoakHost>(settings, n, m_store->endpoint(), m_journal, m_starter));
        check(errorOf([&] { return m_hosts.back()->startProxies(); }));
        const auto &node = m_hosts.back()->node();
        m_store->put("servers/t" + std::to_string(n), Tests::entryText(serviceOf(n), node.targetEndpoint(), dataCentreOf(n)));
    }
}

SoakFleet::~SoakFleet()
{
    m_store->fault(Tests::StoreFault::Lost); // ends watches, so that proxies and processes end soon
}

void SoakFleet::start()
{
    publish();
    for (const auto &host : m_hosts) {
        host->restart();
    }
    if (!waitAllReady(StartLimit)) {
        throw std::runtime_error("the nodes are not ready in time; see their logs in " + m_settings.folder);
    }
}

bool SoakFleet::waitAllReady(milliseconds limit)
{
    return waitUntil([this] { return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &host) { return host->isReady(); }); }, limit);
}

unsigned SoakFleet::publish()
{
    const std::lock_guard lock(m_mutex);
    ++m_version;
    auto json = nlohmann::json::parse(Tests::configurationText(m_version, m_version % 2 == 0 ? "feed" : "desk", RouteTimeout));
    auto route = json["routes"][0];
    route["name"] = "version";
    route["prefix"] = versionPath(m_version);
    json["routes"].push_back(route);
    route["name"] = "paced";
    route["prefix"] = "/paced/";
    route["service"] = "desk";
    route["timeout"] = std::to_string(PacedRouteTimeout.count()) + "ms";
    json["routes"].push_back(route);
    m_store->put("op/config", json.dump());
    return m_version;
}

unsigned SoakFleet::newestVersion() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

std::string SoakFleet::versionPath(unsigned version)
{
    return "/version-" + std::to_string(version) + "/";
}

} // namespace Fescuenotch::Soak
