// The record store: what this node knows of the platform's keys, and the snapshot that follows from it.
//
// Per key it keeps two records: the newest seen, and the newest that passed validation; both spread, so that a
// restarted node finds the last good one while the newest is bad. Withdrawals are kept as tombstones; of a withdrawn
// service the last document is kept too, for profiles that still route to it.
// No locks and no clock inside: the owner guards it (src/node).
#pragma once

#include "config/documents.h"
#include "config/snapshot.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch {

/// A record that this node refuses, and why.
struct RejectedRecord {
    std::string key;
    Version version;
    std::string reason; ///< what and remedy, in one line
};

/// Version of a key for digests: newest seen and newest valid.
struct KeyVersions {
    std::string key;
    Version newest;
    Version newestValid; ///< zero when none is known
    bool operator==(const KeyVersions &) const = default;
};

class RecordStore
{
public:
    virtual ~RecordStore() = default;
    /// Takes records whose version is higher than the one held for their key (as newest, or as newest valid).
    /// Gives those that were news here, for passing on.
    virtual std::vector<Record> apply(const std::vector<Record> &records) = 0;
    /// Takes a page of the platform. A complete page of the same or a higher epoch also turns keys that it lacks into
    /// tombstones. A page older than what is held changes nothing and counts as stale.
    virtual std::vector<Record> applyPage(const ConfigPage &page) = 0;
    /// The records of a key: newest, newest valid when it differs, last document of a withdrawn service; empty when unknown.
    virtual std::vector<Record> records(const std::string &key) const = 0;
    virtual std::vector<KeyVersions> versions() const = 0;
    /// Highest version over all keys.
    virtual Version highWater() const = 0;
    /// Hash over all key and version pairs (xxHash), equal on nodes that hold the same.
    virtual std::uint64_t hash() const = 0;
    virtual std::vector<RejectedRecord> rejected() const = 0;
    /// Pages found stale so far.
    virtual std::uint64_t stalePages() const = 0;
    /// Builds the snapshot of `profile`, whole and checked, keeping withdrawn services that `old` still routes to.
    /// Null when the profile is unknown or withdrawn. While a newer profile is not complete, the profile of `old` stays with
    /// its services brought up to date; `old` itself is given when nothing changed. Pass the last snapshot that was in force
    /// as `old`, also after a null, so that the version never goes down.
    virtual SnapshotPtr build(const std::string &profile, const SnapshotPtr &old) const = 0;
    /// The newest valid document of a service; nothing when it is unknown or withdrawn.
    virtual std::optional<Service> service(const std::string &name) const = 0;
    /// The profile that a service follows, empty when unknown.
    virtual std::string profileOf(const std::string &service) const = 0;
};

std::unique_ptr<RecordStore> makeRecordStore();

} // namespace Fescuenotch
