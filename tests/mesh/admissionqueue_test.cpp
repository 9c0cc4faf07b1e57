// Sections: [fixture] [slots and queue] [load] [rate]
#include "mesh/admissionqueue.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Fescuenotch;

namespace {

// ---- [fixture] --------------------------------------------------------------------------------------------------

struct QueueFixture {
    TimePoint now = TimePoint(seconds(1'000));
    AdmissionId nextId = 1;

    AdmissionRequest makeRequest(const std::string &kind, unsigned priority, milliseconds goal, milliseconds deadline)
    {
        return {nextId++, kind, priority, now + goal, now + deadline};
    }

    AdmissionRequest read(milliseconds goal = milliseconds(300), milliseconds deadline = milliseconds(800))
    {
        return makeRequest("read", 2, goal, deadline);
    }

    AdmissionRequest filing(milliseconds goal = milliseconds(400), milliseconds deadline = milliseconds(1'000))
    {
        return makeRequest("filing", 1, goal, deadline);
    }

    static AdmissionQueueSettings slots(unsigned n)
    {
        AdmissionQueueSettings settings;
        settings.slots = n;
        return settings;
    }

    /// Lets the queue measure the service time of a kind of request.
    void learnServiceTime(AdmissionQueue &queue, const std::string &kind, milliseconds service)
    {
        for (int n = 0; n < 40; ++n) {
            const auto t = makeRequest(kind, 1, seconds(10), seconds(20));
            queue.offer(now, t);
            queue.finished(now, t.id, service);
        }
    }

    /// Of a target with 20 slots that states this rate limit, in requests per second.
    AdmissionQueue queueWithRate(double perSecond)
    {
        AdmissionQueue queue(slots(20));
        learnServiceTime(queue, "read", milliseconds(20));
        queue.setRequestRate(now, perSecond);
        return queue;
    }
};

using Kind = AdmissionVerdict::Kind;

struct ServedShares {
    double calls = 0; ///< 0 to 1
    double reads = 0; ///< 0 to 1
};

/// 30 s of a target with 6 slots that gets calls worth 2.4 slots and reads worth 7.7. A refused read is offered up to
/// `offersPerRead` times.
class CalledService
{
public:
    CalledService(QueueFixture &fixture, unsigned callPriority)
        : m_fixture(fixture)
        , m_callPriority(callPriority)
        , m_queue(QueueFixture::slots(6))
    {
        fixture.learnServiceTime(m_queue, "call", CallService);
        fixture.learnServiceTime(m_queue, "read", ReadService);
    }

    ServedShares run(unsigned offersPerRead)
    {
        auto &now = m_fixture.now;
        const auto until = now + seconds(30);
        while (now < until) {
            now += draw(1 / (2 * ArrivalsPerSecond));
            endUntil(now);
            std::bernoulli_distribution(0.5)(m_random) ? offerCall() : offerRead(offersPerRead);
        }
        return {m_served["call"] / m_arrived["call"], m_served["read"] / m_arrived["read"]};
    }

private:
    static constexpr milliseconds CallService{30};
    static constexpr milliseconds ReadService{96};
    static constexpr double ArrivalsPerSecond = 80; ///< of each kind

    Duration draw(double meanSeconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exponential_distribution<>(1 / meanSeconds)(m_random)));
    }

    bool offer(const AdmissionRequest &request)
    {
        m_kinds[request.id] = request.kind;
        const auto verdict = m_queue.offer(m_fixture.now, request).kind;
        if (verdict == Kind::Start) {
            start(request.id, m_fixture.now);
        }
        return verdict != Kind::Refuse;
    }

    void offerCall()
    {
        ++m_arrived["call"];
        offer(m_fixture.makeRequest("call", m_callPriority, milliseconds(120), milliseconds(400)));
    }

    void offerRead(unsigned offers)
    {
        ++m_arrived["read"];
        for (unsigned n = 0; n < offers; ++n) {
            if (offer(m_fixture.makeRequest("read", 2, milliseconds(400), milliseconds(1'500)))) {
                return;
            }
        }
    }

    void start(AdmissionId id, TimePoint at)
    {
        const auto &kind = m_kinds[id];
        const auto service = draw(std::chrono::duration<double>(kind == "call" ? CallService : ReadService).count());
        m_ends.emplace(at + service, std::pair(id, service));
        ++m_served[kind];
    }

    void endUntil(TimePoint now)
    {
        while (!m_ends.empty() && m_ends.begin()->first <= now) {
            const auto [at, ended] = *m_ends.begin();
            m_ends.erase(m_ends.begin());
            startAll(m_queue.finished(at, ended.first, ended.second), at);
        }
        startAll(m_queue.tick(now), now);
    }

    void startAll(const QueueChanges &changes, TimePoint at)
    {
        for (const auto id : changes.started) {
            start(id, at);
        }
    }

    QueueFixture &m_fixture;
    unsigned m_callPriority;
    AdmissionQueue m_queue;
    std::minstd_rand m_random{7};
    std::map<AdmissionId, std::string> m_kinds;
    std::map<std::string, double> m_arrived; ///< by kind
    std::map<std::string, double> m_served; ///< by kind
    std::multimap<TimePoint, std::pair<AdmissionId, Duration>> m_ends;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionQueueTest, QueueFixture)

// ---- [slots and queue] ------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(offer_slotFree_starts)
{
    AdmissionQueue queue(slots(2));
    BOOST_TEST((queue.offer(now, read()).kind == Kind::Start));
    BOOST_TEST(queue.running() == 1U);
}

BOOST_AUTO_TEST_CASE(offer_slotsInUseAndGoalReachable_waitsAndStartsWhenSlotIsFree)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(50));
    const auto first = read();
    const auto second = read();
    queue.offer(now, first);
    BOOST_TEST((queue.offer(now, second).kind == Kind::Wait));
    const auto changes = queue.finished(now + milliseconds(50), first.id, milliseconds(50));
    BOOST_REQUIRE(changes.started.size() == 1U);
    BOOST_TEST(changes.started.front() == second.id);
}

BOOST_AUTO_TEST_CASE(offer_waitWouldMissGoal_isRefusedAtOnceWithRetryAfter)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(200));
    queue.offer(now, read());
    const auto verdict = queue.offer(now, read(milliseconds(300)));
    BOOST_TEST((verdict.kind == Kind::Refuse));
    BOOST_TEST((verdict.retryAfter > milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(offer_deadlineCannotBeMet_isRefusedDespiteFreeSlots)
{
    AdmissionQueue queue(slots(4));
    learnServiceTime(queue, "read", milliseconds(200));
    BOOST_TEST((queue.offer(now, read(milliseconds(50), milliseconds(100))).kind == Kind::Refuse));
}

/// The entry node of a waiting request stops: the request is refused as soon as it is known that its time no longer suffices.
BOOST_AUTO_TEST_CASE(shortenDeadline_waitingRequestTooLate_isRefused)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(100));
    queue.offer(now, read());
    const auto waiting = read(milliseconds(900), milliseconds(2'000));
    BOOST_REQUIRE((queue.offer(now, waiting).kind == Kind::Wait));
    BOOST_TEST(queue.shortenDeadline(now, waiting.id, now + milliseconds(500)).refused.empty());
    const auto changes = queue.shortenDeadline(now, waiting.id, now + milliseconds(50));
    BOOST_REQUIRE(changes.refused.size() == 1U);
    BOOST_TEST(changes.refused[0].first == waiting.id);
    BOOST_TEST((changes.refused[0].second.reason == Reason::WaitTooLong));
    BOOST_TEST(queue.waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(shortenDeadline_laterDeadline_changesNothing)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(100));
    queue.offer(now, read());
    const auto waiting = read(milliseconds(900), milliseconds(2'000));
    BOOST_REQUIRE((queue.offer(now, waiting).kind == Kind::Wait));
    const auto before = queue.nextTick();
    queue.shortenDeadline(now, waiting.id, now + seconds(5));
    BOOST_TEST((queue.nextTick() == before));
}

BOOST_AUTO_TEST_CASE(waiting_higherPriorityBehindLower_startsFirst)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(20));
    learnServiceTime(queue, "filing", milliseconds(20));
    const auto running = read();
    queue.offer(now, running);
    queue.offer(now, read());
    const auto urgent = filing();
    queue.offer(now, urgent);
    const auto changes = queue.finished(now, running.id, milliseconds(20));
    BOOST_REQUIRE(changes.started.size() == 1U);
    BOOST_TEST(changes.started.front() == urgent.id);
}

BOOST_AUTO_TEST_CASE(tick_waitExpired_refuses)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(50));
    queue.offer(now, read());
    const auto waiting = read();
    queue.offer(now, waiting);
    BOOST_TEST((queue.nextTick() == waiting.goal - milliseconds(50)));
    const auto changes = queue.tick(queue.nextTick());
    BOOST_REQUIRE(changes.refused.size() == 1U);
    BOOST_TEST(changes.refused.front().first == waiting.id);
}

BOOST_AUTO_TEST_CASE(cancel_waitingRequest_isNeverStarted)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(50));
    const auto running = read();
    const auto waiting = read();
    queue.offer(now, running);
    queue.offer(now, waiting);
    queue.cancel(now, waiting.id);
    BOOST_TEST(queue.finished(now, running.id, milliseconds(50)).started.empty());
}

BOOST_AUTO_TEST_CASE(resize_moreSlots_startsWaitingRequest)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(50));
    queue.offer(now, read());
    queue.offer(now, read());
    BOOST_TEST(queue.resize(now, 3).started.size() == 1U);
}

