// State machine that keeps a node in sync with the platform's store: decides which query to send next and interprets the
// responses. It has no sockets; the time is passed in.
//
// Usage: call `next` while no query is in flight, send the query, and pass the response to `onResponse` or the failure to
// `onFailure`. Apply the StoreUpdate that `onResponse` returns. When `next` returns nothing, wait until `nextAt`.
//
// Order of queries: a listing of the targets that may be stale, to find peers; after a pause in which they may deliver the state, an exact
// listing page by page, the configuration, then one watch over everything, starting at the revision of the exact listing's first page so
// that no write in between is missed. With `readEvacuations`, the configuration is
// read together with the evacuations of data centres, as a listing of all items of the operator. When the store no longer has the history
// that a watch needs, or comes back in a new era, the sequence restarts with the listing. After failures the delay doubles, with jitter, so that the
// nodes of a fleet do not all return at the same moment.
#pragma once

#include "kernel/clock.h"
#include "mesh/storeposition.h"
#include "mesh/targets.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Fescuenotch {

/// One entry of the store, or its removal.
struct StoreItem {
    enum class Kind { Configuration, Target, Evacuation, Other } kind = Kind::Other;
    std::string id; ///< target id, or name of the evacuated data centre
    std::uint64_t revision = 0; ///< in the era of the response
    std::optional<std::string> value; ///< raw bytes; none: removed
};

struct StoreQuery {
    enum class Kind {
        Configuration,
        Targets,
        Watch,
        OperatorItems, ///< the configuration and all evacuations
    } kind
        = Kind::Configuration;
    std::string afterKey; ///< listings: last key of the previous page; empty: first page
    std::uint64_t afterRevision = 0; ///< Watch: only changes after this revision of the store
    milliseconds wait{0}; ///< ms; Watch: how long the store may hold the query
    bool mayBeStale = false; ///< Targets: a response that is seconds old will do; the store charges less for it
    bool operator==(const StoreQuery &) const = default;
};
const char *storeQueryName(StoreQuery::Kind kind); ///< "configuration", "targets", "watch", "operator-items"

struct StoreResponse {
    std::vector<StoreItem> items;
    StorePosition position; ///< of the store at this response
    bool more = false; ///< listings: another page follows
    std::string lastKey; ///< listings: `afterKey` of the next page
};

enum class StoreFailure {
    Unreachable, ///< no connection, connection reset, or no response in time
    Unavailable, ///< the store reported that it cannot serve now
    RateLimited, ///< too many calls
    HistoryCompacted, ///< the store no longer has the history to continue the watch
    InvalidResponse, ///< the response could not be decoded
    OutdatedEra, ///< the response is of an era before the current one
};
const char *storeFailureName(StoreFailure failure); ///< "unreachable", ...

/// Changes that result from a response.
struct StoreUpdate {
    std::vector<StoreItem> items; ///< apply one by one
    bool listingComplete = false; ///< `listing` contains all targets as of `position`
    std::vector<StoreItem> listing;
    bool listingIsStale = false; ///< the listing may be seconds old: its entries name hosts to contact, and what it lacks may exist
    bool includesTargets = false; ///< with the updates before, every change of targets up to `position` was delivered
    bool evacuationsComplete = false; ///< `evacuations` contains all evacuations as of `position`
    std::vector<StoreItem> evacuations;
    StorePosition position;
    bool recovered = false; ///< the store answers again after it was unavailable
    bool outdated = false; ///< the response was of an earlier era and was ignored; the query is repeated
};

struct StoreSyncSettings {
    milliseconds watchWait{2'000}; ///< ms; upper bound for noticing a store that stopped responding
    milliseconds firstWatchWait{1}; ///< ms; of the first watch after a failure: its response shows at once whether the era has risen
    milliseconds batchDelay{300}; ///< ms; changes that follow each other closely share a call; well below the 2 s allowed for draining
    milliseconds initialBackoff{100}; ///< ms; delay after the first failure, with jitter
    milliseconds maxBackoff{1'000}; ///< ms; well below the 2 s within which a removal must be seen
    milliseconds configurationDelay{0}; ///< ms; after the first listing, time for peers to deliver the configuration before it is read from the store
    milliseconds minOutageForDeferral{2'000}; ///< ms; entries do not expire during shorter outages, so removals are applied at once after them
    milliseconds removalDeferral = LeaseRenewalGrace; ///< ms; removals are deferred for this long after the store recovers or a new era begins
    bool readEvacuations = false; ///< read the evacuations of data centres along with the configuration
    std::uint64_t seed = 0;
};

class StoreSync
{
public:
    explicit StoreSync(const StoreSyncSettings &settings);
    /// The query to send now; none before `nextAt`.
    std::optional<StoreQuery> next(TimePoint now) const;
    TimePoint nextAt() const
    {
        return m_nextAt;
    }
    StoreUpdate onResponse(TimePoint now, const StoreQuery &query, StoreResponse response);
    /// `retryAfter`: minimum delay in ms requested by the store; 0: none.
    void onFailure(TimePoint now, const StoreQuery &query, StoreFailure failure, milliseconds retryAfter);

    /// Takes over an era that the store stated in a failed response, or that a peer knows. A higher one restarts with the
    /// listing; then the result is true, and a query in flight should be dropped.
    bool noteEra(TimePoint now, std::uint64_t era);
    /// Highest era known; 0: none was stated.
    std::uint64_t era() const
    {
        return m_era;
    }

    /// Restarts with the listing. Needed when the watch was paused and peers delivered changes meanwhile.
    void restart();
    /// True from the first failure until the next response. A single interrupted watch, rate limiting and compacted
    /// history do not count as failures.
    bool isUnavailable() const
    {
        return m_unavailableSince.has_value();
    }
    /// Time since the last response; Duration::max() before the first.
    Duration age(TimePoint now) const;
    TimePoint removalsDeferredUntil() const
    {
        return m_removalsDeferredUntil;
    }

private:
    milliseconds jitter(milliseconds delay);
    void onOperatorItems(const StoreQuery &query, StoreResponse response, StoreUpdate &update);
    void watchNext();

    StoreSyncSettings m_settings;
    std::minstd_rand m_random;
    StoreQuery m_query;
    std::uint64_t m_watchFrom = 0; ///< revision of the listing's first page, later of the last watch response
    std::vector<StoreItem> m_listing; ///< pages received so far
    std::vector<StoreItem> m_operatorItems; ///< pages received so far
    std::uint64_t m_operatorItemsFrom = 0; ///< revision of the first of these pages
    bool m_listedOnce = false;
    bool m_listingMayBeStale = true; ///< until a listing or a new era
    std::uint64_t m_era = 0;
    TimePoint m_nextAt;
    milliseconds m_backoff{0};
    std::optional<TimePoint> m_unavailableSince;
    std::optional<TimePoint> m_lastResponse;
    TimePoint m_removalsDeferredUntil = TimePoint::min();
};

} // namespace Fescuenotch
