#include "config/storeentry.h"

#include "config/jsonnode.h"

#include <xxhash.h>

namespace Fescuenotch {

namespace {

constexpr const char *ProfilePrefix = "profile/";
constexpr const char *ServicePrefix = "service/";

std::string nameAfter(const std::string &key, const std::string &prefix)
{
    const bool fits = key.rfind(prefix, 0) == 0 && isDocumentName(std::string_view(key).substr(prefix.size()));
    return fits ? key.substr(prefix.size()) : std::string();
}

template<typename Document>
std::shared_ptr<const Document> parsed(CheckedRecord &checked, Result<Document> (*parse)(const std::string &))
{
    auto result = valueOrError([&] { return parse(*checked.record.value); });
    if (result.index() != 0) {
        checked.error = describe(std::get<1>(result));
        return nullptr;
    }
    return std::make_shared<const Document>(std::move(std::get<0>(result)));
}

} // namespace

std::string profileNameOf(const std::string &key)
{
    return nameAfter(key, ProfilePrefix);
}

std::string serviceNameOf(const std::string &key)
{
    return nameAfter(key, ServicePrefix);
}

CheckedRecord checkRecord(const Record &record)
{
    CheckedRecord checked{record, {}, nullptr, nullptr};
    const bool isProfile = !profileNameOf(record.key).empty();
    const bool isService = !serviceNameOf(record.key).empty();
    if (!isProfile && !isService) {
        checked.error = "/: '" + record.key + "' is not a valid key; use profile/NAME or service/NAME, where NAME has letters, digits, '-', '_' or '.'";
    } else if (record.value && isProfile) {
        checked.profile = parsed(checked, parseProfile);
    } else if (record.value) {
        checked.service = parsed(checked, parseService);
    }
    return checked;
}

Version versionOf(const CheckedRecordPtr &checked)
{
    return checked == nullptr ? Version() : checked->record.version;
}

bool StoreEntry::merge(const Record &record)
{
    if (!isNeeded(record.version)) {
        return false;
    }
    const auto checked = std::make_shared<const CheckedRecord>(checkRecord(record));
    const bool isNewest = record.version > versionOf(m_newest);
    if (isNewest) {
        m_newest = checked;
    }
    if (!checked->error.empty()) {
        return isNewest;
    }
    if (record.version > versionOf(m_valid)) {
        setValid(checked);
        return true;
    }
    const bool isRetained = checked->service != nullptr;
    if (isRetained) {
        m_retained = checked;
    }
    return isRetained;
}

bool StoreEntry::isNeeded(Version version) const
{
    if (version == versionOf(m_newest)) {
        return false;
    }
    const bool isWithdrawn = m_valid != nullptr && !m_valid->record.value;
    return version > versionOf(m_valid) || (isWithdrawn && version < versionOf(m_valid) && version > versionOf(m_retained));
}

void StoreEntry::setValid(CheckedRecordPtr checked)
{
    const bool isTombstone = !checked->record.value;
    if (!isTombstone) {
        m_retained = nullptr;
    } else if (m_valid != nullptr && m_valid->service != nullptr) {
        m_retained = m_valid;
    }
    m_valid = std::move(checked);
}

std::vector<Record> StoreEntry::records() const
{
    std::vector<Record> found{m_newest->record};
    if (m_valid != nullptr && m_valid != m_newest) {
        found.push_back(m_valid->record);
    }
    if (m_retained != nullptr) {
        found.push_back(m_retained->record);
    }
    return found;
}

std::uint64_t StoreEntry::hash() const
{
    const std::string text = m_newest->record.key + ' ' + toString(m_newest->record.version) + ' ' + toString(versionOf(m_valid));
    return XXH3_64bits(text.data(), text.size());
}

} // namespace Fescuenotch
