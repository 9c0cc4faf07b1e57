#include "mesh/storesync.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct SyncFixture {
    TimePoint now = TimePoint(seconds(1'000));
    StoreSync sync{StoreSyncSettings{}};

    static constexpr std::uint64_t FirstEra = 1;

    static StoreResponse response(std::uint64_t revision, std::vector<StoreItem> items = {}, std::uint64_t era = FirstEra)
    {
        StoreResponse r;
        r.position = {era, revision};
        r.items = std::move(items);
        return r;
    }

    StoreQuery nextQuery()
    {
        now = std::max(now, sync.nextAt());
        return sync.next(now).value();
    }

    void syncAll(std::uint64_t listingRevision = 10, std::uint64_t configurationRevision = 12)
    {
        if (nextQuery().mayBeStale) {
            sync.onResponse(now, nextQuery(), response(listingRevision));
        }
        sync.onResponse(now, nextQuery(), response(listingRevision));
        sync.onResponse(now, nextQuery(), response(configurationRevision, {{StoreItem::Kind::Configuration, "", 8, "{}"}}));
    }

    void fail(StoreFailure failure)
    {
        sync.onFailure(now, nextQuery(), failure, milliseconds(0));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreSyncTest, SyncFixture)

BOOST_AUTO_TEST_CASE(start_afterListingAndConfiguration_watchesFromListingRevision)
{
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Targets));
    syncAll(10, 12);
    const auto watch = nextQuery();
    BOOST_TEST((watch.kind == StoreQuery::Kind::Watch));
    BOOST_TEST(watch.afterRevision == 10U);
}

/// Hundreds of nodes list the targets when the whole fleet starts. Later listings must be exact, since entries that they lack are
/// removed.
BOOST_AUTO_TEST_CASE(listing_first_mayBeStaleAndLaterOnesMayNot)
{
    BOOST_TEST(nextQuery().mayBeStale);
    syncAll();
    BOOST_TEST(!nextQuery().mayBeStale);
    sync.restart();
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Targets));
    BOOST_TEST(!nextQuery().mayBeStale);
}

/// A stale answer states the store's newest revision, but its content may be older. Taken as complete, it removed targets that had just
/// started and brought back those that had left, also at peers that asked this node.
BOOST_AUTO_TEST_CASE(listing_stale_isNotCompleteAndAnExactOneFollows)
{
    const auto stale = sync.onResponse(now, nextQuery(), response(12, {{StoreItem::Kind::Target, "gone", 3, "{}"}}));
    BOOST_TEST(stale.listingIsStale);
    BOOST_TEST(!stale.includesTargets);
    const auto exact = nextQuery();
    BOOST_TEST((exact.kind == StoreQuery::Kind::Targets));
    BOOST_TEST(!exact.mayBeStale);
    const auto update = sync.onResponse(now, exact, response(12));
    BOOST_TEST(update.listingComplete);
    BOOST_TEST(!update.listingIsStale);
    BOOST_TEST(update.includesTargets);
}

/// A node starts on a slow link. Peers send the configuration compressed, so they get time before it is read from the store.
BOOST_AUTO_TEST_CASE(start_configurationDelaySet_configurationIsReadAfterDelay)
{
    StoreSyncSettings settings;
    settings.configurationDelay = milliseconds(700);
    sync = StoreSync(settings);
    sync.onResponse(now, nextQuery(), response(10));
    BOOST_TEST(!sync.next(now + milliseconds(699)).has_value());
    now += milliseconds(700);
    const auto exact = sync.next(now).value();
    BOOST_TEST((exact.kind == StoreQuery::Kind::Targets));
    sync.onResponse(now, exact, response(10));
    BOOST_TEST((sync.next(now).value().kind == StoreQuery::Kind::Configuration));
}

/// The same node takes over the watch later. Its configuration may be outdated, so the delay does not apply again.
BOOST_AUTO_TEST_CASE(restart_afterFirstListing_configurationIsReadAtOnce)
{
    StoreSyncSettings settings;
    settings.configurationDelay = milliseconds(700);
    sync = StoreSync(settings);
    syncAll();
    sync.restart();
    sync.onResponse(now, nextQuery(), response(20));
    BOOST_TEST((sync.next(now).value().kind == StoreQuery::Kind::Configuration));
}

