// The targets that the platform's store lists, as this node knows them.
//
// Usage: pass each item of a store response to `apply` and a complete listing to `applyListing`; call `tick` periodically;
// query with `ofService`. Updates carry the store's position: for each target id only a higher one is accepted, so updates
// may arrive in any order.
//
// A new era of the store begins with an older copy, in which recent writes are missing until they are written again:
// - Across eras, the states of one target are ordered by what it says of itself (TargetStatement), not by position.
// - Entries that the first listing of the era lacks are in doubt: usable for `LeaseRenewalGrace`, then removed.
// - Listings and updates of an earlier era remove nothing; the only thing that they add is a target's own later statement.
//
// A target is usable while it is listed as ready. During an outage of the store, entries may expire although their targets
// are still running. A removal seen within `LeaseRenewalGrace` of the store's recovery is therefore deferred until that
// time has passed, and dropped if the entry reappears before.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"
#include "mesh/storeposition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds LeaseRenewalGrace{2'200}; ///< ms; running targets renew their entries within 2 s of the store's recovery, plus a tenth

enum class TargetState { Ready, Draining };

/// Entry of a target in the platform's store.
struct TargetRecord {
    std::string id; ///< changes with each start of the target, which checks that a request was meant for this id
    std::string service;
    Endpoint address; ///< on the target's host; its node listens on the same host
    std::string dataCentre;
    unsigned slots = 1; ///< requests that may run at once
    TargetState state = TargetState::Ready;
    milliseconds coldRemaining{0}; ///< ms; remaining time during which the target is slow after its start
    std::int64_t startedAtMs = 0; ///< ms since the Unix epoch; 0: not stated
    std::uint64_t sequence = 0; ///< number of this statement since the start of the target
    bool operator==(const TargetRecord &) const = default;
};

/// Orders what one target id says of itself, whatever the store does: first by start, then by sequence.
struct TargetStatement {
    std::int64_t startedAtMs = 0;
    std::uint64_t sequence = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted <=> for a null pointer
    auto operator<=>(const TargetStatement &) const = default;
};

/// Update of one target id.
struct TargetUpdate {
    std::string id;
    StorePosition position; ///< of the write, or of a later listing that was taken into account
    std::optional<TargetRecord> record; ///< none: the entry was removed or cannot be decoded
    TargetStatement outdatedBefore{}; ///< removals only: in other eras, earlier statements than this are outdated
    std::optional<std::uint64_t> statedInEra = std::nullopt; ///< era in which the statement was stored; none: that of `position`
    milliseconds removeIn{0}; ///< ms; the sender removes the entry after this time unless it is written again; 0: it does not
};

/// Effect of an update on the table.
struct TargetChange {
    enum class Kind {
        Added,
        Changed,
        Draining,
        Removed,
        RemovalDeferred,
        Restored,
        InDoubt, ///< not in the store since its era rose
        Confirmed, ///< in doubt before, and written again
        GivenUp, ///< in doubt before, and not written again in time
    } kind
        = Kind::Added;
    TargetRecord record;
};
const char *targetChangeName(TargetChange::Kind kind); ///< "added", "removed", ...

class TargetTable
{
public:
    /// Removals before `removalsDeferredUntil` are deferred until then; TimePoint::min(): none are. Returns nothing when the
    /// update is outdated or changes nothing.
    std::optional<TargetChange> apply(TimePoint now, const TargetUpdate &update, TimePoint removalsDeferredUntil);
    /// Applies a complete listing as of `position`: entries that are not in it and not newer are removed, or are in doubt if
    /// they are from an earlier era.
    std::vector<TargetChange> applyListing(TimePoint now, const std::vector<TargetUpdate> &listing, StorePosition position, TimePoint removalsDeferredUntil);
    /// Takes over the position of a complete listing that lists the same as this table.
    void onSameListing(TimePoint now, StorePosition position);
    /// Applies deferred removals that are due and deletes old tombstones.
    std::vector<TargetChange> tick(TimePoint now);

    /// Usable targets. Leaves out an entry whose address belongs to a target with a later start: it is stale.
    std::vector<TargetRecord> ofService(const std::string &service) const;
    std::vector<TargetRecord> all() const; ///< every listed target, including draining ones
    const TargetRecord *find(const std::string &id) const; ///< null when not listed
    /// The listed target at an address, or null; the one with the latest start when several entries have the address.
    const TargetRecord *atAddress(const Endpoint &address) const;
    /// Whether a listed target on this host is in the data centre.
    bool isInDataCentre(const std::string &host, const std::string &dataCentre) const;
    std::size_t size() const;
    std::size_t inDoubt() const; ///< number of entries in doubt
    /// Latest update of every id after `position`, including tombstones of the last minutes, for a peer that lacks them.
    /// Deferred removals are left out until they are applied.
    std::vector<TargetUpdate> updatesSince(StorePosition position) const;
    /// Latest update of every id, for a peer whose digest differs although it has the same position, or is of another era.
    /// Entries whose removal is deferred are included with the time that is left to them.
    std::vector<TargetUpdate> allUpdates(TimePoint now) const;
    /// Hash of the listed targets and their states; equal for tables that list the same.
    std::uint64_t digest() const;
    /// Hash of the starts of the listed targets: a target may start again under its id and in the same state.
    std::uint64_t lifetimesDigest() const;
    /// Increases with every change of the table.
    std::uint64_t generation() const
    {
        return m_generation;
    }

private:
    struct Entry {
        std::optional<TargetRecord> record; ///< none: tombstone
        StorePosition position;
        std::optional<TimePoint> removeAt; ///< set while a removal is deferred
        TimePoint changedAt;
        TargetStatement outdatedBefore; ///< in other eras than `statedInEra`, earlier statements than this are outdated
        std::uint64_t statedInEra = 0;
        std::optional<StorePosition> absentAt; ///< set while in doubt: position of the listing that lacked the entry
    };

    std::optional<TargetChange> put(TimePoint now, Entry &entry, const TargetUpdate &update);
    TargetChange replace(TimePoint now, Entry &entry, const TargetUpdate &update, StorePosition position);
    std::optional<TargetChange> remove(TimePoint now, Entry &entry, const TargetUpdate &update, TimePoint removalsDeferredUntil);
    TargetChange drop(TimePoint now, Entry &entry, TargetChange::Kind kind);
    std::optional<TargetChange> doubt(Entry &entry, StorePosition position);
    static TargetUpdate updateOf(const std::string &id, const Entry &entry);

    std::map<std::string, Entry> m_entries; ///< by target id
    StorePosition m_listedAt; ///< newest complete listing
    TimePoint m_doubtUntil = TimePoint::min(); ///< until then an entry that the era's listings lack may be written again
    std::uint64_t m_generation = 0;
    void updateDigests() const;

    mutable std::uint64_t m_digest = 0; ///< cached for m_digestGeneration
    mutable std::uint64_t m_lifetimesDigest = 0; ///< cached for m_digestGeneration
    mutable std::uint64_t m_digestGeneration = 0;
};

} // namespace Fescuenotch
