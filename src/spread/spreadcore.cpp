// Sections: construction, events, messages, questions to peers, beacons, views.
#include "spread/spreadcore.h"

#include "spread/memberexchange.h"
#include "spread/platformquestions.h"
#include "spread/readers.h"
#include "spread/recordexchange.h"
#include "spread/spreadcontext.h"
#include "spread/spreadreport.h"
#include "spread/tree.h"
#include "spread/viewtrust.h"
#include "wire/controlcodec.h"

#include <algorithm>

namespace Fescuenotch {
namespace {

constexpr milliseconds PauseLimit{1'000}; ///< ms between two ticks beyond which this process must have been paused
constexpr milliseconds BeaconPause{100}; ///< ms between two beacons that follow pushes

class SpreadCoreImpl : public SpreadCore
{
public:
    SpreadCoreImpl(const SpreadSettings &settings, RecordStore &store);

    SpreadActions onTick(TimePoint now) override;
    SpreadActions onMessage(TimePoint now, const std::string &bytes) override;
    SpreadActions onPeerLost(TimePoint now, const Endpoint &peer) override;
    SpreadActions onConfigPage(TimePoint now, const ConfigPage &page) override;
    SpreadActions onHostList(TimePoint now, const HostList &list) override;
    SpreadActions onPlatformError(TimePoint now, PlatformCall call, const Error &error) override;
    SpreadActions onWake(TimePoint now, Duration paused) override;
    SpreadActions onInForce(TimePoint now, const std::string &profile, Version version) override;
    SpreadActions leave(TimePoint now) override;
    bool viewTrusted(TimePoint now) const override;
    bool isReader(TimePoint now) const override;
    std::vector<MemberView> members() const override;
    std::vector<SpreadLine> report(TimePoint now) const override;
    SpreadCounts counts() const override;

private:
    SpreadActions take();
    bool baseline() const;
    void wake(TimePoint now);
    void askPlatform(TimePoint now);
    void askPeers(TimePoint now);
    void meetPeers(TimePoint now);
    void sendDigest(const Endpoint &to, std::uint64_t nonce, bool answer);
    void sendBeacons(TimePoint now);
    void sendBeacon(TimePoint now, bool relay, const std::vector<Endpoint> &to);
    void updateTrust(TimePoint now);
    void sendSummary(TimePoint now);
    bool repairs() const;

    void handle(TimePoint now, const MemberEntry &sender, const DigestBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const PushBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const RecordsBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const RecordBucketsBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const RecordVersionsBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const PullBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const ChunkPullBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const ChunkBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const MemberNewsBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const MemberBucketsBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const MemberSetBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const ProbeRequestBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const ProbeAnswerBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const BeaconBody &body);
    void handle(TimePoint now, const MemberEntry &sender, const SummaryBody &body);

    SpreadContext m_context;
    MemberExchange m_members;
    RecordExchange m_records;
    Readers m_readers;
    PlatformQuestions m_questions;
    ViewTrust m_trust;
    SpreadReport m_report;
    SpreadActions m_actions; ///< of the event at hand
    TimePoint m_lastTick{};
    TimePoint m_lastBeacon{};
    std::uint64_t m_beaconSequence = 0;
    bool m_beaconDue = false; ///< a push went out since the last beacon
    bool m_met = false; ///< the fleet is known and has been told of this node
    SpreadCounts m_counts;
};

// ---- construction

SpreadCoreImpl::SpreadCoreImpl(const SpreadSettings &settings, RecordStore &store)
    : m_context(settings, store)
    , m_members(m_context, [this](const Endpoint &to) { sendDigest(to, 0, false); })
    , m_records(m_context)
    , m_readers(settings.readers, m_context.members.self())
    , m_questions(settings.callsPerSecond, settings.callShare, m_context.random())
    , m_report(m_context)
{
}

bool SpreadCoreImpl::baseline() const
{
    return m_context.settings.way == SpreadWay::Baseline;
}

/// Comparisons repair a steady node only in one of the ways; every way needs them until the view is trusted.
bool SpreadCoreImpl::repairs() const
{
    return m_context.settings.way == SpreadWay::TreeDigest || !m_trust.trusted();
}

SpreadActions SpreadCoreImpl::take()
{
    m_actions.sends = m_context.outbox.take();
    m_actions.leavingHosts.assign(m_context.leavingHosts.begin(), m_context.leavingHosts.end());
    m_context.leavingHosts.clear();
    return std::exchange(m_actions, {});
}

// ---- events

SpreadActions SpreadCoreImpl::onTick(TimePoint now)
{
    if (m_lastTick != TimePoint{} && now - m_lastTick > PauseLimit) {
        wake(now);
    }
    m_lastTick = now;
    askPlatform(now);
    if (!baseline()) {
        meetPeers(now);
        m_members.onTick(now, isReader(now));
        m_beaconDue = m_records.onTick(now) || m_beaconDue;
        for (const auto &it : m_records.overdueMarks(now)) {
            sendDigest(it, 0, false);
        }
        sendSummary(now);
        sendBeacons(now);
        askPeers(now);
    }
    updateTrust(now);
    return take();
}

SpreadActions SpreadCoreImpl::onMessage(TimePoint now, const std::string &bytes)
{
    const auto decoded = valueOrError([&] { return decodeControl(bytes); });
    const auto *message = std::get_if<ControlMessage>(&decoded);
    if (message == nullptr || message->sender.host == m_context.settings.self.host) {
        ++m_counts.badMessages;
        return take();
    }
    if (!m_members.onHeard(now, message->sender, message->news)) {
        ++m_counts.staleSenders;
    } else {
        std::visit([&](const auto &body) { handle(now, message->sender, body); }, message->body);
        for (const auto &it : m_records.takeRepairHints()) {
            sendDigest(it, 0, false);
        }
        updateTrust(now);
    }
    return take();
}

SpreadActions SpreadCoreImpl::onPeerLost(TimePoint now, const Endpoint &peer)
{
    m_members.onPeerLost(now, peer);
    updateTrust(now);
    return take();
}

SpreadActions SpreadCoreImpl::onConfigPage(TimePoint now, const ConfigPage &page)
{
    const bool whole = m_questions.onConfigPage(now, page);
    const auto stale = m_context.store.stalePages();
    const auto news = m_context.store.applyPage(page);
    m_actions.recordsChanged = !news.empty();
    m_records.onPlatformNews(now, news, m_readers.rank(m_context.ownRanked()));
    if (whole && m_context.store.stalePages() == stale) {
        m_trust.onPlatformRead();
    }
    updateTrust(now);
    return take();
}

SpreadActions SpreadCoreImpl::onHostList(TimePoint now, const HostList &list)
{
    m_members.onHostList(now, list);
    m_questions.onHostList(now, m_context.members.size());
    return take();
}

SpreadActions SpreadCoreImpl::onPlatformError(TimePoint now, PlatformCall call, const Error &error)
{
    const auto kind = call == PlatformCall::Hosts ? PlatformQuestions::Kind::Hosts : PlatformQuestions::Kind::Config;
    m_questions.onError(now, kind, error.retryAfter);
    return take();
}

SpreadActions SpreadCoreImpl::onWake(TimePoint now, Duration)
{
    wake(now);
    m_lastTick = now;
    askPeers(now);
    updateTrust(now);
    return take();
}

SpreadActions SpreadCoreImpl::onInForce(TimePoint, const std::string &profile, Version version)
{
    m_report.setInForce(profile, version);
    return take();
}

SpreadActions SpreadCoreImpl::leave(TimePoint now)
{
    m_context.members.setLeaving();
    m_members.announceSelf();
    m_members.onTick(now, false);
    return take();
}

void SpreadCoreImpl::wake(TimePoint now)
{
    ++m_counts.wakes;
    m_members.onWake(now);
    m_readers.restart(now);
    m_trust.beginWake(now);
}

// ---- messages

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const DigestBody &body)
{
    const Endpoint peer{sender.host, sender.port};
    m_members.onDigest(now, sender, body);
    if (!body.answer) {
        sendDigest(peer, body.nonce, true);
        return;
    }
    const bool equal = body.hash == m_context.store.hash();
    const Version highest = std::max(body.highWater, body.highestHeard);
    m_trust.onMarks(sender.host, highest, body.trusted, equal);
    const bool pushComes = m_trust.trusted() && (body.collecting || m_records.collecting());
    if (!equal && repairs() && !pushComes) {
        ++m_counts.repairs;
        m_records.compare(now, peer, m_trust.trusted());
    }
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const PushBody &body)
{
    m_actions.recordsChanged = m_records.on(now, sender, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const RecordsBody &body)
{
    m_actions.recordsChanged = m_records.on(now, sender, body, m_trust.trusted());
    if (!m_trust.trusted()) {
        sendDigest({sender.host, sender.port}, 0, false);
    }
}

void SpreadCoreImpl::handle(TimePoint, const MemberEntry &sender, const RecordBucketsBody &body)
{
    m_records.on(sender, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const RecordVersionsBody &body)
{
    if (m_records.on(now, sender, body)) {
        m_trust.onNothingLacking(sender.host);
    }
}

void SpreadCoreImpl::handle(TimePoint, const MemberEntry &sender, const PullBody &body)
{
    m_records.on(sender, body);
}

void SpreadCoreImpl::handle(TimePoint, const MemberEntry &sender, const ChunkPullBody &body)
{
    m_records.on(sender, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &, const ChunkBody &body)
{
    m_actions.recordsChanged = m_records.on(now, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const MemberNewsBody &body)
{
    m_members.on(now, sender, body);
}

void SpreadCoreImpl::handle(TimePoint, const MemberEntry &sender, const MemberBucketsBody &body)
{
    m_members.on(sender, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const MemberSetBody &body)
{
    m_members.on(now, sender, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const ProbeRequestBody &body)
{
    m_members.on(now, sender, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &, const ProbeAnswerBody &body)
{
    m_members.on(now, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const BeaconBody &body)
{
    const Duration grace = isReader(now) ? MarkGraceReader : MarkGraceTree;
    m_records.onMark(now, {sender.host, sender.port}, body.highWater, grace);
    m_report.onTotals(now, body.summary);
    if (!m_readers.onBeacon(now, body) || !body.relay) {
        return;
    }
    const auto &settings = m_context.settings;
    std::vector<Endpoint> to;
    for (const auto &it : treeChildren(m_context.ownRanked(), settings.dataCentre, body.reader.host, settings.self.host, settings.treeFanOut)) {
        to.push_back(it.peer);
    }
    m_context.outbox.sendAll(to, body);
}

void SpreadCoreImpl::handle(TimePoint now, const MemberEntry &sender, const SummaryBody &body)
{
    m_report.onSummary(now, sender.host, body.lines);
}

// ---- questions to peers and the platform

void SpreadCoreImpl::sendDigest(const Endpoint &to, std::uint64_t nonce, bool answer)
{
    const Version held = m_context.store.highWater();
    const Version heard = std::max(held, m_trust.highestHeard());
    m_context.outbox.send(
        to,
        DigestBody{
            nonce, answer, m_trust.trusted(), held, heard, m_context.store.hash(), m_context.members.hash(), m_members.fleetKnown(), m_records.collecting()});
}

void SpreadCoreImpl::askPlatform(TimePoint now)
{
    using Role = PlatformQuestions::Role;
    const auto readerRole = m_readers.rank(m_context.ownRanked()) == 0 ? Role::FirstReader : Role::Reader;
    const auto role = isReader(now) ? readerRole : Role::None;
    m_questions.setHosts(m_members.fleetKnown() ? m_context.members.size() : 0);
    const auto question = m_questions.next(now, role, m_members.fleetKnown());
    m_actions.readHosts = question.kind == PlatformQuestions::Kind::Hosts;
    m_actions.watchConfig = question.kind == PlatformQuestions::Kind::Config;
    m_actions.watchAfter = question.after;
    m_actions.watchWait = question.wait;
}

/// The fleet became known, by the host list or from a member; the limits of the start count from here.
void SpreadCoreImpl::meetPeers(TimePoint now)
{
    if (m_met || !m_members.fleetKnown()) {
        return;
    }
    m_met = true;
    m_readers.start(now);
    m_trust.beginStart(now);
    m_members.announceSelf();
}

/// While the view is not trusted: a few peers of the own data centre and of others, in rounds.
void SpreadCoreImpl::askPeers(TimePoint now)
{
    if (baseline() || !m_trust.asks(now)) {
        return;
    }
    auto asked = m_context.sample(m_context.members.others(m_context.settings.dataCentre, false), AsksPerRound);
    const auto foreign = m_context.sample(m_context.foreign(false), AsksPerRound);
    asked.insert(asked.end(), foreign.begin(), foreign.end());
    for (const auto &it : asked) {
        m_members.probe(now, it);
        m_trust.onAsked(it.host);
    }
}

void SpreadCoreImpl::updateTrust(TimePoint now)
{
    for (const auto &host : m_members.takeSilent()) {
        m_trust.onSilent(host);
    }
    if (!m_members.fleetKnown()) {
        return;
    }
    const std::size_t peers = baseline() ? 0 : m_context.members.peerCount();
    m_trust.update(now, m_context.store.highWater(), peers);
}

// ---- beacons

/// Up the tree of the first rank; the first rank itself adds up the data centre.
void SpreadCoreImpl::sendSummary(TimePoint now)
{
    const auto &settings = m_context.settings;
    const auto *parent = treeParent(m_context.ownRanked(), settings.self.host, settings.treeFanOut);
    if (parent == nullptr) {
        m_report.addUp(now);
        return;
    }
    const auto lines = m_report.dueLines(now);
    if (!lines.empty()) {
        m_context.outbox.send(parent->peer, SummaryBody{lines});
    }
}

void SpreadCoreImpl::sendBeacon(TimePoint now, bool relay, const std::vector<Endpoint> &to)
{
    const bool firstRank = m_readers.rank(m_context.ownRanked()) == 0;
    const auto summary = firstRank ? m_report.totals(relay) : std::vector<SummaryLine>();
    const auto age = std::chrono::duration_cast<milliseconds>(m_questions.platformAge(now));
    m_context.outbox.sendAll(to, BeaconBody{m_context.members.self(), m_beaconSequence, age, m_records.pushedMark(), relay, summary});
}

void SpreadCoreImpl::sendBeacons(TimePoint now)
{
    const Duration since = now - m_lastBeacon;
    const bool due = since >= m_context.settings.digestPeriod || (m_beaconDue && since >= BeaconPause);
    if (!due || !isReader(now)) {
        return;
    }
    m_lastBeacon = now;
    m_beaconDue = false;
    ++m_beaconSequence;
    const auto &settings = m_context.settings;
    const std::size_t rank = m_readers.rank(m_context.ownRanked());
    std::vector<Endpoint> children;
    for (const auto &it : treeChildren(m_context.ownRanked(), settings.dataCentre, settings.self.host, settings.self.host, settings.treeFanOut)) {
        children.push_back(it.peer);
    }
    sendBeacon(now, true, children);
    std::vector<Endpoint> foreign;
    for (const auto &name : m_context.members.dataCentres()) {
        const auto &ranked = m_context.members.ranked(name);
        if (!m_context.isOwn(name) && !ranked.empty()) {
            foreign.push_back(ranked[rank % ranked.size()].peer);
        }
    }
    sendBeacon(now, false, foreign);
}

// ---- views

bool SpreadCoreImpl::viewTrusted(TimePoint) const
{
    return m_trust.trusted();
}

bool SpreadCoreImpl::isReader(TimePoint now) const
{
    return baseline() || m_readers.isReader(now, m_context.ownRanked());
}

std::vector<MemberView> SpreadCoreImpl::members() const
{
    std::vector<MemberView> views;
    for (const auto &it : m_context.members.all()) {
        views.push_back({it.host, Endpoint{it.host, it.port}, it.dataCentre, it.service, it.incarnation, it.state});
    }
    return views;
}

std::vector<SpreadLine> SpreadCoreImpl::report(TimePoint now) const
{
    return m_report.lines(now);
}

SpreadCounts SpreadCoreImpl::counts() const
{
    SpreadCounts counts = m_counts;
    counts.platformRefusals = m_questions.refusals();
    counts.stalePages = m_context.store.stalePages();
    counts.suspicions = m_members.suspicions();
    counts.refutations = m_context.members.self().refutation;
    return counts;
}

} // namespace

std::unique_ptr<SpreadCore> makeSpreadCore(const SpreadSettings &settings, RecordStore &store)
{
    return std::make_unique<SpreadCoreImpl>(settings, store);
}

} // namespace Fescuenotch