// ---- [load] -----------------------------------------------------------------------------------------------------

/// A target rejects half of its requests at random, regardless of load. Such a target must not lose most of its slots.
BOOST_AUTO_TEST_CASE(onRejected_halfOfRequestsAtRandom_keepsHalfOfTheSlots)
{
    AdmissionQueue queue(slots(18));
    learnServiceTime(queue, "read", milliseconds(150));
    std::mt19937 random(7);
    std::bernoulli_distribution rejects(0.55);
    for (int n = 0; n < 2'000; ++n) {
        const auto t = read();
        if (queue.offer(now, t).kind == Kind::Start) {
            const bool rejected = rejects(random);
            if (rejected) {
                queue.onRejected(now);
            }
            queue.finished(now, t.id, rejected ? Duration(0) : milliseconds(150));
        }
    }
    BOOST_TEST(queue.limit() >= 9U);
}

/// A target with free slots rejects half of its requests at random. Guards against sending their callers away for so long that they
/// miss their goal of 400 ms, although the next request is taken as likely as any.
BOOST_AUTO_TEST_CASE(retryAfterRejection_halfOfRequestsAtRandom_leavesTimeForTheGoal)
{
    AdmissionQueue queue(slots(6));
    learnServiceTime(queue, "read", milliseconds(100));
    std::minstd_rand random(11);
    milliseconds sum{0};
    constexpr int Requests = 200;
    for (int n = 0; n < Requests; ++n) {
        now += milliseconds(20);
        const auto t = read();
        queue.offer(now, t);
        const bool rejected = std::bernoulli_distribution(0.5)(random);
        if (rejected) {
            queue.onRejected(now);
        }
        queue.finished(now, t.id, rejected ? milliseconds(0) : milliseconds(100));
        sum += queue.retryAfterRejection(now);
    }
    BOOST_TEST((sum / Requests <= milliseconds(250)));
}

