#include "config/store.h"

#include "config/listing.h"
#include "config/snapshotbuilder.h"
#include "config/storeentry.h"

#include <algorithm>
#include <map>

namespace Fescuenotch {

namespace {

class MapRecordStore : public RecordStore, private DocumentSource
{
public:
    std::vector<Record> apply(const std::vector<Record> &records) override;
    std::vector<Record> applyPage(const ConfigPage &page) override;
    std::vector<Record> records(const std::string &key) const override;
    std::vector<KeyVersions> versions() const override;
    Version highWater() const override
    {
        return m_highWater;
    }
    std::uint64_t hash() const override
    {
        return m_hash;
    }
    std::vector<RejectedRecord> rejected() const override;
    std::uint64_t stalePages() const override
    {
        return m_stalePages;
    }
    SnapshotPtr build(const std::string &profile, const SnapshotPtr &old) const override
    {
        return buildSnapshot(*this, profile, old);
    }
    std::optional<Service> service(const std::string &name) const override;
    std::string profileOf(const std::string &service) const override;

private:
    VersionedDocument<Profile> profileDocument(const std::string &name) const override;
    VersionedDocument<Service> serviceDocument(const std::string &name) const override;
    bool merge(const Record &record);
    std::vector<Record> missingFromListing() const;
    const StoreEntry *find(const std::string &key) const;

    std::map<std::string, StoreEntry> m_entries;
    Listing m_listing;
    Version m_highWater;
    std::uint64_t m_hash = 0; ///< sum of the hashes of the entries, hence independent of their order
    std::uint64_t m_stalePages = 0;
};

bool MapRecordStore::merge(const Record &record)
{
    if (record.version == Version()) {
        return false;
    }
    auto &entry = m_entries[record.key];
    const auto before = entry.newest() == nullptr ? 0 : entry.hash();
    const bool isNew = entry.merge(record);
    m_hash += entry.hash() - before;
    m_highWater = std::max(m_highWater, record.version);
    return isNew;
}

std::vector<Record> MapRecordStore::apply(const std::vector<Record> &records)
{
    std::vector<Record> accepted;
    for (const auto &record : records) {
        if (merge(record)) {
            accepted.push_back(record);
        }
    }
    return accepted;
}

std::vector<Record> MapRecordStore::applyPage(const ConfigPage &page)
{
    if (Version{page.epoch, page.revision} < m_highWater) {
        ++m_stalePages;
        m_listing.discard();
        return {};
    }
    const bool isListingComplete = m_listing.add(page);
    auto accepted = apply(page.changes);
    if (isListingComplete) {
        const auto withdrawn = apply(missingFromListing());
        accepted.insert(accepted.end(), withdrawn.begin(), withdrawn.end());
    }
    return accepted;
}

std::vector<Record> MapRecordStore::missingFromListing() const
{
    std::vector<Record> tombstones;
    for (const auto &[key, entry] : m_entries) {
        const bool isMissing = m_listing.keys().count(key) == 0;
        if (isMissing && entry.newest()->record.value) {
            tombstones.push_back({key, m_listing.version(), std::nullopt});
        }
    }
    return tombstones;
}

const StoreEntry *MapRecordStore::find(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

std::vector<Record> MapRecordStore::records(const std::string &key) const
{
    const auto *entry = find(key);
    return entry == nullptr ? std::vector<Record>() : entry->records();
}

std::vector<KeyVersions> MapRecordStore::versions() const
{
    std::vector<KeyVersions> found;
    for (const auto &[key, entry] : m_entries) {
        found.push_back({key, versionOf(entry.newest()), versionOf(entry.valid())});
    }
    return found;
}

std::vector<RejectedRecord> MapRecordStore::rejected() const
{
    std::vector<RejectedRecord> found;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.newest()->error.empty()) {
            found.push_back({key, versionOf(entry.newest()), entry.newest()->error});
        }
    }
    return found;
}

VersionedDocument<Profile> MapRecordStore::profileDocument(const std::string &name) const
{
    const auto *entry = find("profile/" + name);
    if (entry == nullptr || entry->valid() == nullptr) {
        return {};
    }
    return {versionOf(entry->valid()), entry->valid()->profile};
}

VersionedDocument<Service> MapRecordStore::serviceDocument(const std::string &name) const
{
    const auto *entry = find("service/" + name);
    if (entry == nullptr || entry->valid() == nullptr) {
        return {};
    }
    const auto &last = entry->retained() == nullptr ? entry->valid() : entry->retained();
    return {versionOf(last), last->service};
}

std::optional<Service> MapRecordStore::service(const std::string &name) const
{
    const auto *entry = find("service/" + name);
    if (entry == nullptr || entry->valid() == nullptr || entry->valid()->service == nullptr) {
        return std::nullopt;
    }
    return *entry->valid()->service;
}

std::string MapRecordStore::profileOf(const std::string &service) const
{
    const auto found = serviceDocument(service);
    return found.document == nullptr ? std::string() : found.document->profile;
}

} // namespace

std::unique_ptr<RecordStore> makeRecordStore()
{
    return std::make_unique<MapRecordStore>();
}

} // namespace Fescuenotch
