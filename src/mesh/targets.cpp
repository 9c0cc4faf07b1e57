#include "mesh/targets.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Fescuenotch {

namespace {

constexpr seconds TombstoneRetention{120}; ///< s; far longer than the store keeps its history

TargetStatement statementOf(const TargetRecord &record)
{
    return {record.startedAtMs, record.sequence};
}

/// Whether an update that is not newer in the store may still win by the target's own statement: one of a history that the
/// store has lost, or one at the same position of a peer that knew more.
bool mayOverrule(const StorePosition &update, const StorePosition &entry)
{
    return update.era < entry.era || update == entry;
}

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
    case TargetChange::Kind::InDoubt:
        return "in-doubt";
    case TargetChange::Kind::Confirmed:
        return "confirmed";
    case TargetChange::Kind::GivenUp:
        return "given-up";
    }
    return "unknown";
}

std::optional<TargetChange> TargetTable::apply(TimePoint now, const TargetUpdate &update, TimePoint removalsDeferredUntil)
{
    auto &entry = m_entries[update.id];
    return update.record ? put(now, entry, update) : remove(now, entry, update, removalsDeferredUntil);
}

std::optional<TargetChange> TargetTable::put(TimePoint now, Entry &entry, const TargetUpdate &update)
{
    const auto statement = statementOf(*update.record);
    if (update.position <= entry.position) {
        if (update.position == entry.position && entry.record && !entry.removeAt && update.removeIn > milliseconds(0)) {
            entry.removeAt = now + update.removeIn;
            return TargetChange{TargetChange::Kind::RemovalDeferred, *entry.record};
        }
        const bool isLaterStatement = mayOverrule(update.position, entry.position) && entry.record && entry.outdatedBefore < statement;
        return isLaterStatement ? std::optional(replace(now, entry, update, entry.position)) : std::nullopt;
    }
    const bool isOlderCopy = update.statedInEra.value_or(update.position.era) != entry.statedInEra && statement < entry.outdatedBefore;
    if (isOlderCopy) {
        entry.position = update.position;
        return std::nullopt;
    }
    const bool isUnknown = !entry.record && entry.position == StorePosition{};
    if (isUnknown && update.position.era < m_listedAt.era) {
        // The current era's listing lacked it, so it is in doubt like the entries known before.
        if (now >= m_doubtUntil) {
            return std::nullopt;
        }
        replace(now, entry, update, update.position);
        return doubt(entry, m_listedAt);
    }
    const auto before = entry.record;
    const bool wasDeferred = entry.removeAt.has_value();
    const bool isInDoubt = entry.absentAt.has_value();
    auto change = replace(now, entry, update, update.position);
    entry.absentAt.reset();
    entry.removeAt = update.removeIn > milliseconds(0) ? std::optional(now + update.removeIn) : std::nullopt;
    if (wasDeferred && !entry.removeAt) {
        change.kind = isInDoubt ? TargetChange::Kind::Confirmed : TargetChange::Kind::Restored;
        return change;
    }
    if (before) {
        auto sameSequence = *before;
        sameSequence.sequence = update.record->sequence;
        if (sameSequence == *update.record) {
            return std::nullopt;
        }
    }
    return change;
}

TargetChange TargetTable::replace(TimePoint now, Entry &entry, const TargetUpdate &update, StorePosition position)
{
    const bool wasReady = !entry.record || entry.record->state == TargetState::Ready;
    const bool drainsNow = update.record->state == TargetState::Draining && wasReady;
    const auto kind = drainsNow ? TargetChange::Kind::Draining : entry.record ? TargetChange::Kind::Changed : TargetChange::Kind::Added;
    auto sameSequence = entry.record;
    if (sameSequence) {
        sameSequence->sequence = update.record->sequence;
    }
    m_generation += sameSequence == update.record ? 0 : 1; // users of the list do not read the sequence
    entry.record = update.record;
    entry.position = position;
    entry.changedAt = now;
    entry.outdatedBefore = statementOf(*update.record);
    entry.statedInEra = update.statedInEra.value_or(update.position.era);
    return {kind, *update.record};
}

std::optional<TargetChange> TargetTable::remove(TimePoint now, Entry &entry, const TargetUpdate &update, TimePoint removalsDeferredUntil)
{
    if (update.position <= entry.position) {
        const bool isLater = mayOverrule(update.position, entry.position) && entry.record && entry.outdatedBefore < update.outdatedBefore;
        if (!isLater) {
            return std::nullopt;
        }
        auto change = drop(now, entry, TargetChange::Kind::Removed);
        entry.outdatedBefore = std::max(entry.outdatedBefore, update.outdatedBefore);
        entry.statedInEra = update.position.era;
        return change;
    }
    entry.position = update.position;
    if (!entry.record) {
        entry.changedAt = now;
        entry.outdatedBefore = std::max(entry.outdatedBefore, update.outdatedBefore);
        return std::nullopt;
    }
    if (now < removalsDeferredUntil) {
        const bool first = !entry.removeAt;
        entry.removeAt = removalsDeferredUntil;
        return first ? std::optional(TargetChange{TargetChange::Kind::RemovalDeferred, *entry.record}) : std::nullopt;
    }
    auto change = drop(now, entry, TargetChange::Kind::Removed);
    entry.outdatedBefore = std::max(entry.outdatedBefore, update.outdatedBefore);
    return change;
}

