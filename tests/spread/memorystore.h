// A record store small enough to see through, for tests of the spread core alone. A value with "bad" in it is invalid,
// one with "bytes" in it asks for the bytes mode.
#pragma once

#include "config/store.h"

#include <map>

namespace Fescuenotch {

class MemoryStore : public RecordStore
{
public:
    std::vector<Record> apply(const std::vector<Record> &records) override;
    std::vector<Record> applyPage(const ConfigPage &page) override;
    std::vector<Record> records(const std::string &key) const override;
    std::vector<KeyVersions> versions() const override;
    Version highWater() const override;
    std::uint64_t hash() const override;
    std::vector<RejectedRecord> rejected() const override;
    std::uint64_t stalePages() const override;
    SnapshotPtr build(const std::string &profile, const SnapshotPtr &old) const override;
    std::optional<Service> service(const std::string &name) const override;
    std::string profileOf(const std::string &service) const override;

private:
    struct Held {
        Record newest;
        Record valid; ///< version zero: none
    };
    std::map<std::string, Held> m_held;
    std::uint64_t m_stale = 0;
};

} // namespace Fescuenotch
