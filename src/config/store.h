// The record store: the platform's keys as known to this node, and the snapshots built from them.
//
// Usage: pass records received from peers to `apply` and pages received from the platform to `applyPage`; send what these
// return to other peers. Then `build` a new snapshot.
// For each key the store keeps the newest record and the newest valid record. Both are replicated, so that a restarted node
// finds the last valid configuration even while the newest record is invalid. Withdrawn keys are kept as tombstones. Of a
// withdrawn service the last valid document is retained too, for profiles that still route to it.
// Pitfall: the store is neither thread-safe nor aware of time; its owner (src/node) serializes access.
#pragma once

#include "config/documents.h"
#include "config/snapshot.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch {

/// An invalid record that is the newest of its key.
struct RejectedRecord {
    std::string key;
    Version version;
    std::string reason; ///< error and remedy in one line
};

/// Versions of a key, as compared by digests.
struct KeyVersions {
    std::string key;
    Version newest; ///< newest record received, valid or not
    Version newestValid; ///< zero: no valid record received
    bool operator==(const KeyVersions &) const = default;
};

class RecordStore
{
public:
    virtual ~RecordStore() = default;
    /// Merges records that are newer than the newest record or the newest valid record of their key, and, for a withdrawn
    /// service, documents newer than the retained one. Ignores records of version zero.
    /// Returns the records that changed the store, to be forwarded to peers.
    virtual std::vector<Record> apply(const std::vector<Record> &records) = 0;
    /// Merges a page of the platform. When it completes a listing, keys missing from the listing become tombstones. A page older
    /// than `highWater` changes no record, discards the pending listing and counts as stale. Returns the records that changed
    /// the store, as `apply` does.
    virtual std::vector<Record> applyPage(const ConfigPage &page) = 0;
    /// Records of a key: the newest, the newest valid one if different, the retained document of a withdrawn service. Empty when
    /// the key is unknown.
    virtual std::vector<Record> records(const std::string &key) const = 0;
    virtual std::vector<KeyVersions> versions() const = 0;
    /// Highest version of all keys.
    virtual Version highWater() const = 0;
    /// xxHash over the keys and their versions; equal on nodes that store the same versions.
    virtual std::uint64_t hash() const = 0;
    /// Keys whose newest record is invalid.
    virtual std::vector<RejectedRecord> rejected() const = 0;
    /// Number of stale pages received so far.
    virtual std::uint64_t stalePages() const = 0;
    /// Builds the newest complete snapshot of `profile`. Withdrawn services remain in it while the profile routes to them.
    /// - Null when the profile is withdrawn, or when neither the store nor `old` has a complete one.
    /// - While services of a newer profile are missing: the profile of `old` with its services updated.
    /// - When nothing changed: `old` itself.
    /// Pass the last snapshot in force as `old`, even if a later call returned null, so that versions never decrease.
    virtual SnapshotPtr build(const std::string &profile, const SnapshotPtr &old) const = 0;
    /// Newest valid document of a service; none when it is unknown or withdrawn.
    virtual std::optional<Service> service(const std::string &name) const = 0;
    /// Name of the profile that applies to a service, also to a withdrawn one; empty when unknown.
    virtual std::string profileOf(const std::string &service) const = 0;
};

std::unique_ptr<RecordStore> makeRecordStore();

} // namespace Fescuenotch
