#include "spread/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Fescuenotch {
namespace {

bool isLive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

auto order(const MemberEntry &entry)
{
    return std::make_tuple(entry.incarnation, entry.refutation, static_cast<int>(entry.state));
}

/// Leaving is final for an incarnation: it outlives a death that was declared in error, and a refutation.
bool isNews(const MemberEntry &held, const MemberEntry &entry)
{
    if (held.incarnation == entry.incarnation && held.state != entry.state) {
        if (held.state == MemberState::Leaving) {
            return false;
        }
        if (entry.state == MemberState::Leaving) {
            return true;
        }
    }
    return order(entry) > order(held);
}

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::uint32_t entryHash(const MemberEntry &entry)
{
    const std::uint64_t leaving = entry.state == MemberState::Leaving ? 1 : 0;
    const std::uint64_t seed = entry.incarnation * 4 + entry.refutation * 2 + leaving;
    return static_cast<std::uint32_t>(hashOf(entry.host, seed));
}

RankedHost ranking(const std::string &dataCentre, const MemberEntry &entry)
{
    return {rendezvousWeight(dataCentre, entry.host), entry.host, Endpoint{entry.host, entry.port}};
}

} // namespace

std::uint64_t rendezvousWeight(const std::string &dataCentre, const std::string &host)
{
    return hashOf(host, hashOf(dataCentre, 0));
}

Membership::Membership(const MemberEntry &self)
    : m_self(self)
{
}

const MemberEntry &Membership::self() const
{
    return m_self;
}

Endpoint Membership::selfPeer() const
{
    return {m_self.host, m_self.port};
}

void Membership::refute(std::uint32_t above)
{
    m_self.refutation = std::max(m_self.refutation, above + 1);
    m_hashes.clear();
}

void Membership::setLeaving()
{
    m_self.state = MemberState::Leaving;
    m_hashes.clear();
    m_ranked.clear();
}

void Membership::set(TimePoint now, const MemberEntry &entry)
{
    const auto it = m_known.find(entry.host);
    const bool sameProcess = it != m_known.end() && it->second.entry.incarnation == entry.incarnation;
    m_known[entry.host] = Known{entry, now, sameProcess ? it->second.processAt : now};
    m_hashes.clear();
    m_ranked.clear();
}

bool Membership::learnListed(TimePoint now, const HostEntry &listed, bool wasLeaving)
{
    const auto it = m_known.find(listed.host);
    const bool leaving = listed.state == HostState::Leaving;
    if (it == m_known.end()) {
        const auto state = leaving ? MemberState::Leaving : MemberState::Alive;
        set(now, {listed.host, listed.peer.port, listed.dataCentre, listed.service, 0, 0, state});
        return leaving;
    }
    return leaving && !wasLeaving && change(now, listed.host, MemberState::Leaving).has_value();
}

bool Membership::isYoung(TimePoint now, const std::string &host) const
{
    const auto it = m_known.find(host);
    return it != m_known.end() && it->second.entry.incarnation > 0 && now - it->second.processAt < ListLag;
}

HostState Membership::listedBefore(const std::string &host) const
{
    const auto it = m_listed.find(host);
    return it == m_listed.end() ? HostState::Live : it->second;
}

std::vector<MemberEntry> Membership::applyList(TimePoint now, const HostList &list)
{
    std::map<std::string, HostState> next;
    std::vector<MemberEntry> leaving;
    for (const auto &it : list.hosts) {
        const bool deferred = it.state == HostState::Leaving && isYoung(now, it.host);
        next[it.host] = deferred ? listedBefore(it.host) : it.state;
        if (deferred || it.host == m_self.host) {
            continue;
        }
        const bool wasLeaving = listedBefore(it.host) == HostState::Leaving;
        if (learnListed(now, it, wasLeaving)) {
            leaving.push_back(m_known[it.host].entry);
        }
    }
    m_listed = std::move(next);
    return leaving;
}

bool Membership::isStale(const MemberEntry &sender) const
{
    const auto *held = find(sender.host);
    return held != nullptr && held->incarnation > sender.incarnation;
}

std::optional<MemberEntry> Membership::observe(TimePoint now, const MemberEntry &sender)
{
    const auto it = m_known.find(sender.host);
    if (it == m_known.end()) {
        set(now, sender);
        return sender;
    }
    const auto &held = it->second.entry;
    const bool listedAsLeaving = held.incarnation == 0 && held.state == MemberState::Leaving;
    if (!isNews(held, sender)) {
        return {};
    }
    MemberEntry entry = sender;
    if (listedAsLeaving) {
        entry.state = MemberState::Leaving;
    }
    set(now, entry);
    return entry;
}

std::optional<MemberEntry> Membership::merge(TimePoint now, const MemberEntry &entry)
{
    if (entry.host == m_self.host) {
        return {};
    }
    const auto it = m_known.find(entry.host);
    if (it == m_known.end()) {
        if (entry.state == MemberState::Dead) {
            return {};
        }
        set(now, entry);
        return entry;
    }
    if (!isNews(it->second.entry, entry)) {
        return {};
    }
    set(now, entry);
    return entry;
}

