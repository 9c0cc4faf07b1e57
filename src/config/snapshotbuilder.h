// Closure: a snapshot is a profile with every service that its routes name, or there is no snapshot.
//
// How to use: a `DocumentSource` gives the documents held; `buildSnapshot` puts the newest whole snapshot together.
// No version ever goes down from `old`: neither of the snapshot, nor of the profile, nor of a service.
#pragma once

#include "config/snapshot.h"

#include <memory>
#include <string>

namespace Fescuenotch {

template<typename Document>
struct VersionedDocument {
    Version version;
    std::shared_ptr<const Document> document; ///< null: withdrawn or unknown
};

class DocumentSource
{
public:
    virtual ~DocumentSource() = default;
    /// Newest valid profile; version zero when unknown, a version without document when withdrawn.
    virtual VersionedDocument<Profile> profileDocument(const std::string &name) const = 0;
    /// Newest valid document of a service, also of a withdrawn one; null document when there is none.
    virtual VersionedDocument<Service> serviceDocument(const std::string &name) const = 0;
};

/// See RecordStore::build.
SnapshotPtr buildSnapshot(const DocumentSource &source, const std::string &profile, const SnapshotPtr &old);

} // namespace Fescuenotch
