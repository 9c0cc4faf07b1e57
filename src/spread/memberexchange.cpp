// Sections: news, probes, suspicion, comparison of member lists.
#include "spread/memberexchange.h"

#include "spread/digest.h"
#include "spread/tree.h"

#include <algorithm>

namespace Fescuenotch {
namespace {

constexpr std::size_t ForeignNews = 2; ///< nodes of each other data centre that a root tells

Endpoint peerOf(const MemberEntry &entry)
{
    return {entry.host, entry.port};
}

bool isGone(MemberState state)
{
    return state == MemberState::Dead || state == MemberState::Leaving;
}

} // namespace

MemberExchange::MemberExchange(SpreadContext &context, Probe probe)
    : m_context(context)
    , m_probe(std::move(probe))
{
}

// ---- news

void MemberExchange::onHostList(TimePoint now, const HostList &list)
{
    m_fleetKnown = true;
    for (const auto &it : m_context.members.applyList(now, list)) {
        noteNews(it, ownTree());
    }
}

/// Hosts that are gone are told to the owner; what matters to everybody goes down the tree at the next tick.
void MemberExchange::noteNews(const MemberEntry &entry, const NewsTree &tree)
{
    if (isGone(entry.state)) {
        m_context.leavingHosts.insert(entry.host);
    }
    m_context.outbox.ride(entry);
    passOn(entry, tree);
}

/// Once per tree, and whether or not it was news here: two trees cross, and each has children of its own below this node.
void MemberExchange::passOn(const MemberEntry &entry, const NewsTree &tree)
{
    const auto *held = m_context.members.find(entry.host);
    const bool isCurrent = held != nullptr && *held == entry;
    if (tree.root.empty() || entry.state == MemberState::Suspect || !isCurrent) {
        return;
    }
    auto &passed = m_passed[entry.host];
    if (passed.entry != entry) {
        passed = PassedOn{entry, {}};
    }
    if (passed.roots.insert(tree.root).second) {
        m_news[tree].push_back(entry);
    }
}

void MemberExchange::aboutSelf(const MemberEntry &entry)
{
    const auto &self = m_context.members.self();
    const bool doubted = entry.state == MemberState::Suspect || entry.state == MemberState::Dead;
    if (doubted && entry.incarnation == self.incarnation && entry.refutation >= self.refutation) {
        m_context.members.refute(entry.refutation);
        announceSelf();
    }
}

void MemberExchange::takeNews(TimePoint now, const MemberEntry &entry, const NewsTree &tree)
{
    if (entry.host == m_context.settings.self.host) {
        aboutSelf(entry);
        return;
    }
    const auto news = m_context.members.merge(now, entry);
    if (news) {
        noteNews(*news, tree);
    } else {
        passOn(entry, tree);
    }
}

void MemberExchange::announceSelf()
{
    m_news[ownTree()].push_back(m_context.members.self());
    m_context.outbox.ride(m_context.members.self());
}

MemberExchange::NewsTree MemberExchange::ownTree() const
{
    return {m_context.settings.self.host, true};
}

std::vector<Endpoint> MemberExchange::newsTargets(const NewsTree &tree)
{
    std::vector<Endpoint> to;
    const auto &settings = m_context.settings;
    for (const auto &it : treeChildren(m_context.ownRanked(), settings.dataCentre, tree.root, settings.self.host, settings.treeFanOut)) {
        to.push_back(it.peer);
    }
    for (const auto &name : m_context.members.dataCentres()) {
        if (tree.origin && !m_context.isOwn(name)) {
            for (const auto &it : m_context.sample(m_context.members.others(name, false), ForeignNews)) {
                to.push_back(peerOf(it));
            }
        }
    }
    return to;
}

void MemberExchange::sendNews()
{
    for (const auto &[tree, entries] : std::exchange(m_news, {})) {
        const auto to = newsTargets(tree);
        for (std::size_t i = 0; i < entries.size(); i += MaxMembersPerMessage) {
            const auto from = entries.begin() + static_cast<std::ptrdiff_t>(i);
            const auto n = std::min(entries.size() - i, MaxMembersPerMessage);
            m_context.outbox.sendAll(to, MemberNewsBody{tree.root, {from, from + static_cast<std::ptrdiff_t>(n)}});
        }
    }
}

void MemberExchange::on(TimePoint now, const MemberEntry &sender, const MemberNewsBody &body)
{
    // News from another data centre starts a tree of its own here.
    const bool gateway = !body.root.empty() && !m_context.isOwn(sender.dataCentre);
    const NewsTree tree{gateway ? m_context.settings.self.host : body.root, false};
    for (const auto &it : body.members) {
        takeNews(now, it, tree);
    }
}

bool MemberExchange::onHeard(TimePoint now, const MemberEntry &sender, const std::vector<MemberEntry> &news)
{
    if (m_context.members.isStale(sender)) {
        return false;
    }
    const auto fresh = m_context.members.observe(now, sender);
    if (fresh) {
        noteNews(*fresh, {});
    }
    m_probes.erase(sender.host);
    const auto helped = m_helping.find(sender.host);
    if (helped != m_helping.end()) {
        for (const auto &it : helped->second) {
            m_context.outbox.send(it.asker, ProbeAnswerBody{sender.host, sender.incarnation, sender.refutation});
        }
        m_helping.erase(helped);
    }
    for (const auto &it : news) {
        takeNews(now, it, {});
    }
    tellIfThoughtGone(now, sender);
    return true;
}

/// A member that speaks but is held to be suspect or dead learns of it, so that it refutes.
void MemberExchange::tellIfThoughtGone(TimePoint now, const MemberEntry &sender)
{
    const auto *held = m_context.members.find(sender.host);
    if (held == nullptr || held->state == MemberState::Alive || held->state == MemberState::Leaving) {
        return;
    }
    auto &told = m_told[sender.host];
    if (now - told >= TellPause) {
        told = now;
        m_context.outbox.send(peerOf(sender), MemberNewsBody{{}, {*held}});
    }
}

// ---- probes

void MemberExchange::probe(TimePoint now, const MemberEntry &member)
{
    m_probe(peerOf(member));
    m_probes.try_emplace(member.host, Outstanding{now, Stage::Direct});
}

void MemberExchange::probeSome(TimePoint now, bool reader)
{
    std::vector<MemberEntry> chosen = m_context.sample(m_context.members.others(m_context.settings.dataCentre, false), 1);
    auto names = m_context.members.dataCentres();
    std::erase(names, m_context.settings.dataCentre);
    if (reader && !names.empty()) {
        std::uniform_int_distribution<std::size_t> pick(0, names.size() - 1);
        const auto other = m_context.sample(m_context.members.others(names[pick(m_context.random)], true), 1);
        chosen.insert(chosen.end(), other.begin(), other.end());
    }
    for (const auto &it : chosen) {
        probe(now, it);
    }
}

void MemberExchange::onTick(TimePoint now, bool reader)
{
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_context.settings.digestPeriod;
        probeSome(now, reader);
        m_context.members.forget(now);
    }
    if (now >= m_nextDeadProbe) {
        m_nextDeadProbe = now + DeadProbePeriod;
        probeDead(now);
    }
    checkLostLinks(now);
    checkProbes(now);
    checkSuspects(now);
    sendNews();
}

