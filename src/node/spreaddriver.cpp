// Sections: [platform threads] [driver] [actions] [snapshot]
#include "node/spreaddriver.h"

#include "kernel/logging.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <shared_mutex>
#include <thread>

namespace Fescuenotch {

namespace {

constexpr Duration TickInterval = milliseconds(50);
constexpr Duration PauseThreshold = milliseconds(300); ///< a tick delayed by more than this means that the process was paused
constexpr Duration ViewMaxAge = milliseconds(500); ///< the membership view is not trusted when the last tick is older
constexpr Duration PeerRefreshInterval = seconds(1); ///< between updates of the copy of the member list for the request path

// ---- [platform threads] -----------------------------------------------------------------------------------------

/// A thread that runs a blocking task each time it is triggered. Triggers during a run are combined into one further run.
class TriggeredThread
{
public:
    explicit TriggeredThread(std::function<void()> task)
        : m_task(std::move(task))
        , m_thread([this] { run(); })
    {
    }

    ~TriggeredThread()
    {
        stop();
    }

    TriggeredThread(const TriggeredThread &) = delete;
    TriggeredThread &operator=(const TriggeredThread &) = delete;

    void trigger()
    {
        const std::lock_guard lock(m_mutex);
        m_triggered = true;
        m_changed.notify_all();
    }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
            m_changed.notify_all();
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_changed.wait(lock, [this] { return m_stopped || m_triggered; });
            if (m_stopped) {
                return;
            }
            m_triggered = false;
            lock.unlock();
            m_task();
            lock.lock();
        }
    }

    std::function<void()> m_task;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_triggered = false;
    bool m_stopped = false;
    std::thread m_thread; ///< declared last, since it uses all other members
};

SpreadWay toSpreadWay(const std::string &mode)
{
    if (mode == "baseline") {
        return SpreadWay::Baseline;
    }
    if (mode == "gossip") {
        return SpreadWay::Gossip;
    }
    return mode == "tree" ? SpreadWay::Tree : SpreadWay::TreeDigest;
}

SpreadSettings toSpreadSettings(const SpreadDependencies &dependencies)
{
    const auto &node = *dependencies.settings;
    SpreadSettings settings;
    settings.self = node.peerListen;
    settings.incarnation = dependencies.incarnation;
    settings.dataCentre = node.dataCentre;
    settings.service = node.service;
    settings.way = toSpreadWay(node.spreadMode);
    settings.readers = node.readers;
    settings.treeFanOut = node.treeFanOut;
    settings.digestPeriod = node.digestPeriod;
    settings.spreadTarget = node.spreadTarget;
    settings.callsPerSecond = node.platformRate;
    settings.callShare = node.platformShare;
    settings.seed = std::random_device()();
    return settings;
}

/// Data of a member that the request path needs.
struct PeerEntry {
    Endpoint peer;
    std::uint64_t incarnation = 0;
};

struct SpreadCounters {
    explicit SpreadCounters(MetricsRegistry &metrics)
        : configCalls(metrics.counter("fescuenotch_platform_calls_total", "Calls to the platform.", {{"kind", "config"}}))
        , hostCalls(metrics.counter("fescuenotch_platform_calls_total", "Calls to the platform.", {{"kind", "hosts"}}))
        , configErrors(metrics.counter("fescuenotch_platform_errors_total", "Calls to the platform that failed.", {{"kind", "config"}}))
        , hostErrors(metrics.counter("fescuenotch_platform_errors_total", "Calls to the platform that failed.", {{"kind", "hosts"}}))
        , swaps(metrics.counter("fescuenotch_in_force_swaps_total", "Snapshots put in force."))
        , olderRefused(metrics.counter("fescuenotch_older_snapshots_refused_total", "Snapshots refused because a newer one was in force before."))
        , wakes(metrics.counter("fescuenotch_wakes_total", "Pauses of this process that were noticed."))
    {
    }

    Counter &configCalls;
    Counter &hostCalls;
    Counter &configErrors;
    Counter &hostErrors;
    Counter &swaps;
    Counter &olderRefused;
    Counter &wakes;
};

// ---- [driver] ---------------------------------------------------------------------------------------------------

