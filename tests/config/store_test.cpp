#include "config/store.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace Fescuenotch;

namespace {

std::string profileText(const std::vector<std::string> &services)
{
    std::string routes;
    for (const auto &service : services) {
        routes += (routes.empty() ? "" : ",") + std::string("{\"path_prefix\":\"/") + service + "\",\"service\":\"" + service + "\",\"rule\":\"read\"}";
    }
    return "{\"routes\":[" + routes + "],\"rules\":{\"read\":{\"idempotent\":true}}}";
}

std::string serviceText(unsigned slots)
{
    return "{\"profile\":\"desk\",\"targets\":[{\"host\":\"127.1.0.11\",\"data_centre\":\"lk-south-1\",\"address\":\"127.1.0.11:9000\",\"slots\":"
        + std::to_string(slots) + ",\"connections\":130}]}";
}

struct StoreFixture {
    std::unique_ptr<RecordStore> store = makeRecordStore();

    static Record record(const std::string &key, std::uint64_t revision, std::optional<std::string> value, std::uint64_t epoch = 1)
    {
        return {key, {epoch, revision}, std::move(value)};
    }
    static ConfigPage page(std::uint64_t revision, std::vector<Record> changes, bool complete = true, bool more = false, std::uint64_t epoch = 1)
    {
        return {epoch, revision, complete, more, std::move(changes)};
    }
    bool merge(const Record &item)
    {
        return !store->apply({item}).empty();
    }
    SnapshotPtr build(const SnapshotPtr &old = nullptr) const
    {
        return store->build("desk", old);
    }
    /// Snapshot of profile "desk" (revision 1) with services a (revision 2) and b (revision 3).
    SnapshotPtr buildInitialSnapshot()
    {
        store->apply({record("profile/desk", 1, profileText({"a", "b"})), record("service/a", 2, serviceText(5)), record("service/b", 3, serviceText(5))});
        auto snapshot = build();
        BOOST_REQUIRE(snapshot != nullptr);
        return snapshot;
    }
    bool isWithdrawn(const std::string &key) const
    {
        const auto records = store->records(key);
        return !records.empty() && !records[0].value;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Store, StoreFixture)

BOOST_AUTO_TEST_CASE(record_lowerOrEqualVersion_changesNothing)
{
    BOOST_TEST(merge(record("service/a", 5, serviceText(5))));
    BOOST_TEST(!merge(record("service/a", 5, serviceText(6))));
    BOOST_TEST(!merge(record("service/a", 4, serviceText(4))));
    BOOST_TEST(store->service("a")->targets[0].slots == 5U);
    BOOST_TEST(store->profileOf("a") == "desk");
}

BOOST_AUTO_TEST_CASE(record_higherEpochWithLowerRevision_replacesAndIsNeverReverted)
{
    merge(record("service/a", 50, serviceText(5)));
    BOOST_TEST(merge(record("service/a", 3, serviceText(3), 2)));
    BOOST_TEST(!merge(record("service/a", 51, serviceText(9), 1)));
    BOOST_TEST(store->service("a")->targets[0].slots == 3U);
    BOOST_TEST((store->highWater() == Version{2, 3}));
}

BOOST_AUTO_TEST_CASE(record_withdrawn_lateDuplicateIsIgnored)
{
    merge(record("service/a", 5, serviceText(5)));
    BOOST_TEST(merge(record("service/a", 7, std::nullopt)));
    BOOST_TEST(!merge(record("service/a", 5, serviceText(5))));
    BOOST_TEST(!store->service("a"));
}

BOOST_AUTO_TEST_CASE(newestInvalid_newestValidIsKeptAndRejectionIsReported)
{
    const auto old = buildInitialSnapshot();
    BOOST_TEST(merge(record("service/a", 9, "{}")));
    BOOST_TEST(merge(record("profile/desk", 10, "{\"routes\":7,\"rules\":{}}")));
    BOOST_TEST(merge(record("colour/desk", 11, "{}")));
    BOOST_TEST(build(old) == old);
    BOOST_REQUIRE_EQUAL(store->rejected().size(), 3U);
    BOOST_TEST(store->rejected()[1].reason.rfind("/routes: ", 0) == 0U);
    BOOST_TEST(store->records("service/a").size() == 2U);
    BOOST_TEST(merge(record("service/a", 12, serviceText(12))));
    BOOST_TEST(store->rejected().size() == 2U);
}

BOOST_AUTO_TEST_CASE(newestInvalid_restartedNode_acceptsOlderValidRecord)
{
    merge(record("service/a", 9, "{}"));
    BOOST_TEST(merge(record("service/a", 4, serviceText(4))));
    BOOST_TEST(store->service("a")->targets[0].slots == 4U);
    BOOST_TEST(!merge(record("service/a", 3, serviceText(3))));
}

BOOST_AUTO_TEST_CASE(build_newProfileWithoutItsService_keepsOldUntilServiceArrives)
{
    const auto old = buildInitialSnapshot();
    merge(record("profile/desk", 7, profileText({"a", "c"})));
    BOOST_TEST(build(old) == old);
    BOOST_TEST(build() == nullptr);
    merge(record("service/c", 6, serviceText(6)));
    const auto next = build(old);
    BOOST_TEST((next->profileVersion == Version{1, 7}));
    BOOST_TEST(next->services.size() == 2U);
    BOOST_TEST(build(next) == next);
}

BOOST_AUTO_TEST_CASE(build_newProfileIncomplete_servicesOfOldAreStillUpdated)
{
    const auto old = buildInitialSnapshot();
    merge(record("profile/desk", 7, profileText({"a", "c"})));
    merge(record("service/a", 8, serviceText(8)));
    const auto next = build(old);
    BOOST_TEST((next->profileVersion == Version{1, 1}));
    BOOST_TEST(next->services.at("a").targets[0].slots == 8U);
    BOOST_TEST((next->version == Version{1, 8}));
}

BOOST_AUTO_TEST_CASE(build_serviceWithdrawn_isRetainedWhileRoutesReferenceIt)
{
    const auto old = buildInitialSnapshot();
    merge(record("service/b", 5, std::nullopt));
    BOOST_TEST(build(old) == old);
    BOOST_TEST(!store->service("b"));
    const auto peer = makeRecordStore();
    for (const auto &item : store->versions()) {
        peer->apply(store->records(item.key));
    }
    BOOST_TEST(peer->build("desk", nullptr) != nullptr); // a node started after the withdrawal
    BOOST_TEST(peer->hash() == store->hash());
    merge(record("profile/desk", 6, profileText({"a"})));
    BOOST_TEST(build(old)->services.size() == 1U);
}

BOOST_AUTO_TEST_CASE(build_profileWithdrawn_givesNull)
{
    const auto old = buildInitialSnapshot();
    merge(record("profile/desk", 4, std::nullopt));
    BOOST_TEST(build(old) == nullptr);
    BOOST_TEST(store->build("other", nullptr) == nullptr);
}

BOOST_AUTO_TEST_CASE(build_storeOlderThanOld_noVersionDecreases)
{
    merge(record("service/a", 20, serviceText(20)));
    merge(record("service/b", 3, serviceText(5)));
    merge(record("profile/desk", 1, profileText({"a", "b"})));
    const auto old = build();
    const auto other = makeRecordStore();
    other->apply({record("service/a", 2, serviceText(2)), record("service/b", 3, serviceText(5)), record("profile/desk", 6, profileText({"a", "b"}))});
    const auto next = other->build("desk", old);
    BOOST_TEST((next->version == Version{1, 20}));
    BOOST_TEST(next->services.at("a").targets[0].slots == 20U);
    BOOST_TEST(makeRecordStore()->build("desk", old) == old);
}

BOOST_AUTO_TEST_CASE(build_newProfileWithoutNewestService_versionDoesNotDecrease)
{
    const auto old = buildInitialSnapshot();
    merge(record("service/b", 20, serviceText(20)));
    const auto middle = build(old);
    merge(record("profile/desk", 6, profileText({"a"})));
    const auto next = build(middle);
    BOOST_TEST((next->profileVersion == Version{1, 6}));
    BOOST_TEST((next->version == Version{1, 20}));
}

BOOST_AUTO_TEST_CASE(completePage_lackingKeys_withdrawsThem)
{
    buildInitialSnapshot();
    const auto accepted = store->applyPage(page(9, {record("profile/desk", 9, profileText({"a"})), record("service/a", 2, serviceText(5))}));
    BOOST_TEST(accepted.size() == 2U);
    BOOST_TEST(isWithdrawn("service/b"));
}

BOOST_AUTO_TEST_CASE(completePage_split_withdrawsOnlyAfterLastPage)
{
    buildInitialSnapshot();
    store->applyPage(page(9, {record("profile/desk", 1, profileText({"a", "b"}))}, true, true));
    BOOST_TEST(!isWithdrawn("service/a"));
    auto last = page(10, {record("service/c", 10, serviceText(1)), record("service/a", 2, serviceText(5))}, false, false);
    last.after = 1;
    store->applyPage(last);
    BOOST_TEST(!isWithdrawn("service/a"));
    BOOST_TEST(!isWithdrawn("service/c"));
    BOOST_TEST(isWithdrawn("service/b"));
}

BOOST_AUTO_TEST_CASE(completePage_splitAndPageLost_withdrawsNothing)
{
    buildInitialSnapshot();
    store->applyPage(page(9, {record("profile/desk", 1, profileText({"a", "b"}))}, true, true));
    auto difference = page(9, {}, false, false);
    difference.after = 9;
    store->applyPage(difference);
    BOOST_TEST(!isWithdrawn("service/a"));
    store->applyPage(page(10, {record("service/d", 10, serviceText(1))}, false, false));
    BOOST_TEST(!isWithdrawn("service/b"));
}

BOOST_AUTO_TEST_CASE(page_stale_changesNothingAndCounts)
{
    buildInitialSnapshot();
    const auto hash = store->hash();
    BOOST_TEST(store->applyPage(page(2, {})).empty());
    BOOST_TEST(store->applyPage(page(99, {record("service/a", 99, serviceText(9), 0)}, true, false, 0)).empty());
    BOOST_TEST(store->hash() == hash);
    BOOST_TEST(store->stalePages() == 2U);
}

BOOST_AUTO_TEST_CASE(page_higherEpochOfRestoredPlatform_replacesAllKeys)
{
    const auto old = buildInitialSnapshot();
    store->applyPage(page(2, {record("profile/desk", 1, profileText({"a"}), 2), record("service/a", 2, serviceText(1), 2)}, true, false, 2));
    const auto next = build(old);
    BOOST_TEST((next->version == Version{2, 2}));
    BOOST_TEST(next->services.size() == 1U);
    BOOST_TEST(isWithdrawn("service/b"));
}

BOOST_AUTO_TEST_CASE(records_reorderedDelayedAndDuplicated_sameStateAndNoVersionDecreases)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            std::vector<Record> all;
            for (std::uint64_t epoch = 1; epoch <= 2; ++epoch) {
                for (std::uint64_t revision = 1; revision <= 40; ++revision) {
                    const std::vector<std::string> keys{"profile/desk", "service/a", "service/b", "service/c"};
                    const std::string &key = keys[random() % keys.size()];
                    const std::string good = key == "profile/desk" ? profileText({"a", "b"}) : serviceText(static_cast<unsigned>(revision));
                    const auto kind = random() % 6;
                    all.push_back(record(key, revision, kind == 0 ? std::nullopt : std::optional(kind == 1 ? "{\"bad\":1}" : good), epoch));
                }
            }
            std::unique_ptr<RecordStore> first;
            for (int run = 0; run < 4; ++run) {
                const auto runStore = makeRecordStore();
                SnapshotPtr inForce;
                std::map<std::string, KeyVersions> seen;
                auto order = all;
                order.insert(order.end(), all.begin(), all.end()); // duplicates
                std::shuffle(order.begin(), order.end(), random);
                std::vector<Record> delayed;
                const auto deliver = [&](const Record &item) {
                    runStore->apply({item});
                    const auto next = runStore->build("desk", inForce);
                    BOOST_REQUIRE(inForce == nullptr || next == nullptr || next->version >= inForce->version);
                    BOOST_REQUIRE(inForce == nullptr || next == nullptr || next->profileVersion >= inForce->profileVersion);
                    inForce = next == nullptr ? inForce : next;
                    for (const auto &entry : runStore->versions()) {
                        auto &before = seen[entry.key];
                        BOOST_REQUIRE(entry.newest >= before.newest && entry.newestValid >= before.newestValid);
                        before = entry;
                    }
                };
                for (const auto &item : order) {
                    const bool isDelayed = random() % 3 == 0;
                    isDelayed ? delayed.push_back(item) : deliver(item);
                }
                for (const auto &item : delayed) { // delivered by a later repair
                    deliver(item);
                }
                if (first == nullptr) {
                    first = makeRecordStore();
                    first->apply(all);
                }
                BOOST_TEST(first->hash() == runStore->hash());
                BOOST_TEST((first->versions() == runStore->versions()));
                BOOST_TEST((first->highWater() == runStore->highWater()));
                for (const auto &entry : first->versions()) {
                    BOOST_TEST((first->records(entry.key) == runStore->records(entry.key)));
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(completePages_replayedInAnyOrder_neverRevertVersions)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::mt19937_64 random(seed);
            std::map<std::string, Record> published;
            std::vector<ConfigPage> pages;
            for (std::uint64_t revision = 1; revision <= 60; ++revision) {
                const std::string key = "service/" + std::string(1, static_cast<char>('a' + random() % 5));
                const bool withdraws = random() % 3 == 0;
                withdraws ? published.erase(key) : 0U;
                if (!withdraws) {
                    published[key] = record(key, revision, serviceText(static_cast<unsigned>(revision)));
                }
                ConfigPage whole = page(revision, {});
                for (const auto &[name, item] : published) {
                    whole.changes.push_back(item);
                }
                pages.push_back(whole);
            }
            auto replay = pages;
            std::shuffle(replay.begin(), replay.end(), random);
            replay.push_back(pages.back());
            for (const auto &item : replay) {
                const auto before = store->highWater();
                store->applyPage(item);
                BOOST_REQUIRE(store->highWater() >= before);
            }
            for (const auto &entry : store->versions()) {
                BOOST_TEST(isWithdrawn(entry.key) == (published.count(entry.key) == 0));
            }
            store = makeRecordStore();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
