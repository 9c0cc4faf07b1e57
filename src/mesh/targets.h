// The targets that the platform's store lists, as this node knows them.
//
// Usage: pass each item of a store response to `apply` and a complete listing to `applyListing`; call `tick` periodically;
// query with `ofService`. Updates carry the store's revision: for each target id only a higher revision is accepted, so
// updates may arrive in any order.
//
// A target is usable while it is listed as ready. During an outage of the store, entries may expire although their targets
// are still running. A removal seen within `LeaseRenewalGrace` of the store's recovery is therefore deferred until that
// time has passed, and dropped if the entry reappears before.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"

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
    bool operator==(const TargetRecord &) const = default;
};

/// Update of one target id.
struct TargetUpdate {
    std::string id;
    std::uint64_t revision = 0; ///< of the store
    std::optional<TargetRecord> record; ///< none: the entry was removed or cannot be decoded
};

/// Effect of an update on the table.
struct TargetChange {
    enum class Kind { Added, Changed, Draining, Removed, RemovalDeferred, Restored } kind = Kind::Added;
    TargetRecord record;
};
const char *targetChangeName(TargetChange::Kind kind); ///< "added", "removed", ...

class TargetTable
{
public:
    /// Removals before `removalsDeferredUntil` are deferred until then; TimePoint::min(): none are. Returns nothing when the
    /// update is outdated or changes nothing.
    std::optional<TargetChange> apply(TimePoint now, const TargetUpdate &update, TimePoint removalsDeferredUntil);
    /// Applies a complete listing as of `revision`: entries that are not in it and not newer are removed.
    std::vector<TargetChange> applyListing(TimePoint now, const std::vector<TargetUpdate> &listing, std::uint64_t revision, TimePoint removalsDeferredUntil);
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
    /// Latest update of every id after `revision`, including tombstones of the last minutes, for a peer that lacks them.
    /// Deferred removals are left out until they are applied.
    std::vector<TargetUpdate> updatesSince(std::uint64_t revision) const;
    /// Latest update of every id, for a peer whose digest differs although it has the same revision.
    std::vector<TargetUpdate> allUpdates() const
    {
        return updatesSince(0);
    }
    /// Hash of the listed targets and their states; equal for tables that list the same.
    std::uint64_t digest() const;
    /// Increases with every change of the table.
    std::uint64_t generation() const
    {
        return m_generation;
    }

private:
    struct Entry {
        std::optional<TargetRecord> record; ///< none: tombstone
        std::uint64_t revision = 0;
        std::optional<TimePoint> removeAt; ///< set while a removal is deferred
        TimePoint changedAt;
    };

    std::optional<TargetChange> put(TimePoint now, Entry &entry, const TargetUpdate &update);
    std::optional<TargetChange> remove(TimePoint now, Entry &entry, std::uint64_t revision, TimePoint removalsDeferredUntil);

    std::map<std::string, Entry> m_entries; ///< by target id
    std::uint64_t m_generation = 0;
    mutable std::uint64_t m_digest = 0; ///< cached for m_digestGeneration
    mutable std::uint64_t m_digestGeneration = 0;
};

} // namespace Fescuenotch
