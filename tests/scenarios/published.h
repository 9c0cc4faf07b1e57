// What the scenario has published, and what follows from it: which versions may come in force, and which one must.
//
// How to use: call `onPublish` after each publication and `onRestore` after a restore; `expected` gives the version that
// every reachable node is to have in force.
#pragma once

#include "config/documents.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Fescuenotch::Scenarios {

class Published
{
public:
    /// `valid` is false for a document that nodes must refuse; no value means withdrawn.
    void onPublish(const std::string &key, std::uint64_t revision, bool valid, bool withdrawn);
    void onRestore(std::uint64_t lastRevision);
    /// Sets which profile a service follows; its documents count towards that profile's version.
    void setFollows(const std::string &service, const std::string &profile);
    bool knows(const std::string &service) const; ///< whether `setFollows` was called for it
    std::string followedBy(const std::string &service) const;
    std::vector<std::string> servicesOf(const std::string &profile) const;
    /// The version that must come in force; nothing when the profile is withdrawn or unknown.
    std::optional<Version> expected(const std::string &profile) const;
    /// Every version that may have been in force at any time.
    const std::set<Version> &versions() const;
    std::uint64_t lastRevision() const;

private:
    struct Change {
        std::string key;
        std::uint64_t revision = 0;
        bool valid = true;
        bool withdrawn = false;
    };
    void remember(const Change &change);
    std::vector<Change> m_log;
    std::uint64_t m_epoch = 1;
    std::map<std::string, std::string> m_follows; ///< service to profile
    std::set<Version> m_versions;
};

} // namespace Fescuenotch::Scenarios
