// The configuration in force: an immutable snapshot of one profile with every service that it names.
//
// How to use: `SnapshotInForce::current()` gives a shared pointer; a request keeps it for its whole life, so that a change
// never reaches it midway.
#pragma once

#include "config/documents.h"

#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>

namespace Fescuenotch {

struct Snapshot {
    std::string profileName;
    Version version; ///< the newest version among the profile and its services
    Version profileVersion; ///< of the profile document alone
    Profile profile;
    std::map<std::string, Service> services; ///< every service that a route names
    std::map<std::string, Version> serviceVersions;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// The one pointer that is swapped. A reader holds the lock only while it copies the pointer.
/// std::atomic<std::shared_ptr> would do, but that of GCC 12 unlocks its loads without an ordering (a data race).
class SnapshotInForce
{
public:
    /// The snapshot in force, or null when there is none.
    SnapshotPtr current() const
    {
        const std::shared_lock lock(m_mutex);
        return m_current;
    }
    void swap(SnapshotPtr next)
    {
        const std::unique_lock lock(m_mutex);
        m_current.swap(next);
    }

private:
    mutable std::shared_mutex m_mutex;
    SnapshotPtr m_current;
};

} // namespace Fescuenotch