class Driver final : public SpreadDriver
{
public:
    explicit Driver(const SpreadDependencies &dependencies)
        : m_dependencies(dependencies)
        , m_counters(*dependencies.metrics)
        , m_store(makeRecordStore())
        , m_core(makeSpreadCore(toSpreadSettings(dependencies), *m_store))
        , m_lastTick(Clock::now())
    {
        registerGauges();
    }

    ~Driver() override
    {
        stop();
    }

    Driver(const Driver &) = delete;
    Driver &operator=(const Driver &) = delete;

    void start() override
    {
        m_configThread = std::make_unique<TriggeredThread>([this] { fetchConfig(); });
        m_hostThread = std::make_unique<TriggeredThread>([this] { fetchHosts(); });
        m_dependencies.timers->onLateWake(PauseThreshold, [this](TimePoint now, Duration lateness) { onWake(now, lateness); });
        m_tick = m_dependencies.timers->every(TickInterval, [this](TimePoint now) { onTick(now); });
    }

    void onControl(const std::string &bytes) override
    {
        dispatch([&](TimePoint now) { return m_core->onMessage(now, bytes); });
    }

    void onPeerLost(const Endpoint &peer) override
    {
        dispatch([&](TimePoint now) { return m_core->onPeerLost(now, peer); });
    }

    void onPeerLeaving(const Endpoint &peer) override
    {
        std::uint64_t incarnation = 0;
        {
            const std::shared_lock lock(m_peersMutex);
            const auto it = m_peersByHost.find(peer.host);
            incarnation = it == m_peersByHost.end() ? 0 : it->second.incarnation;
        }
        markLeaving(peer.host, incarnation);
    }

    void leave() override
    {
        dispatch([&](TimePoint now) { return m_core->leave(now); });
    }

    void stop() override
    {
        if (m_stopped.exchange(true)) {
            return;
        }
        m_dependencies.timers->cancel(m_tick);
        m_dependencies.platform->interrupt();
        m_configThread.reset();
        m_hostThread.reset();
    }

    bool viewTrusted() const override
    {
        return m_trusted && Clock::now() - m_lastTick.load() < ViewMaxAge;
    }

    std::optional<Endpoint> peerOf(const std::string &host) const override
    {
        const std::shared_lock lock(m_peersMutex);
        const auto it = m_peersByHost.find(host);
        return it == m_peersByHost.end() ? std::nullopt : std::optional(it->second.peer);
    }

    SpreadStatus status() const override
    {
        const auto now = Clock::now();
        const std::lock_guard lock(m_mutex);
        SpreadStatus status;
        status.inForce = m_dependencies.inForce->current();
        status.rejected = m_store->rejected();
        status.report = m_core->report(now);
        status.members = m_core->members();
        status.highWater = m_store->highWater();
        status.stalePages = m_store->stalePages();
        status.reader = m_core->isReader(now);
        status.viewTrusted = m_core->viewTrusted(now);
        return status;
    }

private:
    /// Exports the core's counts as gauges, which are read when the metrics page is requested.
    void registerGauges()
    {
        const auto add = [this](const char *name, const char *help, std::uint64_t SpreadCounts::*field) {
            m_dependencies.metrics->gauge(name, help, {}, [this, field] {
                const std::lock_guard lock(m_mutex);
                return static_cast<double>(m_core->counts().*field);
            });
        };
        add("fescuenotch_stale_pages", "Answers of the platform that were older than what this node holds.", &SpreadCounts::stalePages);
        add("fescuenotch_bad_control_messages", "Control messages that did not decode.", &SpreadCounts::badMessages);
        add("fescuenotch_stale_senders", "Control messages of a process that has been replaced at its address.", &SpreadCounts::staleSenders);
        add("fescuenotch_suspicions", "Members that this node suspected itself.", &SpreadCounts::suspicions);
        add("fescuenotch_refutations", "Times that other nodes held this node to be gone.", &SpreadCounts::refutations);
        add("fescuenotch_digest_repairs", "Comparisons with a peer whose records differed.", &SpreadCounts::repairs);
    }

    template<typename F>
    void dispatch(F &&decide)
    {
        const auto now = Clock::now();
        SpreadActions actions;
        {
            const std::lock_guard lock(m_mutex);
            actions = decide(now);
            m_trusted = m_core->viewTrusted(now);
        }
        execute(std::move(actions));
    }

