// What the record store holds of one key.
//
// The state is a function of the set of records seen, whatever their order:
//   newest   the record with the highest version;
//   valid    the valid one with the highest version (a tombstone is valid);
//   retained     of a service whose `valid` is a tombstone: the valid document with the highest version.
#pragma once

#include "config/documents.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Fescuenotch {

/// A record that was checked. At most one of the documents is there; both are null for a tombstone or an error.
struct CheckedRecord {
    Record record;
    std::string error; ///< empty: valid
    std::shared_ptr<const Profile> profile;
    std::shared_ptr<const Service> service;
};
using CheckedRecordPtr = std::shared_ptr<const CheckedRecord>;

/// Parses the value as its key says.
CheckedRecord checkRecord(const Record &record);
/// The NAME of "profile/NAME"; empty for any other key.
std::string profileNameOf(const std::string &key);
/// The NAME of "service/NAME"; empty for any other key.
std::string serviceNameOf(const std::string &key);

class StoreEntry
{
public:
    /// True when the record was news here.
    bool merge(const Record &record);
    const CheckedRecordPtr &newest() const
    {
        return m_newest;
    }
    /// Null when no valid record is known.
    const CheckedRecordPtr &valid() const
    {
        return m_valid;
    }
    /// Null when nothing is retained.
    const CheckedRecordPtr &retained() const
    {
        return m_retained;
    }
    std::vector<Record> records() const;
    /// Over key, newest and newest valid version.
    std::uint64_t hash() const;

private:
    bool isNeeded(Version version) const;
    void setValid(CheckedRecordPtr checked);

    CheckedRecordPtr m_newest;
    CheckedRecordPtr m_valid;
    CheckedRecordPtr m_retained;
};

/// Zero for null.
Version versionOf(const CheckedRecordPtr &checked);

} // namespace Fescuenotch