/// Guards against callers who return to a target that takes nothing as fast as to one with room.
BOOST_AUTO_TEST_CASE(retryAfterRejection_everyRequest_isOneSecond)
{
    AdmissionQueue queue(slots(6));
    for (int n = 0; n < 30; ++n) {
        now += milliseconds(20);
        const auto t = read();
        queue.offer(now, t);
        queue.onRejected(now);
        queue.finished(now, t.id, milliseconds(0));
    }
    BOOST_TEST((queue.retryAfterRejection(now) == milliseconds(1'000)));
}

/// A target accepts fewer requests than it states and rejects the rest. The limit must follow its real capacity.
BOOST_AUTO_TEST_CASE(onRejected_everyRequestAboveSix_limitDropsTowardsSix)
{
    constexpr unsigned Capacity = 6;
    AdmissionQueue queue(slots(18));
    for (int round = 0; round < 20; ++round) {
        std::vector<AdmissionRequest> taken;
        while (queue.running() < queue.limit()) {
            auto t = read();
            queue.offer(now, t);
            taken.push_back(t);
        }
        for (std::size_t n = taken.size(); n > Capacity; --n) {
            queue.onRejected(now);
            queue.finished(now, taken[n - 1].id, Duration(0));
        }
        for (std::size_t n = 0; n < std::min<std::size_t>(taken.size(), Capacity); ++n) {
            queue.finished(now, taken[n].id, milliseconds(100));
        }
    }
    BOOST_TEST(queue.limit() <= 12U);
}

/// Sustained load of 1.5 times the capacity. Without early refusals the queue grows until every response is late.
BOOST_AUTO_TEST_CASE(overload_oneAndAHalfTimesCapacity_servesInTimeAndRefusesEarly)
{
    constexpr unsigned Slots = 10;
    constexpr milliseconds Service{100};
    constexpr milliseconds Goal{300};
    AdmissionQueue queue(slots(Slots));
    learnServiceTime(queue, "read", Service);
    std::multimap<TimePoint, AdmissionId> ends;
    std::map<AdmissionId, TimePoint> arrivedAt;
    unsigned inTime = 0;
    unsigned late = 0;
    unsigned refusedLate = 0;
    const auto start = [&](AdmissionId id, TimePoint at) { ends.emplace(at + Service, id); };
    const auto apply = [&](const QueueChanges &changes, TimePoint at) {
        for (const auto id : changes.started) {
            start(id, at);
        }
        for (const auto &[id, verdict] : changes.refused) {
            refusedLate += at - arrivedAt[id] > Goal / 2 ? 1 : 0;
        }
    };
    const auto until = now + seconds(10);
    const auto gap = std::chrono::duration_cast<Duration>(Service / (Slots * 1.5));
    for (auto at = now; at < until; at += gap) {
        while (!ends.empty() && ends.begin()->first <= at) {
            const auto [endAt, id] = *ends.begin();
            ends.erase(ends.begin());
            (endAt - arrivedAt[id] <= Goal ? inTime : late) += 1;
            apply(queue.finished(endAt, id, Service), endAt);
        }
        apply(queue.tick(at), at);
        now = at;
        const auto t = read(Goal, milliseconds(800));
        arrivedAt[t.id] = at;
        if (queue.offer(at, t).kind == Kind::Start) {
            start(t.id, at);
        }
    }
    const auto capacity = static_cast<unsigned>(Slots * seconds(10) / Service);
    BOOST_TEST(inTime >= capacity * 95 / 100);
    BOOST_TEST(late <= capacity * 2 / 100);
    BOOST_TEST(refusedLate == 0U);
}

/// Retries after a refusal have little time left to their goal. They must not displace requests that can still meet their
/// goal, and must not wait long only to be refused again.
BOOST_AUTO_TEST_CASE(lateRequests_targetFull_fewWaitForAQuarterOfTheirTime)
{
    AdmissionQueue queue(slots(2));
    learnServiceTime(queue, "read", milliseconds(100));
    queue.offer(now, read(seconds(1), seconds(2)));
    queue.offer(now, read(seconds(1), seconds(2)));
    unsigned waiting = 0;
    for (int n = 0; n < 20; ++n) {
        waiting += queue.offer(now, read(milliseconds(50), milliseconds(900))).kind == Kind::Wait ? 1 : 0;
    }
    BOOST_TEST(waiting == AdmissionQueueSettings{}.maxLateWaiting);
    BOOST_TEST((queue.nextTick() <= now + milliseconds(200)));
    BOOST_TEST(queue.tick(queue.nextTick()).refused.size() == waiting);
}

/// High-priority requests alone use the whole target. A kind of lower priority must still get a share.
BOOST_AUTO_TEST_CASE(starvedKind_higherPriorityFillsTarget_getsAShare)
{
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", milliseconds(10));
    learnServiceTime(queue, "filing", milliseconds(10));
    std::optional<AdmissionId> running;
    std::map<AdmissionId, std::string> kindOf;
    std::map<std::string, unsigned> started;
    const auto apply = [&](const QueueChanges &changes) {
        for (const auto id : changes.started) {
            running = id;
            ++started[kindOf[id]];
        }
    };
    for (int n = 0; n < 2'000; ++n) {
        for (const auto &t : {filing(milliseconds(60)), filing(milliseconds(60)), read(milliseconds(60))}) {
            kindOf[t.id] = t.kind;
            if (queue.offer(now, t).kind == Kind::Start) {
                running = t.id;
                ++started[t.kind];
            }
        }
        now += milliseconds(10);
        if (running) {
            apply(queue.finished(now, *running, milliseconds(10)));
        }
    }
    BOOST_TEST(started["read"] * 8 >= started["filing"]);
}

/// A service is called by another one and has lost a part of its targets: callers' own requests alone exceed what is left. The
/// calls have the highest priority and a short goal. Each refused call wastes the work that its caller has already done, so they
/// must not be refused while requests of lower priority get slots.
BOOST_AUTO_TEST_CASE(calledServiceRunsShort_callsOfRunningRequests_areServedBeforeNewWork)
{
    const auto served = CalledService(*this, 0).run(1);
    BOOST_TEST(served.calls >= 0.98);
    BOOST_TEST(served.reads >= 0.35); // the slots that the calls leave: 3.6 of the 7.7 asked for
}

/// The same, but the calls have a middle priority: still ahead of the reads. Guards against refusing them for a wait of a few milliseconds,
/// because their goal is short, while reads with a longer goal wait for the slots.
BOOST_AUTO_TEST_CASE(calledServiceRunsShort_callsHaveMiddlePriority_areServedBeforeLowerOnes)
{
    const auto served = CalledService(*this, 1).run(1);
    BOOST_TEST(served.calls >= 0.98);
    BOOST_TEST(served.reads >= 0.35);
}

/// A lasting overload by requests of a middle priority, with a few of a lower one. They must be refused early instead of waiting
/// until all of them are late.
BOOST_AUTO_TEST_CASE(overloadByMiddlePriority_lowerOneIsThereToo_waitStaysWithinTheGoal)
{
    constexpr milliseconds Service{100};
    AdmissionQueue queue(slots(1));
    learnServiceTime(queue, "read", Service);
    learnServiceTime(queue, "filing", Service);
    queue.offer(now, read());
    unsigned waiting = 0;
    for (int n = 0; n < 20; ++n) {
        waiting += queue.offer(now, filing(milliseconds(400), milliseconds(5'000))).kind == Kind::Wait ? 1 : 0;
    }
    BOOST_TEST(waiting <= 3U); // what can be served within the goal
}

/// The called service again, but each refused request is offered again at once, so that its kind looks starved.
BOOST_AUTO_TEST_CASE(calledServiceRunsShort_refusedRequestsComeBack_callsAreStillServedFirst)
{
    const auto served = CalledService(*this, 0).run(6);
    BOOST_TEST(served.calls >= 0.98);
    BOOST_TEST(served.reads >= 0.35);
}

// ---- [rate] -----------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(targetNamesRate_slotsAreFree_requestsStartAtTheRate)
{
    auto queue = queueWithRate(10);
    unsigned started = 0;
    for (const auto until = now + seconds(10); now < until; now += milliseconds(5)) {
        const auto request = read();
        std::vector<AdmissionId> begun;
        if (queue.offer(now, request).kind == Kind::Start) {
            begun.push_back(request.id);
        }
        const auto ticked = queue.tick(now);
        begun.insert(begun.end(), ticked.started.begin(), ticked.started.end());
        for (const auto id : begun) {
            ++started;
            queue.finished(now, id, milliseconds(20));
        }
    }
    BOOST_TEST(started >= 95U);
    BOOST_TEST(started <= 105U);
}

BOOST_AUTO_TEST_CASE(targetNamesRate_moreThanTheGoalAllows_isRefusedAtOnceWithTheRatesTime)
{
    auto queue = queueWithRate(2);
    now += seconds(10);
    BOOST_TEST((queue.offer(now, read()).kind == Kind::Start));
    const auto verdict = queue.offer(now, read());
    BOOST_TEST((verdict.kind == Kind::Refuse));
    BOOST_TEST((verdict.reason == Reason::TargetLimit));
    BOOST_TEST((verdict.retryAfter >= milliseconds(490)));
    BOOST_TEST((verdict.retryAfter <= milliseconds(510)));
}

BOOST_AUTO_TEST_CASE(targetNamesRate_requestsOfBothPrioritiesWait_higherOneStartsFirst)
{
    auto queue = queueWithRate(10);
    now += seconds(1);
    queue.offer(now, read());
    const auto lower = makeRequest("read", 2, seconds(4), seconds(8));
    const auto higher = makeRequest("filing", 1, seconds(4), seconds(8));
    BOOST_TEST((queue.offer(now, lower).kind == Kind::Wait));
    BOOST_TEST((queue.offer(now, higher).kind == Kind::Wait));
    now = queue.nextTick();
    const auto changes = queue.tick(now);
    BOOST_REQUIRE(changes.started.size() == 1U);
    BOOST_TEST(changes.started[0] == higher.id);
}

BOOST_AUTO_TEST_CASE(targetNamesRate_rateEnds_waitingRequestsStartAtOnce)
{
    auto queue = queueWithRate(1);
    now += seconds(5);
    queue.offer(now, read());
    const auto waiting = makeRequest("read", 2, seconds(8), seconds(16));
    BOOST_TEST((queue.offer(now, waiting).kind == Kind::Wait));
    const auto changes = queue.setRequestRate(now, std::nullopt);
    BOOST_REQUIRE(changes.started.size() == 1U);
    BOOST_TEST(changes.started[0] == waiting.id);
}

/// Guards against a kind that is refused for good by a service time that no request measures again.
BOOST_AUTO_TEST_CASE(offer_oldServiceTimeExceedsTheDeadline_oneRequestMeasuresItAgain)
{
    AdmissionQueue queue(slots(10));
    learnServiceTime(queue, "read", milliseconds(2'000));
    BOOST_REQUIRE((queue.offer(now, filing(seconds(10), seconds(20))).kind == Kind::Start)); // another kind does not measure this one
    BOOST_TEST((queue.offer(now, read()).kind == Kind::Refuse));
    now += milliseconds(800);
    const auto first = read();
    BOOST_TEST((queue.offer(now, first).kind == Kind::Start));
    BOOST_TEST((queue.offer(now, read()).kind == Kind::Refuse));
    now += milliseconds(20);
    queue.finished(now, first.id, milliseconds(20));
    now += seconds(2);
    BOOST_TEST((queue.offer(now, read()).kind == Kind::Start));
}

/// Guards against callers that never end their bodies and make the target look slow to all nodes.
BOOST_AUTO_TEST_CASE(report_runningRequestsWithoutTheirBodies_doNotRaiseTheServiceTime)
{
    AdmissionQueue queue(slots(10));
    learnServiceTime(queue, "filing", milliseconds(20));
    const auto before = queue.report(now).meanServiceTime;
    std::vector<AdmissionId> ids;
    for (int n = 0; n < 10; ++n) {
        auto unfinished = filing();
        unfinished.bodyComplete = false;
        ids.push_back(unfinished.id);
        BOOST_REQUIRE((queue.offer(now, unfinished).kind == Kind::Start));
    }
    now += milliseconds(800);
    BOOST_TEST((queue.report(now).meanServiceTime == before));
    queue.onSentCompletely(now, ids.front());
    BOOST_TEST((queue.report(now).meanServiceTime == before));
    now += milliseconds(100);
    BOOST_TEST((queue.report(now).meanServiceTime > before));
}

BOOST_AUTO_TEST_SUITE_END()
