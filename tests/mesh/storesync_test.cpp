#include "mesh/storesync.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct SyncFixture {
    TimePoint now = TimePoint(seconds(1'000));
    StoreSync sync{StoreSyncSettings{}};

    static StoreResponse response(std::uint64_t revision, std::vector<StoreItem> items = {})
    {
        StoreResponse r;
        r.revision = revision;
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

/// A node starts on a slow link. Peers send the configuration compressed, so they get time before it is read from the store.
BOOST_AUTO_TEST_CASE(start_configurationDelaySet_configurationIsReadAfterDelay)
{
    StoreSyncSettings settings;
    settings.configurationDelay = milliseconds(700);
    sync = StoreSync(settings);
    sync.onResponse(now, nextQuery(), response(10));
    BOOST_TEST(!sync.next(now + milliseconds(699)).has_value());
    BOOST_TEST((sync.next(now + milliseconds(700)).value().kind == StoreQuery::Kind::Configuration));
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

/// The first configuration is written between two calls of a starting node. A watch from a later revision would miss it.
BOOST_AUTO_TEST_CASE(start_configurationWrittenAfterItWasRead_watchCoversIt)
{
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
    BOOST_TEST(update.revision == 12U);
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

BOOST_AUTO_TEST_SUITE_END()
