// Sections: news, probes, suspicion, comparison of member lists.
#include "spread/memberexchange.h"

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
    if (!tree.root.empty() && entry.state != MemberState::Suspect) {
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
        for (const auto &it : m_context.sample(m_context.members.dead(), 1)) {
            m_probe(peerOf(it));
        }
    }
    checkProbes(now);
    checkSuspects(now);
    sendNews();
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
            noteNews(*news, {});
        }
    }
    std::erase_if(m_helping, [&](const auto &it) { return it.second.back().until < now; });
}

/// One helper each of the own data centre, of the member's, and of any.
void MemberExchange::askHelpers(const std::string &host)
{
    const auto *member = m_context.members.find(host);
    if (member == nullptr) {
        return;
    }
    const MemberEntry probed = *member;
    m_probe(peerOf(probed));
    auto helpers = m_context.sample(m_context.members.others(m_context.settings.dataCentre, false), 1);
    for (const auto &some : {m_context.members.others(probed.dataCentre, false), m_context.foreign(false)}) {
        const auto one = m_context.sample(some, 1);
        helpers.insert(helpers.end(), one.begin(), one.end());
    }
    for (const auto &it : helpers) {
        if (it.host != host) {
            m_context.outbox.send(peerOf(it), ProbeRequestBody{peerOf(probed)});
        }
    }
}

void MemberExchange::on(TimePoint now, const MemberEntry &sender, const ProbeRequestBody &body)
{
    if (m_context.members.find(body.peer.host) == nullptr) {
        return;
    }
    auto &askers = m_helping[body.peer.host];
    if (askers.size() < ProbeHelpers * ProbeHelpers) {
        askers.push_back(Helping{peerOf(sender), now + 2 * ProbeLimit});
    }
    m_probe(body.peer);
}

void MemberExchange::on(TimePoint, const ProbeAnswerBody &body)
{
    m_probes.erase(body.host);
}

void MemberExchange::onPeerLost(TimePoint now, const Endpoint &peer)
{
    const auto *member = m_context.members.find(peer.host);
    if (member == nullptr || isGone(member->state)) {
        return;
    }
    m_silent.push_back(peer.host);
    const auto [it, fresh] = m_probes.try_emplace(peer.host, Outstanding{now, Stage::ThroughOthers});
    if (fresh || it->second.stage == Stage::Direct) {
        it->second = Outstanding{now, Stage::ThroughOthers};
        askHelpers(peer.host);
    }
}

std::vector<std::string> MemberExchange::takeSilent()
{
    return std::exchange(m_silent, {});
}

// ---- suspicion

void MemberExchange::checkSuspects(TimePoint now)
{
    for (const auto &host : m_context.members.suspectsSince(now - SuspicionLimit)) {
        const auto news = m_context.members.declareDead(now, host);
        if (news) {
            noteNews(*news, ownTree());
        }
    }
    if (now < m_nextSuspectProbe) {
        return;
    }
    m_nextSuspectProbe = now + ProbeLimit;
    for (const auto &host : m_context.members.suspectsSince(now)) {
        m_probe(*m_context.members.peerOf(host));
    }
}

/// Nobody could answer during a pause, so nothing that was outstanding says anything.
void MemberExchange::onWake(TimePoint now)
{
    m_probes.clear();
    m_helping.clear();
    m_context.members.restartSuspicions(now);
}

// ---- comparison of member lists

void MemberExchange::onMembersHash(TimePoint now, const MemberEntry &sender, std::uint64_t hash)
{
    if (hash == m_context.members.hash() || now - m_lastCompare < MemberComparePause) {
        return;
    }
    m_lastCompare = now;
    m_context.outbox.send(peerOf(sender), MemberBucketsBody{m_context.members.bucketHashes()});
}

void MemberExchange::on(const MemberEntry &sender, const MemberBucketsBody &body)
{
    const auto own = m_context.members.bucketHashes();
    MemberSetBody set;
    std::size_t sent = 0;
    for (std::size_t i = 0; i < BucketCount && sent < MaxSetsPerAnswer; ++i) {
        if (i < body.hashes.size() && body.hashes[i] == own[i]) {
            continue;
        }
        auto members = m_context.members.bucket(static_cast<std::uint8_t>(i));
        members.resize(std::min(members.size(), MaxMembersPerMessage));
        if (set.members.size() + members.size() > MaxMembersPerMessage) {
            m_context.outbox.send(peerOf(sender), std::exchange(set, {}));
            ++sent;
        }
        set.buckets.push_back(static_cast<std::uint8_t>(i));
        set.members.insert(set.members.end(), members.begin(), members.end());
    }
    if (!set.buckets.empty() && sent < MaxSetsPerAnswer) {
        m_context.outbox.send(peerOf(sender), set);
    }
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
    MemberSetBody answer{body.buckets, {}, true};
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
