#include "mesh/storesync.h"

#include <algorithm>
#include <array>

namespace Fescuenotch {

const char *storeQueryName(StoreQuery::Kind kind)
{
    constexpr std::array<const char *, 4> Names{"configuration", "targets", "watch", "operator-items"};
    return Names.at(static_cast<std::size_t>(kind));
}

const char *storeFailureName(StoreFailure failure)
{
    constexpr std::array<const char *, 6> Names{"unreachable", "unavailable", "limited", "history-gone", "bad-answer", "old-era"};
    return Names.at(static_cast<std::size_t>(failure));
}

StoreSync::StoreSync(const StoreSyncSettings &settings)
    : m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(settings.seed | 1))
{
    restart();
}

void StoreSync::restart()
{
    // The first listing serves to find peers, which know the rest. The watch continues from its revision, whatever its age.
    m_query = {StoreQuery::Kind::Targets, "", 0, milliseconds(0), m_listingMayBeStale};
    m_listing.clear();
    m_watchFrom = 0;
}

bool StoreSync::noteEra(TimePoint now, std::uint64_t era)
{
    if (era <= m_era) {
        return false;
    }
    m_era = era;
    if (m_listedOnce) {
        m_removalsDeferredUntil = std::max(m_removalsDeferredUntil, now + m_settings.removalDeferral);
        m_listingMayBeStale = false;
    }
    restart();
    m_nextAt = m_backoff == milliseconds(0) ? now : m_nextAt;
    return true;
}

std::optional<StoreQuery> StoreSync::next(TimePoint now) const
{
    return now < m_nextAt ? std::nullopt : std::optional(m_query);
}

StoreUpdate StoreSync::onResponse(TimePoint now, const StoreQuery &query, StoreResponse response)
{
    StoreUpdate update;
    update.position = response.position;
    if (response.position.era < m_era) {
        update.outdated = true;
        onFailure(now, query, StoreFailure::OutdatedEra, milliseconds(0));
        return update;
    }
    if (m_unavailableSince) {
        if (now - *m_unavailableSince >= m_settings.minOutageForDeferral) {
            m_removalsDeferredUntil = std::max(m_removalsDeferredUntil, now + m_settings.removalDeferral);
        }
        m_unavailableSince.reset();
        update.recovered = true;
    }
    m_backoff = milliseconds(0);
    m_lastResponse = now;
    m_nextAt = now;
    noteEra(now, response.position.era);
    if (query != m_query && !(query.kind == StoreQuery::Kind::Targets && query.afterKey.empty())) {
        // The sequence restarted while the query was in flight: its items are valid, but the listing comes next.
        update.items = std::move(response.items);
        return update;
    }
    switch (query.kind) {
    case StoreQuery::Kind::Targets:
        if (query.afterKey.empty()) {
            m_listing.clear();
            m_watchFrom = response.position.revision;
        }
        std::move(response.items.begin(), response.items.end(), std::back_inserter(m_listing));
        if (response.more) {
            m_query = {StoreQuery::Kind::Targets, response.lastKey, 0, milliseconds(0), query.mayBeStale};
            break;
        }
        update.listingComplete = true;
        update.listing.swap(m_listing);
        update.position.revision = m_watchFrom;
        if (query.mayBeStale) {
            // Peers deliver the rest in this time. A node that still has to watch the store then lists it again, since the revision of
            // a stale answer may be newer than its content.
            update.listingIsStale = true;
            m_nextAt = now + m_settings.configurationDelay;
            m_listedOnce = true;
            m_listingMayBeStale = false;
            restart();
            break;
        }
        update.includesTargets = true;
        m_nextAt = m_listedOnce ? now : now + m_settings.configurationDelay;
        m_listedOnce = true;
        m_listingMayBeStale = false;
        m_query = {m_settings.readEvacuations ? StoreQuery::Kind::OperatorItems : StoreQuery::Kind::Configuration, "", 0, milliseconds(0), false};
        break;
    case StoreQuery::Kind::Configuration:
        // The configuration is read after the listing, so the watch delivers every later write.
        update.items = std::move(response.items);
        watchNext();
        break;
    case StoreQuery::Kind::OperatorItems:
        onOperatorItems(query, std::move(response), update);
        break;
    case StoreQuery::Kind::Watch:
        m_nextAt = response.items.empty() ? now : now + m_settings.batchDelay;
        update.items = std::move(response.items);
        update.includesTargets = true;
        m_watchFrom = std::max(m_watchFrom, response.position.revision);
        watchNext();
        break;
    }
    return update;
}

void StoreSync::watchNext()
{
    m_query = {StoreQuery::Kind::Watch, "", m_watchFrom, m_settings.watchWait, false};
}

/// Collects the pages. The position of the whole is that of the first page, so that a write between two pages counts as newer.
void StoreSync::onOperatorItems(const StoreQuery &query, StoreResponse response, StoreUpdate &update)
{
    if (query.afterKey.empty()) {
        m_operatorItems.clear();
        m_operatorItemsFrom = response.position.revision;
    }
    std::move(response.items.begin(), response.items.end(), std::back_inserter(m_operatorItems));
    if (response.more) {
        m_query = {StoreQuery::Kind::OperatorItems, response.lastKey, 0, milliseconds(0), false};
        return;
    }
    for (auto &item : m_operatorItems) {
        (item.kind == StoreItem::Kind::Evacuation ? update.evacuations : update.items).push_back(std::move(item));
    }
    m_operatorItems.clear();
    update.evacuationsComplete = true;
    update.position.revision = m_operatorItemsFrom;
    watchNext();
}

void StoreSync::onFailure(TimePoint now, const StoreQuery &query, StoreFailure failure, milliseconds retryAfter)
{
    if (failure == StoreFailure::HistoryCompacted) {
        restart();
        m_nextAt = now;
        return;
    }
    if (failure == StoreFailure::OutdatedEra && query.kind == StoreQuery::Kind::Targets) {
        m_listingMayBeStale = false;
        restart();
    }
    if (m_query.kind == StoreQuery::Kind::Watch && failure != StoreFailure::RateLimited) {
        m_query.wait = m_settings.firstWatchWait;
    }
    // A pending watch may be interrupted at any time; an immediate retry costs one call and shows whether the store is available.
    const bool retryNow = query.kind == StoreQuery::Kind::Watch && failure == StoreFailure::Unreachable && m_backoff == milliseconds(0);
    if (!retryNow && failure != StoreFailure::RateLimited && !m_unavailableSince) {
        m_unavailableSince = m_lastResponse.value_or(now);
    }
    m_backoff = std::clamp(m_backoff * 2, m_settings.initialBackoff, m_settings.maxBackoff);
    m_nextAt = retryNow ? now : now + std::max(jitter(m_backoff), retryAfter);
}

Duration StoreSync::age(TimePoint now) const
{
    return m_lastResponse ? now - *m_lastResponse : Duration::max();
}

milliseconds StoreSync::jitter(milliseconds delay)
{
    std::uniform_int_distribution<milliseconds::rep> spread(delay.count() / 2, delay.count());
    return milliseconds(spread(m_random));
}

} // namespace Fescuenotch