/// Few members of the whole fleet look after each dead one, so that its return meets no storm.
void MemberExchange::probeDead(TimePoint)
{
    const auto dead = m_context.members.dead();
    const auto live = std::max<std::size_t>(m_context.members.size() - dead.size(), 1);
    const double chance = static_cast<double>(dead.size() * DeadProbers) / static_cast<double>(live);
    if (std::uniform_real_distribution<>(0, 1)(m_context.random) >= chance) {
        return;
    }
    for (const auto &it : m_context.sample(dead, 1)) {
        m_probe(peerOf(it));
    }
}

void MemberExchange::checkLostLinks(TimePoint now)
{
    std::vector<std::string> hosts;
    std::erase_if(m_lost, [&](const auto &it) {
        const auto *member = m_context.members.find(it.first);
        const bool lookAfter = member != nullptr && member->state == MemberState::Alive && now >= it.second;
        if (lookAfter) {
            hosts.push_back(it.first);
        }
        return now >= it.second;
    });
    for (const auto &host : hosts) {
        auto &outstanding = m_probes.try_emplace(host, Outstanding{now, Stage::Direct}).first->second;
        if (outstanding.stage == Stage::Direct) {
            outstanding = Outstanding{now, Stage::ThroughOthers};
            askHelpers(host);
        }
    }
}

