// The spread experiment: how long a change takes to be in force everywhere, and what that costs, per way and fleet size.
//
// Phases, each a table: start (all nodes at once), idle, change, change-kill and change-stop (a fifth of the nodes killed or
// stopped in the middle of a spread), herd (all nodes killed and back at once). Times come from the nodes' own log lines,
// counts from /metrics, /proc and the platform stand-in.
#include "bench/experiment.h"
#include "bench/results.h"
#include "bench/spreadfleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <random>
#include <sstream>
#include <thread>

namespace Fescuenotch::Bench {

namespace {

constexpr milliseconds PollPeriod{20}; ///< ms; between readings of logs
constexpr milliseconds StartLimit{60'000}; ///< ms; a whole fleet is in force after this
constexpr milliseconds ChangeLimit{10'000}; ///< ms; a change that is not in force by then counts as missed
constexpr milliseconds SettleTime{4'000}; ///< ms; from all in force to the idle window
constexpr milliseconds ChangeGap{500}; ///< ms; least pause between changes
constexpr unsigned ChangeJitter = 500; ///< ms; at most, added to the pause
constexpr milliseconds StopTime{3'000}; ///< ms; how long stopped nodes stay stopped, at least
constexpr unsigned FaultDelay = 10; ///< ms; at most, from publication to the fault
constexpr unsigned FaultShare = 5; ///< one node in this many
constexpr double BytesPerMebibyte = 1'048'576;

double asMilliseconds(std::chrono::system_clock::duration time)
{
    return static_cast<double>(std::chrono::duration_cast<microseconds>(time).count()) / 1'000;
}

double asSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::vector<std::string> splitList(const char *text)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

/// Times from a moment to a revision being in force, over nodes.
struct Arrivals {
    std::vector<double> times; ///< ms
    unsigned missed = 0; ///< nodes that did not get there in time

    void add(const Arrivals &other)
    {
        times.insert(times.end(), other.times.begin(), other.times.end());
        missed += other.missed;
    }
};

/// What an idle fleet costs, to tell what a change adds.
struct IdleRates {
    double controlBytes = 0; ///< bytes/s over the fleet
    double platformCalls = 0; ///< calls/s over the fleet
};

/// One fleet of one way and size, through all phases.
class SpreadCase
{
public:
    SpreadCase(const FleetSettings &settings, unsigned changes, seconds idleTime, std::uint64_t seed, Reporter &reporter)
        : m_settings(settings)
        , m_changes(changes)
        , m_idleTime(idleTime)
        , m_fleet(settings)
        , m_random(seed)
        , m_reporter(reporter)
    {
    }

    Result<void> run();

private:
    using Nodes = std::vector<FleetNode *>;

    Result<void> measureStart(const std::string &phase);
    void measureIdle();
    Result<void> measureChanges();
    Result<void> measureFault(const std::string &phase, int signal);
    Result<Arrivals> changeWithFault(int signal, Arrivals &back);
    /// Brings the victims back; arrivals of those that did not have the revision before.
    Result<Arrivals> bringBack(const Nodes &victims, int signal);
    Result<Arrivals> publishAndWait(const Nodes &nodes);
    Arrivals waitFor(const Nodes &nodes, std::uint64_t revision, WallTime start, milliseconds limit);
    Nodes allNodes();
    void pause(milliseconds atLeast);
    void report(const std::string &phase, std::vector<std::pair<std::string, double>> values);
    void progress(const std::string &text)
    {
        m_reporter.progress(m_settings.spreadMode + ", " + std::to_string(m_settings.nodes) + " nodes: " + text);
    }

    const FleetSettings m_settings;
    const unsigned m_changes;
    const seconds m_idleTime;
    SpreadFleet m_fleet;
    std::mt19937_64 m_random;
    Reporter &m_reporter;
    IdleRates m_idle;
};

std::vector<std::pair<std::string, double>> arrivalValues(const Arrivals &arrivals)
{
    return {{"median_ms", quantile(arrivals.times, 0.5)},
            {"p99_ms", quantile(arrivals.times, 0.99)},
            {"last_ms", quantile(arrivals.times, 1)},
            {"missed_nodes", arrivals.missed}};
}

SpreadCase::Nodes SpreadCase::allNodes()
{
    Nodes nodes;
    for (auto &node : m_fleet.nodes()) {
        nodes.push_back(&node);
    }
    return nodes;
}

void SpreadCase::pause(milliseconds atLeast)
{
    std::this_thread::sleep_for(atLeast + milliseconds(m_random() % ChangeJitter));
}

void SpreadCase::report(const std::string &phase, std::vector<std::pair<std::string, double>> values)
{
    Measurement measurement;
    measurement.phase = phase;
    measurement.conditions = {{"mode", m_settings.spreadMode}, {"nodes", std::to_string(m_settings.nodes)}};
    measurement.values = std::move(values);
    m_reporter.add(std::move(measurement));
}

Arrivals SpreadCase::waitFor(const Nodes &nodes, std::uint64_t revision, WallTime start, milliseconds limit)
{
    const auto arrived = [&](const InForceEvent &event) { return event.revision >= revision; };
    const auto until = Clock::now() + limit;
    std::size_t there = 0;
    do {
        std::this_thread::sleep_for(PollPeriod);
        m_fleet.readEvents();
        there = static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(), [&](const FleetNode *node) { return std::any_of(node->events.begin(), node->events.end(), arrived); }));
    } while (there < nodes.size() && Clock::now() < until);
    Arrivals arrivals;
    for (const auto *node : nodes) {
        const auto it = std::find_if(node->events.begin(), node->events.end(), arrived);
        if (it == node->events.end()) {
            ++arrivals.missed;
        } else {
            arrivals.times.push_back(std::max(0.0, asMilliseconds(it->at - start)));
        }
    }
    return arrivals;
}

Result<Arrivals> SpreadCase::publishAndWait(const Nodes &nodes)
{
    const auto start = std::chrono::system_clock::now();
    BOOST_LEAF_AUTO(revision, m_fleet.publishChange());
    return waitFor(nodes, revision, start, ChangeLimit);
}

// ---- phases -----------------------------------------------------------------------------------------------------

Result<void> SpreadCase::measureStart(const std::string &phase)
{
    progress(phase);
    m_fleet.resetPlatformStats();
    const auto start = std::chrono::system_clock::now();
    BOOST_LEAF_CHECK(m_fleet.startNodes());
    const auto arrivals = waitFor(allNodes(), m_fleet.revision(), start, StartLimit);
    const auto stats = m_fleet.platformStats();
    auto values = arrivalValues(arrivals);
    values.emplace_back("platform_calls", stats.value("calls", 0.0));
    values.emplace_back("busiest_second_calls", stats.value("busiest_second", 0.0));
    values.emplace_back("limited_calls", stats.value("limited", 0.0));
    report(phase, std::move(values));
    return {};
}

void SpreadCase::measureIdle()
{
    progress("idle");
    std::this_thread::sleep_for(SettleTime);
    const auto before = m_fleet.totals();
    std::this_thread::sleep_for(m_idleTime);
    const auto after = m_fleet.totals();
    const double time = asSeconds(after.at - before.at);
    const double nodes = m_settings.nodes;
    m_idle.controlBytes = (after.controlBytes - before.controlBytes) / time;
    m_idle.platformCalls = (after.platformCalls - before.platformCalls) / time;
    const double processor = asSeconds(after.processorTime - before.processorTime) / time;
    report("idle",
           {{"control_bytes_per_s_per_node", m_idle.controlBytes / nodes},
            {"platform_bytes_per_s_per_node", (after.platformBytes - before.platformBytes) / time / nodes},
            {"platform_calls_per_s", m_idle.platformCalls},
            {"core_percent_per_node", 100 * processor / nodes},
            {"rss_mib_per_node", static_cast<double>(after.residentBytes) / nodes / BytesPerMebibyte}});
}

Result<void> SpreadCase::measureChanges()
{
    progress("changes");
    Arrivals arrivals;
    const auto before = m_fleet.totals();
    for (unsigned n = 0; n < m_changes; ++n) {
        BOOST_LEAF_AUTO(some, publishAndWait(allNodes()));
        arrivals.add(some);
        pause(ChangeGap);
    }
    const auto after = m_fleet.totals();
    const double time = asSeconds(after.at - before.at);
    const double bytes = after.controlBytes - before.controlBytes - m_idle.controlBytes * time;
    const double calls = after.platformCalls - before.platformCalls - m_idle.platformCalls * time;
    auto values = arrivalValues(arrivals);
    values.emplace_back("control_bytes_per_change_per_node", bytes / m_changes / m_settings.nodes);
    values.emplace_back("platform_calls_per_change", calls / m_changes);
    report("change", std::move(values));
    return {};
}

Result<Arrivals> SpreadCase::changeWithFault(int signal, Arrivals &back)
{
    auto nodes = allNodes();
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    const auto victimCount = static_cast<std::ptrdiff_t>(nodes.size() / FaultShare);
    const Nodes victims(nodes.begin(), nodes.begin() + victimCount);
    const Nodes others(nodes.begin() + victimCount, nodes.end());
    const auto start = std::chrono::system_clock::now();
    BOOST_LEAF_AUTO(revision, m_fleet.publishChange());
    std::this_thread::sleep_for(milliseconds(m_random() % FaultDelay));
    for (auto *victim : victims) {
        victim->process->signal(signal);
        victim->stopped = signal == SIGSTOP;
    }
    auto arrivals = waitFor(others, revision, start, ChangeLimit);
    std::this_thread::sleep_for(StopTime);
    BOOST_LEAF_AUTO(some, bringBack(victims, signal));
    back.add(some);
    return arrivals;
}

Result<Arrivals> SpreadCase::bringBack(const Nodes &victims, int signal)
{
    m_fleet.readEvents();
    const auto start = std::chrono::system_clock::now();
    Nodes behind;
    for (auto *victim : victims) {
        if (signal == SIGSTOP) {
            const bool hadIt = !victim->events.empty() && victim->events.back().revision >= m_fleet.revision();
            victim->process->signal(SIGCONT);
            victim->stopped = false;
            hadIt ? void() : behind.push_back(victim);
            continue;
        }
        victim->process->waitForEnd(ChangeLimit);
        BOOST_LEAF_CHECK(m_fleet.startNode(*victim));
        behind.push_back(victim);
    }
    return waitFor(behind, m_fleet.revision(), start, ChangeLimit);
}

Result<void> SpreadCase::measureFault(const std::string &phase, int signal)
{
    Arrivals arrivals;
    Arrivals back;
    for (unsigned n = 0; n < std::max(1U, m_changes / 2); ++n) {
        progress(phase + " " + std::to_string(n + 1));
        BOOST_LEAF_AUTO(some, changeWithFault(signal, back));
        arrivals.add(some);
        pause(ChangeGap);
    }
    auto values = arrivalValues(arrivals);
    values.emplace_back("back_nodes", static_cast<double>(back.times.size() + back.missed));
    values.emplace_back("back_p99_ms", quantile(back.times, 0.99));
    values.emplace_back("back_last_ms", quantile(back.times, 1));
    values.emplace_back("back_missed_nodes", back.missed);
    report(phase, std::move(values));
    return {};
}

Result<void> SpreadCase::run()
{
    BOOST_LEAF_CHECK(m_fleet.startPlatform());
    BOOST_LEAF_CHECK(measureStart("start"));
    measureIdle();
    BOOST_LEAF_CHECK(measureChanges());
    BOOST_LEAF_CHECK(measureFault("change-kill", SIGKILL));
    BOOST_LEAF_CHECK(measureFault("change-stop", SIGSTOP));
    m_fleet.killNodes();
    return measureStart("herd");
}

// ---- experiment -------------------------------------------------------------------------------------------------

class SpreadExperiment : public Experiment
{
public:
    std::string name() const override
    {
        return "spread";
    }
    std::string summary() const override
    {
        return "time to be in force everywhere and its cost, for each way to spread";
    }
    std::vector<poptOption> options() override;
    std::vector<PlotSpec> plots() const override;
    Result<void> run(std::uint64_t seed, Reporter &reporter) override;

private:
    const char *m_sizes = "25";
    const char *m_modes = "baseline,gossip,tree,tree-digest";
    const char *m_prefix = "127.21";
    const char *m_folder = "build/bench-spread";
    int m_changes = 4;
    int m_idleSeconds = 5;
};

std::vector<poptOption> SpreadExperiment::options()
{
    return {{"sizes", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &m_sizes, 0, "nodes, several separated by commas", "LIST"},
            {"modes", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &m_modes, 0, "ways to spread, separated by commas", "LIST"},
            {"prefix", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &m_prefix, 0, "first two numbers of all addresses", "A.B"},
            {"folder", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &m_folder, 0, "logs of the processes; emptied first", "FOLDER"},
            {"changes", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &m_changes, 0, "changes per case; half as many with each fault", "COUNT"},
            {"idle", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &m_idleSeconds, 0, "length of the idle window", "SECONDS"}};
}

std::vector<PlotSpec> SpreadExperiment::plots() const
{
    return {{"Change in force on the last node", "change", "nodes", "last_ms"},
            {"Change in force, 99 in 100", "change", "nodes", "p99_ms"},
            {"Last reachable node, a fifth killed in mid spread", "change-kill", "nodes", "last_ms"},
            {"Last reachable node, a fifth stopped in mid spread", "change-stop", "nodes", "last_ms"},
            {"Control bytes of an idle node", "idle", "nodes", "control_bytes_per_s_per_node"},
            {"Control bytes of a change, per node", "change", "nodes", "control_bytes_per_change_per_node"},
            {"Platform calls of an idle fleet", "idle", "nodes", "platform_calls_per_s"},
            {"Platform calls in the busiest second of a herd's return", "herd", "nodes", "busiest_second_calls"},
            {"Processor share of an idle node", "idle", "nodes", "core_percent_per_node"},
            {"Memory of a node", "idle", "nodes", "rss_mib_per_node"}};
}

Result<void> SpreadExperiment::run(std::uint64_t seed, Reporter &reporter)
{
    if (m_changes < 1 || m_idleSeconds < 1) {
        return fail(ErrorKind::InvalidInput, "--changes and --idle must be at least 1", "give a whole number from 1");
    }
    for (const auto &size : splitList(m_sizes)) {
        const auto nodes = std::strtoul(size.c_str(), nullptr, 10);
        if (nodes < DataCentres || nodes > 1'000) {
            return fail(ErrorKind::InvalidInput, "--sizes: '" + size + "' is not allowed", "use numbers from 8 to 1000");
        }
        for (const auto &mode : splitList(m_modes)) {
            FleetSettings settings;
            settings.nodes = static_cast<unsigned>(nodes);
            settings.spreadMode = mode;
            settings.prefix = m_prefix;
            settings.folder = std::string(m_folder) + "/" + mode + "-" + size;
            SpreadCase one(settings, static_cast<unsigned>(m_changes), seconds(m_idleSeconds), seed, reporter);
            BOOST_LEAF_CHECK(one.run());
        }
    }
    return {};
}

const ExperimentRegistration registration([] { return std::make_unique<SpreadExperiment>(); });

} // namespace

} // namespace Fescuenotch::Bench
