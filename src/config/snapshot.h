// The configuration in force: an immutable snapshot of one profile and all services that it references.
//
// Usage: take `SnapshotInForce::current()` once at the start of a request and use that pointer until its end, so that a
// configuration change never affects a request in progress.
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
    Version version; ///< newest version of the profile and its services; never lower than that of the previous snapshot
    Version profileVersion; ///< version of the profile document alone
    Profile profile;
    std::map<std::string, Service> services; ///< all services referenced by a route
    std::map<std::string, Version> serviceVersions;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Thread-safe pointer to the snapshot in force. Readers hold the lock only while they copy the pointer.
/// It is not a std::atomic<std::shared_ptr>, because in GCC 12 a load releases its internal lock without memory ordering, which
/// is a data race.
class SnapshotInForce
{
public:
    /// Null when no snapshot is in force.
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
