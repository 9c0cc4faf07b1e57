#include "tests/scenarios/published.h"

#include <algorithm>

namespace Fescuenotch::Scenarios {

void Published::onPublish(const std::string &key, std::uint64_t revision, bool valid, bool withdrawn)
{
    m_log.push_back({key, revision, valid, withdrawn});
    remember(m_log.back());
}

void Published::remember(const Change &change)
{
    if (change.valid && !change.withdrawn) {
        m_versions.insert({m_epoch, change.revision});
    }
}

void Published::onRestore(std::uint64_t lastRevision)
{
    std::erase_if(m_log, [&](const Change &change) { return change.revision > lastRevision; });
    ++m_epoch;
    for (const auto &change : m_log) {
        remember(change);
    }
}

void Published::setFollows(const std::string &service, const std::string &profile)
{
    m_follows[service] = profile;
}

bool Published::knows(const std::string &service) const
{
    return m_follows.contains(service);
}

std::string Published::followedBy(const std::string &service) const
{
    return m_follows.at(service);
}

std::vector<std::string> Published::servicesOf(const std::string &profile) const
{
    std::vector<std::string> found;
    for (const auto &[service, followed] : m_follows) {
        if (followed == profile) {
            found.push_back(service);
        }
    }
    return found;
}

std::optional<Version> Published::expected(const std::string &profile) const
{
    const auto services = servicesOf(profile);
    const std::string key = "profile/" + profile;
    bool withdrawn = true;
    std::uint64_t newest = 0;
    for (const auto &change : m_log) {
        const bool isService = change.key.rfind("service/", 0) == 0 && std::find(services.begin(), services.end(), change.key.substr(8)) != services.end();
        if (!change.valid || (change.key != key && !isService)) {
            continue;
        }
        if (change.key == key) {
            withdrawn = change.withdrawn;
        }
        // A withdrawn service is held at its last version for as long as the profile routes to it.
        if (!change.withdrawn) {
            newest = std::max(newest, change.revision);
        }
    }
    return withdrawn ? std::nullopt : std::optional(Version{m_epoch, newest});
}

const std::set<Version> &Published::versions() const
{
    return m_versions;
}

std::uint64_t Published::lastRevision() const
{
    return m_log.empty() ? 0 : m_log.back().revision;
}

} // namespace Fescuenotch::Scenarios
