// Decides what to nextQuery the platform's store next, and what its answers mean. No sockets; time is passed in.
//
// How to use: nextQuery `next` whenever no call is running; make the call; hand the response to `onResponse` or the failure to
// `onFailure`; apply what `onResponse` returns. Wait until `nextAt` when `next` gives nothing.
//
// Order of calls: the listing of targets in pages, the configuration, then one watch over everything from the revision of
// the listing's first page, so that nothing written in between is missed. A watch whose history is gone starts over. A
// store that fails is asked again after a delay that doubles, with jitter, so that a fleet does not return at one moment.
#pragma once

#include "kernel/clock.h"
#include "mesh/targets.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Fescuenotch {

/// One item of the store, or its removal.
struct StoreItem {
    enum class Kind { Configuration, Target, Other } kind = Kind::Other;
    std::string id; ///< of a target: its id
    std::uint64_t revision = 0;
    std::optional<std::string> value; ///< bytes; none: removed
};

struct StoreQuery {
    enum class Kind { Configuration, Targets, Watch } kind = Kind::Configuration;
    std::string afterKey; ///< Targets: the last key of the page before; empty: the first page
    std::uint64_t afterRevision = 0; ///< Watch
    milliseconds wait{0}; ///< Watch; the store may hold the query this long
};
const char *storeQueryName(StoreQuery::Kind kind); ///< "configuration", "targets", "watch"

struct StoreResponse {
    std::vector<StoreItem> items;
    std::uint64_t revision = 0; ///< of the store as of this answer
    bool more = false; ///< Targets: another page follows
    std::string lastKey; ///< Targets: continue after this
};

enum class StoreFailure {
    Unreachable, ///< no connection, a reset, or no answer in time
    Unavailable, ///< the store said that it cannot serve now
    RateLimited, ///< too many calls
    HistoryCompacted, ///< the watch cannot be continued
    InvalidResponse, ///< bytes that are no answer
};
const char *storeFailureName(StoreFailure failure); ///< "unreachable", ...

/// What a response changes.
struct StoreUpdate {
    std::vector<StoreItem> items; ///< to apply one by one
    bool listingComplete = false; ///< `listing` is every target as of `revision`
    std::vector<StoreItem> listing;
    std::uint64_t revision = 0;
    bool recovered = false; ///< the store answers again after it was away
};

struct StoreSyncSettings {
    milliseconds watchWait{2'000}; ///< ms; bounds how late a silent store is noticed
    milliseconds batchDelay{300}; ///< ms; news that follow each other closely share a call; a fraction of the 2 s for draining
    milliseconds initialBackoff{100}; ///< ms
    milliseconds maxBackoff{1'000}; ///< ms; well below the two seconds in which a removal must be heard of
    milliseconds configurationDelay{0}; ///< ms; after the first listing peers have so long to bring the configuration
    milliseconds minOutageForDeferral{2'000}; ///< ms; absences shorter than this let no entry lapse
    milliseconds removalDeferral = LeaseRenewalGrace; ///< ms; removals wait this long after the store's return
    std::uint64_t seed = 0;
};

class StoreSync
{
public:
    explicit StoreSync(const StoreSyncSettings &settings);
    std::optional<StoreQuery> next(TimePoint now) const;
    TimePoint nextAt() const
    {
        return m_nextAt;
    }
    StoreUpdate onResponse(TimePoint now, const StoreQuery &query, StoreResponse response);
    void onFailure(TimePoint now, const StoreQuery &query, StoreFailure failure, milliseconds retryAfter);

    /// Reads all anew: others told the news meanwhile.
    void restart();
    /// True from the first failure until the next answer. A cut watch alone is no failure.
    bool isUnavailable() const
    {
        return m_unavailableSince.has_value();
    }
    /// How old the view is: time since the last answer. Duration::max() before the first.
    Duration age(TimePoint now) const;
    TimePoint removalsDeferredUntil() const
    {
        return m_removalsDeferredUntil;
    }

private:
    milliseconds jitter(milliseconds delay);

    StoreSyncSettings m_settings;
    std::minstd_rand m_random;
    StoreQuery m_query;
    std::uint64_t m_watchFrom = 0; ///< revision; of the listing's first page, then of the last watch
    std::vector<StoreItem> m_listing; ///< pages so far
    bool m_listedOnce = false;
    TimePoint m_nextAt;
    milliseconds m_backoff{0};
    std::optional<TimePoint> m_unavailableSince;
    std::optional<TimePoint> m_lastResponse;
    TimePoint m_removalsDeferredUntil = TimePoint::min();
};

} // namespace Fescuenotch
