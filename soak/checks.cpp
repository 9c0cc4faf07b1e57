#include "soak/checks.h"

#include "platform/names.h"

#include <algorithm>
#include <stdexcept>

namespace Fescuenotch::Soak {

namespace {

constexpr milliseconds ProbePeriod{50}; ///< ms between looks at one node
constexpr milliseconds ProbeLimit{1'000}; ///< ms for one answer
constexpr unsigned ProbedVersions = 3; ///< the newest ones
constexpr milliseconds RecoveryLimit{15'000}; ///< ms; the platform's bound for recovery
constexpr milliseconds LateRunLimit{1'000}; ///< ms in which a request that was refused could still run
constexpr std::array<const char *, 3> Paths{"/read/20", "/file/20", "/feed/5/60000"};
constexpr unsigned PacedCallersPerHost = 2;
constexpr unsigned LongestRun = 300; ///< ms; of a request whose answer is read slowly
constexpr unsigned SlowestRate = 30'000; ///< bytes a second
constexpr unsigned FastestRate = 300'000; ///< bytes a second
constexpr unsigned SmallestAnswer = 30'000; ///< bytes
constexpr unsigned LongestRead = 4'000; ///< ms for one answer; 1.2 MB at the fastest rate, and within the time limit of the route
constexpr unsigned SmallestBuffer = 8 * 1'024; ///< bytes
constexpr unsigned LargestBuffer = 64 * 1'024; ///< bytes
constexpr unsigned MostRequests = 4; ///< on one connection that is read slowly

Tests::CallerShape drawPacedShape(std::mt19937_64 &random)
{
    const auto between = [&](unsigned least, unsigned most) { return least + static_cast<unsigned>(random() % (most - least + 1)); };
    Tests::CallerShape shape;
    shape.bytesPerSecond = between(SlowestRate, FastestRate);
    const auto bytes = between(SmallestAnswer, static_cast<unsigned>(shape.bytesPerSecond * LongestRead / 1'000));
    shape.path = "/paced/" + std::to_string(between(0, LongestRun)) + "/" + std::to_string(bytes);
    shape.receiveBuffer = static_cast<int>(between(SmallestBuffer, LargestBuffer));
    shape.requests = between(1, MostRequests);
    return shape;
}

/// Whether the node was stopped by plan during the call, so that its SIGKILL was due before `time`.
bool endsBefore(TimePoint time, const Tests::CallOutcome &call, const SoakHost &host)
{
    const auto stops = host.stops();
    const auto limit = host.node().place().stopLimit;
    return std::any_of(stops.begin(), stops.end(), [&](TimePoint stop) { return stop <= call.endedAt && stop + limit >= call.beganAt && stop + limit < time; });
}

/// Whether the caller could read the answer at its rate before its own time limit and before the SIGKILL of its node.
bool couldBeRead(const Tests::CallOutcome &call, const SoakHost &host)
{
    if (call.bytesPerSecond == 0 || !call.began()) {
        return true;
    }
    const auto bytes = std::max<std::size_t>(call.wholeBytes, std::stoul(call.path.substr(call.path.rfind('/') + 1)));
    const auto readAt = call.beganAt + milliseconds(bytes * 1'000 / call.bytesPerSecond);
    return readAt < call.sentAt + Tests::AnswerLimit && !endsBefore(readAt, call, host);
}

/// Whether a request on a new connection to `endpoint` is answered with 200.
bool isServed(const Endpoint &endpoint, const std::string &path, const std::string &id)
{
    try {
        auto socket = RawSocket::connectTo(endpoint);
        socket.send("GET " + path + " HTTP/1.1\r\nHost: desk\r\n" + Platform::RequestIdHeader + ": " + id + "\r\nConnection: close\r\n\r\n");
        return socket.receiveUntil("\r\n\r\n", ProbeLimit).rfind("HTTP/1.1 200", 0) == 0;
    } catch (const std::runtime_error &) {
        return false;
    }
}

} // namespace

// ---- [configuration] --------------------------------------------------------------------------------------------

VersionProbe::VersionProbe(SoakFleet &fleet, std::size_t host)
    : m_fleet(fleet)
    , m_host(fleet.host(host))
    , m_thread([this] { work(); })
{
}

VersionProbe::~VersionProbe()
{
    stop();
}

void VersionProbe::stop()
{
    m_stopped = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

const std::vector<std::string> &VersionProbe::problems() const
{
    return m_problems;
}

void VersionProbe::work()
{
    while (!m_stopped) {
        look();
        std::this_thread::sleep_for(ProbePeriod);
    }
}

void VersionProbe::look()
{
    const auto newest = m_fleet.newestVersion();
    const auto life = m_host.life();
    for (auto version = newest; version > 0 && version + ProbedVersions > newest; --version) {
        if (!isServed(m_host.node().callerEndpoint(), SoakFleet::versionPath(version) + "0", "probe")) {
            continue;
        }
        if (life != m_host.life()) {
            return; // either process may have answered
        }
        if (life == m_life && version < m_newest) {
            m_problems.push_back(m_host.node().place().name + ": configuration " + std::to_string(version) + " after " + std::to_string(m_newest));
        }
        m_newest = life == m_life ? std::max(m_newest, version) : version;
        m_life = life;
        return;
    }
}

// ---- [calls] ----------------------------------------------------------------------------------------------------

Checks::Checks(SoakFleet &fleet, std::uint64_t seed)
    : m_fleet(fleet)
{
    for (std::size_t n = 0; n < fleet.size(); ++n) {
        const auto &node = fleet.host(n).node();
        for (const auto *path : Paths) {
            const auto name = node.place().name + std::string(path).substr(0, 5);
            m_callers.push_back({n, std::make_unique<Tests::KeptCaller>(name, node.callerEndpoint(), path)});
        }
        addPacedCallers(n, seed);
        m_probes.push_back(std::make_unique<VersionProbe>(fleet, n));
    }
}

void Checks::addPacedCallers(std::size_t host, std::uint64_t seed)
{
    const auto &node = m_fleet.host(host).node();
    for (unsigned n = 0; n < PacedCallersPerHost; ++n) {
        std::seed_seq seeds{seed, std::uint64_t{host}, std::uint64_t{n}};
        const auto draw = [random = std::mt19937_64(seeds)]() mutable { return drawPacedShape(random); };
        m_callers.push_back({host, std::make_unique<Tests::KeptCaller>(node.place().name + "/paced" + std::to_string(n), node.callerEndpoint(), draw)});
    }
}

void Checks::beginRound(RoundKind kind)
{
    if (kind != RoundKind::Rough) {
        m_round = PlannedRound{Clock::now(), TimePoint::max()};
    }
}

void Checks::endRound()
{
    if (m_round) {
        m_round->until = Clock::now();
        m_plannedRounds.push_back(*m_round);
        m_round.reset();
    }
}

bool Checks::inPlannedRound(const Tests::CallOutcome &call) const
{
    const auto contains = [&](const PlannedRound &round) { return call.sentAt >= round.from && call.endedAt <= round.until; };
    return std::any_of(m_plannedRounds.begin(), m_plannedRounds.end(), contains);
}

void Checks::checkCall(const Tests::CallOutcome &call, const SoakHost &host)
{
    const auto runs = m_fleet.journal().runs(call.id);
    const auto problem = [&](const std::string &what) {
        m_problems.push_back(call.id + " " + call.path + " status " + std::to_string(call.status) + ", " + std::to_string(runs) + " runs: " + what);
    };
    if (call.path.rfind("/file/", 0) == 0 && runs > 1) {
        problem("a non-idempotent request ran more than once");
    }
    if (call.refused() && runs != 0) {
        problem("refused as not run, but it ran");
    }
    if (call.whole && call.status == 200 && (!call.own || runs == 0)) {
        problem("the answer is not its own");
    }
    const bool planned = inPlannedRound(call);
    if (planned && !call.whole && runs != 0 && couldBeRead(call, host)) {
        problem("cut by a planned stop");
    }
    if (planned && !call.whole && call.began() && couldBeRead(call, host)) {
        problem("LOST, an answer that its caller could read: " + describeCut(call));
    }
    if (planned && call.sent && !call.began() && !call.closedUnread) {
        problem("LOST, no answer and no refusal to a request that the node read");
    }
    const auto stops = host.stops();
    const auto stopped = [&](TimePoint stop) { return stop < call.endedAt && stop + host.node().place().stopLimit > call.beganAt; };
    m_pacedInStops += planned && call.bytesPerSecond > 0 && call.whole && call.status == 200 && std::any_of(stops.begin(), stops.end(), stopped) ? 1 : 0;
    ++(call.whole && call.status == 200 ? m_answered : call.refused() ? m_refused : m_failed);
}

std::string Checks::describeCut(const Tests::CallOutcome &call) const
{
    const auto after = [&](TimePoint time) { return std::to_string(std::chrono::duration_cast<milliseconds>(time - call.sentAt).count()); };
    std::string text = std::to_string(call.bytes) + " of " + std::to_string(call.wholeBytes) + " bytes, " + std::to_string(call.bytesPerSecond)
        + " a second, target " + call.target + "; ms after the request: began " + after(call.beganAt) + ", ended " + after(call.endedAt) + ", stops";
    for (std::size_t n = 0; n < m_fleet.size(); ++n) {
        for (const auto stop : m_fleet.host(n).stops()) {
            if (stop < call.endedAt && stop + m_fleet.host(n).node().place().stopLimit > call.sentAt) {
                text += " " + m_fleet.host(n).node().place().name + " " + after(stop);
            }
        }
    }
    return text;
}

void Checks::checkServiceIsBack()
{
    const auto until = Clock::now() + RecoveryLimit;
    for (std::size_t n = 0; n < m_fleet.size(); ++n) {
        const auto &node = m_fleet.host(n).node();
        for (const auto *path : Paths) {
            const bool isFile = std::string(path).rfind("/file/", 0) == 0;
            const auto served = [&] { return isServed(node.callerEndpoint(), isFile ? "/read/0" : path, "back"); };
            if (!waitUntil(served, std::max(ProbeLimit, std::chrono::ceil<milliseconds>(until - Clock::now())))) {
                m_problems.push_back(node.place().name + ": " + path + " is not served after the last fault");
            }
        }
    }
}

std::vector<std::string> Checks::finish()
{
    if (!m_fleet.waitAllReady(RecoveryLimit)) {
        m_problems.push_back("not all nodes are ready after the last fault");
    }
    checkServiceIsBack();
    for (const auto &probe : m_probes) {
        probe->stop();
        m_problems.insert(m_problems.end(), probe->problems().begin(), probe->problems().end());
    }
    for (const auto &each : m_callers) {
        each.caller->stop();
    }
    std::this_thread::sleep_for(LateRunLimit);
    for (const auto &each : m_callers) {
        for (const auto &call : each.caller->outcomes()) {
            checkCall(call, m_fleet.host(each.host));
        }
    }
    return m_problems;
}

std::string Checks::summary() const
{
    return std::to_string(m_answered) + " answered, " + std::to_string(m_refused) + " refused, " + std::to_string(m_failed) + " failed, "
        + std::to_string(m_fleet.journal().total()) + " ran, " + std::to_string(m_pacedInStops) + " read slowly from stopping nodes";
}

} // namespace Fescuenotch::Soak
