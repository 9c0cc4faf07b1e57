// The parts of the spread core by themselves.
#include "spread/callbudget.h"
#include "spread/digest.h"
#include "spread/largevalues.h"
#include "spread/membership.h"
#include "spread/platformquestions.h"
#include "spread/readers.h"
#include "spread/tree.h"
#include "wire/controlcodec.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace Fescuenotch;

namespace {

constexpr TimePoint Begin = TimePoint{} + std::chrono::hours(1);

std::vector<RankedHost> rankedHosts(unsigned n)
{
    Membership members({"127.22.1.1", 7400, "centre-1", "bookdesk", 1, 0, MemberState::Alive});
    for (unsigned i = 1; i < n; ++i) {
        members.merge(Begin, {"127.22.1." + std::to_string(1 + i), 7400, "centre-1", "bookdesk", 1, 0, MemberState::Alive});
    }
    return members.ranked("centre-1");
}

unsigned
reached(const std::vector<RankedHost> &ranked, const std::string &root, const std::string &self, unsigned fanOut, std::map<std::string, unsigned> &copies)
{
    unsigned n = 1;
    for (const auto &child : treeChildren(ranked, "centre-1", root, self, fanOut)) {
        ++copies[child.host];
        n += reached(ranked, root, child.host, fanOut, copies);
    }
    return n;
}

/// Calls a second over the whole fleet, the busiest second, when every node asks as often as its budget lets it.
unsigned busiestSecond(std::vector<CallBudget> &fleet, TimePoint from, Duration length)
{
    std::map<std::int64_t, unsigned> calls;
    for (TimePoint now = from; now < from + length; now += milliseconds(50)) {
        for (auto &budget : fleet) {
            calls[std::chrono::duration_cast<seconds>(now - from).count()] += budget.take(now) ? 1 : 0;
        }
    }
    unsigned most = 0;
    for (const auto &[second, n] : calls) {
        most = std::max(most, n);
    }
    return most;
}

ControlMessage sample(const ControlBody &body)
{
    const MemberEntry entry{"127.22.1.1", 7400, "centre-1", "bookdesk", 7, 2, MemberState::Leaving};
    return {entry, {entry}, body};
}

std::vector<ControlBody> bodies()
{
    const Version version{1, 42};
    const MemberEntry entry{"127.22.1.2", 7400, "centre-1", "bookdesk", 7, 0, MemberState::Suspect};
    const std::vector<Record> records{{"profile/desk", version, "{}"}, {"service/gone", version, std::nullopt}};
    const SummaryLine line{"desk", "centre-1", {{version, 3}}, 1, 2, milliseconds(40)};
    return {PushBody{"127.22.1.1", records, {{"profile/large", version, 70'000}}},
            RecordsBody{records, {}},
            DigestBody{1, true, true, version, version, 2, 3, true, true},
            RecordBucketsBody{std::vector<std::uint32_t>(BucketCount, 9)},
            RecordVersionsBody{{1, 2}, 2, {{"profile/desk", version, Version{1, 41}}}},
            PullBody{{"profile/desk"}},
            ChunkPullBody{"profile/large", version, 32'768},
            ChunkBody{"profile/large", version, 0, 70'000, "abc"},
            MemberNewsBody{"127.22.1.1", {entry}},
            MemberBucketsBody{std::vector<std::uint32_t>(BucketCount, 9)},
            MemberSetBody{{1}, 1, {entry}, true},
            ProbeRequestBody{entry},
            ProbeAnswerBody{"127.22.1.2", 7, 1},
            BeaconBody{entry, 5, milliseconds(10), version, true, {line}},
            SummaryBody{{line}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(Parts)

BOOST_AUTO_TEST_CASE(tree_anyRootAndSize_reachesEachNodeOnce)
{
    for (const unsigned n : {1U, 2U, 5U, 12U, 60U}) {
        const auto ranked = rankedHosts(n);
        for (const auto &root : ranked) {
            std::map<std::string, unsigned> copies;
            BOOST_TEST(reached(ranked, root.host, root.host, 4, copies) == n);
            BOOST_TEST(copies.size() == n - 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(membership_leavingThenLateRefutation_staysLeavingUntilReplaced)
{
    Membership members({"127.22.1.1", 7400, "centre-1", "bookdesk", 1, 0, MemberState::Alive});
    MemberEntry entry{"127.22.1.2", 7400, "centre-1", "bookdesk", 7, 0, MemberState::Leaving};
    members.merge(Begin, entry);
    entry.state = MemberState::Alive;
    entry.refutation = 5;
    BOOST_TEST(!members.merge(Begin, entry).has_value());
    entry.incarnation = 8;
    BOOST_TEST(members.merge(Begin, entry).has_value());
}

BOOST_AUTO_TEST_CASE(tree_rootNotInList_stillReachesAll)
{
    const auto ranked = rankedHosts(12);
    std::map<std::string, unsigned> copies;
    BOOST_TEST(reached(ranked, "127.22.9.9", "127.22.9.9", 4, copies) == 13U);
}

BOOST_AUTO_TEST_CASE(digest_oneKeyDiffers_onlyItsBucketIsListed)
{
    std::vector<KeyVersions> ours;
    for (unsigned i = 0; i < 400; ++i) {
        ours.push_back({"service/s" + std::to_string(i), {1, i + 1}, {1, i + 1}});
    }
    auto theirs = ours;
    theirs[7].newestValid = Version{1, 500};
    theirs[7].newest = Version{1, 500};
    const auto buckets = differing(recordBuckets(ours), recordBuckets(theirs));
    BOOST_TEST(buckets.size() == 1U);
    BOOST_TEST(lacking(keysOf(ours, buckets), keysOf(theirs, buckets)) == std::vector<std::string>{"service/s7"});
    BOOST_TEST(lacking(keysOf(theirs, buckets), keysOf(ours, buckets)).empty());
}

BOOST_AUTO_TEST_CASE(digest_newestValidMissing_isLacking)
{
    const std::vector<KeyVersions> ours{{"profile/desk", {1, 2}, {}}};
    const std::vector<KeyVersions> theirs{{"profile/desk", {1, 2}, {1, 1}}};
    BOOST_TEST(lacking(ours, theirs).size() == 1U);
}

BOOST_AUTO_TEST_CASE(callBudget_wholeFleetAsksAtOnce_staysUnderPlatformRate)
{
    constexpr unsigned Nodes = 2'800;
    constexpr unsigned PlatformRate = 2'000; // calls a second
    std::vector<CallBudget> fleet;
    for (unsigned i = 0; i < Nodes; ++i) {
        fleet.emplace_back(PlatformRate, 0.5, i);
    }
    BOOST_TEST(busiestSecond(fleet, Begin, seconds(4)) <= PlatformRate);
    for (auto &budget : fleet) {
        budget.setHosts(Nodes);
    }
    BOOST_TEST(busiestSecond(fleet, Begin + seconds(60), seconds(10)) <= PlatformRate);
}

BOOST_AUTO_TEST_CASE(callBudget_refused_waitsForRetryAfter)
{
    CallBudget budget(2'000, 0.5, 1);
    budget.setHosts(4);
    TimePoint now = Begin;
    while (!budget.take(now)) {
        now += milliseconds(1);
    }
    budget.refused(now, seconds(3));
    const TimePoint refusedAt = now;
    while (!budget.take(now)) {
        now += milliseconds(1);
    }
    BOOST_TEST((now - refusedAt >= seconds(3)));
    BOOST_TEST((now - refusedAt <= seconds(7)));
}

BOOST_AUTO_TEST_CASE(platformQuestions_restoredPlatform_isReadFromTheStart)
{
    PlatformQuestions questions(2'000, 0.5, 1);
    questions.onHostList(Begin, 4);
    questions.onConfigPage(Begin, ConfigPage{1, 42, true, false, {}, {}});
    TimePoint now = Begin + seconds(1);
    PlatformQuestions::Question question;
    for (; question.kind == PlatformQuestions::Kind::None; now += milliseconds(10)) {
        question = questions.next(now, PlatformQuestions::Role::FirstReader, true);
    }
    BOOST_TEST(question.after == 42U);
    questions.onConfigPage(now, ConfigPage{2, 50, false, false, {}, {}});
    for (question = {}; question.kind == PlatformQuestions::Kind::None; now += milliseconds(10)) {
        question = questions.next(now, PlatformQuestions::Role::FirstReader, true);
    }
    BOOST_TEST(question.after == 0U);
    BOOST_TEST(question.wait.count() == 0);
}

BOOST_AUTO_TEST_CASE(readers_noBeaconThoughAllSeemAlive_nextRankTakesOverAndGivesBack)
{
    const auto ranked = rankedHosts(12);
    const auto entry = [](const std::string &host) { return MemberEntry{host, 7400, "centre-1", "bookdesk", 1, 0, MemberState::Alive}; };
    Readers next(3, entry(ranked[3].host));
    Readers last(3, entry(ranked[11].host));
    next.start(Begin);
    last.start(Begin);
    BOOST_TEST(!next.isReader(Begin + BeaconLimit, ranked));
    BOOST_TEST(next.isReader(Begin + BeaconLimit + 2 * TakeoverStep, ranked));
    BOOST_TEST(!last.isReader(Begin + BeaconLimit + 2 * TakeoverStep, ranked));
    BeaconBody beacon{entry(ranked[0].host), 1, milliseconds(0), {}, true, {}};
    const TimePoint later = Begin + seconds(3);
    BOOST_TEST(next.onBeacon(later, beacon));
    BOOST_TEST(!next.onBeacon(later, beacon));
    BOOST_TEST(!next.isReader(later, ranked));
}

BOOST_AUTO_TEST_CASE(readers_platformSilentToAll_fewMoreRanksTry)
{
    const auto ranked = rankedHosts(12);
    const auto entry = [](const std::string &host) { return MemberEntry{host, 7400, "centre-1", "bookdesk", 1, 0, MemberState::Alive}; };
    Readers next(3, entry(ranked[3].host));
    Readers last(3, entry(ranked[11].host));
    next.start(Begin);
    last.start(Begin);
    const TimePoint later = Begin + PlatformLimit + seconds(2);
    for (Readers *readers : {&next, &last}) {
        readers->onBeacon(later, {entry(ranked[0].host), 1, PlatformLimit + seconds(1), {}, true, {}});
    }
    BOOST_TEST(next.isReader(later, ranked));
    BOOST_TEST(!last.isReader(later, ranked));
}

BOOST_AUTO_TEST_CASE(largeValue_chunksInOrder_givesWholeValue)
{
    const std::string value(100'000, 'x');
    LargeValues large;
    const Announcement announcement{"profile/large", {1, 5}, static_cast<std::uint32_t>(value.size())};
    auto next = large.want(Begin, Endpoint{"127.22.1.2", 7400}, "127.22.1.1", announcement);
    std::optional<LargeValues::Done> done;
    while (next) {
        const auto offset = next->body.offset;
        const ChunkBody chunk{next->body.key, next->body.version, offset, announcement.size, value.substr(offset, ChunkBytes)};
        std::tie(next, done) = large.onChunk(Begin, chunk);
    }
    BOOST_REQUIRE(done.has_value());
    BOOST_TEST((done->record.value == value));
}

BOOST_AUTO_TEST_CASE(codec_everyBody_comesBackTheSame)
{
    for (const auto &body : bodies()) {
        const std::string bytes = encodeControl(sample(body));
        const auto decoded = valueOrError([&] { return decodeControl(bytes); });
        const auto *message = std::get_if<ControlMessage>(&decoded);
        BOOST_REQUIRE(message != nullptr);
        BOOST_TEST(message->body.index() == body.index());
        BOOST_TEST((message->sender == sample(body).sender));
        BOOST_TEST((encodeControl(*message) == bytes));
    }
}

BOOST_AUTO_TEST_CASE(codec_cutOrChangedBytes_neverReadBeyond)
{
    std::mt19937_64 random(7);
    for (const auto &body : bodies()) {
        const std::string bytes = encodeControl(sample(body));
        for (std::size_t n = 0; n < bytes.size() / 2; ++n) {
            const auto decoded = valueOrError([&] { return decodeControl(bytes.substr(0, n)); });
            BOOST_TEST(std::holds_alternative<Error>(decoded));
        }
        for (unsigned i = 0; i < 2'000; ++i) {
            std::string changed = bytes;
            changed[random() % changed.size()] = static_cast<char>(random());
            valueOrError([&] { return decodeControl(changed); });
        }
    }
}

BOOST_AUTO_TEST_CASE(codec_tooManyMembers_refused)
{
    const MemberEntry entry{"127.22.1.2", 7400, "centre-1", "bookdesk", 7, 0, MemberState::Alive};
    const std::vector<MemberEntry> many(MaxMembersPerMessage + 1, entry);
    const std::string bytes = encodeControl(sample(MemberNewsBody{"127.22.1.1", many}));
    const auto decoded = valueOrError([&] { return decodeControl(bytes); });
    const auto *error = std::get_if<Error>(&decoded);
    BOOST_REQUIRE(error != nullptr);
    BOOST_TEST((error->kind == ErrorKind::InvalidFrame));
}

BOOST_AUTO_TEST_CASE(questions_watchIsOut_hostListIsStillReadInTime)
{
    PlatformQuestions questions(2'000, 0.5, 1);
    TimePoint now{seconds(1'000)};
    questions.setHosts(9);
    questions.onHostList(now, 9);
    bool watching = false;
    Duration longest{0};
    TimePoint lastRead = now;
    for (const auto end = now + seconds(20); now < end; now += milliseconds(50)) {
        const auto question = questions.next(now, PlatformQuestions::Role::FirstReader, true);
        watching = watching || question.kind == PlatformQuestions::Kind::Config;
        if (question.kind == PlatformQuestions::Kind::Hosts) {
            longest = std::max(longest, now - lastRead);
            lastRead = now;
            questions.onHostList(now, 9);
        }
        if (watching && now - lastRead > seconds(14)) {
            break;
        }
    }
    BOOST_TEST(watching);
    BOOST_TEST((longest > Duration{0}));
    BOOST_TEST((longest < seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