std::optional<MemberEntry> Membership::change(TimePoint now, const std::string &host, MemberState state)
{
    const auto it = m_known.find(host);
    if (it == m_known.end()) {
        return {};
    }
    MemberEntry next = it->second.entry;
    next.state = state;
    if (!isNews(it->second.entry, next)) {
        return {};
    }
    set(now, next);
    return next;
}

std::optional<MemberEntry> Membership::suspect(TimePoint now, const std::string &host)
{
    return change(now, host, MemberState::Suspect);
}

std::optional<MemberEntry> Membership::declareDead(TimePoint now, const std::string &host)
{
    return change(now, host, MemberState::Dead);
}

void Membership::forget(TimePoint now)
{
    const auto old = [&](const auto &it) { return !isLive(it.second.entry.state) && !m_listed.contains(it.first) && now - it.second.changedAt > ForgetAfter; };
    if (std::erase_if(m_known, old) > 0) {
        m_hashes.clear();
    }
}

void Membership::restartSuspicions(TimePoint now)
{
    for (auto &[host, known] : m_known) {
        if (known.entry.state == MemberState::Suspect) {
            known.changedAt = now;
        }
    }
}

const MemberEntry *Membership::find(const std::string &host) const
{
    if (host == m_self.host) {
        return &m_self;
    }
    const auto it = m_known.find(host);
    return it == m_known.end() ? nullptr : &it->second.entry;
}

std::optional<Endpoint> Membership::peerOf(const std::string &host) const
{
    const auto *entry = find(host);
    return entry == nullptr ? std::nullopt : std::optional(Endpoint{entry->host, entry->port});
}

std::vector<std::string> Membership::suspectsSince(TimePoint before) const
{
    std::vector<std::string> hosts;
    for (const auto &[host, known] : m_known) {
        if (known.entry.state == MemberState::Suspect && known.changedAt <= before) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

const std::vector<RankedHost> &Membership::ranked(const std::string &dataCentre) const
{
    const auto cached = m_ranked.find(dataCentre);
    if (cached != m_ranked.end()) {
        return cached->second;
    }
    auto &list = m_ranked[dataCentre];
    if (m_self.dataCentre == dataCentre && isLive(m_self.state)) {
        list.push_back(ranking(dataCentre, m_self));
    }
    for (const auto &[host, known] : m_known) {
        if (known.entry.dataCentre == dataCentre && isLive(known.entry.state)) {
            list.push_back(ranking(dataCentre, known.entry));
        }
    }
    std::sort(list.begin(), list.end(), [](const auto &a, const auto &b) { return std::tie(a.weight, a.host) > std::tie(b.weight, b.host); });
    return list;
}

std::vector<std::string> Membership::dataCentres() const
{
    std::set<std::string> names{m_self.dataCentre};
    for (const auto &[host, known] : m_known) {
        names.insert(known.entry.dataCentre);
    }
    return {names.begin(), names.end()};
}

std::vector<MemberEntry> Membership::others(const std::string &dataCentre, bool anyState) const
{
    std::vector<MemberEntry> found;
    for (const auto &[host, known] : m_known) {
        if (known.entry.dataCentre == dataCentre && (anyState || isLive(known.entry.state))) {
            found.push_back(known.entry);
        }
    }
    return found;
}

std::vector<MemberEntry> Membership::dead() const
{
    std::vector<MemberEntry> found;
    for (const auto &[host, known] : m_known) {
        if (known.entry.state == MemberState::Dead) {
            found.push_back(known.entry);
        }
    }
    return found;
}

std::vector<MemberEntry> Membership::all() const
{
    std::vector<MemberEntry> found{m_self};
    for (const auto &[host, known] : m_known) {
        found.push_back(known.entry);
    }
    return found;
}

std::size_t Membership::size() const
{
    return m_known.size() + 1;
}

std::size_t Membership::peerCount() const
{
    return m_known.size();
}

std::uint8_t Membership::bucketOf(const std::string &host)
{
    return static_cast<std::uint8_t>(hashOf(host, BucketCount) % BucketCount);
}

void Membership::rebuildHashes() const
{
    m_hashes.assign(BucketCount, 0);
    m_hashes[bucketOf(m_self.host)] ^= entryHash(m_self);
    for (const auto &[host, known] : m_known) {
        if (known.entry.state != MemberState::Dead) {
            m_hashes[bucketOf(host)] ^= entryHash(known.entry);
        }
    }
}

std::vector<std::uint32_t> Membership::bucketHashes() const
{
    if (m_hashes.empty()) {
        rebuildHashes();
    }
    return m_hashes;
}

std::uint64_t Membership::hash() const
{
    const auto hashes = bucketHashes();
    return XXH64(hashes.data(), hashes.size() * sizeof(hashes.front()), 0);
}

std::vector<MemberEntry> Membership::bucket(std::uint8_t index) const
{
    std::vector<MemberEntry> found;
    if (bucketOf(m_self.host) == index) {
        found.push_back(m_self);
    }
    for (const auto &[host, known] : m_known) {
        if (known.entry.state != MemberState::Dead && bucketOf(host) == index) {
            found.push_back(known.entry);
        }
    }
    return found;
}

} // namespace Fescuenotch
