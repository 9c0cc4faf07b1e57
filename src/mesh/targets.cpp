#include "mesh/targets.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Fescuenotch {

namespace {

constexpr seconds TombstoneRetention{120}; ///< s; far longer than the store keeps its history

} // namespace

const char *targetChangeName(TargetChange::Kind kind)
{
    switch (kind) {
    case TargetChange::Kind::Added:
        return "added";
    case TargetChange::Kind::Changed:
        return "changed";
    case TargetChange::Kind::Draining:
        return "draining";
    case TargetChange::Kind::Removed:
        return "removed";
    case TargetChange::Kind::RemovalDeferred:
        return "held-back";
    case TargetChange::Kind::Restored:
        return "returned";
    }
    return "unknown";
}

std::optional<TargetChange> TargetTable::apply(TimePoint now, const TargetUpdate &update, TimePoint removalsDeferredUntil)
{
    auto &entry = m_entries[update.id];
    if (update.revision <= entry.revision) {
        return std::nullopt;
    }
    return update.record ? put(now, entry, update) : remove(now, entry, update.revision, removalsDeferredUntil);
}

std::optional<TargetChange> TargetTable::put(TimePoint now, Entry &entry, const TargetUpdate &update)
{
    const bool wasDeferred = entry.removeAt.has_value();
    const auto before = entry.record;
    entry = {update.record, update.revision, std::nullopt, now};
    const bool sameAsBefore = before && *before == *update.record;
    if (sameAsBefore && !wasDeferred) {
        return std::nullopt;
    }
    ++m_generation;
    if (wasDeferred) {
        return TargetChange{TargetChange::Kind::Restored, *update.record};
    }
    const bool drainsNow = update.record->state == TargetState::Draining && (!before || before->state == TargetState::Ready);
    const auto kind = drainsNow ? TargetChange::Kind::Draining : before ? TargetChange::Kind::Changed : TargetChange::Kind::Added;
    return TargetChange{kind, *update.record};
}

std::optional<TargetChange> TargetTable::remove(TimePoint now, Entry &entry, std::uint64_t revision, TimePoint removalsDeferredUntil)
{
    entry.revision = std::max(entry.revision, revision);
    if (!entry.record) {
        entry.changedAt = now;
        return std::nullopt;
    }
    if (now < removalsDeferredUntil) {
        const bool first = !entry.removeAt;
        entry.removeAt = removalsDeferredUntil;
        return first ? std::optional(TargetChange{TargetChange::Kind::RemovalDeferred, *entry.record}) : std::nullopt;
    }
    TargetChange change{TargetChange::Kind::Removed, *entry.record};
    entry = {std::nullopt, entry.revision, std::nullopt, now};
    ++m_generation;
    return change;
}

std::vector<TargetChange>
TargetTable::applyListing(TimePoint now, const std::vector<TargetUpdate> &listing, std::uint64_t revision, TimePoint removalsDeferredUntil)
{
    std::vector<TargetChange> changes;
    std::set<std::string> listed;
    for (const auto &update : listing) {
        listed.insert(update.id);
        if (auto change = apply(now, update, removalsDeferredUntil)) {
            changes.push_back(std::move(*change));
        }
    }
    for (auto &[id, entry] : m_entries) {
        if (listed.contains(id) || entry.revision > revision) {
            continue;
        }
        if (auto change = remove(now, entry, revision, removalsDeferredUntil)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

std::vector<TargetChange> TargetTable::tick(TimePoint now)
{
    std::vector<TargetChange> changes;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto &entry = it->second;
        if (entry.removeAt && *entry.removeAt <= now) {
            changes.push_back({TargetChange::Kind::Removed, *entry.record});
            entry = {std::nullopt, entry.revision, std::nullopt, now};
            ++m_generation;
        }
        it = !entry.record && now - entry.changedAt > TombstoneRetention ? m_entries.erase(it) : std::next(it);
    }
    return changes;
}

std::vector<TargetRecord> TargetTable::ofService(const std::string &service) const
{
    std::map<Endpoint, std::int64_t> latestStart;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record) {
            auto &latest = latestStart[entry.record->address];
            latest = std::max(latest, entry.record->startedAtMs);
        }
    }
    std::vector<TargetRecord> found;
    for (const auto &[id, entry] : m_entries) {
        const bool usable = entry.record && entry.record->service == service && entry.record->state == TargetState::Ready;
        if (usable && entry.record->startedAtMs >= latestStart[entry.record->address]) {
            found.push_back(*entry.record);
        }
    }
    return found;
}

std::vector<TargetRecord> TargetTable::all() const
{
    std::vector<TargetRecord> found;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record) {
            found.push_back(*entry.record);
        }
    }
    return found;
}

const TargetRecord *TargetTable::find(const std::string &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() || !it->second.record ? nullptr : &*it->second.record;
}

const TargetRecord *TargetTable::atAddress(const Endpoint &address) const
{
    const TargetRecord *best = nullptr;
    for (const auto &[id, entry] : m_entries) {
        const bool here = entry.record && entry.record->address == address;
        if (here && (best == nullptr || entry.record->startedAtMs > best->startedAtMs)) {
            best = &*entry.record;
        }
    }
    return best;
}

bool TargetTable::isInDataCentre(const std::string &host, const std::string &dataCentre) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &each) {
        const auto &record = each.second.record;
        return record && record->address.host == host && record->dataCentre == dataCentre;
    });
}

std::size_t TargetTable::size() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &each) { return each.second.record.has_value(); }));
}

std::vector<TargetUpdate> TargetTable::updatesSince(std::uint64_t revision) const
{
    std::vector<TargetUpdate> updates;
    for (const auto &[id, entry] : m_entries) {
        if (entry.revision > revision && !entry.removeAt) {
            updates.push_back({id, entry.revision, entry.record});
        }
    }
    return updates;
}

std::uint64_t TargetTable::digest() const
{
    if (m_digestGeneration == m_generation) {
        return m_digest; // computed only after a change: every heartbeat needs it
    }
    m_digest = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record) {
            // A sum does not depend on the order of entries. The state is the seed, since draining targets count differently from ready ones.
            m_digest += XXH64(id.data(), id.size(), entry.record->state == TargetState::Ready ? 1 : 2);
        }
    }
    m_digestGeneration = m_generation;
    return m_digest;
}

} // namespace Fescuenotch
