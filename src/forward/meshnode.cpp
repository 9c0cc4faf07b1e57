// Sections: [components] [pages] [configuration] [targets] [evacuations] [links] [crashes] [state] [settings and stop]
#include "forward/meshnode.h"

#include "kernel/logging.h"
#include "kernel/processmetrics.h"

#include <nlohmann/json.hpp>

#include <sys/stat.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

namespace Fescuenotch {

namespace {

constexpr int NoIndentation = -1; ///< of JSON
constexpr milliseconds MaintenancePeriod{500}; ///< ms between checks of deferred removals of targets, of the links and of the settings file
constexpr unsigned MaintenanceRunsPerLoadLog = 4; ///< at most one log line per two seconds
constexpr milliseconds StoreWatchCheckPeriod{250}; ///< ms between decisions whether this node watches the store
constexpr milliseconds StopCheckPeriod{50}; ///< ms
constexpr milliseconds QuietPeriodBeforeExit{300}; ///< ms without a new request before the process exits
constexpr double TypicalConfigurationBytes = 512 * 1024; ///< bytes; about three thousand routes in the encoding of the store

std::uint64_t newIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Time to transfer `bytes` over a link of `mbps` Mbit/s.
milliseconds transferTime(double bytes, double mbps)
{
    constexpr double BitsPerByte = 8;
    constexpr double BitsPerMillisecond = 1'000; // per Mbit/s
    return milliseconds(static_cast<milliseconds::rep>(bytes * BitsPerByte / (mbps * BitsPerMillisecond)));
}

/// Whether two configurations say the same; peers deliver routes and services in another order.
bool isSameContent(MeshConfiguration a, MeshConfiguration b)
{
    const auto byName = [](const auto &x, const auto &y) { return x.name < y.name; };
    for (auto *each : {&a, &b}) {
        std::sort(each->routes.begin(), each->routes.end(), byName);
        std::sort(each->services.begin(), each->services.end(), byName);
    }
    return a == b;
}

const char *yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

} // namespace

// ---- [components] -----------------------------------------------------------------------------------------------

MeshNode::MeshNode(std::unique_ptr<PlatformAdapter> adapter, const MeshNodeOptions &options)
    : m_adapter(std::move(adapter))
    , m_options(options)
    , m_metrics(makeMetricsRegistry())
    , m_incarnation(newIncarnation())
    , m_random(m_incarnation)
{
}

MeshNode::~MeshNode()
{
    m_worker.reset(); // first, since its jobs use the other members
}

Result<void> MeshNode::start()
{
    settingsFileChanged(); // remembers the file before it is read, so that a later change is seen
    BOOST_LEAF_AUTO(settings, m_adapter->readSettings());
    m_settings = settings;
    registerProcessMetrics(*m_metrics);
    createComponents();
    BOOST_LEAF_CHECK(listen());
    m_store->start();
    m_storeWatchTimer.repeat(m_loop.timers(), StoreWatchCheckPeriod, [this](TimePoint now) { updateStoreWatch(now); });
    m_maintenanceTimer.repeat(m_loop.timers(), MaintenancePeriod, [this](TimePoint now) {
        for (const auto &change : m_targets.tick(now)) {
            logTargetChange(change, "deferred removal");
        }
        onEvacuationChanges(m_evacuations.tick(now));
        m_crashSuspects.tick(now);
        onTargetsChanged();
        reportOwnTarget();
        prepareLinks();
        if (++m_maintenanceRuns % MaintenanceRunsPerLoadLog == 0) {
            m_dispatcher->logLoad();
        }
        if (settingsFileChanged()) {
            readChangedSettings();
        }
    });
    logEvent(LogLevel::Info, "node_started")
        .with("node", m_settings.nodeName)
        .with("data_centre", m_settings.dataCentre)
        .with("service", m_settings.service)
        .with("target", toString(m_settings.targetAddress))
        .with("callers", toString(m_settings.callerListen))
        .with("peers", toString(m_settings.peerListen))
        .with("store", toString(m_settings.store))
        .with("incarnation", m_incarnation)
        .with("drain_limit_ms", m_settings.drainLimit.count())
        .with("stop_limit_ms", m_settings.stopLimit.count());
    return {};
}

void MeshNode::createComponents()
{
    auto &metrics = *m_metrics;
    m_configurationsApplied = &metrics.counter("fescuenotch_mesh_configurations_total", "Configurations put in force.");
    m_configurationsRefused = &metrics.counter("fescuenotch_mesh_configurations_refused_total", "Configurations that cannot be read or are not valid.");
    m_unreadableEntries = &metrics.counter("fescuenotch_mesh_unreadable_entries_total", "Entries of targets that cannot be read; they name no target.");
    metrics.gauge("fescuenotch_mesh_configuration_version", "Version of the configuration in force.", {}, [this] {
        return m_entry->table() ? static_cast<double>(m_entry->table()->version()) : 0.0;
    });
    metrics.gauge("fescuenotch_mesh_targets", "Targets that are listed.", {}, [this] { return static_cast<double>(m_targets.size()); });
    metrics.gauge(
        "fescuenotch_store_era", "Era of the store's history that the list of targets is of.", {}, [this] { return static_cast<double>(m_storePosition.era); });
    metrics.gauge("fescuenotch_store_entries_in_doubt", "Targets that the store lacks since its era rose.", {}, [this] {
        return static_cast<double>(m_targets.inDoubt());
    });
    metrics.gauge("fescuenotch_mesh_quarantined_requests", "Requests that are refused because they crash the targets that run them.", {}, [this] {
        return static_cast<double>(m_crashSuspects.quarantined());
    });
    metrics.gauge("fescuenotch_unexpected_errors",
                  "Exceptions that left a handler since the start; each is a defect and has a line unexpected_error.",
                  {},
                  [this] { return static_cast<double>(m_loop.unexpectedErrors()); });
    metrics.gauge(
        "fescuenotch_mesh_evacuated_data_centres", "Data centres that are evacuated.", {}, [this] { return static_cast<double>(m_evacuations.evacuated()); });
    metrics.gauge("fescuenotch_store_age_seconds", "Time since the store's last answer.", {}, [this] {
        const auto age = m_store->sync().age(m_loop.now());
        return age == Duration::max() ? -1.0 : std::chrono::duration<double>(age).count();
    });

    m_usesEvacuations = m_settings.evacuationLimit.has_value();
    m_worker = std::make_unique<Worker>(m_loop);
    m_memory = std::make_unique<MemoryBudget>(m_settings.memoryBytes);
    m_memory->setOnExceeded([this] { m_loop.defer([this] { enforceMemoryBudget(); }); });
    addMemoryMetrics();
    m_dispatcher = std::make_unique<TargetDispatcher>(m_loop, m_settings, *m_adapter, metrics);
    m_dispatcher->setMemoryBudget(*m_memory);
    m_dispatcher->setCrashEvents([this](const std::vector<CrashSuspect> &suspects) { onTargetCrashed(suspects); },
                                 [this](Fingerprint fingerprint) { onRequestAnswered(fingerprint); });
    m_state = std::make_unique<StateExchange>(*m_worker, m_settings, m_targets, *this, metrics);
    m_links = std::make_unique<PeerLinks>(
        m_loop, LinkIdentity{m_settings.host, m_settings.dataCentre, m_incarnation}, m_settings.linkMbps, *m_dispatcher, *this, metrics);
    m_links->setMemoryBudget(*m_memory);
    m_state->setLinks(*m_links);
    m_dispatcher->setUplink(m_links->uplink(), [this] { return m_links->uplinkBacklog(); });
    EntryDependencies dependencies;
    dependencies.loop = &m_loop;
    dependencies.settings = &m_settings;
    dependencies.adapter = m_adapter.get();
    dependencies.metrics = &metrics;
    dependencies.targets = &m_targets;
    dependencies.evacuations = evacuations();
    dependencies.localForwarder = m_dispatcher.get();
    dependencies.links = m_links.get();
    dependencies.crashSuspects = &m_crashSuspects;
    dependencies.memory = m_memory.get();
    dependencies.seed = m_incarnation;
    m_entry = std::make_unique<EntryContext>(dependencies);
    m_callerServer = std::make_unique<CallerHttpServer>(*m_entry, metrics);
    m_pageServer = std::make_unique<PageServer>(m_loop);
    StoreSyncSettings store;
    store.seed = m_incarnation;
    store.readEvacuations = m_usesEvacuations;
    store.minOutageForDeferral = m_settings.heartbeat * 2;
    store.configurationDelay = transferTime(TypicalConfigurationBytes, m_settings.linkMbps);
    m_store = std::make_unique<StoreClient>(m_loop, *m_worker, m_settings.store, *m_adapter, store, *this, metrics);
}

void MeshNode::addMemoryMetrics()
{
    const auto *help = "Bytes that are buffered for receivers, for the target, and of bodies that are being received.";
    for (const auto holder : {MemoryBudget::Holder::Caller, MemoryBudget::Holder::Peer, MemoryBudget::Holder::Target, MemoryBudget::Holder::Body}) {
        m_metrics->gauge("fescuenotch_memory_buffered_bytes", help, {{"holder", MemoryBudget::holderName(holder)}}, [this, holder] {
            return static_cast<double>(m_memory->usedBy(holder));
        });
    }
    m_metrics->gauge(
        "fescuenotch_memory_budget_bytes", "Bytes that may be buffered; 0: no limit.", {}, [this] { return static_cast<double>(m_memory->limit()); });
    const auto dropped = [this](MemoryBudget::Holder holder) {
        return &m_metrics->counter("fescuenotch_memory_dropped_answers_total",
                                   "Answers and unfinished bodies that were dropped because the budget for buffered bytes was used up.",
                                   {{"holder", MemoryBudget::holderName(holder)}});
    };
    m_droppedForCallers = dropped(MemoryBudget::Holder::Caller);
    m_droppedForPeers = dropped(MemoryBudget::Holder::Peer);
    m_droppedBodies = dropped(MemoryBudget::Holder::Body);
}

Counter &MeshNode::droppedCounter(MemoryBudget::Holder holder) const
{
    return holder == MemoryBudget::Holder::Body ? *m_droppedBodies : holder == MemoryBudget::Holder::Caller ? *m_droppedForCallers : *m_droppedForPeers;
}

void MeshNode::enforceMemoryBudget()
{
    m_callerServer->updateMemoryAccounts();
    const auto used = m_memory->used();
    const auto dropped = m_memory->enforce(m_loop.turnTime());
    if (dropped.empty()) {
        return;
    }
    std::size_t bytes = 0;
    auto shortestStall = Duration::max();
    double highestRate = 0;
    for (const auto &each : dropped) {
        droppedCounter(each.holder).add();
        bytes += each.bytes;
        shortestStall = std::min(shortestStall, each.stalled);
        highestRate = std::max(highestRate, each.rate);
    }
    logEvent(LogLevel::Warning, "memory_exceeded")
        .with("used_bytes", used)
        .with("budget_bytes", m_memory->limit())
        .with("dropped", dropped.size())
        .with("dropped_bytes", bytes)
        .with("shortest_stall_ms", std::chrono::duration_cast<milliseconds>(shortestStall).count())
        .with("highest_bytes_per_second", std::lround(highestRate));
}

Result<void> MeshNode::listen()
{
    addPages();
    BOOST_LEAF_CHECK(m_links->listen(m_settings.peerListen));
    BOOST_LEAF_CHECK(m_callerServer->listen(m_settings.callerListen));
    BOOST_LEAF_CHECK(m_pageServer->listen(m_settings.healthListen, "the health address"));
    if (m_options.operatorListen) {
        BOOST_LEAF_CHECK(m_pageServer->listen(*m_options.operatorListen, "--operator-listen"));
    }
    return {};
}

void MeshNode::run()
{
    m_loop.run();
    m_store->stop();
    const auto inFlight = m_callerServer->requestsInFlight();
    const auto undelivered = m_callerServer->closeBeforeExit();
    logEvent(LogLevel::Info, "node_left")
        .with("in_flight", inFlight)
        .with("undelivered_answers", undelivered.answers)
        .with("unsent_bytes", undelivered.backlog.pending)
        .with("unacknowledged_bytes", undelivered.backlog.unacknowledged);
}

// ---- [pages] ----------------------------------------------------------------------------------------------------

bool MeshNode::isReady() const
{
    const bool knowsEvacuations = !m_usesEvacuations || m_evacuations.isKnown();
    const bool knowsState = m_entry->table() != nullptr && m_hasTargets && knowsEvacuations;
    return knowsState && !m_dispatcher->awaitsFirstHealthAnswer() && !m_stop;
}

void MeshNode::addPages()
{
    const auto ready = [this] {
        const bool ok = isReady();
        return PageAnswer{ok ? 200U : 503U, "text/plain", ok ? "ready\n" : "not ready\n"};
    };
    m_pageServer->addPage(m_adapter->healthPath(), ready);
    m_pageServer->addPage("/readyz", ready);
    m_pageServer->addPage("/healthz", [] { return PageAnswer{200, "text/plain", "alive\n"}; });
    m_pageServer->addPage("/metrics", [this] { return PageAnswer{200, "text/plain; version=0.0.4", m_metrics->text()}; });
    m_pageServer->addPage("/status", [this] { return PageAnswer{200, "application/json", statusText()}; });
}

std::string MeshNode::statusText() const
{
    const auto now = m_loop.now();
    const auto age = m_store->sync().age(now);
    nlohmann::ordered_json status;
    status["node"] = m_settings.nodeName;
    status["data_centre"] = m_settings.dataCentre;
    status["ready"] = isReady();
    status["leaving"] = m_stop.has_value();
    status["configuration"] = m_entry->table() ? m_entry->table()->version() : 0;
    status["store_age_ms"] = age == Duration::max() ? -1 : std::chrono::duration_cast<milliseconds>(age).count();
    status["targets"] = nlohmann::json::array();
    for (const auto &target : m_targets.all()) {
        status["targets"].push_back({{"id", target.id},
                                     {"service", target.service},
                                     {"address", toString(target.address)},
                                     {"data_centre", target.dataCentre},
                                     {"state", target.state == TargetState::Ready ? "ready" : "draining"}});
    }
    status["evacuations_known"] = m_evacuations.isKnown();
    status["evacuations"] = nlohmann::json::array();
    for (const auto &each : m_evacuations.statuses(now)) {
        status["evacuations"].push_back({{"data_centre", each.update.dataCentre},
                                         {"evacuated", each.update.evacuated},
                                         {"pending", each.pending ? (each.pending->evacuated ? "evacuated" : "lifted") : "none"},
                                         {"era", each.update.position.era},
                                         {"revision", each.update.position.revision},
                                         {"age_ms", std::chrono::duration_cast<milliseconds>(each.age).count()},
                                         {"source", each.source}});
    }
    const auto report = m_dispatcher->report();
    status["own_target"] = {{"id", m_dispatcher->targetId()}, {"running", report.running}, {"waiting", report.waiting}, {"slots", report.limit}};
    // Names of targets may come from a peer's frame, whose strings need not be valid UTF-8.
    return status.dump(NoIndentation, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
}

// ---- [configuration] --------------------------------------------------------------------------------------------

void MeshNode::onConfigurationItem(const StoreItem &item)
{
    if (!item.value) {
        logEvent(LogLevel::Warning, "configuration_removed")
            .with("revision", item.revision)
            .with("remedy", "the last configuration stays in force; publish it again");
        return;
    }
    m_pendingConfiguration = item;
    parseNextConfiguration();
}

/// Parses one configuration at a time. Only the newest one waits, since older ones would be superseded at once.
void MeshNode::parseNextConfiguration()
{
    if (m_parsing || !m_pendingConfiguration) {
        return;
    }
    m_parsing = true;
    const auto item = std::move(*m_pendingConfiguration);
    m_pendingConfiguration.reset();
    m_worker->run(
        [this, value = *item.value]() -> std::variant<RoutingTablePtr, Error> {
            return valueOrError([&]() -> Result<RoutingTablePtr> {
                BOOST_LEAF_AUTO(configuration, m_adapter->decodeConfiguration(value));
                return RoutingTable::build(std::move(configuration));
            });
        },
        [this, revision = item.revision](const std::variant<RoutingTablePtr, Error> &parsed) { onConfigurationParsed(revision, parsed); });
}

void MeshNode::onConfigurationParsed(std::uint64_t revision, const std::variant<RoutingTablePtr, Error> &parsed)
{
    m_parsing = false;
    if (const auto *error = std::get_if<Error>(&parsed)) {
        m_configurationsRefused->add();
        logEvent(LogLevel::Warning, "configuration_refused").with("revision", revision).with(*error);
    } else {
        applyTable(std::get<RoutingTablePtr>(parsed), "store");
    }
    parseNextConfiguration();
}

void MeshNode::applyTable(const RoutingTablePtr &table, const std::string &source)
{
    const auto before = m_entry->table() ? m_entry->table()->version() : 0;
    if (m_entry->table() && table->version() <= before) {
        if (table->version() == before && !isSameContent(table->configuration(), m_entry->table()->configuration())) {
            logEvent(LogLevel::Error, "configuration_conflict")
                .with("version", before)
                .with("source", source)
                .with("remedy", "the content seen first stays in force; publish the other one under a higher version");
        }
        return;
    }
    m_configurationsApplied->add();
    logEvent(LogLevel::Info, "configuration_in_force")
        .with("version", table->version())
        .with("before", before)
        .with("source", source)
        .with("routes", table->configuration().routes.size())
        .with("services", table->configuration().services.size());
    m_callerServer->setLimits(table->configuration().callerLimits);
    m_entry->setTable(table);
    m_dispatcher->setService(table->service(m_settings.service));
    m_state->onTableInForce(table);
    if (m_store->isWatching()) {
        m_links->sendHeartbeatsNow(); // peers learn of the change from this node
    }
}

// ---- [targets] --------------------------------------------------------------------------------------------------

TargetUpdate MeshNode::decodeTargetItem(const StoreItem &item, std::uint64_t era)
{
    TargetUpdate update;
    update.id = item.id;
    update.position = {era, item.revision};
    if (!item.value) {
        return update;
    }
    auto decoded = valueOrError([&] { return m_adapter->decodeTarget(item.id, *item.value); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        m_unreadableEntries->add();
        logEvent(LogLevel::Warning, "unreadable_entry").with("target", item.id).with("revision", item.revision).with(*error);
        return update;
    }
    update.record = std::move(std::get<TargetRecord>(decoded));
    return update;
}

void MeshNode::logTargetChange(const TargetChange &change, const std::string &source)
{
    logEvent(LogLevel::Info, "target")
        .with("change", targetChangeName(change.kind))
        .with("target", change.record.id)
        .with("service", change.record.service)
        .with("address", toString(change.record.address))
        .with("data_centre", change.record.dataCentre)
        .with("cold_ms", change.record.coldRemaining.count())
        .with("source", source)
        .with("store_era", m_storePosition.era)
        .with("store_revision", m_storePosition.revision);
}

void MeshNode::advanceStorePosition(StorePosition position, bool allTargets, const std::string &source)
{
    if (!allTargets && position.era > m_storePosition.era) {
        return; // the complete list of the new era comes next
    }
    if (m_storePosition.era != 0 && position.era > m_storePosition.era) {
        m_eraHasRisen = true;
        logEvent(LogLevel::Warning, "store_era")
            .with("old", m_storePosition.era)
            .with("new", position.era)
            .with("old_revision", m_storePosition.revision)
            .with("new_revision", position.revision)
            .with("in_doubt", m_targets.inDoubt())
            .with("source", source);
    }
    m_storePosition = std::max(m_storePosition, position);
}

void MeshNode::onStoreUpdate(StoreUpdate update)
{
    const auto now = m_loop.turnTime();
    const auto removalsDeferredUntil = m_store->sync().removalsDeferredUntil();
    const std::pair digestsBefore{m_targets.digest(), m_targets.lifetimesDigest()};
    const auto eraBefore = m_storePosition.era;
    const auto evacuationsBefore = m_evacuations.digest();
    applyEvacuationItems(update); // before a configuration makes this node serve requests
    for (const auto &item : update.items) {
        if (item.kind == StoreItem::Kind::Configuration) {
            onConfigurationItem(item);
        } else if (item.kind == StoreItem::Kind::Target) {
            if (const auto change = m_targets.apply(now, decodeTargetItem(item, update.position.era), removalsDeferredUntil)) {
                logTargetChange(*change, "store");
            }
        }
    }
    if (update.listingComplete) {
        std::vector<TargetUpdate> listing;
        for (const auto &item : update.listing) {
            if (item.kind == StoreItem::Kind::Target) {
                listing.push_back(decodeTargetItem(item, update.position.era));
            }
        }
        update.listingIsStale ? applyStaleListing(now, listing) : applyListing(now, listing, update.position, removalsDeferredUntil);
        prepareLinks();
    }
    if (update.includesTargets) {
        advanceStorePosition(update.position, update.listingComplete, "store");
    }
    const bool evacuationsChanged = m_evacuations.digest() != evacuationsBefore;
    if (std::pair{m_targets.digest(), m_targets.lifetimesDigest()} != digestsBefore || m_storePosition.era > eraBefore || evacuationsChanged) {
        m_links->sendHeartbeatsNow(); // peers learn of the change from this node
    }
    onTargetsChanged();
    if (update.listingIsStale) {
        updateStoreWatch(now); // leaves the exact listing to the node that watches the store
    }
}

void MeshNode::applyListing(TimePoint now, const std::vector<TargetUpdate> &listing, StorePosition position, TimePoint removalsDeferredUntil)
{
    for (const auto &change : m_targets.applyListing(now, listing, position, removalsDeferredUntil)) {
        logTargetChange(change, "store");
    }
    m_hasTargets = true;
}

/// The entries name the hosts of peers. Targets may have left since, so they do not make this node ready.
void MeshNode::applyStaleListing(TimePoint now, const std::vector<TargetUpdate> &listing)
{
    for (const auto &each : listing) {
        if (const auto change = m_targets.apply(now, each, TimePoint::min())) {
            logTargetChange(*change, "store");
        }
    }
}

void MeshNode::onTargetsChanged()
{
    m_dispatcher->setTarget(m_targets.atAddress(m_settings.targetAddress));
    const auto targets = m_targets.all();
    std::set<std::string> hosts;
    for (const auto &target : targets) {
        hosts.insert(target.address.host);
        if (m_entry->isLocal(target)) {
            m_entry->loadBalancer.onReachable(target.id);
        } else if (m_links->isUp(m_entry->peerEndpoint(target))) {
            m_entry->loadBalancer.onLinked(target.id);
        }
    }
    m_entry->loadBalancer.retainOnly(targets);
    m_entry->loadBalancer.onEntries(m_loop.turnTime(), targets, [this](const std::string &name) {
        const auto *service = m_entry->table() ? m_entry->table()->service(name) : nullptr;
        return service == nullptr ? 0 : service->coldRequestRate;
    });
    m_entry->setNodeCount(hosts.size());
}

/// Peers get the same report in heartbeats. Otherwise this node would keep the report of its own last request to the target, which may
/// say that the target leaves or cannot be reached.
void MeshNode::reportOwnTarget()
{
    if (!m_dispatcher->targetId().empty()) {
        m_entry->loadBalancer.onReport(m_loop.turnTime(), m_dispatcher->targetId(), m_dispatcher->report());
    }
}

void MeshNode::prepareLinks()
{
    if (m_stop) {
        return;
    }
    updateSelectedPeers();
    for (const auto &peer : m_selectedPeers) {
        m_links->connect(peer);
    }
}

/// Selects the peers again if the targets or the services that callers ask for have changed.
void MeshNode::updateSelectedPeers()
{
    const auto services = m_entry->requestedServices();
    const std::pair inputs{m_targets.generation(), services.size()};
    if (m_selectedPeersFor == inputs) {
        return;
    }
    m_selectedPeersFor = inputs;
    std::vector<LinkCandidate> candidates;
    for (const auto &target : m_targets.all()) {
        if (target.state == TargetState::Ready) {
            candidates.push_back({target.address.host, target.dataCentre, target.service});
        }
    }
    LinkSelectionSettings settings;
    settings.host = m_settings.host;
    settings.dataCentre = m_settings.dataCentre;
    m_selectedPeers.clear();
    for (const auto &host : selectLinks(settings, candidates, services)) {
        m_selectedPeers.push_back({host, m_settings.peerListen.port});
    }
}

// ---- [evacuations] ----------------------------------------------------------------------------------------------

EvacuationUpdate MeshNode::evacuationUpdate(const StoreItem &item, std::uint64_t era)
{
    if (!Evacuations::isValidName(item.id)) {
        logEvent(LogLevel::Warning, "evacuation_ignored")
            .with("characters", item.id.size())
            .with("revision", item.revision)
            .with("remedy", "delete the key; write one that ends in the name of a data centre");
    }
    return {item.id, {era, item.revision}, item.value.has_value()};
}

void MeshNode::applyEvacuationItems(const StoreUpdate &update)
{
    if (!m_usesEvacuations) {
        return;
    }
    const auto now = m_loop.turnTime();
    const auto era = update.position.era;
    m_evacuations.notePosition(now, update.position);
    std::vector<EvacuationChange> changes;
    for (const auto &item : update.items) {
        if (item.kind != StoreItem::Kind::Evacuation) {
            continue;
        }
        if (auto change = m_evacuations.apply(now, evacuationUpdate(item, era), "store")) {
            changes.push_back(std::move(*change));
        }
    }
    if (update.evacuationsComplete) {
        std::vector<EvacuationUpdate> listing;
        for (const auto &item : update.evacuations) {
            listing.push_back(evacuationUpdate(item, era));
        }
        auto listed = m_evacuations.applyListing(now, listing, update.position, "store");
        std::move(listed.begin(), listed.end(), std::back_inserter(changes));
    }
    onEvacuationChanges(changes);
}

bool MeshNode::applyEvacuations(const std::vector<EvacuationUpdate> &updates, StorePosition position, const std::string &source)
{
    const auto now = m_loop.turnTime();
    const auto before = m_evacuations.digest();
    m_evacuations.notePosition(now, position);
    std::vector<EvacuationChange> changes;
    for (const auto &update : updates) {
        if (auto change = m_evacuations.apply(now, update, source)) {
            changes.push_back(std::move(*change));
        }
    }
    m_evacuations.setKnown();
    onEvacuationChanges(changes);
    return m_evacuations.digest() != before;
}

void MeshNode::onEvacuationChanges(const std::vector<EvacuationChange> &changes)
{
    for (const auto &change : changes) {
        logEvacuationChange(change);
    }
    const bool wasEvacuated = m_dispatcher->isEvacuated();
    m_dispatcher->setEvacuated(m_evacuations.isEvacuated(m_settings.dataCentre));
    if (wasEvacuated && !m_dispatcher->isEvacuated()) {
        onEvacuationLifted();
    }
}

void MeshNode::logEvacuationChange(const EvacuationChange &change) const
{
    const auto &update = change.update;
    logEvent(LogLevel::Warning, "evacuation")
        .with("change", evacuationChangeName(change.kind))
        .with("data_centre", update.dataCentre)
        .with("evacuated", yesOrNo(update.evacuated))
        .with("store_era", update.position.era)
        .with("store_revision", update.position.revision)
        .with("age_ms", std::chrono::duration_cast<milliseconds>(change.age).count())
        .with("source", change.source)
        .with("known_name", yesOrNo(isKnownDataCentre(update.dataCentre)))
        .with("running", m_dispatcher->report().running)
        .with("waiting", m_dispatcher->report().waiting);
}

bool MeshNode::isKnownDataCentre(const std::string &dataCentre) const
{
    const auto targets = m_targets.all();
    const bool hasTargets = std::any_of(targets.begin(), targets.end(), [&](const auto &target) { return target.dataCentre == dataCentre; });
    return hasTargets || dataCentre == m_settings.dataCentre || m_settings.regionByDataCentre.contains(dataCentre);
}

void MeshNode::onEvacuationLifted()
{
    logEvent(LogLevel::Info, "own_evacuation_lifted").with("data_centre", m_settings.dataCentre).with("target", m_dispatcher->targetId());
    m_dispatcher->checkColdness(); // it may have become cold while it was empty
}

const Evacuations *MeshNode::evacuations() const
{
    return m_usesEvacuations ? &m_evacuations : nullptr;
}

// ---- [links] ----------------------------------------------------------------------------------------------------

void MeshNode::onLinkUp(const Endpoint &peer)
{
    for (const auto &target : m_targets.all()) {
        if (target.address.host == peer.host) {
            m_entry->loadBalancer.onReachable(target.id);
        }
    }
}

void MeshNode::onLinkLost(const Endpoint &peer, CloseCause)
{
    m_state->onLinkLost(peer);
    for (const auto &target : m_targets.all()) {
        if (target.address.host == peer.host) {
            m_entry->loadBalancer.onUnreachable(m_loop.turnTime(), target.id);
        }
    }
}

void MeshNode::onHeartbeat(const Endpoint &peer, const LinkHeartbeat &heartbeat)
{
    m_store->onEraTold(heartbeat.storePosition.era);
    m_evacuations.notePosition(m_loop.turnTime(), heartbeat.storePosition);
    m_state->onHeartbeat(m_loop.turnTime(), peer, heartbeat);
    applyCrashNews(heartbeat.crashes, peer.host);
    if (!heartbeat.targetId.empty()) {
        m_entry->loadBalancer.onReport(m_loop.turnTime(), heartbeat.targetId, heartbeat.report);
    }
}

LinkHeartbeat MeshNode::ownHeartbeat(bool first)
{
    LinkHeartbeat heartbeat;
    heartbeat.targetId = m_dispatcher->targetId();
    heartbeat.report = m_dispatcher->report();
    heartbeat.configuration = m_entry->table() ? m_entry->table()->version() : 0;
    heartbeat.storePosition = m_storePosition;
    heartbeat.crashes = m_crashSuspects.toTell(m_loop.turnTime(), first);
    heartbeat.linkMbps = static_cast<unsigned>(m_settings.linkMbps);
    heartbeat.targetsDigest = m_hasTargets ? m_targets.digest() : 0;
    heartbeat.lifetimesDigest = m_hasTargets ? m_targets.lifetimesDigest() : 0;
    heartbeat.evacuationsDigest = m_usesEvacuations ? m_evacuations.digest() : 0;
    if (m_store->isWatching() && !m_stop) {
        heartbeat.storeAge = m_store->sync().age(m_loop.turnTime());
    }
    return heartbeat;
}

std::string MeshNode::initialStateRequest(const LinkIdentity &peer)
{
    return m_state->initialStateRequest(m_loop.turnTime(), peer);
}

void MeshNode::onStateNews(const MeshWire::StateNews &news)
{
    m_state->onNews(news);
}

std::string MeshNode::onStateRequest(const MeshWire::StateRequest &request)
{
    return m_state->onRequest(request);
}

// ---- [crashes] --------------------------------------------------------------------------------------------------

void MeshNode::onTargetCrashed(const std::vector<CrashSuspect> &suspects)
{
    const auto now = m_loop.turnTime();
    applyCrashNews({{{m_random(), now, suspects}}, {}}, "own target");
    m_links->sendHeartbeatsNow(); // entry nodes must know before they send the same again
}

void MeshNode::onRequestAnswered(Fingerprint fingerprint)
{
    if (m_crashSuspects.crashesOf(fingerprint) > 0) {
        applyCrashNews({{}, {{fingerprint, m_loop.turnTime()}}}, "own target");
    }
}

void MeshNode::applyCrashNews(const CrashNews &news, const std::string &source)
{
    const auto now = m_loop.turnTime();
    const auto before = m_crashSuspects.quarantined();
    bool changed = false;
    for (const auto &crash : news.crashes) {
        changed = m_crashSuspects.addCrash(now, crash) || changed;
    }
    for (const auto &clearance : news.clearances) {
        changed = m_crashSuspects.addClearance(now, clearance) || changed;
    }
    if (changed && m_crashSuspects.quarantined() != before) {
        logEvent(LogLevel::Warning, "quarantine").with("requests", m_crashSuspects.quarantined()).with("before", before).with("source", source);
    }
}

// ---- [state] ----------------------------------------------------------------------------------------------------

RoutingTablePtr MeshNode::tableInForce() const
{
    return m_entry->table();
}

void MeshNode::onSameTargets(StorePosition position, const std::string &source)
{
    m_targets.onSameListing(m_loop.turnTime(), position);
    advanceStorePosition(position, true, source);
}

StorePosition MeshNode::storePosition() const
{
    return m_storePosition;
}

bool MeshNode::hasEraRisen() const
{
    return m_eraHasRisen;
}

bool MeshNode::hasTargets() const
{
    return m_hasTargets;
}

void MeshNode::applyTargetUpdates(const std::vector<TargetUpdate> &updates, StorePosition position, bool allTargets, const std::string &source)
{
    const auto now = m_loop.turnTime();
    // The peer has already deferred removals where that was necessary.
    const auto noDeferral = TimePoint::min();
    if (allTargets) {
        for (const auto &change : m_targets.applyListing(now, updates, position, noDeferral)) {
            logTargetChange(change, source);
        }
    } else {
        for (const auto &each : updates) {
            if (const auto change = m_targets.apply(now, each, noDeferral)) {
                logTargetChange(*change, source);
            }
        }
    }
    advanceStorePosition(position, allTargets, source);
    const bool first = !m_hasTargets;
    m_hasTargets = true;
    onTargetsChanged();
    if (first) {
        prepareLinks();
    }
}

void MeshNode::updateStoreWatch(TimePoint now)
{
    m_state->tick(now);
    if (m_stop && !m_store->isWatching()) {
        return; // a listing and the configuration would take the link from the last answers
    }
    const bool watches = m_state->shouldWatch(now);
    if (watches != m_store->isWatching()) {
        logEvent(LogLevel::Info, "store_duty")
            .with("watches", yesOrNo(watches))
            .with("store_era", m_storePosition.era)
            .with("store_revision", m_storePosition.revision);
        m_store->setWatching(watches);
    }
}

// ---- [settings and stop] ----------------------------------------------------------------------------------------

void MeshNode::reload()
{
    m_loop.post([this] {
        if (m_stop) {
            logEvent(LogLevel::Info, "already_stopping").with("asked_for", "reload");
            return;
        }
        readChangedSettings();
    });
}

/// Polled, since the platform may replace the settings file without sending a signal.
bool MeshNode::settingsFileChanged()
{
    struct stat now = {};
    if (::stat(m_adapter->settingsPath().c_str(), &now) != 0) {
        return false;
    }
    const std::tuple seen{now.st_ino, now.st_size, now.st_mtim.tv_sec, now.st_mtim.tv_nsec};
    const bool changed = m_settingsFileStamp && *m_settingsFileStamp != seen;
    m_settingsFileStamp = seen;
    return changed;
}

void MeshNode::readChangedSettings()
{
    const auto read = valueOrError([&] { return m_adapter->readSettings(); });
    if (const auto *error = std::get_if<Error>(&read)) {
        logEvent(LogLevel::Warning, "settings_not_reloaded").with(*error);
        return;
    }
    const auto &settings = std::get<DeploymentSettings>(read);
    if (settings == m_settings) {
        logEvent(LogLevel::Info, "settings_unchanged");
        return;
    }
    logEvent(LogLevel::Info, "settings_reloaded").with("service", settings.service).with("target", toString(settings.targetAddress));
    m_settings = settings;
}

void MeshNode::beginStop()
{
    m_loop.post([this] {
        if (m_stop) {
            logEvent(LogLevel::Info, "already_stopping").with("asked_for", "stop");
            return;
        }
        StopScheduleSettings schedule;
        schedule.stopLimit = m_settings.stopLimit;
        schedule.announcement = m_settings.stopAnnouncement;
        m_stop.emplace(m_loop.turnTime(), schedule);
        logEvent(LogLevel::Info, "node_leaving")
            .with("in_flight", m_callerServer->requestsInFlight())
            .with("at_target", m_dispatcher->inFlight())
            .with("ready", yesOrNo(false));
        m_dispatcher->beginLeaving(m_stop->latestDeadline());
        m_links->beginStopping(m_stop->latestDeadline());
        m_links->sendHeartbeatsNow(); // tells peers that this node is stopping
        m_entry->beginStopping(m_stop->latestDeadline());
        m_callerServer->beginDrain();
        m_stopTimer.repeat(m_loop.timers(), StopCheckPeriod, [this](TimePoint now) { checkStop(now); });
    });
}

void MeshNode::checkStop(TimePoint now)
{
    const bool answered = m_callerServer->requestsInFlight() == 0 && m_dispatcher->inFlight() == 0 && m_links->answersInFlight(now) == 0;
    const auto lastArrival = std::max(m_callerServer->lastRequestAt(), m_acceptStoppedAt.value_or(m_stop->begin()));
    const bool quiet = answered && now - lastArrival > QuietPeriodBeforeExit && m_stop->isAnnounced(now);
    if (!m_acceptStoppedAt && (quiet || now > m_stop->acceptUntil())) {
        m_acceptStoppedAt = now;
        logEvent(LogLevel::Info, "accepts_no_more").with("in_flight", m_callerServer->requestsInFlight()).with("at_target", m_dispatcher->inFlight());
        m_callerServer->stopAccepting();
        return; // callers that connected just before are answered first
    }
    if (!quiet && now < m_stop->exitAt()) {
        return;
    }
    // Requests that arrived since the loop last waited for events are refused; their answers are delivered first if there is time.
    if (m_callerServer->refuseArrived() && now < m_stop->exitAt()) {
        return;
    }
    m_stopTimer.cancel();
    m_loop.stop();
}

} // namespace Fescuenotch
