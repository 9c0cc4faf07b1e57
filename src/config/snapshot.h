// The configuration in force: an immutable snapshot of one profile with every service that it names.
//
// How to use: `InForce::current()` gives a shared pointer; a request keeps it for its whole life, so that a change
// never reaches it midway.
#pragma once

#include "config/documents.h"

#include <atomic>
#include <map>
#include <memory>
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

/// The one pointer that is swapped. Readers never wait.
class InForce
{
public:
    /// The snapshot in force, or null when there is none.
    SnapshotPtr current() const
    {
        return m_current.load();
    }
    void swap(SnapshotPtr next)
    {
        m_current.store(std::move(next));
    }

private:
    std::atomic<SnapshotPtr> m_current;
};

} // namespace Fescuenotch
