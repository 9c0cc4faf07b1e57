// Sections: [simulation] [failed calls] [limit]
#include "mesh/calleelimit.h"

#include "kernel/durations.h"
#include "mesh/admissionqueue.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>

using namespace Fescuenotch;

namespace {

// ---- [simulation] -----------------------------------------------------------------------------------------------

/// Shares of the requests that arrived in a span of time and were served within their deadline.
struct ServedShares {
    std::map<std::string, double> asked; ///< requests by route
    std::map<std::string, double> served; ///< requests by route

    double of(const std::string &route) const
    {
        return served.at(route) / asked.at(route);
    }

    double total() const ///< requests
    {
        double sum = 0;
        for (const auto &[route, n] : served) {
            sum += n;
        }
        return sum;
    }
};

/// Two services of one queue each. "lookup" works 120 ms at the calling service (48 slots) and then needs a call of 30 ms, of higher
/// priority, at the called one (12 slots, 3 from second 5 to 10); "close" works 160 ms at the calling service and calls nothing;
/// "map" works 96 ms at the called one. Demand is `demand` times the usual during the shortage. A caller that was refused comes back
/// once, most of them after their Retry-After and some at once; one whose request failed comes back once, at once.
class TwoServices
{
public:
    TwoServices(double demand, bool limited)
        : m_demand(demand)
        , m_limited(limited)
    {
        learn(m_calling, "lookup", LookupWork);
        learn(m_calling, "close", CloseWork);
        learn(m_called, "map", MapWork);
        learn(m_called, "call", CallWork);
    }

    void run()
    {
        at(Start, [this] { arrive("lookup", 160); });
        at(Start, [this] { arrive("close", 100); });
        at(Start, [this] { arrive("map", 30); });
        at(Start + ShortageBegin, [this] { apply(m_called, m_called.queue.resize(m_now, 3)); });
        at(Start + ShortageEnd, [this] { apply(m_called, m_called.queue.resize(m_now, 12)); });
        while (!m_events.empty() && m_now < Start + End) {
            const auto next = m_events.begin();
            m_now = next->first;
            const auto action = std::move(next->second);
            m_events.erase(next);
            action();
            apply(m_calling, m_calling.queue.tick(m_now));
            apply(m_called, m_called.queue.tick(m_now));
        }
    }

    ServedShares during; ///< the shortage, from its second second on
    ServedShares after; ///< from two seconds after its end

private:
    struct Request {
        std::string route;
        TimePoint arrivedAt;
        TimePoint deadline;
        bool cameBack = false;
        bool isCall = false;
        std::function<void()> callEnds; ///< of a call
    };
    struct Service {
        explicit Service(unsigned slots)
            : queue([&] {
                AdmissionQueueSettings settings;
                settings.slots = slots;
                return settings;
            }())
        {
        }
        AdmissionQueue queue;
        std::map<AdmissionId, std::pair<std::function<void()>, std::function<void(milliseconds)>>> requests; ///< what to do at its start or refusal
    };

