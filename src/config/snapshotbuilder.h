// Builds snapshots: a profile together with every service that its routes reference. A snapshot that lacks a service is never
// built.
//
// Usage: implement `DocumentSource` over the stored documents and call `buildSnapshot` with the last snapshot in force.
// Versions never decrease from `old` to the result: neither that of the snapshot, nor of its profile, nor of a service.
#pragma once

#include "config/snapshot.h"

#include <memory>
#include <string>

namespace Fescuenotch {

template<typename Document>
struct VersionedDocument {
    Version version;
    std::shared_ptr<const Document> document; ///< null when withdrawn or unknown
};

class DocumentSource
{
public:
    virtual ~DocumentSource() = default;
    /// Newest valid profile. Unknown: version zero. Withdrawn: version of the tombstone and a null document.
    virtual VersionedDocument<Profile> profileDocument(const std::string &name) const = 0;
    /// Newest valid document of a service, even if the service has been withdrawn since. Null document when there is none.
    virtual VersionedDocument<Service> serviceDocument(const std::string &name) const = 0;
};

/// Builds the newest complete snapshot of `profile`; see RecordStore::build for the cases without one.
SnapshotPtr buildSnapshot(const DocumentSource &source, const std::string &profile, const SnapshotPtr &old);

} // namespace Fescuenotch
