#include "tests/scenarios/fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>

namespace Fescuenotch::Scenarios {

namespace {

constexpr milliseconds StartLimit{10'000}; ///< ms; a process listens after this
constexpr milliseconds KillLimit{5'000}; ///< ms; a killed process is gone after this
constexpr std::size_t LogTail = 1'500; ///< bytes shown of a log
constexpr unsigned FirstHostNumber = 10; ///< last part of the first host's address

std::string testNet()
{
    const char *net = std::getenv("FESCUENOTCH_TEST_NET");
    return net == nullptr ? "24" : net;
}

std::string fileName(std::string name)
{
    std::replace(name.begin(), name.end(), ' ', '-');
    return name;
}

} // namespace

std::string Host::label() const
{
    return std::to_string(number) + " of " + dataCentre;
}

Fleet::Fleet(const FleetSettings &settings)
    : m_settings(settings)
    , m_netPrefix("127." + testNet() + ".")
{
    std::filesystem::remove_all(settings.folder);
    std::filesystem::create_directories(settings.folder);
    m_platform.name = "platform";
}

Fleet::~Fleet()
{
    for (auto *process : all()) {
        if (process->child) {
            process->child->signal(SIGKILL);
        }
    }
}

// ---- [addresses] ------------------------------------------------------------------------------------------------

std::string Fleet::address(unsigned net, unsigned host) const
{
    return m_netPrefix + std::to_string(net) + "." + std::to_string(host);
}

std::string Fleet::platformOperator() const
{
    return "http://" + address(m_settings.firstNet, 1) + ":7001";
}

std::string Fleet::platformUrl(const std::string &dataCentre) const
{
    const auto it = m_platformLinks.find(dataCentre);
    return "http://" + (it == m_platformLinks.end() ? address(m_settings.firstNet, 1) + ":7000" : it->second->listen);
}

std::string Fleet::callerUrl(const Host &host) const
{
    return "http://" + host.ip + ":8080";
}

std::string Fleet::operatorUrl(const Host &host) const
{
    return "http://" + host.ip + ":8081";
}

std::string Fleet::targetAddress(const Host &host) const
{
    return host.link ? host.link->listen : host.ip + ":9000";
}

std::string Fleet::journalOf(const Host &host) const
{
    return m_settings.folder + "/" + fileName(host.target.name) + ".journal";
}

std::string Fleet::logOf(const ManagedProcess &process) const
{
    return m_settings.folder + "/" + fileName(process.name) + ".log";
}

// ---- [declaring] ------------------------------------------------------------------------------------------------

void Fleet::addHosts(const std::string &dataCentre, unsigned count, const std::string &service)
{
    auto it = std::find(m_dataCentres.begin(), m_dataCentres.end(), dataCentre);
    const auto net = m_settings.firstNet + static_cast<unsigned>(it - m_dataCentres.begin());
    if (it == m_dataCentres.end()) {
        m_dataCentres.push_back(dataCentre);
    }
    const auto before = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const Host &host) { return host.dataCentre == dataCentre; });
    for (unsigned n = 0; n < count; ++n) {
        auto &host = m_hosts.emplace_back();
        host.dataCentre = dataCentre;
        host.number = static_cast<unsigned>(before) + n + 1;
        host.service = service;
        host.ip = address(net, FirstHostNumber + host.number);
        host.target.name = "target " + host.label();
        host.node.name = "node " + host.label();
    }
}

std::unique_ptr<LinkEnd> Fleet::makeLink(const std::string &name, const std::string &listenIp, const std::string &to)
{
    auto link = std::make_unique<LinkEnd>();
    link->listen = listenIp + ":9500";
    link->operatorAddress = listenIp + ":9501";
    link->to = to;
    link->process.name = name;
    return link;
}

void Fleet::addPlatformLink(const std::string &dataCentre)
{
    const auto it = std::find(m_dataCentres.begin(), m_dataCentres.end(), dataCentre);
    if (it == m_dataCentres.end()) {
        throw ScenarioFailure("no data centre is called " + dataCentre + "; declare its hosts first");
    }
    const auto net = m_settings.firstNet + static_cast<unsigned>(it - m_dataCentres.begin());
    m_platformLinks[dataCentre] = makeLink("link to platform of " + dataCentre, address(net, 2), address(m_settings.firstNet, 1) + ":7000");
    startLink(*m_platformLinks[dataCentre]);
}

void Fleet::addTargetLink(const ProcessSet &target)
{
    for (auto *host : resolve(target)) {
        host->link = makeLink("link to target " + host->label(), host->ip, host->ip + ":9000");
        startLink(*host->link);
    }
}

// ---- [starting] -------------------------------------------------------------------------------------------------

void Fleet::launch(ManagedProcess &process, const std::string &program, const std::vector<std::string> &args, const std::string &readyText)
{
    if (process.state != ProcessState::Down) {
        throw ScenarioFailure(process.name + " runs already");
    }
    if (!process.child) {
        process.child = std::make_unique<ChildProcess>(Standins::ProcessCommand{Standins::buildFolder() + "/" + program, args, logOf(process)});
    }
    if (const auto error = errorOf([&] { return process.child->start(); })) {
        throw ScenarioFailure(describe(*error));
    }
    process.lives.push_back(process.child->logStart());
    process.state = ProcessState::Running;
    process.mayEnd = false;
    if (!process.child->waitForText(readyText, StartLimit)) {
        throw ScenarioFailure(process.name + " did not start:\n" + Standins::readFile(logOf(process), process.child->logStart()));
    }
}

void Fleet::startPlatform()
{
    const auto ip = address(m_settings.firstNet, 1);
    launch(m_platform, "fescuenotch-platform", {"--listen", ip + ":7000", "--operator", ip + ":7001"}, "ready");
}

void Fleet::startTarget(Host &host)
{
    const std::vector<std::string> args{"--listen",
                                        host.ip + ":9000",
                                        "--operator",
                                        host.ip + ":9001",
                                        "--journal",
                                        journalOf(host),
                                        "--slots",
                                        std::to_string(slots),
                                        "--service-time",
                                        serviceTime};
    launch(host.target, "fescuenotch-target", args, "ready");
}

void Fleet::startNode(Host &host)
{
    std::vector<std::string> args{"node",
                                  "--host",
                                  host.ip,
                                  "--data-centre",
                                  host.dataCentre,
                                  "--service",
                                  host.service,
                                  "--platform",
                                  platformUrl(host.dataCentre),
                                  "--caller-listen",
                                  host.ip + ":8080",
                                  "--peer-listen",
                                  host.ip + ":7400",
                                  "--operator-listen",
                                  host.ip + ":8081"};
    args.insert(args.end(), nodeFlags.begin(), nodeFlags.end());
    launch(host.node, "fescuenotch", args, "event=node_started");
}

void Fleet::startLink(LinkEnd &link)
{
    launch(link.process, "fescuenotch-link", {"--listen", link.listen, "--to", link.to, "--operator", link.operatorAddress}, "ready");
}

ManagedProcess &Fleet::processOf(Host &host, ProcessKind kind)
{
    return kind == ProcessKind::Target ? host.target : host.node;
}

void Fleet::start(const ProcessSet &set)
{
    if (set.kind == ProcessKind::Platform) {
        return startPlatform();
    }
    for (auto *host : resolve(set)) {
        if (processOf(*host, set.kind).state != ProcessState::Down) {
            continue;
        }
        if (set.kind == ProcessKind::Target) {
            startTarget(*host);
        } else {
            startNode(*host);
        }
    }
}

// ---- [faults] ---------------------------------------------------------------------------------------------------

void Fleet::signal(const ProcessSet &set, int number, ProcessState after)
{
    std::vector<ManagedProcess *> doomed;
    if (set.kind == ProcessKind::Platform) {
        doomed.push_back(&m_platform);
    } else {
        for (auto *host : resolve(set)) {
            doomed.push_back(&processOf(*host, set.kind));
        }
    }
    for (auto *process : doomed) {
        if (process->state == ProcessState::Down) {
            continue;
        }
        process->mayEnd = process->mayEnd || after == ProcessState::Down;
        process->child->signal(number);
        process->state = after;
    }
    for (auto *process : doomed) {
        if (number == SIGKILL && process->child && !process->child->waitForEnd(KillLimit)) {
            throw ScenarioFailure(process->name + " is still there after SIGKILL");
        }
    }
}

LinkEnd &Fleet::findLink(const LinkName &name)
{
    if (name.target == 0) {
        const auto it = m_platformLinks.find(name.dataCentre);
        if (it == m_platformLinks.end()) {
            throw ScenarioFailure(name.dataCentre + " has no link to the platform; declare it before the nodes start");
        }
        return *it->second;
    }
    const auto found = resolve({ProcessKind::Target, name.dataCentre, name.target});
    if (!found.front()->link) {
        throw ScenarioFailure("target " + found.front()->label() + " has no link; declare it before the services are published");
    }
    return *found.front()->link;
}

void Fleet::setLink(const LinkName &name, const nlohmann::json &fault)
{
    auto &link = findLink(name);
    if (!m_http.postJson("http://" + link.operatorAddress + "/fault", fault)) {
        throw ScenarioFailure(link.process.name + " did not take the fault");
    }
}

void Fleet::setTarget(const ProcessSet &set, const nlohmann::json &fault)
{
    for (auto *host : resolve(set)) {
        if (!m_http.postJson("http://" + host->ip + ":9001/fault", fault)) {
            throw ScenarioFailure(host->target.name + " did not take the fault");
        }
    }
}

// ---- [finding] --------------------------------------------------------------------------------------------------

std::vector<Host *> Fleet::resolve(const ProcessSet &set)
{
    std::vector<Host *> found;
    for (auto &host : m_hosts) {
        const bool inDataCentre = set.dataCentre.empty() || host.dataCentre == set.dataCentre;
        const bool named = inDataCentre && (set.number == 0 || host.number == set.number);
        const bool wanted = named != set.but && (!set.readersOnly || isReader(host));
        if (wanted) {
            found.push_back(&host);
        }
    }
    if (found.empty()) {
        throw ScenarioFailure(set.readersOnly ? "no node of " + set.dataCentre + " watches the platform" : "no host is meant; check data centre and number");
    }
    return found;
}

bool Fleet::isReader(const Host &host)
{
    return host.node.state == ProcessState::Running && m_http.getJson(operatorUrl(host) + "/status").value("reader", false);
}

std::vector<Host *> Fleet::runningNodes(const ProcessSet &set)
{
    auto found = resolve(set);
    const bool single = set.number != 0 && !set.but;
    std::erase_if(found, [](const Host *host) { return host->node.state != ProcessState::Running; });
    if (found.empty()) {
        throw ScenarioFailure(single ? "node " + std::to_string(set.number) + " of " + set.dataCentre + " does not run" : "no node that is meant runs");
    }
    return found;
}

std::deque<Host> &Fleet::hosts()
{
    return m_hosts;
}

ManagedProcess &Fleet::platform()
{
    return m_platform;
}

Standins::HttpClient &Fleet::http()
{
    return m_http;
}

std::vector<ManagedProcess *> Fleet::all()
{
    std::vector<ManagedProcess *> found{&m_platform};
    for (auto &host : m_hosts) {
        found.push_back(&host.node);
        found.push_back(&host.target);
        if (host.link) {
            found.push_back(&host.link->process);
        }
    }
    for (auto &[dataCentre, link] : m_platformLinks) {
        found.push_back(&link->process);
    }
    return found;
}

std::vector<std::string> Fleet::unexpectedEnds()
{
    std::vector<std::string> found;
    for (auto *process : all()) {
        if (!process->child || process->mayEnd || process->child->running()) {
            continue;
        }
        const auto log = Standins::readFile(logOf(*process));
        const auto tail = log.substr(log.size() - std::min(log.size(), LogTail));
        found.push_back(process->name + " ended by itself with code " + std::to_string(process->child->exitCode()) + ":\n" + tail);
    }
    return found;
}

} // namespace Fescuenotch::Scenarios