void MemberExchange::checkProbes(TimePoint now)
{
    std::vector<std::string> ask;
    std::vector<std::string> doubt;
    for (auto &[host, outstanding] : m_probes) {
        if (now - outstanding.sentAt < ProbeLimit) {
            continue;
        }
        if (outstanding.stage == Stage::Direct) {
            outstanding = Outstanding{now, Stage::ThroughOthers};
            ask.push_back(host);
        } else {
            doubt.push_back(host);
        }
    }
    for (const auto &host : ask) {
        m_silent.push_back(host);
        askHelpers(host);
    }
    for (const auto &host : doubt) {
        m_probes.erase(host);
        const auto news = m_context.members.suspect(now, host);
        if (news) {
            ++m_suspicions;
            m_suspected[host] = now + SuspicionLimit;
            noteNews(*news, {});
        }
    }
    std::erase_if(m_helping, [&](const auto &it) { return it.second.back().until < now; });
}

/// Helpers of the own data centre, of the member's, and of third ones, which still reach both when these two are cut.
void MemberExchange::askHelpers(const std::string &host)
{
    const auto *member = m_context.members.find(host);
    if (member == nullptr) {
        return;
    }
    const MemberEntry probed = *member;
    m_probe(peerOf(probed));
    auto third = m_context.foreign(false);
    std::erase_if(third, [&](const MemberEntry &it) { return it.dataCentre == probed.dataCentre; });
    auto helpers = m_context.sample(third, 2);
    for (const auto &name : {m_context.settings.dataCentre, probed.dataCentre}) {
        const auto one = m_context.sample(m_context.members.others(name, false), 1);
        helpers.insert(helpers.end(), one.begin(), one.end());
    }
    for (const auto &it : helpers) {
        if (it.host != host) {
            m_context.outbox.send(peerOf(it), ProbeRequestBody{probed});
        }
    }
}

void MemberExchange::on(TimePoint now, const MemberEntry &sender, const ProbeRequestBody &body)
{
    if (m_context.members.find(body.member.host) == nullptr) {
        return;
    }
    auto &askers = m_helping[body.member.host];
    if (askers.size() < ProbeHelpers * ProbeHelpers) {
        askers.push_back(Helping{peerOf(sender), now + 2 * ProbeLimit});
    }
    if (body.member.state == MemberState::Suspect) {
        m_context.outbox.send(peerOf(body.member), MemberNewsBody{{}, {body.member}});
    }
    m_probe(peerOf(body.member));
}

void MemberExchange::on(TimePoint now, const ProbeAnswerBody &body)
{
    m_probes.erase(body.host);
    const auto *held = m_context.members.find(body.host);
    if (held == nullptr || held->state != MemberState::Suspect) {
        return;
    }
    MemberEntry answered = *held;
    answered.incarnation = body.incarnation;
    answered.refutation = body.refutation;
    answered.state = MemberState::Alive;
    takeNews(now, answered, ownTree());
}

void MemberExchange::onPeerLost(TimePoint now, const Endpoint &peer)
{
    const auto *member = m_context.members.find(peer.host);
    if (member == nullptr || isGone(member->state)) {
        return;
    }
    m_silent.push_back(peer.host);
    std::uniform_int_distribution<int> delay(0, static_cast<int>(LostLinkSpread.count()));
    m_lost.try_emplace(peer.host, now + milliseconds(delay(m_context.random)));
}

std::vector<std::string> MemberExchange::takeSilent()
{
    return std::exchange(m_silent, {});
}

std::uint64_t MemberExchange::suspicions() const
{
    return m_suspicions;
}

// ---- suspicion

