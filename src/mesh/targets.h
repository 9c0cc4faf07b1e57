// The targets that the platform lists, as this node believes them.
//
// How to use: `apply` each item that a store answer brings, `applyListing` after a whole listing; ask `ofService`.
// Items carry the store's revision: for one target id only a higher revision is taken, in whatever order update comes.
//
// A target is `usable` while it is listed as ready. When the store was away, entries may have lapsed although their
// targets live: a removal that is seen within `LeaseRenewalGrace` of the store's return is held back until that time has
// passed, and forgotten if the entry comes back meanwhile.
#pragma once

#include "kernel/clock.h"
#include "kernel/endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr milliseconds LeaseRenewalGrace{2'200}; ///< ms; entries of targets that live are back within two seconds of the store's return, and a tenth more

enum class TargetState { Ready, Draining };

/// One target's entry in the platform's store.
struct TargetRecord {
    std::string id; ///< of this lifetime; a target checks that a request was meant for it
    std::string service;
    Endpoint address; ///< on the target's host; its node listens on the same host
    std::string dataCentre;
    unsigned slots = 1; ///< requests at once
    TargetState state = TargetState::Ready;
    milliseconds coldRemaining{0}; ///< ms; how much longer the target is slow after its start
    std::int64_t startedAtMs = 0; ///< Unix ms of its start; 0: not stated
    bool operator==(const TargetRecord &) const = default;
};

/// News about one target id.
struct TargetUpdate {
    std::string id;
    std::uint64_t revision = 0; ///< of the store
    std::optional<TargetRecord> record; ///< none: the entry is gone or cannot be read
};

/// A change that the node should know of.
struct TargetChange {
    enum class Kind { Added, Changed, Draining, Removed, RemovalDeferred, Restored } kind = Kind::Added;
    TargetRecord record;
};
const char *targetChangeName(TargetChange::Kind kind); ///< "added", "removed", ...

class TargetTable
{
public:
    /// `removalsDeferredUntil`: removals seen before this time wait until then; TimePoint::min() when the store was not away.
    std::optional<TargetChange> apply(TimePoint now, const TargetUpdate &update, TimePoint removalsDeferredUntil);
    /// After a whole listing as of `revision`: what it does not name and is not newer is gone.
    std::vector<TargetChange> applyListing(TimePoint now, const std::vector<TargetUpdate> &listing, std::uint64_t revision, TimePoint removalsDeferredUntil);
    /// Carries out removals that were held back long enough.
    std::vector<TargetChange> tick(TimePoint now);

    /// Usable ones. An entry whose address another one has taken since is left over from a target that is gone.
    std::vector<TargetRecord> ofService(const std::string &service) const;
    std::vector<TargetRecord> all() const; ///< every one that is listed, draining ones too
    const TargetRecord *find(const std::string &id) const; ///< null when it is not listed
    /// The listed target at an address; the latest started when several claim it.
    const TargetRecord *atAddress(const Endpoint &address) const;
    /// Whether a listed target on this host is in that data centre.
    bool isInDataCentre(const std::string &host, const std::string &dataCentre) const;
    std::size_t size() const;
    /// Latest update of every id, removals of the last minutes too, for a peer that has not heard them. Removals that are
    /// held back are left out until they are carried out.
    std::vector<TargetUpdate> updatesSince(std::uint64_t revision) const;
    /// News of every id, for a peer whose digest differs although it has heard as much.
    std::vector<TargetUpdate> allUpdates() const
    {
        return updatesSince(0);
    }
    /// Of what is listed; two tables with the same digest list the same.
    std::uint64_t digest() const;
    /// Changes whenever the table does.
    std::uint64_t generation() const
    {
        return m_generation;
    }

private:
    struct Entry {
        std::optional<TargetRecord> record; ///< none: removed
        std::uint64_t revision = 0;
        std::optional<TimePoint> removeAt; ///< a removal that is held back
        TimePoint changedAt;
    };

    std::optional<TargetChange> put(TimePoint now, Entry &entry, const TargetUpdate &update);
    std::optional<TargetChange> remove(TimePoint now, Entry &entry, std::uint64_t revision, TimePoint removalsDeferredUntil);

    std::map<std::string, Entry> m_entries; ///< by target id
    std::uint64_t m_generation = 0;
    mutable std::uint64_t m_digest = 0; ///< as of m_digestGeneration
    mutable std::uint64_t m_digestGeneration = 0;
};

} // namespace Fescuenotch