    void onTick(TimePoint now)
    {
        m_lastTick = now;
        dispatch([&](TimePoint at) { return m_core->onTick(at); });
        if (now >= m_nextPeerRefresh) {
            m_nextPeerRefresh = now + PeerRefreshInterval;
            refreshPeers();
        }
    }

    void onWake(TimePoint now, Duration lateness)
    {
        m_counters.wakes.add();
        logEvent(LogLevel::Warning, "process_was_paused").with("ms", std::chrono::duration_cast<milliseconds>(lateness).count());
        m_trusted = false;
        m_lastTick = now;
        if (m_dependencies.onWake) {
            m_dependencies.onWake(now);
        }
        dispatch([&](TimePoint at) { return m_core->onWake(at, lateness); });
    }

    void fetchConfig()
    {
        std::uint64_t after = 0;
        milliseconds wait{0};
        {
            const std::lock_guard lock(m_mutex);
            after = m_watchAfter;
            wait = m_watchWait;
        }
        m_counters.configCalls.add();
        auto answer = valueOrError([&] { return m_dependencies.platform->watchConfig(after, wait); });
        if (const auto *error = std::get_if<Error>(&answer)) {
            onPlatformError(PlatformCall::Config, *error, m_counters.configErrors);
            return;
        }
        std::get<0>(answer).after = after;
        dispatch([&](TimePoint now) { return m_core->onConfigPage(now, std::get<0>(answer)); });
    }

    void fetchHosts()
    {
        m_counters.hostCalls.add();
        const auto answer = valueOrError([&] { return m_dependencies.platform->hosts(); });
        if (const auto *error = std::get_if<Error>(&answer)) {
            onPlatformError(PlatformCall::Hosts, *error, m_counters.hostErrors);
            return;
        }
        dispatch([&](TimePoint now) { return m_core->onHostList(now, std::get<0>(answer)); });
        refreshPeers();
    }

    void onPlatformError(PlatformCall call, const Error &error, Counter &counter)
    {
        if (m_stopped) {
            return;
        }
        counter.add();
        logEvent(LogLevel::Debug, "platform_call_failed").with(error);
        dispatch([&](TimePoint now) { return m_core->onPlatformError(now, call, error); });
    }

    // ---- [actions]
    void execute(SpreadActions actions)
    {
        if (m_stopped) {
            return;
        }
        for (auto &send : actions.sends) {
            m_dependencies.peers->sendControl(send.to, send.kind, std::move(send.bytes));
        }
        if (actions.watchConfig) {
            {
                const std::lock_guard lock(m_mutex);
                m_watchAfter = actions.watchAfter;
                m_watchWait = actions.watchWait;
            }
            m_configThread->trigger();
        }
        if (actions.readHosts) {
            m_hostThread->trigger();
        }
        for (const auto &host : actions.leavingHosts) {
            markLeaving(host, std::nullopt);
        }
        if (actions.recordsChanged) {
            rebuildSnapshot();
        }
    }

    /// Marks a host as leaving. With `incarnation`, only a later incarnation ends this; without, the next time that the core
    /// reports the host as alive.
    void markLeaving(const std::string &host, std::optional<std::uint64_t> incarnation)
    {
        logEvent(LogLevel::Info, "host_takes_no_new_work").with("peer_host", host);
        {
            const std::unique_lock lock(m_peersMutex);
            m_leaving[host] = incarnation;
        }
        if (m_dependencies.onLeaving) {
            m_dependencies.onLeaving(host);
        }
    }

    /// Updates the member data of the request path, and reports leaving hosts that have returned.
    void refreshPeers()
    {
        std::vector<MemberView> members;
        {
            const std::lock_guard lock(m_mutex);
            members = m_core->members();
        }
        std::vector<std::string> back;
        {
            const std::unique_lock lock(m_peersMutex);
            for (const auto &member : members) {
                m_peersByHost[member.host] = {member.peer, member.incarnation};
                if (hasReturnedLocked(member)) {
                    m_leaving.erase(member.host);
                    back.push_back(member.host);
                }
            }
            m_peersByHost[m_dependencies.settings->host] = {m_dependencies.settings->peerListen, m_dependencies.incarnation};
        }
        for (const auto &host : back) {
            logEvent(LogLevel::Info, "host_is_back").with("peer_host", host);
            if (m_dependencies.onAlive) {
                m_dependencies.onAlive(host);
            }
        }
    }

