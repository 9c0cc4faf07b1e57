#include "config/listing.h"

#include <algorithm>

namespace Fescuenotch {

bool Listing::add(const ConfigPage &page)
{
    const bool isNext = m_isPending && isNextPage(page);
    if (!isNext && !page.complete) {
        m_isPending = false;
        return false;
    }
    if (!isNext) {
        m_version = {page.epoch, page.revision};
        m_lastRevision = 0;
        m_keys.clear();
    }
    for (const auto &change : page.changes) {
        m_keys.insert(change.key);
        m_lastRevision = std::max(m_lastRevision, change.version.revision);
    }
    m_isPending = page.more;
    return !page.more;
}

bool Listing::isNextPage(const ConfigPage &page) const
{
    if (page.epoch != m_version.epoch) {
        return false;
    }
    if (page.after) {
        return *page.after == m_lastRevision;
    }
    const auto isLater = [&](const Record &change) { return change.version.revision > m_lastRevision; };
    return page.complete && std::all_of(page.changes.begin(), page.changes.end(), isLater);
}

} // namespace Fescuenotch
