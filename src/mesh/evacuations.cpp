#include "mesh/evacuations.h"

#include "mesh/targets.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace Fescuenotch {

namespace {

// Seeds of the digest's hashes, by what is known of a data centre.
constexpr std::uint64_t EvacuatedSeed = 1;
constexpr std::uint64_t EvacuatedLiftPendingSeed = 2;
constexpr std::uint64_t EvacuationPendingSeed = 3;
constexpr std::uint64_t KnownSeed = 4; ///< so that the digest is not 0 when no data centre is evacuated

} // namespace

const char *evacuationChangeName(EvacuationChange::Kind kind)
{
    switch (kind) {
    case EvacuationChange::Kind::Evacuated:
        return "evacuated";
    case EvacuationChange::Kind::Lifted:
        return "lifted";
    case EvacuationChange::Kind::Pending:
        return "pending";
    case EvacuationChange::Kind::Confirmed:
        return "confirmed";
    }
    return "unknown";
}

bool Evacuations::isValidName(const std::string &dataCentre)
{
    return !dataCentre.empty() && dataCentre.size() <= MaxDataCentreName;
}

void Evacuations::notePosition(TimePoint now, StorePosition position)
{
    if (position.era > m_era) {
        m_era = position.era;
        m_firstRevision = position.revision;
        m_graceUntil = now + LeaseRenewalGrace;
    } else if (position.era == m_era) {
        m_firstRevision = std::min(m_firstRevision, position.revision);
    }
}

bool Evacuations::isHeld(TimePoint now, const Entry &entry, const State &next) const
{
    const bool isOfNewEra = entry.state.position.era != 0 && entry.state.position.era < next.position.era;
    if (!isOfNewEra || now >= m_graceUntil || next.evacuated == entry.state.evacuated) {
        return false;
    }
    const bool isWrittenInNewEra = next.evacuated && next.position.revision > m_firstRevision;
    return !isWrittenInNewEra;
}

bool Evacuations::appliesForGrace(TimePoint now, const EvacuationUpdate &update) const
{
    return update.evacuated && update.position.era < m_listedAt.era && now < m_graceUntil;
}

std::optional<EvacuationChange> Evacuations::apply(TimePoint now, const EvacuationUpdate &update, const std::string &source)
{
    if (!isValidName(update.dataCentre)) {
        return std::nullopt;
    }
    if (update.position.era > m_era) {
        notePosition(now, update.position);
    }
    const State next{update.evacuated, update.position, now, source};
    const auto it = m_entries.find(update.dataCentre);
    if (it == m_entries.end() && update.position <= m_listedAt) {
        if (!appliesForGrace(now, update)) {
            return std::nullopt; // the listing lacked it
        }
        makeRoom();
        auto &entry = m_entries[update.dataCentre];
        auto change = replace(now, update.dataCentre, entry, next);
        entry.pending = State{false, m_listedAt, now, source};
        return change;
    }
    if (it == m_entries.end()) {
        makeRoom();
        auto &entry = m_entries[update.dataCentre];
        entry.state = {false, m_listedAt, now, source};
        if (isHeld(now, entry, next)) {
            entry.pending = next;
            return EvacuationChange{EvacuationChange::Kind::Pending, update, Duration(0), source};
        }
        return replace(now, update.dataCentre, entry, next);
    }
    auto &entry = it->second;
    const auto newest = entry.pending ? std::max(entry.pending->position, entry.state.position) : entry.state.position;
    if (update.position <= newest) {
        return std::nullopt;
    }
    if (isHeld(now, entry, next)) {
        const bool first = !entry.pending;
        entry.pending = next;
        return first ? std::optional(EvacuationChange{EvacuationChange::Kind::Pending, update, Duration(0), source}) : std::nullopt;
    }
    return replace(now, update.dataCentre, entry, next);
}

std::optional<EvacuationChange> Evacuations::replace(TimePoint now, const std::string &dataCentre, Entry &entry, State next)
{
    const bool changes = entry.state.evacuated != next.evacuated;
    const bool confirms = entry.pending && !changes;
    if (!changes) {
        next.learnedAt = entry.state.learnedAt;
        next.source = entry.state.source;
    }
    entry.state = std::move(next);
    entry.pending.reset();
    m_generation += changes ? 1 : 0;
    if (!changes && !confirms) {
        return std::nullopt;
    }
    const auto &state = entry.state;
    const auto kind = confirms ? EvacuationChange::Kind::Confirmed : state.evacuated ? EvacuationChange::Kind::Evacuated : EvacuationChange::Kind::Lifted;
    return EvacuationChange{kind, {dataCentre, state.position, state.evacuated}, now - state.learnedAt, state.source};
}

