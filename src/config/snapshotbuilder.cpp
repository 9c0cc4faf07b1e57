#include "config/snapshotbuilder.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

/// Adds the newer document of the service, from the source or from `old`. False when neither has one.
bool addService(Snapshot &snapshot, const std::string &name, const DocumentSource &source, const Snapshot *old)
{
    const auto found = source.serviceDocument(name);
    const bool oldHasIt = old != nullptr && old->services.count(name) != 0;
    const bool keepsOld = oldHasIt && (found.document == nullptr || found.version < old->serviceVersions.at(name));
    if (!keepsOld && found.document == nullptr) {
        return false;
    }
    snapshot.services[name] = keepsOld ? old->services.at(name) : *found.document;
    snapshot.serviceVersions[name] = keepsOld ? old->serviceVersions.at(name) : found.version;
    snapshot.version = std::max(snapshot.version, snapshot.serviceVersions[name]);
    return true;
}

/// Builds a snapshot of the given profile document. Null when a service that it references is missing.
SnapshotPtr resolveServices(const std::string &name, const Profile &profile, Version version, const DocumentSource &source, const Snapshot *old)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->profileName = name;
    snapshot->profileVersion = version;
    snapshot->version = old == nullptr ? version : std::max(version, old->version);
    for (const auto &route : profile.routes) {
        const bool isPresent = snapshot->services.count(route.service) != 0;
        if (!isPresent && !addService(*snapshot, route.service, source, old)) {
            return nullptr;
        }
    }
    snapshot->profile = profile;
    return snapshot;
}

bool haveSameVersions(const Snapshot &a, const Snapshot &b)
{
    return a.profileVersion == b.profileVersion && a.serviceVersions == b.serviceVersions;
}

} // namespace

SnapshotPtr buildSnapshot(const DocumentSource &source, const std::string &profile, const SnapshotPtr &old)
{
    const SnapshotPtr last = old != nullptr && old->profileName == profile ? old : nullptr;
    const auto found = source.profileDocument(profile);
    const bool isNewer = last == nullptr || found.version > last->profileVersion;
    if (isNewer && found.document == nullptr) {
        return found.version == Version() ? last : nullptr;
    }
    SnapshotPtr next = isNewer ? resolveServices(profile, *found.document, found.version, source, last.get()) : nullptr;
    if (next == nullptr && last != nullptr) {
        next = resolveServices(profile, last->profile, last->profileVersion, source, last.get());
    }
    const bool isSame = next != nullptr && last != nullptr && haveSameVersions(*next, *last);
    return isSame ? last : next;
}

} // namespace Fescuenotch
