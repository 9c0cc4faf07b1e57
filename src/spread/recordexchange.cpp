// Sections: batches, sending as root, relaying, comparisons, large values.
#include "spread/recordexchange.h"

#include "spread/digest.h"
#include "spread/tree.h"

#include <algorithm>
#include <string_view>

namespace Fescuenotch {
namespace {

constexpr std::string_view ProfilePrefix = "profile/";
constexpr std::string_view ServicePrefix = "service/";
constexpr int BytesWindowShare = 3; ///< changes are collected for this part of the spread target
constexpr std::size_t MaxBackupRank = 5; ///< lower ranks wait no longer than this one
constexpr std::size_t ForeignPushes = 2; ///< nodes of each other data centre that a root pushes to

bool isLarge(const Record &record)
{
    return record.value && record.value->size() > MaxInlineValueBytes;
}

/// Splits records into messages under the caps; large values become announcements.
template<typename Body>
std::vector<Body> batches(const std::vector<Record> &records, const Body &empty)
{
    std::vector<Body> out;
    std::size_t bytes = 0;
    for (const auto &record : records) {
        const std::size_t size = isLarge(record) || !record.value ? 0 : record.value->size();
        const bool full
            = !out.empty() && (bytes + size > BatchValueBytes || out.back().records.size() + out.back().announcements.size() >= MaxRecordsPerMessage);
        if (out.empty() || full) {
            out.push_back(empty);
            bytes = 0;
        }
        bytes += size;
        if (isLarge(record)) {
            out.back().announcements.push_back({record.key, record.version, static_cast<std::uint32_t>(record.value->size())});
        } else {
            out.back().records.push_back(record);
        }
    }
    return out;
}

KeyVersions versionsOf(const RecordStore &store, const std::string &key)
{
    for (const auto &it : store.versions()) {
        if (it.key == key) {
            return it;
        }
    }
    return KeyVersions{key, {}, {}};
}

} // namespace

RecordExchange::RecordExchange(SpreadContext &context)
    : m_context(context)
{
}

// ---- sending as root

bool RecordExchange::isBytes(const std::string &key) const
{
    std::string profile;
    if (key.starts_with(ProfilePrefix)) {
        profile = key.substr(ProfilePrefix.size());
    } else if (key.starts_with(ServicePrefix)) {
        profile = m_context.store.profileOf(key.substr(ServicePrefix.size()));
    }
    const auto snapshot = profile.empty() ? nullptr : m_context.store.build(profile, nullptr);
    return snapshot != nullptr && snapshot->profile.spread == SpreadMode::Bytes;
}

void RecordExchange::onPlatformNews(TimePoint now, const std::vector<Record> &news, std::size_t rank)
{
    if (m_context.settings.way == SpreadWay::Baseline) {
        return;
    }
    if (m_context.settings.way == SpreadWay::TreeDigest && news.size() > MaxPushedNews) {
        return; // the beacon tells the mark; each node pulls what it lacks from its parent
    }
    const auto backup = BackupPushStep * static_cast<std::int64_t>(std::min(rank, MaxBackupRank));
    for (const auto &record : news) {
        const Duration window = isBytes(record.key) ? m_context.settings.spreadTarget / BytesWindowShare : Duration::zero();
        m_plan.add({record}, now + window + backup);
    }
}

bool RecordExchange::onTick(TimePoint now)
{
    const auto due = m_plan.due(now);
    if (!due.empty()) {
        relay(m_context.settings.self.host, due);
        pushForeign(due);
    }
    if (m_plan.empty()) {
        m_pushedMark = m_context.store.highWater();
    }
    for (const auto &it : m_large.retries(now)) {
        pull(it);
    }
    return !due.empty();
}

bool RecordExchange::collecting() const
{
    return !m_plan.empty();
}

Version RecordExchange::pushedMark() const
{
    return m_pushedMark;
}

/// Without digests the other data centres get the records themselves; with them the beacon is enough.
void RecordExchange::pushForeign(const std::vector<Record> &news)
{
    if (m_context.settings.way == SpreadWay::TreeDigest) {
        return;
    }
    std::vector<Endpoint> to;
    for (const auto &name : m_context.members.dataCentres()) {
        const auto &ranked = m_context.members.ranked(name);
        for (std::size_t i = 0; i < std::min(ranked.size(), ForeignPushes) && !m_context.isOwn(name); ++i) {
            to.push_back(ranked[i].peer);
        }
    }
    for (const auto &body : batches(news, PushBody{m_context.settings.self.host, {}, {}})) {
        m_context.outbox.sendAll(to, body);
    }
}

// ---- relaying

bool RecordExchange::treeUsed() const
{
    return m_context.settings.way == SpreadWay::Tree || m_context.settings.way == SpreadWay::TreeDigest;
}

std::vector<Endpoint> RecordExchange::relayTargets(const std::string &root)
{
    std::vector<Endpoint> to;
    if (treeUsed()) {
        const auto &settings = m_context.settings;
        for (const auto &it : treeChildren(m_context.ownRanked(), settings.dataCentre, root, settings.self.host, settings.treeFanOut)) {
            to.push_back(it.peer);
        }
    } else if (m_context.settings.way == SpreadWay::Gossip) {
        for (const auto &it : m_context.sample(m_context.members.others(m_context.settings.dataCentre, false), m_context.settings.treeFanOut)) {
            to.push_back({it.host, it.port});
        }
    }
    return to;
}

/// Passes on each version once.
void RecordExchange::relay(const std::string &root, const std::vector<Record> &records)
{
    std::vector<Record> fresh;
    for (const auto &record : records) {
        auto &relayed = m_relayed[record.key];
        if (record.version > relayed) {
            relayed = record.version;
            fresh.push_back(record);
        }
    }
    if (fresh.empty()) {
        return;
    }
    const auto to = relayTargets(root);
    for (const auto &body : batches(fresh, PushBody{root, {}, {}})) {
        m_context.outbox.sendAll(to, body);
    }
}

bool RecordExchange::on(TimePoint now, const MemberEntry &sender, const PushBody &body)
{
    const auto *begun = m_context.members.find(body.root);
    const bool ownTree = begun != nullptr && m_context.isOwn(begun->dataCentre);
    const std::string root = ownTree ? body.root : m_context.settings.self.host;
    for (const auto &record : body.records) {
        m_plan.seen(record.key, record.version);
    }
    const auto news = m_context.store.apply(body.records);
    relay(root, heldOf(body));
    want(now, {sender.host, sender.port}, root, body.announcements);
    return !news.empty();
}

/// The records of a push that this node holds at that very version, announced values included.
std::vector<Record> RecordExchange::heldOf(const PushBody &body) const
{
    std::map<std::string, Version> pushed;
    for (const auto &it : body.records) {
        pushed[it.key] = it.version;
    }
    for (const auto &it : body.announcements) {
        pushed[it.key] = it.version;
    }
    std::vector<Record> held;
    for (const auto &[key, version] : pushed) {
        for (const auto &record : m_context.store.records(key)) {
            if (record.version == version) {
                held.push_back(record);
            }
        }
    }
    return held;
}

bool RecordExchange::on(TimePoint now, const MemberEntry &sender, const RecordsBody &body, bool trusted)
{
    const auto news = m_context.store.apply(body.records);
    for (const auto &it : body.records) {
        m_pulled.erase(it.key);
    }
    want(now, {sender.host, sender.port}, {}, body.announcements);
    if (news.empty() || !trusted) {
        return !news.empty();
    }
    if (!m_context.isOwn(sender.dataCentre) && news.size() <= MaxPushedNews) {
        m_plan.add(news, now);
    } else if (m_context.settings.way == SpreadWay::TreeDigest) {
        m_hints = relayTargets(m_context.settings.self.host);
    }
    return true;
}

std::vector<Endpoint> RecordExchange::takeRepairHints()
{
    return std::exchange(m_hints, {});
}

// ---- comparisons

void RecordExchange::onMark(TimePoint now, const Endpoint &from, Version mark, Duration grace)
{
    if (m_context.settings.way != SpreadWay::TreeDigest || mark <= m_context.store.highWater()) {
        return;
    }
    const auto [it, fresh] = m_marks.try_emplace(from, Overdue{mark, now + grace});
    it->second.mark = std::max(it->second.mark, mark);
}

std::vector<Endpoint> RecordExchange::overdueMarks(TimePoint now)
{
    std::vector<Endpoint> overdue;
    const Version held = m_context.store.highWater();
    for (auto it = m_marks.begin(); it != m_marks.end();) {
        if (it->second.mark > held && it->second.due > now) {
            ++it;
            continue;
        }
        if (it->second.mark > held) {
            overdue.push_back(it->first);
        }
        it = m_marks.erase(it);
    }
    return overdue;
}

void RecordExchange::compare(TimePoint now, const Endpoint &with, bool trusted)
{
    auto &comparison = m_comparisons[with.host];
    const TimePoint last = trusted ? comparison.at : m_lastComparison;
    if (now - last < ComparePause) {
        return;
    }
    m_lastComparison = now;
    comparison = Comparison{now};
    m_context.outbox.send(with, RecordBucketsBody{recordBuckets(m_context.store.versions())});
}

void RecordExchange::on(const MemberEntry &sender, const RecordBucketsBody &body)
{
    const auto held = m_context.store.versions();
    const auto buckets = differing(recordBuckets(held), body.hashes);
    const auto total = static_cast<std::uint32_t>(buckets.size());
    const Endpoint to{sender.host, sender.port};
    RecordVersionsBody answer{{}, total, {}};
    for (const auto bucket : buckets) {
        auto keys = keysOf(held, {bucket});
        keys.resize(std::min(keys.size(), MaxKeysPerMessage));
        if (answer.keys.size() + keys.size() > MaxKeysPerMessage) {
            m_context.outbox.send(to, std::exchange(answer, RecordVersionsBody{{}, total, {}}));
        }
        answer.buckets.push_back(bucket);
        answer.keys.insert(answer.keys.end(), keys.begin(), keys.end());
    }
    m_context.outbox.send(to, answer);
}

bool RecordExchange::on(TimePoint now, const MemberEntry &sender, const RecordVersionsBody &body)
{
    const Endpoint peer{sender.host, sender.port};
    const auto held = keysOf(m_context.store.versions(), body.buckets);
    const auto pulled = lacking(held, body.keys);
    const auto asked = notAskedFor(now, pulled);
    if (!asked.empty()) {
        m_context.outbox.send(peer, PullBody{asked});
    }
    std::vector<Record> given;
    for (const auto &key : lacking(body.keys, held)) {
        const auto records = m_context.store.records(key);
        given.insert(given.end(), records.begin(), records.end());
    }
    give(peer, given);
    auto &comparison = m_comparisons[sender.host];
    comparison.buckets += body.buckets.size();
    comparison.lacked = comparison.lacked || !pulled.empty();
    return comparison.buckets == body.total && !comparison.lacked;
}

/// Leaves out keys that another peer was asked for a moment ago.
std::vector<std::string> RecordExchange::notAskedFor(TimePoint now, const std::vector<std::string> &keys)
{
    std::erase_if(m_pulled, [&](const auto &it) { return now - it.second >= PullPause; });
    std::vector<std::string> left;
    for (const auto &key : keys) {
        if (m_pulled.try_emplace(key, now).second) {
            left.push_back(key);
        }
    }
    return left;
}

void RecordExchange::on(const MemberEntry &sender, const PullBody &body)
{
    std::vector<Record> found;
    for (const auto &key : body.keys) {
        const auto records = m_context.store.records(key);
        found.insert(found.end(), records.begin(), records.end());
    }
    give({sender.host, sender.port}, found);
}

void RecordExchange::give(const Endpoint &to, const std::vector<Record> &records)
{
    for (const auto &body : batches(records, RecordsBody{})) {
        m_context.outbox.send(to, body);
    }
}

// ---- large values

void RecordExchange::want(TimePoint now, const Endpoint &from, const std::string &root, const std::vector<Announcement> &announcements)
{
    for (const auto &it : announcements) {
        const auto held = versionsOf(m_context.store, it.key);
        const bool lacked = it.version > held.newest || (it.version > held.newestValid && it.version != held.newest);
        const auto first = lacked ? m_large.want(now, from, root, it) : std::nullopt;
        if (first) {
            pull(*first);
        }
    }
}

void RecordExchange::pull(const LargeValues::Pull &pull)
{
    m_context.outbox.send(pull.from, pull.body);
}

void RecordExchange::on(const MemberEntry &sender, const ChunkPullBody &body)
{
    for (const auto &record : m_context.store.records(body.key)) {
        if (record.version == body.version && record.value && body.offset < record.value->size()) {
            const auto total = static_cast<std::uint32_t>(record.value->size());
            const ChunkBody chunk{body.key, body.version, body.offset, total, record.value->substr(body.offset, ChunkBytes)};
            m_context.outbox.send({sender.host, sender.port}, chunk);
            return;
        }
    }
}

bool RecordExchange::on(TimePoint now, const ChunkBody &body)
{
    const auto [next, done] = m_large.onChunk(now, body);
    if (next) {
        pull(*next);
    }
    if (!done) {
        return false;
    }
    m_plan.seen(done->record.key, done->record.version);
    const auto news = m_context.store.apply({done->record});
    relay(done->root.empty() ? m_context.settings.self.host : done->root, news);
    return !news.empty();
}

} // namespace Fescuenotch