/// Guards against a listing of which only the first page counts, and against an evacuation lifted because it was written between
/// two pages.
BOOST_AUTO_TEST_CASE(operatorItems_twoPages_areOneListingAsOfTheFirst)
{
    StoreSyncSettings settings;
    settings.readEvacuations = true;
    sync = StoreSync(settings);
    sync.onResponse(now, nextQuery(), response(9)); // the stale listing
    sync.onResponse(now, nextQuery(), response(10));
    const auto first = nextQuery();
    BOOST_TEST((first.kind == StoreQuery::Kind::OperatorItems));
    auto page = response(12, {{StoreItem::Kind::Configuration, "", 8, "{}"}, {StoreItem::Kind::Evacuation, "one", 9, ""}});
    page.more = true;
    page.lastKey = "op/evacuate/one";
    const auto partial = sync.onResponse(now, first, page);
    BOOST_TEST(!partial.evacuationsComplete);
    BOOST_TEST(partial.items.empty());
    const auto second = nextQuery();
    BOOST_TEST((second.kind == StoreQuery::Kind::OperatorItems));
    BOOST_TEST(second.afterKey == "op/evacuate/one");
    const auto update = sync.onResponse(now, second, response(15, {{StoreItem::Kind::Evacuation, "two", 14, ""}}));
    BOOST_TEST(update.evacuationsComplete);
    BOOST_TEST(update.evacuations.size() == 2U);
    BOOST_TEST(update.items.size() == 1U);
    BOOST_TEST((update.position == StorePosition{FirstEra, 12}));
    const auto watch = nextQuery();
    BOOST_TEST((watch.kind == StoreQuery::Kind::Watch));
    BOOST_TEST(watch.afterRevision == 10U);
}

/// The first configuration is written between two calls of a starting node. A watch from a later revision would miss it.
BOOST_AUTO_TEST_CASE(start_configurationWrittenAfterItWasRead_watchCoversIt)
{
    sync.onResponse(now, nextQuery(), response(9)); // the stale listing
    sync.onResponse(now, nextQuery(), response(10));
    sync.onResponse(now, nextQuery(), response(0)); // not written yet; gets revision 11 after this call
    BOOST_TEST(nextQuery().afterRevision == 10U);
}

BOOST_AUTO_TEST_CASE(listing_severalPages_completesOnceWithRevisionOfFirstPage)
{
    auto first = response(12, {{StoreItem::Kind::Target, "a", 3, "{}"}});
    first.more = true;
    first.lastKey = "a";
    BOOST_TEST(!sync.onResponse(now, nextQuery(), first).listingComplete);
    const auto second = nextQuery();
    BOOST_TEST(second.afterKey == "a");
    const auto update = sync.onResponse(now, second, response(15, {{StoreItem::Kind::Target, "b", 14, "{}"}}));
    BOOST_TEST(update.listingComplete);
    BOOST_TEST(update.listing.size() == 2U);
    BOOST_TEST((update.position == StorePosition{FirstEra, 12}));
}

BOOST_AUTO_TEST_CASE(watch_historyCompacted_restartsAtOnce)
{
    syncAll();
    fail(StoreFailure::HistoryCompacted);
    BOOST_TEST((sync.nextAt() <= now));
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Targets));
    BOOST_TEST(!sync.isUnavailable());
}

BOOST_AUTO_TEST_CASE(watch_interruptedOnce_isRetriedAtOnceWithoutDeferral)
{
    syncAll();
    const auto before = now;
    fail(StoreFailure::Unreachable);
    BOOST_TEST((sync.nextAt() == before));
    BOOST_TEST(!sync.isUnavailable());
    sync.onResponse(now, nextQuery(), response(13));
    BOOST_TEST((sync.removalsDeferredUntil() == TimePoint::min()));
}

BOOST_AUTO_TEST_CASE(longOutage_storeRecovers_removalsAreDeferred)
{
    syncAll();
    now += seconds(1);
    fail(StoreFailure::Unavailable);
    BOOST_TEST(sync.isUnavailable());
    now += seconds(4);
    const auto update = sync.onResponse(now, nextQuery(), response(20));
    BOOST_TEST(update.recovered);
    BOOST_TEST((sync.removalsDeferredUntil() > now + seconds(2)));
    BOOST_TEST((sync.removalsDeferredUntil() < now + seconds(3)));
}

