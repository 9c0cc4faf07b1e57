// A complete listing of the platform's keys, collected over the pages that it is split into.
//
// How to use: give every page to `add`; it tells when a listing is whole. Only then are keys that it lacks withdrawn.
// A part is told from a difference by what was asked: the page after a part has `after` at that part's last revision, or
// says `complete` itself. Anything else in between drops the listing, so that a lost part never withdraws keys.
#pragma once

#include "config/documents.h"

#include <optional>
#include <set>
#include <string>

namespace Fescuenotch {

class Listing
{
public:
    /// True when this page ends a listing: `keys` and `version` are then those of all its pages.
    bool add(const ConfigPage &page);
    void discard()
    {
        m_isPending = false;
    }
    /// Of the first page: what is newer may be missing from the listing.
    Version version() const
    {
        return m_version;
    }
    const std::set<std::string> &keys() const
    {
        return m_keys;
    }

private:
    bool isNextPage(const ConfigPage &page) const;

    bool m_isPending = false;
    Version m_version;
    std::uint64_t m_lastRevision = 0;
    std::set<std::string> m_keys;
};

} // namespace Fescuenotch
