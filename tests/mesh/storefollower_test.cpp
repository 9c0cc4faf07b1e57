#include "mesh/storefollower.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct FollowerFixture {
    TimePoint now = TimePoint(seconds(1'000));
    StoreFollower follower{StoreFollowerSettings{}};

    static StoreReply reply(std::uint64_t revision, std::vector<StoreItem> items = {})
    {
        StoreReply r;
        r.revision = revision;
        r.items = std::move(items);
        return r;
    }

    StoreQuestion ask()
    {
        now = std::max(now, follower.nextAt());
        return follower.next(now).value();
    }

    void readAll(std::uint64_t listingRevision = 10, std::uint64_t configurationRevision = 12)
    {
        follower.onReply(now, ask(), reply(listingRevision));
        follower.onReply(now, ask(), reply(configurationRevision, {{StoreItem::Kind::Configuration, "", 8, "{}"}}));
    }

    void fail(StoreFailure failure)
    {
        follower.onFailure(now, ask(), failure, milliseconds(0));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreFollowerTest, FollowerFixture)

BOOST_AUTO_TEST_CASE(start_afterListingAndConfiguration_watchesFromTheListingsRevision)
{
    BOOST_TEST((ask().kind == StoreQuestion::Kind::Targets));
    readAll(10, 12);
    const auto watch = ask();
    BOOST_TEST((watch.kind == StoreQuestion::Kind::Watch));
    BOOST_TEST(watch.afterRevision == 10U);
}

/// Pattern: a node on a slow link starts; its peers have the configuration, compressed.
BOOST_AUTO_TEST_CASE(start_peersMayBringTheConfiguration_isAskedForOnlyAfterThat)
{
    StoreFollowerSettings settings;
    settings.peersFirst = milliseconds(700);
    follower = StoreFollower(settings);
    follower.onReply(now, ask(), reply(10));
    BOOST_TEST(!follower.next(now + milliseconds(699)).has_value());
    BOOST_TEST((follower.next(now + milliseconds(700)).value().kind == StoreQuestion::Kind::Configuration));
}

/// Pattern: the same node takes over the watch later. What it has may be old, so it reads the store at once.
BOOST_AUTO_TEST_CASE(startOver_afterTheFirstListing_configurationIsReadAtOnce)
{
    StoreFollowerSettings settings;
    settings.peersFirst = milliseconds(700);
    follower = StoreFollower(settings);
    readAll();
    follower.startOver();
    follower.onReply(now, ask(), reply(20));
    BOOST_TEST((follower.next(now).value().kind == StoreQuestion::Kind::Configuration));
}

/// The configuration is written for the first time between two calls of a node that starts.
BOOST_AUTO_TEST_CASE(start_configurationWrittenJustAfterItWasAskedFor_isBroughtByTheWatch)
{
    follower.onReply(now, ask(), reply(10));
    follower.onReply(now, ask(), reply(0)); // not there yet; written as revision 11 now
    BOOST_TEST(ask().afterRevision == 10U);
}

BOOST_AUTO_TEST_CASE(listing_inPages_endsOnceWithAllAndTheFirstPagesRevision)
{
    auto first = reply(12, {{StoreItem::Kind::Target, "a", 3, "{}"}});
    first.more = true;
    first.lastKey = "a";
    BOOST_TEST(!follower.onReply(now, ask(), first).listingEnds);
    const auto second = ask();
    BOOST_TEST(second.afterKey == "a");
    const auto update = follower.onReply(now, second, reply(15, {{StoreItem::Kind::Target, "b", 14, "{}"}}));
    BOOST_TEST(update.listingEnds);
    BOOST_TEST(update.listing.size() == 2U);
    BOOST_TEST(update.revision == 12U);
}

BOOST_AUTO_TEST_CASE(watch_historyGone_startsOverAtOnce)
{
    readAll();
    fail(StoreFailure::HistoryGone);
    BOOST_TEST((follower.nextAt() <= now));
    BOOST_TEST((ask().kind == StoreQuestion::Kind::Targets));
    BOOST_TEST(!follower.isAway());
}

BOOST_AUTO_TEST_CASE(watch_cutOnce_isAskedAgainAtOnceAndHoldsNoRemovals)
{
    readAll();
    const auto before = now;
    fail(StoreFailure::Unreachable);
    BOOST_TEST((follower.nextAt() == before));
    BOOST_TEST(!follower.isAway());
    follower.onReply(now, ask(), reply(13));
    BOOST_TEST((follower.removalsHeldUntil() == TimePoint::min()));
}

BOOST_AUTO_TEST_CASE(storeAwayLongEnoughForEntriesToLapse_returns_removalsAreHeldForAWhile)
{
    readAll();
    now += seconds(1);
    fail(StoreFailure::Unavailable);
    BOOST_TEST(follower.isAway());
    now += seconds(4);
    const auto update = follower.onReply(now, ask(), reply(20));
    BOOST_TEST(update.returned);
    BOOST_TEST((follower.removalsHeldUntil() > now + seconds(2)));
    BOOST_TEST((follower.removalsHeldUntil() < now + seconds(3)));
}

BOOST_AUTO_TEST_CASE(storeKeepsFailing_delayGrowsToItsLimitAndNoFurther)
{
    readAll();
    for (int n = 0; n < 12; ++n) {
        fail(StoreFailure::Unavailable);
    }
    const auto delay = follower.nextAt() - now;
    BOOST_TEST((delay >= milliseconds(500)));
    BOOST_TEST((delay <= milliseconds(1'000)));
}

BOOST_AUTO_TEST_CASE(storeSaysWhenToComeBack_isNotAskedBefore)
{
    readAll();
    follower.onFailure(now, ask(), StoreFailure::Limited, milliseconds(1'700));
    BOOST_TEST((follower.nextAt() >= now + milliseconds(1'700)));
    BOOST_TEST(!follower.isAway());
}

BOOST_AUTO_TEST_CASE(news_followCloselyOnEachOther_shareACall)
{
    readAll();
    follower.onReply(now, ask(), reply(13, {{StoreItem::Kind::Target, "a", 13, "{}"}}));
    BOOST_TEST((follower.nextAt() == now + StoreFollowerSettings{}.pauseAfterNews));
    follower.onReply(now, ask(), reply(14));
    BOOST_TEST((follower.nextAt() == now));
}

BOOST_AUTO_TEST_SUITE_END()