BOOST_AUTO_TEST_CASE(store_keepsFailing_backoffIsBounded)
{
    syncAll();
    for (int n = 0; n < 12; ++n) {
        fail(StoreFailure::Unavailable);
    }
    const auto delay = sync.nextAt() - now;
    BOOST_TEST((delay >= milliseconds(500)));
    BOOST_TEST((delay <= milliseconds(1'000)));
}

BOOST_AUTO_TEST_CASE(rateLimited_retryAfterGiven_isNotCalledBefore)
{
    syncAll();
    sync.onFailure(now, nextQuery(), StoreFailure::RateLimited, milliseconds(1'700));
    BOOST_TEST((sync.nextAt() >= now + milliseconds(1'700)));
    BOOST_TEST(!sync.isUnavailable());
}

BOOST_AUTO_TEST_CASE(watch_changeReceived_nextWatchWaitsForBatchDelay)
{
    syncAll();
    sync.onResponse(now, nextQuery(), response(13, {{StoreItem::Kind::Target, "a", 13, "{}"}}));
    BOOST_TEST((sync.nextAt() == now + StoreSyncSettings{}.batchDelay));
    sync.onResponse(now, nextQuery(), response(14));
    BOOST_TEST((sync.nextAt() == now));
}

// ---- [era] ------------------------------------------------------------------------------------------------------

/// The store came back from an older copy, whose revisions are below the ones seen. Guards against following the lost history.
BOOST_AUTO_TEST_CASE(watch_answeredInHigherEra_listsAllAgainAtOnceAndWatchesFromLowerRevision)
{
    syncAll(100, 100);
    sync.onResponse(now, nextQuery(), response(60, {}, 2));
    BOOST_TEST((sync.nextAt() == now));
    const auto listing = nextQuery();
    BOOST_TEST((listing.kind == StoreQuery::Kind::Targets));
    BOOST_TEST(!listing.mayBeStale);
    const auto update = sync.onResponse(now, listing, response(61, {}, 2));
    BOOST_TEST(update.listingComplete);
    BOOST_TEST((update.position == StorePosition{2, 61}));
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Configuration));
    sync.onResponse(now, nextQuery(), response(61, {}, 2));
    BOOST_TEST(nextQuery().afterRevision == 61U);
}

/// Entries whose renewal was lost may expire right after the return although their targets run.
BOOST_AUTO_TEST_CASE(newEra_noOutageSeen_removalsAreDeferred)
{
    syncAll();
    sync.onResponse(now, nextQuery(), response(5, {}, 2));
    BOOST_TEST((sync.removalsDeferredUntil() == now + LeaseRenewalGrace));
}

/// The second page of a listing is of the new era: the first one belongs to a lost history.
BOOST_AUTO_TEST_CASE(listing_eraRisesBetweenPages_startsWithFirstPage)
{
    auto first = response(12, {{StoreItem::Kind::Target, "a", 3, "{}"}});
    first.more = true;
    first.lastKey = "a";
    sync.onResponse(now, nextQuery(), first);
    const auto update = sync.onResponse(now, nextQuery(), response(9, {{StoreItem::Kind::Target, "b", 9, "{}"}}, 2));
    BOOST_TEST(!update.listingComplete);
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Targets));
    BOOST_TEST(nextQuery().afterKey.empty());
}

/// A late answer or a stale read of the era before. Guards against its entries and its revision being taken over.
BOOST_AUTO_TEST_CASE(response_ofEarlierEra_isIgnoredAndQueryIsRepeatedExactly)
{
    BOOST_TEST(sync.noteEra(now, 2));
    const auto update = sync.onResponse(now, nextQuery(), response(90, {{StoreItem::Kind::Target, "a", 80, "{}"}}, 1));
    BOOST_TEST(update.outdated);
    BOOST_TEST(!update.listingComplete);
    BOOST_TEST(sync.era() == 2U);
    BOOST_TEST((sync.nextAt() > now));
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Targets));
    BOOST_TEST(!nextQuery().mayBeStale);
}

/// A peer knows of the return first, and the pending watch still answers. Its revision must not be watched from.
BOOST_AUTO_TEST_CASE(eraToldWhileWatchIsPending_listingComesNextWhateverTheWatchAnswers)
{
    syncAll(100, 100);
    const auto watch = nextQuery();
    BOOST_TEST(sync.noteEra(now, 2));
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Targets));
    const auto update = sync.onResponse(now, watch, response(40, {{StoreItem::Kind::Target, "a", 40, "{}"}}, 2));
    BOOST_TEST(update.items.size() == 1U);
    BOOST_TEST((nextQuery().kind == StoreQuery::Kind::Targets));
    BOOST_TEST(!sync.noteEra(now, 2));
    BOOST_TEST(!sync.noteEra(now, 1));
}

/// A watch from a revision that exists again gets no 410. Only the answer's era shows the return, so the answer must not wait.
BOOST_AUTO_TEST_CASE(watch_afterFailure_firstOneDoesNotWait)
{
    syncAll();
    const auto usualWait = nextQuery().wait;
    fail(StoreFailure::Unreachable);
    BOOST_TEST((nextQuery().wait <= milliseconds(1)));
    sync.onResponse(now, nextQuery(), response(13));
    BOOST_TEST((nextQuery().wait == usualWait));
}

BOOST_AUTO_TEST_SUITE_END()
