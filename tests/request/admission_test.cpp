#include "request/decisions.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Fescuenotch;
using Verdict = AdmissionResult::Verdict;

namespace {

struct AdmissionFixture {
    explicit AdmissionFixture(unsigned slots = 4, unsigned queueLimit = 8)
    {
        AdmissionSettings settings;
        settings.slots = slots;
        settings.queueLimit = queueLimit;
        admission = makeAdmission(settings);
    }

    AdmissionResult offer(RequestClass requestClass = RequestClass::Read, Duration remaining = seconds(1))
    {
        return admission->offer(now, {nextId++, requestClass, now + remaining});
    }
    /// Completes requests of a class until their mean service time is about `service`.
    void trainServiceTime(RequestClass requestClass, Duration service)
    {
        for (int n = 0; n < 50; ++n) {
            const auto id = nextId;
            BOOST_REQUIRE(offer(requestClass, seconds(100)).verdict == Verdict::Start);
            admission->finished(now, id, service, false);
        }
    }

    TimePoint now = TimePoint(seconds(1'000));
    TicketId nextId = 1;
    std::unique_ptr<Admission> admission;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionSuite, AdmissionFixture)

BOOST_AUTO_TEST_CASE(offer_allSlotsInUse_waitsAndStartsInOrderOfClassThenDeadline)
{
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer().verdict == Verdict::Start);
    }
    BOOST_REQUIRE(offer(RequestClass::Write, milliseconds(500)).verdict == Verdict::Wait); // 5
    BOOST_REQUIRE(offer(RequestClass::Lookup, milliseconds(900)).verdict == Verdict::Wait); // 6
    BOOST_REQUIRE(offer(RequestClass::Lookup, milliseconds(400)).verdict == Verdict::Wait); // 7
    BOOST_TEST(admission->finished(now, 1, milliseconds(1), false).started == std::vector<TicketId>{7}, boost::test_tools::per_element());
    BOOST_TEST(admission->finished(now, 2, milliseconds(1), false).started == std::vector<TicketId>{6}, boost::test_tools::per_element());
    BOOST_TEST(admission->finished(now, 3, milliseconds(1), false).started == std::vector<TicketId>{5}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(offer_randomLoad_staysWithinSlotsAndQueueAndLosesNoTicket)
{
    std::mt19937 random(7);
    std::vector<TicketId> running;
    std::size_t waiting = 0;
    const auto apply = [&](const AdmissionChanges &changes) {
        running.insert(running.end(), changes.started.begin(), changes.started.end());
        waiting -= changes.started.size() + changes.refused.size();
    };
    for (int n = 0; n < 20'000; ++n) {
        now += microseconds(random() % 2'000);
        const auto id = nextId;
        if (random() % 2 == 0) {
            const auto result = offer(static_cast<RequestClass>(random() % 4), milliseconds(1 + random() % 50));
            if (result.verdict == Verdict::Start) {
                running.push_back(id);
            }
            waiting += result.verdict == Verdict::Wait ? 1 : 0;
        } else if (!running.empty()) {
            const auto at = random() % running.size();
            const auto finishedId = running[at];
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
            apply(admission->finished(now, finishedId, milliseconds(random() % 20), random() % 10 == 0));
        } else {
            apply(admission->onTick(now));
        }
        BOOST_REQUIRE(running.size() <= 4U);
        BOOST_REQUIRE(admission->load().inUse == running.size());
        BOOST_REQUIRE(admission->load().queued == waiting);
        BOOST_REQUIRE(waiting <= 8U);
    }
}

BOOST_AUTO_TEST_CASE(offer_expectedWaitExceedsDeadline_isRefusedAtOnceWithRetryAfter)
{
    trainServiceTime(RequestClass::Read, seconds(2));
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer(RequestClass::Read, seconds(10)).verdict == Verdict::Start);
    }
    const auto result = offer(RequestClass::Read, seconds(1));
    BOOST_TEST((result.verdict == Verdict::Refuse));
    BOOST_TEST((result.reason == Reason::WaitTooLong));
    BOOST_TEST(result.retryAfter >= milliseconds(1'000));
    BOOST_TEST((offer(RequestClass::Read, seconds(30)).verdict == Verdict::Wait));
}

BOOST_AUTO_TEST_CASE(waiting_remainingTimeBelowServiceTime_isRefusedInsteadOfStarted)
{
    trainServiceTime(RequestClass::Read, milliseconds(50));
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer(RequestClass::Read, seconds(10)).verdict == Verdict::Start);
    }
    BOOST_REQUIRE(offer(RequestClass::Read, milliseconds(400)).verdict == Verdict::Wait);
    now += milliseconds(360);
    const auto changes = admission->onTick(now);
    BOOST_REQUIRE(changes.refused.size() == 1U);
    BOOST_TEST((changes.refused[0].second.reason == Reason::WaitTooLong));
}

BOOST_AUTO_TEST_CASE(offer_expectedWaitExceedsHalfOfSlack_isRefusedWithTimeForAnotherTarget)
{
    trainServiceTime(RequestClass::Read, milliseconds(400));
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer(RequestClass::Read, seconds(10)).verdict == Verdict::Start);
    }
    unsigned waiting = 0;
    while (offer(RequestClass::Read, milliseconds(1'000)).verdict == Verdict::Wait) {
        ++waiting;
    }
    BOOST_TEST(waiting == 2U); // each adds 100 ms to the expected wait; the slack is 600 ms and half of it may be spent waiting
}

BOOST_AUTO_TEST_CASE(lookup_bulkIsSlow_isNotRefusedForBulkServiceTimes)
{
    trainServiceTime(RequestClass::Lookup, milliseconds(5));
    trainServiceTime(RequestClass::Bulk, seconds(20));
    BOOST_REQUIRE(offer(RequestClass::Bulk, seconds(60)).verdict == Verdict::Start);
    BOOST_REQUIRE(offer(RequestClass::Bulk, seconds(60)).verdict == Verdict::Start);
    BOOST_REQUIRE(offer(RequestClass::Lookup).verdict == Verdict::Start);
    BOOST_REQUIRE(offer(RequestClass::Lookup).verdict == Verdict::Start);
    BOOST_TEST((offer(RequestClass::Lookup, milliseconds(300)).verdict == Verdict::Wait));
}

BOOST_AUTO_TEST_CASE(bulk_shareInUse_waitsWhileOtherClassesStart)
{
    BOOST_REQUIRE(offer(RequestClass::Bulk).verdict == Verdict::Start);
    BOOST_REQUIRE(offer(RequestClass::Bulk).verdict == Verdict::Start);
    BOOST_TEST((offer(RequestClass::Bulk).verdict == Verdict::Wait));
    BOOST_TEST((offer(RequestClass::Write).verdict == Verdict::Start));
    BOOST_TEST((offer(RequestClass::Bulk).verdict == Verdict::Wait));
    BOOST_TEST((offer(RequestClass::Bulk).reason == Reason::ClassLimit));
}

BOOST_AUTO_TEST_CASE(queue_fullForReads_stillAcceptsLookups)
{
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer().verdict == Verdict::Start);
    }
    while (offer(RequestClass::Read).verdict == Verdict::Wait) { }
    BOOST_TEST((offer(RequestClass::Read).reason == Reason::QueueFull));
    BOOST_TEST((offer(RequestClass::Lookup).verdict == Verdict::Wait));
}

