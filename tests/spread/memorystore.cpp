#include "memorystore.h"

#include <algorithm>

namespace Fescuenotch {
namespace {

bool isValid(const Record &record)
{
    return !record.value || record.value->find("bad") == std::string::npos;
}

} // namespace

std::vector<Record> MemoryStore::apply(const std::vector<Record> &records)
{
    std::vector<Record> news;
    for (const auto &record : records) {
        auto &held = m_held[record.key];
        const bool newer = record.version > held.newest.version;
        const bool newerValid = isValid(record) && record.version > held.valid.version;
        if (newer) {
            held.newest = record;
        }
        if (newerValid) {
            held.valid = record;
        }
        if (newer || newerValid) {
            news.push_back(record);
        }
    }
    return news;
}

std::vector<Record> MemoryStore::applyPage(const ConfigPage &page)
{
    if (Version{page.epoch, page.revision} < highWater()) {
        ++m_stale;
        return {};
    }
    return apply(page.changes);
}

std::vector<Record> MemoryStore::records(const std::string &key) const
{
    const auto it = m_held.find(key);
    if (it == m_held.end()) {
        return {};
    }
    std::vector<Record> found{it->second.newest};
    if (it->second.valid.version != Version{} && it->second.valid.version != it->second.newest.version) {
        found.push_back(it->second.valid);
    }
    return found;
}

std::vector<KeyVersions> MemoryStore::versions() const
{
    std::vector<KeyVersions> all;
    for (const auto &[key, held] : m_held) {
        all.push_back({key, held.newest.version, held.valid.version});
    }
    return all;
}

Version MemoryStore::highWater() const
{
    Version highest;
    for (const auto &[key, held] : m_held) {
        highest = std::max(highest, held.newest.version);
    }
    return highest;
}

std::uint64_t MemoryStore::hash() const
{
    std::string text;
    for (const auto &[key, held] : m_held) {
        text += key + std::to_string(held.newest.version.epoch) + "." + std::to_string(held.newest.version.revision) + "/";
        text += std::to_string(held.valid.version.epoch) + "." + std::to_string(held.valid.version.revision) + ";";
    }
    return std::hash<std::string>()(text);
}

std::vector<RejectedRecord> MemoryStore::rejected() const
{
    std::vector<RejectedRecord> bad;
    for (const auto &[key, held] : m_held) {
        if (held.newest.version != held.valid.version) {
            bad.push_back({key, held.newest.version, "bad"});
        }
    }
    return bad;
}

std::uint64_t MemoryStore::stalePages() const
{
    return m_stale;
}

SnapshotPtr MemoryStore::build(const std::string &profile, const SnapshotPtr &old) const
{
    const auto it = m_held.find("profile/" + profile);
    if (it == m_held.end() || !it->second.valid.value) {
        return old;
    }
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->profileName = profile;
    snapshot->version = it->second.valid.version;
    const bool bytes = it->second.valid.value->find("bytes") != std::string::npos;
    snapshot->profile.spread = bytes ? SpreadMode::Bytes : SpreadMode::Time;
    return snapshot;
}

std::optional<Service> MemoryStore::service(const std::string &) const
{
    return {};
}

std::string MemoryStore::profileOf(const std::string &) const
{
    return "desk";
}

} // namespace Fescuenotch
