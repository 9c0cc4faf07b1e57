// Decides what to ask the platform's store next, and what its answers mean. No sockets; time is passed in.
//
// How to use: ask `next` whenever no call is running; make the call; hand the reply to `onReply` or the failure to
// `onFailure`; apply what `onReply` returns. Wait until `nextAt` when `next` gives nothing.
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

struct StoreQuestion {
    enum class Kind { Configuration, Targets, Watch } kind = Kind::Configuration;
    std::string afterKey; ///< Targets: the last key of the page before; empty: the first page
    std::uint64_t afterRevision = 0; ///< Watch
    milliseconds wait{0}; ///< Watch; the store may hold the question this long
};
const char *storeQuestionName(StoreQuestion::Kind kind); ///< "configuration", "targets", "watch"

struct StoreReply {
    std::vector<StoreItem> items;
    std::uint64_t revision = 0; ///< of the store as of this answer
    bool more = false; ///< Targets: another page follows
    std::string lastKey; ///< Targets: continue after this
};

enum class StoreFailure {
    Unreachable, ///< no connection, a reset, or no answer in time
    Unavailable, ///< the store said that it cannot serve now
    Limited, ///< too many calls
    HistoryGone, ///< the watch cannot be continued
    BadAnswer, ///< bytes that are no answer
};
const char *storeFailureName(StoreFailure failure); ///< "unreachable", ...

/// What a reply changes.
struct StoreUpdate {
    std::vector<StoreItem> items; ///< to apply one by one
    bool listingEnds = false; ///< `listing` is every target as of `revision`
    std::vector<StoreItem> listing;
    std::uint64_t revision = 0;
    bool returned = false; ///< the store answers again after it was away
};

struct StoreFollowerSettings {
    milliseconds watchWait{2'000}; ///< ms; bounds how late a silent store is noticed
    milliseconds pauseAfterNews{300}; ///< ms; news that follow each other closely share a call; a fraction of the 2 s for draining
    milliseconds firstRetry{100}; ///< ms
    milliseconds longestRetry{1'000}; ///< ms; well below the two seconds in which a removal must be heard of
    milliseconds peersFirst{0}; ///< ms; after the first listing peers have so long to bring the configuration
    milliseconds entriesLapseAfter{2'000}; ///< ms; absences shorter than this let no entry lapse
    milliseconds heldAfterReturn = LapseGrace; ///< ms; removals wait this long after the store's return
    std::uint64_t seed = 0;
};

class StoreFollower
{
public:
    explicit StoreFollower(const StoreFollowerSettings &settings);
    std::optional<StoreQuestion> next(TimePoint now) const;
    TimePoint nextAt() const
    {
        return m_nextAt;
    }
    StoreUpdate onReply(TimePoint now, const StoreQuestion &question, StoreReply reply);
    void onFailure(TimePoint now, const StoreQuestion &question, StoreFailure failure, milliseconds retryAfter);

    /// Reads all anew: others told the news meanwhile.
    void startOver();
    /// True from the first failure until the next answer. A cut watch alone is no failure.
    bool isAway() const
    {
        return m_awaySince.has_value();
    }
    /// How old the view is: time since the last answer. Duration::max() before the first.
    Duration age(TimePoint now) const;
    TimePoint removalsHeldUntil() const
    {
        return m_heldUntil;
    }

private:
    milliseconds jitter(milliseconds delay);

    StoreFollowerSettings m_settings;
    std::minstd_rand m_random;
    StoreQuestion m_question;
    std::uint64_t m_watchFrom = 0; ///< revision; of the listing's first page, then of the last watch
    std::vector<StoreItem> m_listing; ///< pages so far
    bool m_listedOnce = false;
    TimePoint m_nextAt;
    milliseconds m_retry{0};
    std::optional<TimePoint> m_awaySince;
    std::optional<TimePoint> m_lastReply;
    TimePoint m_heldUntil = TimePoint::min();
};

} // namespace Fescuenotch