BOOST_AUTO_TEST_CASE(waiting_deadlinePasses_isRefusedOnTick)
{
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer().verdict == Verdict::Start);
    }
    BOOST_REQUIRE(offer(RequestClass::Read, milliseconds(20)).verdict == Verdict::Wait);
    now += milliseconds(20);
    const auto changes = admission->onTick(now);
    BOOST_REQUIRE(changes.refused.size() == 1U);
    BOOST_TEST((changes.refused[0].second.reason == Reason::DeadlinePassed));
    BOOST_TEST(admission->load().queued == 0U);
}

BOOST_AUTO_TEST_CASE(target_sheds_slotLimitShrinksAndRecovers)
{
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer().verdict == Verdict::Start);
    }
    admission->finished(now, 1, Duration(0), true);
    BOOST_TEST(admission->load().slots == 2U);
    BOOST_TEST((offer(RequestClass::Read, seconds(60)).verdict == Verdict::Wait));
    now += seconds(5);
    BOOST_TEST((admission->onTick(now).started.size() == 1U));
    BOOST_TEST(admission->load().slots == 4U);
}

BOOST_AUTO_TEST_CASE(target_shedsAgainAfterRecovery_limitShrinksFromRecoveredValue)
{
    // Guards against a recovery by time that is not added to the limit: a second decrease would then start from the old, lower one.
    for (int n = 0; n < 4; ++n) {
        BOOST_REQUIRE(offer().verdict == Verdict::Start);
    }
    admission->finished(now, 1, Duration(0), true);
    admission->finished(now, 2, Duration(0), false);
    admission->finished(now, 3, Duration(0), false);
    now += seconds(60);
    admission->onTick(now);
    for (int n = 0; n < 3; ++n) {
        BOOST_REQUIRE(offer().verdict == Verdict::Start);
    }
    admission->finished(now, 4, Duration(0), true);
    BOOST_TEST(admission->load().slots == 2U);
}

BOOST_AUTO_TEST_CASE(target_cold_slotLimitRampsUpToAllSlots)
{
    admission->resize(now, 20);
    admission->onCold(now);
    admission->onTick(now);
    BOOST_TEST(admission->load().slots == 4U);
    now += seconds(5);
    admission->onTick(now);
    BOOST_TEST(admission->load().slots == 12U);
    now += seconds(5);
    admission->onTick(now);
    BOOST_TEST(admission->load().slots == 20U);
}

BOOST_AUTO_TEST_SUITE_END()
