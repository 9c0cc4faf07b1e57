#include "fleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace Fescuenotch {
namespace {

constexpr milliseconds Step{5};
constexpr milliseconds TickEvery{50};
constexpr std::uint16_t PeerPort = 7400;

} // namespace

Fleet::Fleet(std::uint64_t seed, SpreadWay way)
    : m_seed(seed)
    , m_way(way)
    , m_random(seed)
    , m_now(TimePoint{} + std::chrono::hours(1))
{
}

std::vector<std::string> Fleet::list(unsigned centre, unsigned count)
{
    std::vector<std::string> hosts;
    for (unsigned i = 0; i < count; ++i) {
        const std::string host = "127.22." + std::to_string(centre) + "." + std::to_string(10 + i);
        hosts.push_back(host);
        m_list.hosts.push_back({host, "centre-" + std::to_string(centre), "bookdesk", Endpoint{host, PeerPort}, HostState::Live});
    }
    ++m_list.revision;
    return hosts;
}

unsigned Fleet::centreOf(const std::string &host) const
{
    const auto it = std::find_if(m_list.hosts.begin(), m_list.hosts.end(), [&](const HostEntry &e) { return e.host == host; });
    return it == m_list.hosts.end() ? 0 : static_cast<unsigned>(std::stoul(it->dataCentre.substr(7)));
}

void Fleet::start(const std::string &host)
{
    auto node = std::make_unique<Node>();
    node->settings.self = Endpoint{host, PeerPort};
    node->settings.incarnation = ++m_incarnation;
    node->settings.dataCentre = "centre-" + std::to_string(centreOf(host));
    node->settings.service = "bookdesk";
    node->settings.way = m_way;
    node->settings.seed = m_seed;
    if (adjust) {
        adjust(node->settings);
    }
    node->core = makeSpreadCore(node->settings, node->store);
    m_nodes[host] = std::move(node);
}

void Fleet::startAll()
{
    for (const auto &it : m_list.hosts) {
        if (!running(it.host)) {
            start(it.host);
        }
    }
}

void Fleet::kill(const std::string &host)
{
    m_nodes.erase(host);
}

void Fleet::pause(const std::string &host)
{
    m_nodes.at(host)->paused = true;
    m_nodes.at(host)->pausedAt = m_now;
}

void Fleet::resume(const std::string &host)
{
    auto &node = *m_nodes.at(host);
    node.paused = false;
    carryOut(node, node.core->onWake(m_now, m_now - node.pausedAt));
    for (const auto &bytes : std::exchange(node.inbox, {})) {
        carryOut(node, node.core->onMessage(m_now, bytes));
    }
}

void Fleet::leave(const std::string &host)
{
    auto &node = *m_nodes.at(host);
    carryOut(node, node.core->leave(m_now));
}

void Fleet::unlist(const std::string &host)
{
    std::erase_if(m_list.hosts, [&](const HostEntry &e) { return e.host == host; });
    ++m_list.revision;
}

void Fleet::cut(unsigned a, unsigned b, bool broken)
{
    const auto pair = std::minmax(a, b);
    if (broken) {
        m_cuts.insert(pair);
    } else {
        m_cuts.erase(pair);
    }
}

void Fleet::silence(const std::string &a, const std::string &b)
{
    m_silent.insert(std::minmax(a, b));
}

Version Fleet::publish(const std::string &key, const std::string &value)
{
    const Version version{1, ++m_revision};
    m_published.push_back({key, version, value});
    return version;
}

void Fleet::platformStale(std::uint64_t revision)
{
    m_staleAt = revision;
}

bool Fleet::connected(const std::string &a, const std::string &b) const
{
    return !m_cuts.contains(std::minmax(centreOf(a), centreOf(b))) && !m_silent.contains(std::minmax(a, b));
}

void Fleet::carryOut(Node &node, SpreadActions actions)
{
    for (auto &it : actions.sends) {
        bytesByKind[it.kind] += it.bytes.size();
        largestMessage = std::max(largestMessage, it.bytes.size());
        m_messages.push_back({node.settings.self.host, it.to, std::move(it.bytes)});
    }
    if (actions.watchConfig || actions.readHosts) {
        ++platformCalls;
        ++callsPerSecond[std::chrono::duration_cast<seconds>(m_now.time_since_epoch()).count()];
    }
    if (actions.watchConfig) {
        watchers.insert(node.settings.self.host);
        node.watching = true;
        node.watchAfter = actions.watchAfter;
        node.watchUntil = m_now + actions.watchWait;
    }
    node.asksHosts = node.asksHosts || actions.readHosts;
    check(node);
}

void Fleet::check(Node &node)
{
    for (const auto &it : node.store.versions()) {
        auto &highest = node.highest[it.key];
        if (it.newestValid < highest) {
            faults.push_back(node.settings.self.host + " " + it.key);
        }
        highest = it.newestValid;
    }
    const auto snapshot = node.store.build("desk", nullptr);
    if (snapshot != nullptr && snapshot->version != node.inForce) {
        node.inForce = snapshot->version;
        carryOut(node, node.core->onInForce(m_now, "desk", snapshot->version));
    }
}

