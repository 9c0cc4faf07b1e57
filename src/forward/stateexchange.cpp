#include "forward/stateexchange.h"

#include "kernel/logging.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr milliseconds MaxConfigurationDelay{1'500}; ///< ms; time for peers to deliver a first configuration, before it is read from the store
constexpr milliseconds MaxEvacuationsDelay{1'500}; ///< ms; time for peers to deliver the first evacuations, before this node watches the store itself
constexpr milliseconds OldEvacuationsDelay{1'000}; ///< ms; a peer that is behind catches up with its own requests within this time
constexpr std::size_t MaxBaseConfigurations = 8; ///< bases of differences kept; covers a few seconds of rapid changes

} // namespace

StateExchange::StateExchange(Worker &worker, const DeploymentSettings &settings, const TargetTable &targets, StateOwner &owner, MetricsRegistry &metrics)
    : m_worker(worker)
    , m_settings(settings)
    , m_targets(targets)
    , m_owner(owner)
    , m_watcherSelection(settings.host, static_cast<unsigned>(settings.linkMbps))
    , m_requestsSent(metrics.counter("fescuenotch_state_questions_total", "Questions to peers for news of the platform's state."))
    , m_answersSent(metrics.counter("fescuenotch_state_answers_total", "Answers to such questions of peers."))
    , m_answerBytesSent(metrics.counter("fescuenotch_state_answer_bytes_total", "Bytes of these answers."))
{
}

void StateExchange::onTableInForce(const RoutingTablePtr &table)
{
    m_requestScheduler.onInSync();
    m_offeredSince.reset();
    m_compressed.clear();
    m_recentTables.push_front(table);
    if (m_recentTables.size() > MaxBaseConfigurations) {
        m_recentTables.pop_back();
    }
}

StateVersions StateExchange::ownVersions() const
{
    const auto table = m_owner.tableInForce();
    return {table ? table->version() : 0, m_owner.storePosition(), !m_owner.hasTargets()};
}

StorePosition StateExchange::withEra(StorePosition position) const
{
    if (position.era == 0 && !m_owner.hasEraRisen()) {
        position.era = m_owner.storePosition().era;
    }
    return position;
}

// ---- [requests to peers] ----------------------------------------------------------------------------------------

void StateExchange::onHeartbeat(TimePoint now, const Endpoint &peer, const LinkHeartbeat &heartbeat)
{
    // A peer that states no era cannot report changes of an era that has risen, so it does not count as watching the store.
    const bool knowsEra = heartbeat.storePosition.era != 0 || !m_owner.hasEraRisen();
    m_watcherSelection.onHeartbeat(now, peer.host, heartbeat.linkMbps, knowsEra ? heartbeat.storeAge : Duration::max());
    auto versions = ownVersions();
    if (heartbeat.configuration > 0 && versions.configuration == 0 && !m_offeredSince) {
        m_offeredSince = now;
    }
    const bool hasNewerConfiguration = heartbeat.configuration > versions.configuration && !m_decoding;
    const bool listsDiffer = heartbeat.targetsDigest != m_targets.digest();
    const bool lifetimesDiffer = heartbeat.lifetimesDigest != 0 && heartbeat.lifetimesDigest != m_targets.lifetimesDigest();
    const bool lacksTargets = !m_owner.hasTargets() && heartbeat.storePosition.revision > 0;
    const bool targetsDiffer = lacksTargets || (withEra(heartbeat.storePosition) >= versions.storePosition && (listsDiffer || lifetimesDiffer));
    const auto digests = heartbeat.targetsDigest ^ heartbeat.lifetimesDigest;
    const bool isOfNewEra = heartbeat.storePosition.era > versions.storePosition.era;
    if (isOfNewEra && !targetsDiffer && m_owner.hasTargets()) {
        m_owner.onSameTargets(heartbeat.storePosition, "peer");
        versions = ownVersions();
    }
    const bool evacuationsDiffer = mayHaveNewEvacuations(now, heartbeat);
    if (!hasNewerConfiguration && !targetsDiffer && !evacuationsDiffer) {
        return;
    }
    if (!m_requestScheduler.mayRequest(now, {m_targets.isInDataCentre(peer.host, m_settings.dataCentre), lacksInitialState()})) {
        return;
    }
    // The last request was for the same digest, so the changes did not suffice: request the complete list.
    versions.wantsAllTargets = versions.wantsAllTargets || (targetsDiffer && m_requestedDigest == digests);
    m_requestScheduler.onRequested(now, peer.host);
    m_requestedDigest = targetsDiffer ? digests : 0;
    m_requestedEvacuations = evacuationsDiffer ? heartbeat.evacuationsDigest : 0;
    m_requestsSent.add();
    m_links->sendStateFrame(peer, encodeStateRequest(versions));
}

bool StateExchange::lacksInitialState() const
{
    return m_owner.tableInForce() == nullptr || !m_owner.hasTargets();
}

bool StateExchange::lacksEvacuations() const
{
    return m_owner.evacuations() != nullptr && !m_owner.evacuations()->isKnown();
}

bool StateExchange::mayHaveNewEvacuations(TimePoint now, const LinkHeartbeat &heartbeat) const
{
    const auto *own = m_owner.evacuations();
    const auto digest = heartbeat.evacuationsDigest;
    if (own == nullptr || digest == 0 || digest == own->digest()) {
        return false;
    }
    return digest != m_oldEvacuations || now >= m_ignoreOldEvacuationsUntil;
}

std::string StateExchange::initialStateRequest(TimePoint now, const LinkIdentity &peer)
{
    if (!lacksInitialState() || !m_requestScheduler.mayRequest(now, {peer.dataCentre == m_settings.dataCentre, true})) {
        return {};
    }
    m_requestScheduler.onRequested(now, peer.host);
    m_requestsSent.add();
    const auto versions = ownVersions();
    return encodeStateRequest({versions.configuration, versions.storePosition, true});
}

void StateExchange::tick(TimePoint now)
{
    if (lacksInitialState()) {
        m_links->sendToFirstLinkedNode([this, now](const LinkIdentity &peer) { return initialStateRequest(now, peer); });
    }
}

void StateExchange::onLinkLost(const Endpoint &peer)
{
    m_watcherSelection.onPeerLost(peer.host);
    m_requestScheduler.onPeerLost(peer.host);
}

// ---- [requests of peers] ----------------------------------------------------------------------------------------

const CompressedConfiguration &StateExchange::compressedSince(std::uint64_t version)
{
    const auto base = std::find_if(m_recentTables.begin(), m_recentTables.end(), [&](const auto &table) { return table->version() == version; });
    const bool hasBase = base != m_recentTables.end() && version != 0;
    const auto key = hasBase ? version : 0;
    auto it = m_compressed.find(key);
    if (it == m_compressed.end()) {
        const auto bytes = serializeConfiguration(m_recentTables.front()->configuration(), hasBase ? &(*base)->configuration() : nullptr);
        it = m_compressed.emplace(key, compress(bytes)).first;
    }
    return it->second;
}

std::string StateExchange::onRequest(const MeshWire::StateRequest &request)
{
    const auto versions = decodeStateRequest(request);
    const auto table = m_owner.tableInForce();
    const bool includesConfiguration = table && table->version() > versions.configuration;
    const auto since = withEra(versions.storePosition);
    const bool sendsAll = versions.wantsAllTargets || since.era != m_owner.storePosition().era;
    const auto targets = !m_owner.hasTargets() ? std::vector<TargetUpdate>() : sendsAll ? m_targets.allUpdates(Clock::now()) : m_targets.updatesSince(since);
    // An empty answer is sent too, so that the requesting node turns to another node at once instead of waiting.
    const bool knowsEvacuations = m_owner.evacuations() != nullptr && m_owner.evacuations()->isKnown();
    const auto evacuations = knowsEvacuations ? m_owner.evacuations()->updates() : std::vector<EvacuationUpdate>();
    auto frame = encodeStateNews(includesConfiguration ? &compressedSince(versions.configuration) : nullptr,
                                 targets,
                                 sendsAll,
                                 m_owner.storePosition(),
                                 knowsEvacuations ? &evacuations : nullptr);
    m_answersSent.add();
    m_answerBytesSent.add(frame.size());
    logEvent(LogLevel::Info, "state_told")
        .with("bytes", frame.size())
        .with("configuration", includesConfiguration ? table->version() : 0)
        .with("since", versions.configuration)
        .with("targets", targets.size())
        .with("whole", sendsAll ? 1 : 0);
    return frame;
}

// ---- [received state] -------------------------------------------------------------------------------------------

void StateExchange::onNews(const MeshWire::StateNews &news)
{
    m_requestScheduler.onResponse();
    applyEvacuations(news); // first: targets and a configuration make this node serve requests
    auto targets = decodeTargetUpdates(news);
    for (auto &target : targets) {
        target.position = withEra(target.position);
    }
    if (!targets.empty()) {
        m_owner.applyTargetUpdates(targets, withEra({news.store_era(), news.store_revision()}), news.all_targets(), "peer");
    }
    if (news.configuration() != nullptr && news.configuration()->size() > 0 && !m_decoding) {
        decodeConfiguration(news);
    }
}

void StateExchange::applyEvacuations(const MeshWire::StateNews &news)
{
    auto evacuations = decodeEvacuations(news);
    if (!evacuations || m_owner.evacuations() == nullptr) {
        return;
    }
    for (auto &each : *evacuations) {
        each.position = withEra(each.position);
    }
    const bool hasNew = m_owner.applyEvacuations(*evacuations, withEra({news.store_era(), news.store_revision()}), "peer");
    if (!hasNew && m_requestedEvacuations != 0) {
        m_oldEvacuations = m_requestedEvacuations;
        m_ignoreOldEvacuationsUntil = Clock::now() + OldEvacuationsDelay;
    }
    m_requestedEvacuations = 0;
}

void StateExchange::decodeConfiguration(const MeshWire::StateNews &news)
{
    m_decoding = true;
    m_worker.run(
        [compressed = std::string(toStringView(news.configuration())), size = news.configuration_size(), base = m_owner.tableInForce()] {
            return valueOrError([&]() -> Result<RoutingTablePtr> {
                BOOST_LEAF_AUTO(configuration, deserializeConfiguration(compressed, size, base ? &base->configuration() : nullptr));
                return RoutingTable::build(std::move(configuration));
            });
        },
        [this, alive = std::weak_ptr(m_alive)](const std::variant<RoutingTablePtr, Error> &decoded) {
            if (alive.expired()) {
                return;
            }
            m_decoding = false;
            if (const auto *error = std::get_if<Error>(&decoded)) {
                logEvent(LogLevel::Warning, "peer_configuration_refused").with(*error);
                return;
            }
            m_owner.applyTable(std::get<RoutingTablePtr>(decoded), "peer");
        });
}

// ---- [watching the store] ---------------------------------------------------------------------------------------

bool StateExchange::isConfigurationOverdue(TimePoint now) const
{
    return m_offeredSince && now - *m_offeredSince > MaxConfigurationDelay;
}

bool StateExchange::shouldWatch(TimePoint now)
{
    if (!lacksEvacuations()) {
        m_lacksEvacuationsSince.reset();
    } else if (!m_lacksEvacuationsSince && m_owner.hasTargets()) {
        m_lacksEvacuationsSince = now;
    }
    const bool evacuationsOverdue = m_lacksEvacuationsSince && now - *m_lacksEvacuationsSince > MaxEvacuationsDelay;
    if (m_targets.size() == 0 || isConfigurationOverdue(now) || evacuationsOverdue) {
        return true;
    }
    std::vector<std::string> hosts{m_settings.host};
    for (const auto &target : m_targets.all()) {
        if (target.dataCentre == m_settings.dataCentre && target.address.host != m_settings.host) {
            hosts.push_back(target.address.host);
        }
    }
    return m_watcherSelection.shouldWatch(now, std::move(hosts));
}

} // namespace Fescuenotch
