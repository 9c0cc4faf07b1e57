#include "forward/stateexchange.h"

#include "kernel/logging.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr std::size_t RecentConfigurations = 8; ///< bases of differences; some seconds of a storm of changes

} // namespace

StateExchange::StateExchange(Worker &worker, const DeploymentSettings &settings, const TargetTable &targets, StateOwner &owner, MetricsRegistry &metrics)
    : m_worker(worker)
    , m_settings(settings)
    , m_targets(targets)
    , m_owner(owner)
    , m_duty(settings.host, static_cast<unsigned>(settings.linkMbps))
    , m_asked(metrics.counter("fescuenotch_state_questions_total", "Questions to peers for news of the platform's state."))
    , m_told(metrics.counter("fescuenotch_state_answers_total", "Answers to such questions of peers."))
    , m_toldBytes(metrics.counter("fescuenotch_state_answer_bytes_total", "Bytes of these answers."))
{
}

void StateExchange::onInForce(const RoutingTablePtr &table)
{
    m_questions.onNothingLacking();
    m_packed.clear();
    m_recent.push_front(table);
    if (m_recent.size() > RecentConfigurations) {
        m_recent.pop_back();
    }
}

StateMark StateExchange::ownMark() const
{
    const auto table = m_owner.tableInForce();
    return {table ? table->version() : 0, m_owner.storeRevision(), !m_owner.hasTargets()};
}

// ---- [asking] ---------------------------------------------------------------------------------------------------

void StateExchange::onHeartbeat(TimePoint now, const Endpoint &peer, const LinkHeartbeat &heartbeat)
{
    m_duty.onPulse(now, peer.host, heartbeat.linkMbps, heartbeat.storeAge);
    auto mark = ownMark();
    const bool newerConfiguration = heartbeat.configuration > mark.configuration && !m_unpacking;
    const bool otherTargets = heartbeat.storeRevision >= mark.storeRevision && heartbeat.targetsDigest != m_targets.digest();
    if (!newerConfiguration && !otherTargets) {
        return;
    }
    if (!m_questions.mayAsk(now, {m_targets.isInDataCentre(peer.host, m_settings.dataCentre), lacksAll()})) {
        return;
    }
    // News since the mark were not enough for this digest once: take the whole listing.
    mark.wantsAllTargets = mark.wantsAllTargets || (otherTargets && m_askedDigest == heartbeat.targetsDigest);
    m_questions.onAsked(now, peer.host);
    m_askedDigest = otherTargets ? heartbeat.targetsDigest : 0;
    m_asked.add();
    m_links->sendStateFrame(peer, encodeStateRequest(mark));
}

bool StateExchange::lacksAll() const
{
    return m_owner.tableInForce() == nullptr || !m_owner.hasTargets();
}

std::string StateExchange::initialStateRequest(TimePoint now, const LinkIdentity &peer)
{
    if (!lacksAll() || !m_questions.mayAsk(now, {peer.dataCentre == m_settings.dataCentre, true})) {
        return {};
    }
    m_questions.onAsked(now, peer.host);
    m_asked.add();
    const auto mark = ownMark();
    return encodeStateRequest({mark.configuration, mark.storeRevision, true});
}

void StateExchange::tick(TimePoint now)
{
    if (lacksAll()) {
        m_links->sendToFirstLinkedNode([this, now](const LinkIdentity &peer) { return initialStateRequest(now, peer); });
    }
}

void StateExchange::onLinkLost(const Endpoint &peer)
{
    m_duty.onGone(peer.host);
    m_questions.onPeerGone(peer.host);
}

// ---- [answering] ------------------------------------------------------------------------------------------------

const PackedConfiguration &StateExchange::packedSince(std::uint64_t version)
{
    const auto base = std::find_if(m_recent.begin(), m_recent.end(), [&](const auto &table) { return table->version() == version; });
    const bool hasBase = base != m_recent.end() && version != 0;
    const auto key = hasBase ? version : 0;
    auto it = m_packed.find(key);
    if (it == m_packed.end()) {
        const auto bytes = packConfiguration(m_recent.front()->configuration(), hasBase ? &(*base)->configuration() : nullptr);
        it = m_packed.emplace(key, compress(bytes)).first;
    }
    return it->second;
}

std::string StateExchange::onRequest(const MeshWire::StateRequest &request)
{
    const auto mark = decodeStateRequest(request);
    const auto table = m_owner.tableInForce();
    const bool tellsConfiguration = table && table->version() > mark.configuration;
    const auto targets = !m_owner.hasTargets() ? std::vector<TargetNews>()
        : mark.wantsAllTargets                 ? m_targets.allNews()
                                               : m_targets.newsAfter(mark.storeRevision);
    // An empty answer is sent too: the asker then asks another node at once.
    auto frame = encodeStateNews(tellsConfiguration ? &packedSince(mark.configuration) : nullptr, targets, mark.wantsAllTargets, m_owner.storeRevision());
    m_told.add();
    m_toldBytes.add(frame.size());
    logEvent(LogLevel::Info, "state_told")
        .with("bytes", frame.size())
        .with("configuration", tellsConfiguration ? table->version() : 0)
        .with("since", mark.configuration)
        .with("targets", targets.size())
        .with("whole", mark.wantsAllTargets ? 1 : 0);
    return frame;
}

// ---- [taking] ---------------------------------------------------------------------------------------------------

void StateExchange::onNews(const MeshWire::StateNews &news)
{
    m_questions.onAnswered();
    const auto targets = decodeTargetNews(news);
    if (!targets.empty()) {
        m_owner.takeTargetNews(targets, news.store_revision(), news.all_targets(), "peer");
    }
    if (news.configuration() != nullptr && news.configuration()->size() > 0 && !m_unpacking) {
        takeConfiguration(news);
    }
}

void StateExchange::takeConfiguration(const MeshWire::StateNews &news)
{
    m_unpacking = true;
    m_worker.run(
        [packed = std::string(toStringView(news.configuration())), size = news.configuration_size(), base = m_owner.tableInForce()] {
            return valueOrError([&]() -> Result<RoutingTablePtr> {
                BOOST_LEAF_AUTO(configuration, unpackConfiguration(packed, size, base ? &base->configuration() : nullptr));
                return RoutingTable::build(std::move(configuration));
            });
        },
        [this, alive = std::weak_ptr(m_alive)](const std::variant<RoutingTablePtr, Error> &unpacked) {
            if (alive.expired()) {
                return;
            }
            m_unpacking = false;
            if (const auto *error = std::get_if<Error>(&unpacked)) {
                logEvent(LogLevel::Warning, "peer_configuration_refused").with(*error);
                return;
            }
            m_owner.takeTable(std::get<RoutingTablePtr>(unpacked), "peer");
        });
}

// ---- [duty] -----------------------------------------------------------------------------------------------------

bool StateExchange::shouldWatch(TimePoint now)
{
    std::vector<std::string> hosts{m_settings.host};
    for (const auto &target : m_targets.all()) {
        if (target.dataCentre == m_settings.dataCentre && target.address.host != m_settings.host) {
            hosts.push_back(target.address.host);
        }
    }
    return m_duty.shouldWatch(now, std::move(hosts));
}

} // namespace Fescuenotch