void Fleet::deliver(const Message &message)
{
    const auto it = m_nodes.find(message.to.host);
    if (!connected(message.from, message.to.host) || std::uniform_real_distribution<>(0, 1)(m_random) < loss) {
        return;
    }
    if (it == m_nodes.end()) {
        const auto sender = m_nodes.find(message.from);
        if (sender != m_nodes.end() && !sender->second->paused) {
            carryOut(*sender->second, sender->second->core->onPeerLost(m_now, message.to));
        }
        return;
    }
    if (it->second->paused) {
        it->second->inbox.push_back(message.bytes);
        return;
    }
    carryOut(*it->second, it->second->core->onMessage(m_now, message.bytes));
}

void Fleet::answerWatch(Node &node)
{
    const std::uint64_t revision = m_staleAt > 0 ? std::min(m_staleAt, m_revision) : m_revision;
    if (revision <= node.watchAfter && m_now < node.watchUntil) {
        return;
    }
    ConfigPage page{1, revision, node.watchAfter == 0, false, {}, {}};
    for (const auto &it : m_published) {
        if (it.version.revision > node.watchAfter && it.version.revision <= revision) {
            page.changes.push_back(it);
        }
    }
    node.watching = false;
    carryOut(node, node.core->onConfigPage(m_now, page));
}

void Fleet::answerPlatform(Node &node)
{
    if (!node.watching && !node.asksHosts) {
        return;
    }
    const bool broken = platformDown || m_cuts.contains(std::minmax(0U, centreOf(node.settings.self.host)));
    if (broken) {
        const Error error{ErrorKind::PlatformUnavailable, "no answer", "wait", retryAfter};
        if (std::exchange(node.asksHosts, false)) {
            carryOut(node, node.core->onPlatformError(m_now, PlatformCall::Hosts, error));
        }
        if (std::exchange(node.watching, false)) {
            carryOut(node, node.core->onPlatformError(m_now, PlatformCall::Config, error));
        }
        return;
    }
    if (node.asksHosts) {
        node.asksHosts = false;
        carryOut(node, node.core->onHostList(m_now, m_list));
    }
    if (node.watching) {
        answerWatch(node);
    }
}

void Fleet::step()
{
    m_now += Step;
    for (const auto &it : std::exchange(m_messages, {})) {
        deliver(it);
    }
    const bool tick = (m_now.time_since_epoch() % TickEvery) == Duration::zero();
    for (const auto &host : hosts()) {
        auto &node = *m_nodes.at(host);
        if (node.paused) {
            continue;
        }
        answerPlatform(node);
        if (tick) {
            carryOut(node, node.core->onTick(m_now));
        }
    }
}

void Fleet::run(Duration duration)
{
    for (const TimePoint end = m_now + duration; m_now < end;) {
        step();
    }
}

bool Fleet::runUntil(const std::function<bool()> &condition, Duration limit)
{
    for (const TimePoint end = m_now + limit; m_now < end && !condition();) {
        step();
    }
    return condition();
}

bool Fleet::allHold(const std::string &key, Version version, std::vector<std::string> hosts) const
{
    hosts = hosts.empty() ? this->hosts() : hosts;
    return std::all_of(hosts.begin(), hosts.end(), [&](const std::string &host) {
        const auto records = m_nodes.at(host)->store.records(key);
        return std::any_of(records.begin(), records.end(), [&](const Record &it) { return it.version == version; });
    });
}

bool Fleet::allTrusted(std::vector<std::string> hosts) const
{
    hosts = hosts.empty() ? this->hosts() : hosts;
    return std::all_of(hosts.begin(), hosts.end(), [&](const std::string &host) { return m_nodes.at(host)->core->viewTrusted(m_now); });
}

bool Fleet::running(const std::string &host) const
{
    return m_nodes.contains(host);
}

SpreadCore &Fleet::core(const std::string &host)
{
    return *m_nodes.at(host)->core;
}

MemoryStore &Fleet::store(const std::string &host)
{
    return m_nodes.at(host)->store;
}

std::vector<std::string> Fleet::hosts() const
{
    std::vector<std::string> names;
    for (const auto &[host, node] : m_nodes) {
        names.push_back(host);
    }
    return names;
}

std::vector<std::string> Fleet::readersNow() const
{
    std::vector<std::string> names;
    for (const auto &[host, node] : m_nodes) {
        if (node->core->isReader(m_now)) {
            names.push_back(host);
        }
    }
    return names;
}

std::optional<MemberState> Fleet::stateOf(const std::string &viewer, const std::string &host)
{
    for (const auto &it : core(viewer).members()) {
        if (it.host == host) {
            return it.state;
        }
    }
    return {};
}

TimePoint Fleet::now() const
{
    return m_now;
}

TwoCentres::TwoCentres(std::uint64_t seed, SpreadWay way)
    : Fleet(seed, way)
    , first(list(1, 6))
    , second(list(2, 6))
{
    publish(Key, "v1");
    startAll();
    BOOST_REQUIRE(runUntil([this] { return allTrusted() && allHold(Key, Version{1, 1}); }, seconds(8)));
    run(seconds(3));
}

TwoCentres::~TwoCentres()
{
    BOOST_TEST(faults.empty());
}

bool TwoCentres::reaches(Version version, const std::vector<std::string> &heldBy, Duration limit)
{
    const TimePoint begin = now();
    const bool ok = runUntil([&] { return allHold(Key, version, heldBy); }, limit);
    BOOST_TEST_MESSAGE("held after ms " << std::chrono::duration_cast<milliseconds>(now() - begin).count());
    return ok;
}

} // namespace Fescuenotch