/// Turns the entry into a tombstone.
TargetChange TargetTable::drop(TimePoint now, Entry &entry, TargetChange::Kind kind)
{
    TargetChange change{kind, *entry.record};
    if (entry.absentAt) {
        // It was only missing: the same statement, written late, brings it back.
        entry.position = std::max(entry.position, *entry.absentAt);
    } else {
        ++entry.outdatedBefore.sequence;
        entry.statedInEra = entry.position.era;
    }
    entry.record.reset();
    entry.removeAt.reset();
    entry.absentAt.reset();
    entry.changedAt = now;
    ++m_generation;
    return change;
}

std::optional<TargetChange> TargetTable::doubt(Entry &entry, StorePosition position)
{
    const bool isRemovedAlready = entry.removeAt && !entry.absentAt;
    const bool isInDoubtAlready = entry.absentAt && entry.absentAt->era == position.era;
    if (isRemovedAlready || isInDoubtAlready) {
        return std::nullopt;
    }
    entry.removeAt = m_doubtUntil;
    entry.absentAt = position;
    return TargetChange{TargetChange::Kind::InDoubt, *entry.record};
}

std::vector<TargetChange>
TargetTable::applyListing(TimePoint now, const std::vector<TargetUpdate> &listing, StorePosition position, TimePoint removalsDeferredUntil)
{
    const bool isOutdated = position.era < m_listedAt.era;
    onSameListing(now, position);
    m_doubtUntil = std::max(m_doubtUntil, removalsDeferredUntil);
    std::vector<TargetChange> changes;
    std::set<std::string> listed;
    for (const auto &update : listing) {
        listed.insert(update.id);
        if (auto change = apply(now, update, removalsDeferredUntil)) {
            changes.push_back(std::move(*change));
        }
    }
    if (isOutdated) {
        return changes;
    }
    for (auto &[id, entry] : m_entries) {
        if (listed.contains(id) || entry.position > position) {
            continue;
        }
        const bool isFromEarlierEra = entry.record && entry.position.era < position.era;
        if (auto change = isFromEarlierEra ? doubt(entry, position) : remove(now, entry, {id, position, std::nullopt, {}, {}, {}}, removalsDeferredUntil)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

void TargetTable::onSameListing(TimePoint now, StorePosition position)
{
    if (position.era > m_listedAt.era) {
        m_doubtUntil = now + LeaseRenewalGrace;
    }
    m_listedAt = std::max(m_listedAt, position);
}

std::vector<TargetChange> TargetTable::tick(TimePoint now)
{
    std::vector<TargetChange> changes;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto &entry = it->second;
        if (entry.removeAt && *entry.removeAt <= now) {
            changes.push_back(drop(now, entry, entry.absentAt ? TargetChange::Kind::GivenUp : TargetChange::Kind::Removed));
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

std::size_t TargetTable::inDoubt() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &each) { return each.second.absentAt.has_value(); }));
}

TargetUpdate TargetTable::updateOf(const std::string &id, const Entry &entry)
{
    TargetUpdate update;
    update.id = id;
    update.position = entry.position;
    update.record = entry.record;
    update.outdatedBefore = entry.outdatedBefore;
    update.statedInEra = entry.statedInEra;
    return update;
}

std::vector<TargetUpdate> TargetTable::updatesSince(StorePosition position) const
{
    std::vector<TargetUpdate> updates;
    for (const auto &[id, entry] : m_entries) {
        if (entry.position > position && !entry.removeAt) {
            updates.push_back(updateOf(id, entry));
        }
    }
    return updates;
}

std::vector<TargetUpdate> TargetTable::allUpdates(TimePoint now) const
{
    std::vector<TargetUpdate> updates;
    for (const auto &[id, entry] : m_entries) {
        if (entry.position == StorePosition{}) {
            continue;
        }
        updates.push_back(updateOf(id, entry));
        if (entry.removeAt) {
            updates.back().removeIn = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(*entry.removeAt - now));
        }
    }
    return updates;
}

std::uint64_t TargetTable::digest() const
{
    updateDigests();
    return m_digest;
}

std::uint64_t TargetTable::lifetimesDigest() const
{
    updateDigests();
    return m_lifetimesDigest;
}

void TargetTable::updateDigests() const
{
    if (m_digestGeneration == m_generation) {
        return; // computed only after a change: every heartbeat needs them
    }
    m_digest = 0;
    m_lifetimesDigest = 0;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record) {
            // A sum does not depend on the order of entries. The state is the seed, since draining targets count differently from ready ones.
            m_digest += XXH64(id.data(), id.size(), entry.record->state == TargetState::Ready ? 1 : 2);
            m_lifetimesDigest += XXH64(id.data(), id.size(), static_cast<std::uint64_t>(entry.record->startedAtMs));
        }
    }
    m_digestGeneration = m_generation;
}

} // namespace Fescuenotch