std::vector<EvacuationChange>
Evacuations::applyListing(TimePoint now, const std::vector<EvacuationUpdate> &listing, StorePosition position, const std::string &source)
{
    notePosition(now, position);
    std::vector<EvacuationChange> changes;
    std::set<std::string> listed;
    const auto add = [&](const EvacuationUpdate &update) {
        if (auto change = apply(now, update, source)) {
            changes.push_back(std::move(*change));
        }
    };
    for (const auto &update : listing) {
        listed.insert(update.dataCentre);
        add(update);
    }
    std::vector<std::string> absent;
    for (const auto &[dataCentre, entry] : m_entries) {
        if (!listed.contains(dataCentre)) {
            absent.push_back(dataCentre);
        }
    }
    for (const auto &dataCentre : absent) {
        add({dataCentre, position, false});
    }
    m_listedAt = std::max(m_listedAt, position);
    m_known = true;
    return changes;
}

std::vector<EvacuationChange> Evacuations::tick(TimePoint now)
{
    std::vector<EvacuationChange> changes;
    if (now < m_graceUntil) {
        return changes;
    }
    for (auto &[dataCentre, entry] : m_entries) {
        if (!entry.pending) {
            continue;
        }
        if (auto change = replace(now, dataCentre, entry, *entry.pending)) {
            changes.push_back(std::move(*change));
        }
    }
    return changes;
}

/// Drops the lifted evacuation with the lowest position when too many names were seen.
void Evacuations::makeRoom()
{
    if (m_entries.size() < MaxEvacuationRecords) {
        return;
    }
    auto oldest = m_entries.end();
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        const bool isLifted = !it->second.state.evacuated && !it->second.pending;
        if (isLifted && (oldest == m_entries.end() || it->second.state.position < oldest->second.state.position)) {
            oldest = it;
        }
    }
    if (oldest != m_entries.end()) {
        m_entries.erase(oldest);
    }
}

bool Evacuations::isEvacuated(const std::string &dataCentre) const
{
    const auto it = m_entries.find(dataCentre);
    return it != m_entries.end() && it->second.state.evacuated;
}

std::size_t Evacuations::evacuated() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto &each) { return each.second.state.evacuated; }));
}

std::vector<EvacuationUpdate> Evacuations::updates() const
{
    std::vector<EvacuationUpdate> updates;
    for (const auto &[dataCentre, entry] : m_entries) {
        if (entry.state.position != StorePosition{}) {
            updates.push_back({dataCentre, entry.state.position, entry.state.evacuated});
        }
        if (entry.pending) {
            updates.push_back({dataCentre, entry.pending->position, entry.pending->evacuated});
        }
    }
    return updates;
}

std::vector<EvacuationStatus> Evacuations::statuses(TimePoint now) const
{
    std::vector<EvacuationStatus> statuses;
    for (const auto &[dataCentre, entry] : m_entries) {
        if (!entry.state.evacuated && !entry.pending) {
            continue;
        }
        EvacuationStatus status;
        status.update = {dataCentre, entry.state.position, entry.state.evacuated};
        status.age = now - entry.state.learnedAt;
        status.source = entry.state.source;
        if (entry.pending) {
            status.pending = EvacuationUpdate{dataCentre, entry.pending->position, entry.pending->evacuated};
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

std::uint64_t Evacuations::digest() const
{
    if (!m_known) {
        return 0;
    }
    std::uint64_t digest = XXH64(nullptr, 0, KnownSeed);
    for (const auto &[dataCentre, entry] : m_entries) {
        if (entry.state.evacuated || entry.pending) {
            const auto seed = !entry.state.evacuated ? EvacuationPendingSeed : entry.pending ? EvacuatedLiftPendingSeed : EvacuatedSeed;
            digest += XXH64(dataCentre.data(), dataCentre.size(), seed); // a sum does not depend on the order
        }
    }
    return digest == 0 ? 1 : digest;
}

} // namespace Fescuenotch
