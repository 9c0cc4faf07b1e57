#include "mesh/coldstart.h"

#include "mesh/admissionqueue.h"
#include "mesh/loadbalancer.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

constexpr double ColdRate = 18; ///< requests per second
constexpr milliseconds ColdTime{3'000};

struct ColdStartFixture {
    TimePoint now = TimePoint(seconds(1'000));
    ColdStart cold;
    TargetRecord record;

    ColdStartFixture()
    {
        record.id = "a";
        record.service = "desk";
        record.dataCentre = "one";
        record.address.host = "127.0.0.2";
        record.slots = 20;
        record.startedAtMs = 1;
        record.sequence = 1;
    }

    void configure(bool hasHealthPath = true)
    {
        cold.configure(now, {ColdTime, ColdRate, hasHealthPath});
    }

    void entry(milliseconds remaining)
    {
        ++record.sequence;
        record.coldRemaining = remaining;
        cold.onEntry(now, record);
    }

    void restartWithEntry(milliseconds remaining)
    {
        ++record.startedAtMs;
        entry(remaining);
    }

    /// A node that has found its target warm some time ago.
    void beWarm()
    {
        configure();
        probe(milliseconds(0));
        now += seconds(10);
    }

    void probe(milliseconds remaining)
    {
        BOOST_TEST_REQUIRE(cold.isProbeDue(now));
        cold.onProbeSent(now);
        cold.onProbeAnswer(now, remaining);
    }

    void answers(int n, milliseconds service)
    {
        for (; n > 0; --n) {
            cold.onAnswer(now, "read", service);
            now += milliseconds(20);
        }
    }

    bool isCold() const
    {
        return cold.rate(now).has_value();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdStartTest, ColdStartFixture)

/// Guards services without a cold rate against any limit or probe.
BOOST_AUTO_TEST_CASE(noColdRate_everyEvent_limitsAndProbesNothing)
{
    cold.configure(now, {ColdTime, 0, true});
    entry(milliseconds(3'000));
    cold.onLost(now);
    cold.requestCheck(now);
    answers(100, milliseconds(10));
    answers(100, milliseconds(100));
    BOOST_TEST(!isCold());
    BOOST_TEST(!cold.isProbeDue(now));
    BOOST_TEST((cold.nextChange(now) == TimePoint::max()));
}

BOOST_AUTO_TEST_CASE(entry_saysCold_isColdForThatTime)
{
    beWarm();
    restartWithEntry(milliseconds(2'000));
    BOOST_TEST(cold.rate(now).value() == ColdRate);
    BOOST_TEST((cold.nextChange(now) == now + seconds(2)));
    now += milliseconds(1'999);
    BOOST_TEST(isCold());
    now += milliseconds(1);
    BOOST_TEST(!isCold());
}

/// A statement that is relayed late must not make a warm target cold again.
BOOST_AUTO_TEST_CASE(entry_sameStatementAgain_doesNotExtendTheTime)
{
    beWarm();
    restartWithEntry(milliseconds(2'000));
    now += milliseconds(1'900);
    cold.onEntry(now, record);
    now += milliseconds(100);
    BOOST_TEST(!isCold());
}

BOOST_AUTO_TEST_CASE(nodeStart_entrySaysCold_noProbe)
{
    entry(milliseconds(2'000));
    configure();
    BOOST_TEST(isCold());
    BOOST_TEST(!cold.isProbeDue(now));
}

/// The entry may be of a process that ended just before.
BOOST_AUTO_TEST_CASE(nodeStart_entrySaysWarm_isColdUntilOneProbe)
{
    entry(milliseconds(0));
    configure();
    BOOST_TEST(isCold());
    probe(milliseconds(0));
    BOOST_TEST(!isCold());
    BOOST_TEST(!cold.isProbeDue(now + seconds(60)));
}

BOOST_AUTO_TEST_CASE(nodeStart_noHealthPathAndNoEntry_isColdForTheColdStart)
{
    configure(false);
    BOOST_TEST(isCold());
    BOOST_TEST(!cold.isProbeDue(now));
    now += ColdTime;
    BOOST_TEST(!isCold());
}

/// The entry of before the crash arrives 0.8 s after it and says that the target is warm.
BOOST_AUTO_TEST_CASE(lost_entryFromBeforeArrives_staysCold)
{
    beWarm();
    cold.onLost(now);
    now += milliseconds(800);
    entry(milliseconds(0));
    BOOST_TEST(isCold());
    now += milliseconds(300);
    entry(milliseconds(0));
    BOOST_TEST(!isCold());
}

BOOST_AUTO_TEST_CASE(lost_staysAway_isColdUntilTheColdStartAfterItsReturn)
{
    beWarm();
    cold.onLost(now);
    now += seconds(60);
    BOOST_TEST(isCold());
    cold.onAnswer(now, "read", milliseconds(10));
    now += ColdTime - milliseconds(1);
    BOOST_TEST(isCold());
    now += milliseconds(1);
    BOOST_TEST(!isCold());
}

BOOST_AUTO_TEST_CASE(healthAnswer_differsFromOlderEntry_healthAnswerHolds)
{
    beWarm();
    restartWithEntry(milliseconds(2'000));
    cold.requestCheck(now);
    probe(milliseconds(1'500));
    entry(milliseconds(2'000)); // written before the answer
    now += milliseconds(1'500);
    BOOST_TEST(!isCold());
}

/// A target may become cold again at any time, so an entry that cannot have been written before the answer holds.
BOOST_AUTO_TEST_CASE(healthAnswer_entrySaysMuchLonger_entryHolds)
{
    beWarm();
    cold.requestCheck(now);
    probe(milliseconds(0));
    now += milliseconds(500);
    entry(milliseconds(2'900));
    now += milliseconds(2'800);
    BOOST_TEST(isCold());
}

BOOST_AUTO_TEST_CASE(check_answerIsOutstanding_isColdUntilItIsThere)
{
    beWarm();
    cold.requestCheck(now);
    BOOST_TEST_REQUIRE(cold.isProbeDue(now));
    cold.onProbeSent(now);
    now += milliseconds(400);
    BOOST_TEST(isCold());
    BOOST_TEST(!cold.isProbeDue(now));
    cold.onProbeAnswer(now, milliseconds(2'500));
    now += milliseconds(2'499);
    BOOST_TEST(isCold());
    now += milliseconds(1);
    BOOST_TEST(!isCold());
}

BOOST_AUTO_TEST_CASE(answers_twiceAsSlow_oneProbeAndNoLimitBefore)
{
    beWarm();
    answers(100, milliseconds(10));
    BOOST_TEST(!cold.isProbeDue(now));
    answers(20, milliseconds(20));
    BOOST_TEST(!isCold());
    probe(milliseconds(2'800));
    BOOST_TEST(isCold());
    BOOST_TEST((cold.source() == ColdSource::HealthAnswer));
}

BOOST_AUTO_TEST_CASE(answers_threeInHundredTakeSevenTimesAsLong_noProbe)
{
    beWarm();
    for (int n = 0; n < 1'000; ++n) {
        cold.onAnswer(now, "read", milliseconds(n % 33 == 0 ? 70 : 10));
        now += milliseconds(20);
        BOOST_TEST_REQUIRE(!cold.isProbeDue(now));
    }
}

/// Probes have a price: slow phases of a warm target every 4 s may not cost one each.
BOOST_AUTO_TEST_CASE(answers_slowPhasesOfAWarmTarget_probesBecomeRare)
{
    beWarm();
    unsigned probes = 0;
    const auto end = now + seconds(240);
    while (now < end) {
        answers(170, milliseconds(10));
        for (int n = 0; n < 30; ++n) {
            answers(1, milliseconds(25));
            if (cold.isProbeDue(now)) {
                ++probes;
                cold.onProbeSent(now);
                cold.onProbeAnswer(now, milliseconds(0));
            }
        }
    }
    BOOST_TEST(probes >= 1U);
    BOOST_TEST(probes <= 10U);
}

BOOST_AUTO_TEST_CASE(probe_fails_isRepeatedMoreAndMoreRarely)
{
    beWarm();
    cold.onLost(now);
    unsigned probes = 0;
    for (const auto end = now + seconds(60); now < end; now += milliseconds(10)) {
        if (cold.isProbeDue(now)) {
            ++probes;
            cold.onProbeSent(now);
            cold.onProbeFailed(now);
        }
    }
    BOOST_TEST(probes >= 4U);
    BOOST_TEST(probes <= 7U);
}

BOOST_AUTO_TEST_CASE(coldRemaining_text_isReadAsMilliseconds)
{
    BOOST_TEST((parseColdRemaining("2400").value() == milliseconds(2'400)));
    BOOST_TEST((parseColdRemaining("0").value() == milliseconds(0)));
    BOOST_TEST((parseColdRemaining("1.2").value() == milliseconds(2)));
    for (const char *text : {"", "-1", "soon", "1e9", "nan", "12ms"}) {
        BOOST_TEST(!parseColdRemaining(text).has_value(), text);
    }
    // An absurd value must not limit a target for hours.
    beWarm();
    cold.requestCheck(now);
    probe(*parseColdRemaining("999999999"));
    now += seconds(61);
    BOOST_TEST(!isCold());
}

// ---- [queue] ----------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(queue_coldRateMakesRequestsWaitTooLong_refusesAsTargetCold)
{
    AdmissionQueueSettings settings;
    settings.slots = 20;
    AdmissionQueue queue(settings);
    queue.setRequestRate(now, ColdRate, Reason::TargetCold);
    AdmissionVerdict verdict;
    for (AdmissionId id = 1; id <= 40; ++id) {
        verdict = queue.offer(now, {id, "read", 2, now + milliseconds(300), now + milliseconds(800)});
    }
    BOOST_TEST((verdict.kind == AdmissionVerdict::Kind::Refuse));
    BOOST_TEST((verdict.reason == Reason::TargetCold));
    BOOST_TEST((verdict.retryAfter > milliseconds(0)));
}

/// Requests that the ended process has got must neither delay the next one nor leave a burst for it.
BOOST_AUTO_TEST_CASE(queue_targetReturns_startsWithEmptyLimiter)
{
    AdmissionQueueSettings settings;
    settings.slots = 20;
    AdmissionQueue queue(settings);
    queue.setRequestRate(now, ColdRate, Reason::TargetCold);
    for (int n = 0; n < 100; ++n) {
        queue.onResent(now);
    }
    queue.restartRequestRate(now);
    BOOST_TEST((queue.report(now).rateDelay == milliseconds(56)));
    now += seconds(10);
    queue.restartRequestRate(now);
    BOOST_TEST((queue.report(now).rateDelay == milliseconds(56)));
}

// ---- [load balancer] --------------------------------------------------------------------------------------------

struct ColdBalancerFixture : ColdStartFixture {
    LoadBalancer balancer{[] {
        LoadBalancerSettings settings;
        settings.dataCentre = "one";
        settings.seed = 5;
        return settings;
    }()};
    std::vector<TargetRecord> targets;

    ColdBalancerFixture()
    {
        targets = {record, record};
        targets[1].id = "b";
        targets[0].coldRemaining = milliseconds(2'500);
        balancer.onReachable("a");
        balancer.onReachable("b");
    }

    void learnEntries()
    {
        balancer.onEntries(now, targets, [](const std::string &) { return ColdRate; });
    }

    /// How many of 100 requests in a second target "a" gets.
    unsigned requestsToFirst()
    {
        unsigned n = 0;
        for (int sent = 0; sent < 100; ++sent, now += milliseconds(10)) {
            const auto target = balancer.choose(now, targets, {"read", milliseconds(300), {}});
            BOOST_TEST_REQUIRE(target.has_value());
            balancer.onSent(now, target->id, "read");
            balancer.onEnded(now, target->id, SendResult::Served);
            n += target->id == "a" ? 1 : 0;
        }
        return n;
    }
};

BOOST_FIXTURE_TEST_CASE(balancer_entrySaysColdAndNoReport_targetGetsItsColdRate, ColdBalancerFixture)
{
    TargetReport full; // the warm target is full, so that the cold one would be cheaper but for its rate
    full.running = 20;
    full.waiting = 10;
    full.limit = 20;
    full.meanServiceTime = milliseconds(50);
    balancer.onReport(now, "b", full);
    learnEntries();
    const auto n = requestsToFirst();
    BOOST_TEST(n >= 10U);
    BOOST_TEST(n <= ColdRate + 5);
}

BOOST_FIXTURE_TEST_CASE(balancer_reportAfterTheEntry_reportHolds, ColdBalancerFixture)
{
    learnEntries();
    now += milliseconds(10);
    TargetReport report;
    report.limit = 20;
    report.meanServiceTime = milliseconds(10);
    balancer.onReport(now, "a", report);
    balancer.onReport(now, "b", report);
    BOOST_TEST(requestsToFirst() >= 35U);
}

BOOST_FIXTURE_TEST_CASE(balancer_serviceWithoutColdRate_entryChangesNothing, ColdBalancerFixture)
{
    balancer.onEntries(now, targets, [](const std::string &) { return 0.0; });
    targets[1].coldRemaining = targets[0].coldRemaining;
    BOOST_TEST(requestsToFirst() >= 35U);
    BOOST_TEST(!balancer.isColdBeyond(now, targets, {"read", milliseconds(300), {}}, milliseconds(1), false));
}

BOOST_FIXTURE_TEST_CASE(balancer_allColdAndFull_waitIsKnownToExceedTheDeadline, ColdBalancerFixture)
{
    targets[1].coldRemaining = targets[0].coldRemaining;
    learnEntries();
    const BalancedRequest request{"read", milliseconds(300), {}};
    BOOST_TEST(!balancer.isColdBeyond(now, targets, request, milliseconds(800), false));
    for (int n = 0; n < 20; ++n) {
        balancer.onSent(now, "a", "read");
        balancer.onSent(now, "b", "read");
    }
    BOOST_TEST(balancer.isColdBeyond(now, targets, request, milliseconds(800), false));
    BOOST_TEST(!balancer.isColdBeyond(now, targets, request, milliseconds(2'000), false));
    BOOST_TEST((balancer.expectedWait(now, targets) >= milliseconds(1'000)));
    targets[1].coldRemaining = milliseconds(0); // a warm one is left
    ++targets[1].sequence;
    learnEntries();
    BOOST_TEST(!balancer.isColdBeyond(now, targets, request, milliseconds(800), false));
}

/// The queue serves it ahead of those that wait, so its wait is not known to be too long.
BOOST_FIXTURE_TEST_CASE(balancer_highestPriorityAndOthersWait_isNotRefused, ColdBalancerFixture)
{
    learnEntries();
    now += milliseconds(10);
    TargetReport report;
    report.limit = 20;
    report.waiting = 18;
    report.requestRate = ColdRate;
    report.rateDelay = milliseconds(1'050);
    balancer.onReport(now, "a", report);
    balancer.onReport(now, "b", report);
    const BalancedRequest request{"read", milliseconds(300), {}};
    BOOST_TEST(balancer.isColdBeyond(now, targets, request, milliseconds(800), false));
    BOOST_TEST(!balancer.isColdBeyond(now, targets, request, milliseconds(800), true));
}

/// Guards against targets that are taken as cold for good: refused requests would never correct the service time.
BOOST_FIXTURE_TEST_CASE(balancer_serviceTimeExceedsTheDeadlineAndNoneIsCold_isNotColdBeyond, ColdBalancerFixture)
{
    targets[0].coldRemaining = milliseconds(0);
    learnEntries();
    TargetReport report;
    report.limit = 20;
    report.meanServiceTime = milliseconds(2'000);
    balancer.onReport(now, "a", report);
    balancer.onReport(now, "b", report);
    BOOST_TEST(!balancer.isColdBeyond(now, targets, {"read", milliseconds(300), {}}, milliseconds(800), false));
}

BOOST_AUTO_TEST_SUITE_END()
