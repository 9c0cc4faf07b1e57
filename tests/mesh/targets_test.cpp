#include "mesh/targets.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct TableFixture {
    TimePoint now = TimePoint(seconds(1'000));
    TimePoint notDeferred = TimePoint::min();
    TargetTable table;

    static TargetRecord record(const std::string &id, const std::string &host = "127.1.0.1")
    {
        TargetRecord r;
        r.id = id;
        r.service = "desk";
        r.address = {host, 9'000};
        r.dataCentre = "one";
        r.slots = 4;
        return r;
    }

    static TargetUpdate listed(const std::string &id, std::uint64_t revision)
    {
        return {id, revision, record(id)};
    }

    static TargetUpdate gone(const std::string &id, std::uint64_t revision)
    {
        return {id, revision, std::nullopt};
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetTableTest, TableFixture)

BOOST_AUTO_TEST_CASE(apply_olderRevisionAfterNewer_isIgnored)
{
    table.apply(now, listed("a", 5), notDeferred);
    table.apply(now, gone("a", 7), notDeferred);
    BOOST_TEST(!table.apply(now, listed("a", 6), notDeferred).has_value());
    BOOST_TEST(table.ofService("desk").empty());
}

BOOST_AUTO_TEST_CASE(apply_draining_isNotUsableButListed)
{
    table.apply(now, listed("a", 5), notDeferred);
    auto update = listed("a", 6);
    update.record->state = TargetState::Draining;
    const auto change = table.apply(now, update, notDeferred);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->kind == TargetChange::Kind::Draining));
    BOOST_TEST(table.ofService("desk").empty());
    BOOST_TEST(table.all().size() == 1U);
}

BOOST_AUTO_TEST_CASE(apply_undecodableEntry_removesTarget)
{
    table.apply(now, listed("a", 5), notDeferred);
    table.apply(now, {"a", 6, std::nullopt}, notDeferred);
    BOOST_TEST(table.ofService("desk").empty());
}

/// During an outage of the store, entries expire although their targets are still running.
BOOST_AUTO_TEST_CASE(removal_soonAfterStoreRecovery_isDeferredUntilGraceHasPassed)
{
    table.apply(now, listed("a", 5), notDeferred);
    const auto deferredUntil = now + LeaseRenewalGrace;
    const auto change = table.apply(now, gone("a", 6), deferredUntil);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->kind == TargetChange::Kind::RemovalDeferred));
    BOOST_TEST(table.ofService("desk").size() == 1U);
    BOOST_TEST(table.tick(deferredUntil - milliseconds(1)).empty());
    BOOST_TEST(table.tick(deferredUntil).size() == 1U);
    BOOST_TEST(table.ofService("desk").empty());
}

BOOST_AUTO_TEST_CASE(deferredRemoval_entryReappears_targetStays)
{
    table.apply(now, listed("a", 5), notDeferred);
    table.apply(now, gone("a", 6), now + LeaseRenewalGrace);
    const auto change = table.apply(now + seconds(1), listed("a", 8), now + LeaseRenewalGrace);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->kind == TargetChange::Kind::Restored));
    BOOST_TEST(table.tick(now + seconds(10)).empty());
    BOOST_TEST(table.ofService("desk").size() == 1U);
}

BOOST_AUTO_TEST_CASE(applyListing_entryMissing_isRemovedUnlessNewerThanListing)
{
    table.apply(now, listed("old", 5), notDeferred);
    table.apply(now, listed("new", 20), notDeferred);
    const auto changes = table.applyListing(now, {listed("kept", 6)}, 10, notDeferred);
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST((table.find("old") == nullptr));
    BOOST_TEST((table.find("new") != nullptr));
    BOOST_TEST((table.find("kept") != nullptr));
}

/// An address is reused: two entries have it until the older one expires.
BOOST_AUTO_TEST_CASE(atAddress_twoEntries_returnsLatestStart)
{
    auto first = listed("first", 5);
    first.record->startedAtMs = 100;
    auto second = listed("second", 6);
    second.record->startedAtMs = 200;
    table.apply(now, second, notDeferred);
    table.apply(now, first, notDeferred);
    BOOST_REQUIRE((table.atAddress({"127.1.0.1", 9'000}) != nullptr));
    BOOST_TEST(table.atAddress({"127.1.0.1", 9'000})->id == "second");
}

/// After a power failure targets restart with new ids while their old entries have not expired yet.
BOOST_AUTO_TEST_CASE(ofService_addressReusedByLaterStart_staleEntryIsLeftOut)
{
    auto before = listed("before", 5);
    before.record->startedAtMs = 100;
    auto after = listed("after", 6);
    after.record->startedAtMs = 200;
    table.apply(now, before, notDeferred);
    table.apply(now, after, notDeferred);
    const auto usable = table.ofService("desk");
    BOOST_REQUIRE(usable.size() == 1U);
    BOOST_TEST(usable.front().id == "after");
}

BOOST_AUTO_TEST_CASE(updatesSince_peerLacksSome_returnsThoseWithoutDeferredRemovals)
{
    table.apply(now, listed("a", 5), notDeferred);
    table.apply(now, listed("b", 7), notDeferred);
    table.apply(now, listed("c", 6), notDeferred);
    table.apply(now, gone("c", 9), now + LeaseRenewalGrace);
    const auto updates = table.updatesSince(5);
    BOOST_REQUIRE(updates.size() == 1U);
    BOOST_TEST(updates.front().id == "b");
}

BOOST_AUTO_TEST_SUITE_END()
