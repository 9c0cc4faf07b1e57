// Assembles a complete listing of the platform's keys from the pages of one paginated response.
//
// Usage: pass every page to `add`; when it returns true, `keys` and `version` describe the complete listing, and keys missing
// from it have been withdrawn.
// Pitfall: the pages of a listing must arrive in order and without other pages between them. A page of the same epoch continues
// the pending listing when it was requested `after` the last revision received, or, if that is unknown, when it is marked
// `complete` and has later revisions only. Another `complete` page starts a new listing; any other page discards the pending
// one, so that a lost page never causes withdrawals.
#pragma once

#include "config/documents.h"

#include <optional>
#include <set>
#include <string>

namespace Fescuenotch {

class Listing
{
public:
    /// True when this page completes a listing: `keys` and `version` then cover all its pages.
    bool add(const ConfigPage &page);
    /// Discards the pending listing.
    void discard()
    {
        m_isPending = false;
    }
    /// Version of the first page. The listing may lack keys that were added later.
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