    bool hasReturnedLocked(const MemberView &member) const
    {
        const auto it = m_leaving.find(member.host);
        if (it == m_leaving.end() || member.state != MemberState::Alive) {
            return false;
        }
        return !it->second || member.incarnation > *it->second;
    }

    // ---- [snapshot]
    void rebuildSnapshot()
    {
        std::optional<Service> ownService;
        std::optional<SnapshotPtr> swapped;
        const std::lock_guard order(m_swapMutex);
        {
            const std::lock_guard lock(m_mutex);
            ownService = m_store->service(m_dependencies.settings->service);
            swapped = buildLocked();
        }
        if (ownService) {
            notifyTarget(*ownService);
        }
        if (swapped) {
            activate(*swapped);
        }
    }

    std::string selectedProfileLocked() const
    {
        return m_dependencies.settings->profile.empty() ? m_store->profileOf(m_dependencies.settings->service) : m_dependencies.settings->profile;
    }

    /// Builds the snapshot of the selected profile. Nothing when it does not change the one in force or is older than one that
    /// was in force before; null when the profile was withdrawn.
    std::optional<SnapshotPtr> buildLocked()
    {
        const auto old = m_dependencies.inForce->current();
        const auto profile = selectedProfileLocked();
        if (profile.empty()) {
            return std::nullopt;
        }
        auto next = m_store->build(profile, old != nullptr && old->profileName == profile ? old : nullptr);
        if (next == old || (next == nullptr && old != nullptr && old->profileName != profile)) {
            return std::nullopt;
        }
        if (next != nullptr && next->version < m_newestInForce[profile]) {
            m_counters.olderRefused.add();
            return std::nullopt;
        }
        if (next != nullptr) {
            m_newestInForce[profile] = next->version;
        }
        return next;
    }

    void activate(const SnapshotPtr &next)
    {
        m_dependencies.inForce->swap(next);
        m_counters.swaps.add();
        if (next == nullptr) {
            logEvent(LogLevel::Info, "profile_withdrawn");
            dispatch([&](TimePoint now) { return m_core->onInForce(now, "", Version{}); });
            return;
        }
        logEvent(LogLevel::Info, "profile_in_force")
            .with("profile", next->profileName)
            .with("epoch", next->version.epoch)
            .with("revision", next->version.revision);
        dispatch([&](TimePoint now) { return m_core->onInForce(now, next->profileName, next->version); });
    }

    void notifyTarget(const Service &service)
    {
        const auto it = std::find_if(
            service.targets.begin(), service.targets.end(), [this](const TargetEntry &target) { return target.host == m_dependencies.settings->host; });
        if (it != service.targets.end() && m_dependencies.onTarget) {
            m_dependencies.onTarget(*it);
        }
    }

    const SpreadDependencies m_dependencies;
    SpreadCounters m_counters;
    mutable std::mutex m_mutex; ///< guards the store, the core and the parameters of the next watch call
    std::unique_ptr<RecordStore> m_store;
    std::unique_ptr<SpreadCore> m_core;
    std::uint64_t m_watchAfter = 0;
    milliseconds m_watchWait{0};
    std::map<std::string, Version> m_newestInForce;
    std::recursive_mutex m_swapMutex; ///< serializes swaps of the snapshot; locked before m_mutex
    mutable std::shared_mutex m_peersMutex; ///< guards m_peersByHost and m_leaving
    std::map<std::string, PeerEntry> m_peersByHost;
    std::map<std::string, std::optional<std::uint64_t>> m_leaving; ///< by host; with the incarnation that announced its shutdown
    std::atomic<bool> m_trusted{false};
    std::atomic<bool> m_stopped{false};
    std::atomic<TimePoint> m_lastTick;
    TimePoint m_nextPeerRefresh; ///< timer thread only
    TimerId m_tick = 0;
    std::unique_ptr<TriggeredThread> m_configThread;
    std::unique_ptr<TriggeredThread> m_hostThread;
};

} // namespace

std::unique_ptr<SpreadDriver> makeSpreadDriver(const SpreadDependencies &dependencies)
{
    return std::make_unique<Driver>(dependencies);
}

} // namespace Fescuenotch