void MemberExchange::declareDead(TimePoint now, const std::string &host, const NewsTree &tree)
{
    const auto news = m_context.members.declareDead(now, host);
    if (news) {
        noteNews(*news, tree);
    }
}

/// Who suspected a member by own findings probes it further and tells its death to all. Who only heard of it waits
/// longer and tells nobody, so that one death makes one wave of news.
void MemberExchange::checkSuspects(TimePoint now)
{
    const bool probes = now >= m_nextSuspectProbe;
    for (const auto &[host, deadAt] : std::map(m_suspected)) {
        const auto *member = m_context.members.find(host);
        if (member == nullptr || member->state != MemberState::Suspect) {
            m_suspected.erase(host);
        } else if (now >= deadAt) {
            m_suspected.erase(host);
            declareDead(now, host, ownTree());
        } else if (probes) {
            askHelpers(host);
        }
    }
    if (probes) {
        m_nextSuspectProbe = now + ProbeLimit;
    }
    for (const auto &host : m_context.members.suspectsSince(now - HearsaySuspicionLimit)) {
        declareDead(now, host, {});
    }
}

/// Nobody could answer during a pause, so nothing that was outstanding says anything.
void MemberExchange::onWake(TimePoint now)
{
    m_probes.clear();
    m_helping.clear();
    m_lost.clear();
    m_suspected.clear();
    m_context.members.restartSuspicions(now);
}

// ---- comparison of member lists

bool MemberExchange::fleetKnown() const
{
    return m_fleetKnown;
}

void MemberExchange::onDigest(TimePoint now, const MemberEntry &sender, const DigestBody &digest)
{
    if (digest.membersHash == m_context.members.hash()) {
        m_fleetKnown = m_fleetKnown || digest.membersKnown;
        return;
    }
    // A node that does not know the fleet yet compares with anyone who does; else who asked compares.
    const bool due = digest.answer || (!m_fleetKnown && digest.membersKnown);
    if (!due || now - m_comparison.at < MemberComparePause) {
        return;
    }
    m_comparison = Comparison{sender.host, now, 0, digest.membersKnown};
    m_context.outbox.send(peerOf(sender), MemberBucketsBody{m_context.members.bucketHashes()});
}

void MemberExchange::on(const MemberEntry &sender, const MemberBucketsBody &body)
{
    const auto buckets = differing(m_context.members.bucketHashes(), body.hashes);
    const auto total = static_cast<std::uint32_t>(buckets.size());
    MemberSetBody set{{}, total, {}, false};
    for (const auto bucket : buckets) {
        auto members = m_context.members.bucket(bucket);
        members.resize(std::min(members.size(), MaxMembersPerMessage));
        if (set.members.size() + members.size() > MaxMembersPerMessage) {
            m_context.outbox.send(peerOf(sender), std::exchange(set, MemberSetBody{{}, total, {}, false}));
        }
        set.buckets.push_back(bucket);
        set.members.insert(set.members.end(), members.begin(), members.end());
    }
    m_context.outbox.send(peerOf(sender), set);
}

void MemberExchange::on(TimePoint now, const MemberEntry &sender, const MemberSetBody &body)
{
    std::map<std::string, MemberEntry> theirs;
    for (const auto &it : body.members) {
        theirs[it.host] = it;
        takeNews(now, it, {});
    }
    if (body.answer) {
        return;
    }
    if (sender.host == m_comparison.host) {
        m_comparison.buckets += body.buckets.size();
        m_fleetKnown = m_fleetKnown || (m_comparison.peerKnows && m_comparison.buckets >= body.total);
    }
    MemberSetBody answer{body.buckets, body.total, {}, true};
    for (const auto bucket : body.buckets) {
        for (const auto &it : m_context.members.bucket(bucket)) {
            const auto held = theirs.find(it.host);
            const bool same = held != theirs.end() && held->second == it;
            if (!same && answer.members.size() < MaxMembersPerMessage) {
                answer.members.push_back(it);
            }
        }
    }
    if (!answer.members.empty()) {
        m_context.outbox.send(peerOf(sender), answer);
    }
}

} // namespace Fescuenotch