    static constexpr TimePoint Start = TimePoint(seconds(1'000));
    static constexpr seconds ShortageBegin{5};
    static constexpr seconds ShortageEnd{10};
    static constexpr seconds End{16};
    static constexpr milliseconds LookupWork{120};
    static constexpr milliseconds CloseWork{160};
    static constexpr milliseconds MapWork{96};
    static constexpr milliseconds CallWork{30};
    static constexpr double ReturnsAtOnce = 0.2; ///< share of the refused callers

    void learn(Service &service, const std::string &kind, milliseconds work)
    {
        for (int n = 0; n < 40; ++n) {
            const AdmissionRequest request{m_nextId++, kind, 1, Start + seconds(10), Start + seconds(20)};
            service.queue.offer(Start, request);
            service.queue.finished(Start, request.id, work);
        }
    }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    Duration draw(double meanSeconds)
    {
        return durationOf(std::exponential_distribution<>(1 / meanSeconds)(m_random));
    }

    bool isShort() const
    {
        return m_now >= Start + ShortageBegin && m_now < Start + ShortageEnd;
    }

    void arrive(const std::string &route, double perSecond)
    {
        const Request request{route, m_now, m_now + milliseconds(1'500), false, false, {}};
        if (auto *shares = sharesAt(m_now)) {
            ++shares->asked[route];
        }
        enter(request);
        at(m_now + draw(1 / (perSecond * (isShort() ? m_demand : 1))), [this, route, perSecond] { arrive(route, perSecond); });
    }

    ServedShares *sharesAt(TimePoint time)
    {
        const auto since = time - Start;
        return since >= ShortageBegin + seconds(1) && since < ShortageEnd   ? &during
            : since >= ShortageEnd + seconds(2) && since < End - seconds(1) ? &after
                                                                            : nullptr;
    }

    void enter(const Request &request)
    {
        const auto verdict = m_limited ? m_limit.admit(m_now, request.route, request.route == "map" ? "called" : "calling") : CalleeVerdict{};
        if (!verdict.admitted) {
            comeBack(request, verdict.retryAfter);
            return;
        }
        const auto work = request.route == "lookup" ? LookupWork : request.route == "close" ? CloseWork : MapWork;
        auto &service = request.route == "map" ? m_called : m_calling;
        offer(
            service,
            request.route,
            2,
            milliseconds(400),
            request.deadline,
            work,
            [this, request](AdmissionId id, Duration took) { workDone(request, id, took); },
            [this, request](milliseconds retryAfter) {
                m_limit.onServiceRefused(m_now, request.route == "map" ? "called" : "calling");
                comeBack(request, retryAfter);
            });
    }

    void comeBack(Request request, milliseconds retryAfter)
    {
        if (request.cameBack) {
            return;
        }
        request.cameBack = true;
        const bool atOnce = std::bernoulli_distribution(ReturnsAtOnce)(m_random);
        at(m_now + (atOnce ? milliseconds(1) : retryAfter), [this, request] { enter(request); });
    }

    /// A lookup keeps its slot until its call has ended.
    void workDone(const Request &request, AdmissionId id, Duration took)
    {
        if (request.route != "lookup") {
            end(request, request.route == "map" ? m_called : m_calling, id, took, true);
            return;
        }
        offer(
            m_called,
            "call",
            1,
            milliseconds(120),
            m_now + milliseconds(400),
            CallWork,
            [this, request, id, took](AdmissionId call, Duration callTook) {
                apply(m_called, m_called.queue.finished(m_now, call, callTook));
                end(request, m_calling, id, took + callTook, true);
            },
            [this, request, id, took](milliseconds) {
                m_limit.onCallRefused(m_now, request.route, "calling", "called");
                end(request, m_calling, id, took, false);
            });
    }

    void end(const Request &request, Service &service, AdmissionId id, Duration took, bool ok)
    {
        apply(service, service.queue.finished(m_now, id, ok ? took : Duration(0)));
        if (!ok) {
            comeBack(request, milliseconds(1));
            return;
        }
        m_limit.onServed(m_now, request.route);
        auto *shares = sharesAt(request.arrivedAt);
        if (shares != nullptr && m_now < request.deadline) {
            ++shares->served[request.route];
        }
    }

    void offer(Service &service,
               const std::string &kind,
               unsigned priority,
               milliseconds goal,
               TimePoint deadline,
               milliseconds work,
               const std::function<void(AdmissionId, Duration)> &done,
               const std::function<void(milliseconds)> &refused)
    {
        const auto id = m_nextId++;
        const auto start = [this, id, work, done] {
            const auto took = draw(secondsOf(work));
            at(m_now + took, [id, took, done] { done(id, took); });
        };
        const auto verdict = service.queue.offer(m_now, {id, kind, priority, m_now + goal, deadline});
        if (verdict.kind == AdmissionVerdict::Kind::Start) {
            start();
        } else if (verdict.kind == AdmissionVerdict::Kind::Wait) {
            service.requests[id] = {start, refused};
        } else {
            refused(verdict.retryAfter);
        }
    }

    void apply(Service &service, const QueueChanges &changes)
    {
        for (const auto id : changes.started) {
            service.requests.extract(id).mapped().first();
        }
        for (const auto &[id, verdict] : changes.refused) {
            service.requests.extract(id).mapped().second(verdict.retryAfter);
        }
    }

    double m_demand;
    bool m_limited;
    TimePoint m_now = Start;
    std::minstd_rand m_random{11};
    AdmissionId m_nextId = 1;
    Service m_calling{48};
    Service m_called{12};
    CalleeLimit m_limit{CalleeLimitSettings{}};
    std::multimap<TimePoint, std::function<void()>> m_events;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CalleeLimitTest)

// ---- [failed calls] ---------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(runFails_callWasRefusedJustBefore_calleeIsItsCauseOnce)
{
    FailedCalls calls;
    const TimePoint start(seconds(1'000));
    calls.onRefused(start + milliseconds(120), "called");
    BOOST_TEST(calls.takeCause(start + milliseconds(125), start) == "called");
    BOOST_TEST(calls.takeCause(start + milliseconds(126), start).empty());
}

BOOST_AUTO_TEST_CASE(runFails_refusalIsOlderThanTheRunOrLongAgo_hasNoCause)
{
    FailedCalls calls;
    const TimePoint start(seconds(1'000));
    calls.onRefused(start, "called");
    BOOST_TEST(calls.takeCause(start + milliseconds(20), start + milliseconds(10)).empty());
    BOOST_TEST(calls.takeCause(start + milliseconds(300), start).empty());
}

// ---- [limit] ----------------------------------------------------------------------------------------------------

/// Guards against limiting a route whose targets fail by themselves while no other service refuses anything.
BOOST_AUTO_TEST_CASE(admit_halfOfTheRunsFailWithoutARefusedCall_isNeverLimited)
{
    CalleeLimit limit{CalleeLimitSettings{}};
    FailedCalls calls;
    TimePoint now(seconds(1'000));
    for (int n = 0; n < 2'000; ++n) {
        now += milliseconds(5);
        BOOST_REQUIRE(limit.admit(now, "read", "calling").admitted);
        const auto callee = n % 2 == 0 ? calls.takeCause(now, now - milliseconds(100)) : std::string();
        if (!callee.empty()) {
            limit.onCallRefused(now, "read", "calling", callee);
        } else if (n % 2 != 0) {
            limit.onServed(now, "read");
        }
    }
    BOOST_TEST(limit.limitedRoutes() == 0U);
    BOOST_TEST(limit.takeChanges().empty());
}

/// Of 200 requests a second the route's own service has room for 80 and the callee for 40. When both serve all again, the limit
/// must end within two seconds.
BOOST_AUTO_TEST_CASE(admit_ownServiceAndCalleeAreShortForFiveSeconds_admitsWhatFitsAndRecoversInTwoSeconds)
{
    CalleeLimit limit{CalleeLimitSettings{}};
    const TimePoint start(seconds(1'000));
    TimePoint lastStarted = start;
    TimePoint lastServed = start;
    unsigned admittedInShortage = 0;
    unsigned refusedLater = 0;
    std::set<milliseconds> returns;
    for (auto now = start; now < start + seconds(10); now += milliseconds(5)) {
        const bool isShort = now - start < seconds(5);
        const auto verdict = limit.admit(now, "read", "calling");
        if (!verdict.admitted) {
            returns.insert(verdict.retryAfter);
            refusedLater += now - start > seconds(7) ? 1 : 0;
            continue;
        }
        admittedInShortage += isShort && now - start >= seconds(2) ? 1 : 0;
        if (isShort && now - lastStarted < milliseconds(12)) {
            limit.onServiceRefused(now, "calling");
            continue;
        }
        lastStarted = now;
        if (!isShort || now - lastServed >= milliseconds(25)) {
            lastServed = now;
            limit.onServed(now, "read");
        } else {
            limit.onCallRefused(now, "read", "calling", "called");
        }
    }
    BOOST_TEST(admittedInShortage >= 3 * 35U);
    BOOST_TEST(admittedInShortage <= 3 * 110U);
    BOOST_TEST(refusedLater == 0U);
    BOOST_TEST(limit.limitedRoutes() == 0U);
    BOOST_TEST(limit.takeChanges().size() >= 2U);
    BOOST_REQUIRE(!returns.empty());
    BOOST_TEST((*returns.begin() >= milliseconds(100)));
    BOOST_TEST((*returns.rbegin() > milliseconds(450)));
}

/// Guards against a shortage of a called service that takes the capacity of its caller as well and outlives its cause. Without
/// the limit, lookups whose calls are refused come back and use the slots that "close" needs.
BOOST_DATA_TEST_CASE(calledServiceRunsShort_demandAboveUsual_otherRouteKeepsItsSlotsAndAllRecover, boost::unit_test::data::make({1.2, 1.6, 3.0}), demand)
{
    TwoServices limited(demand, true);
    limited.run();
    TwoServices unlimited(demand, false);
    unlimited.run();
    for (const auto *each : {&unlimited, &limited}) {
        BOOST_TEST_MESSAGE((each == &limited ? "limited" : "unlimited")
                           << " during: lookup " << each->during.of("lookup") << " close " << each->during.of("close") << " map " << each->during.of("map")
                           << " after: lookup " << each->after.of("lookup") << " close " << each->after.of("close") << " map " << each->after.of("map"));
    }
    BOOST_TEST(limited.during.of("close") >= unlimited.during.of("close") + 0.1);
    BOOST_TEST(limited.during.of("close") >= 0.65);
    BOOST_TEST(limited.during.total() >= 1.02 * unlimited.during.total());
    BOOST_TEST(limited.after.of("lookup") >= 0.97);
    BOOST_TEST(limited.after.of("close") >= 0.97);
    BOOST_TEST(limited.after.of("map") >= 0.97);
}

BOOST_AUTO_TEST_SUITE_END()
