// The evacuations of data centres that the platform's store lists, as this node knows them.
//
// Usage: pass each item of a store response to `apply` and a complete listing to `applyListing`; pass what a peer sends to
// `apply` too. Call `notePosition` with every position of the store that becomes known, `tick` periodically, and query with
// `isEvacuated`. Only a higher position is accepted for a data centre, so updates may arrive in any order.
//
// A data centre without a record is not evacuated. Nothing is known (`isKnown`) until a listing, or the complete state of a
// peer (`setKnown`), has arrived.
//
// A new era of the store begins with an older copy, in which recent writes are missing until they are written again:
// - For `LeaseRenewalGrace` after the era became known, the newest state of the eras before applies. A state of the new era
//   that differs waits meanwhile (it is pending) and takes effect when that time is over.
// - An evacuation with a revision above the lowest position known of the new era is no part of the copy. It takes effect at
//   once. A removal never does, since its position may be that of a listing.
//
// Lifted evacuations are kept as tombstones as long as the process runs: they are few, and a restored copy or a peer that
// was cut off may bring an old evacuation back at any time.
#pragma once

#include "kernel/clock.h"
#include "mesh/storeposition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr std::size_t MaxDataCentreName = 128; ///< characters; a longer name in a key is considered an error
constexpr std::size_t MaxEvacuationRecords = 256; ///< data centres; above this, the oldest lifted evacuations are dropped

/// State of one data centre in the store.
struct EvacuationUpdate {
    std::string dataCentre;
    StorePosition position; ///< of the write, or of a later listing that lacks the key
    bool evacuated = false; ///< false: lifted
    bool operator==(const EvacuationUpdate &) const = default;
};

/// Effect of an update.
struct EvacuationChange {
    enum class Kind {
        Evacuated,
        Lifted,
        Pending, ///< the new era's state differs and takes effect after the grace
        Confirmed, ///< the new era's state was pending, and a later write agrees with the state that applies
    } kind
        = Kind::Evacuated;
    EvacuationUpdate update;
    Duration age{0}; ///< time since this node learned of the update
    std::string source; ///< from which it learned of it
};
const char *evacuationChangeName(EvacuationChange::Kind kind); ///< "evacuated", "lifted", ...

/// What is known of one data centre.
struct EvacuationStatus {
    EvacuationUpdate update;
    std::optional<EvacuationUpdate> pending;
    Duration age{0}; ///< time since this node learned of the update
    std::string source;
};

class Evacuations
{
public:
    /// Whether a data centre of this name can be evacuated: the name is neither empty nor over-long.
    static bool isValidName(const std::string &dataCentre);

    /// A position of the store became known. The first one of an era begins the grace.
    void notePosition(TimePoint now, StorePosition position);
    /// Returns nothing when the update is outdated, its name is not valid, or it changes nothing.
    std::optional<EvacuationChange> apply(TimePoint now, const EvacuationUpdate &update, const std::string &source);
    /// Applies a complete listing as of `position`: evacuations that are not in it and not newer are lifted.
    std::vector<EvacuationChange> applyListing(TimePoint now, const std::vector<EvacuationUpdate> &listing, StorePosition position, const std::string &source);
    /// Lets pending states take effect when the grace is over.
    std::vector<EvacuationChange> tick(TimePoint now);
    /// A peer that knows the evacuations has sent all of them.
    void setKnown()
    {
        m_known = true;
    }

    bool isKnown() const
    {
        return m_known;
    }
    bool isEvacuated(const std::string &dataCentre) const;
    std::size_t evacuated() const; ///< number of evacuated data centres
    /// All records, for a peer. The receiver applies them in this order; a pending one follows the one that applies.
    std::vector<EvacuationUpdate> updates() const;
    std::vector<EvacuationStatus> statuses(TimePoint now) const; ///< of evacuated data centres, and of others with a pending state
    /// Hash of the evacuated data centres and the pending states; equal for nodes that know the same, 0 while nothing is known.
    std::uint64_t digest() const;
    /// Increases with every change of the evacuated data centres.
    std::uint64_t generation() const
    {
        return m_generation;
    }

private:
    struct State {
        bool evacuated = false;
        StorePosition position;
        TimePoint learnedAt;
        std::string source;
    };
    struct Entry {
        State state; ///< the one that applies
        std::optional<State> pending;
    };

    bool isHeld(TimePoint now, const Entry &entry, const State &next) const;
    /// Whether the update is of an earlier era than a listing that lacked the data centre, and still applies for the grace.
    bool appliesForGrace(TimePoint now, const EvacuationUpdate &update) const;
    std::optional<EvacuationChange> replace(TimePoint now, const std::string &dataCentre, Entry &entry, State next);
    void makeRoom();

    std::map<std::string, Entry> m_entries; ///< by name of the data centre
    StorePosition m_listedAt; ///< newest complete listing
    std::uint64_t m_era = 0; ///< highest one known
    std::uint64_t m_firstRevision = 0; ///< lowest position known of that era: the copy is not newer
    TimePoint m_graceUntil = TimePoint::min(); ///< until then states of earlier eras apply
    bool m_known = false;
    std::uint64_t m_generation = 0;
};

} // namespace Fescuenotch
