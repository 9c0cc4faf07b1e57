// The records that the store keeps of one key.
//
// Usage: pass every record of the key to `merge`. The state depends only on the set of records merged, not on their order:
//   newest     the record with the highest version, valid or not;
//   valid      the valid record with the highest version (a tombstone is valid);
//   retained   of a withdrawn service (`valid` is a tombstone): the valid document with the highest version.
#pragma once

#include "config/documents.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Fescuenotch {

/// A validated record. At most one of the two documents is set; both are null for a tombstone or an invalid record.
struct CheckedRecord {
    Record record;
    std::string error; ///< error and remedy in one line; empty: valid
    std::shared_ptr<const Profile> profile;
    std::shared_ptr<const Service> service;
};
using CheckedRecordPtr = std::shared_ptr<const CheckedRecord>;

/// Parses the value as a profile or a service, depending on the key.
CheckedRecord checkRecord(const Record &record);
/// The NAME of "profile/NAME"; empty for any other key.
std::string profileNameOf(const std::string &key);
/// The NAME of "service/NAME"; empty for any other key.
std::string serviceNameOf(const std::string &key);

class StoreEntry
{
public:
    /// Returns true when the record changed the entry.
    bool merge(const Record &record);
    const CheckedRecordPtr &newest() const
    {
        return m_newest;
    }
    /// Null when there is no valid record.
    const CheckedRecordPtr &valid() const
    {
        return m_valid;
    }
    /// Null when no document is retained.
    const CheckedRecordPtr &retained() const
    {
        return m_retained;
    }
    /// All records kept: newest, valid if different, retained. `merge` must have been called.
    std::vector<Record> records() const;
    /// Hash of the key, its newest version and its newest valid version. `merge` must have been called.
    std::uint64_t hash() const;

private:
    bool isNeeded(Version version) const;
    void setValid(CheckedRecordPtr checked);

    CheckedRecordPtr m_newest;
    CheckedRecordPtr m_valid;
    CheckedRecordPtr m_retained;
};

/// Version of the record; zero for null.
Version versionOf(const CheckedRecordPtr &checked);

} // namespace Fescuenotch
