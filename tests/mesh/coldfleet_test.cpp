// A whole fleet that is cold at once, under full load and with all callers returning: decisions of exit and entry nodes together, with
// a simple model of the targets.
#include "kernel/durations.h"
#include "mesh/admissionqueue.h"
#include "mesh/coldstart.h"
#include "mesh/loadbalancer.h"
#include "tests/support/arrivals.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

using namespace Fescuenotch;

namespace {

constexpr double ColdRate = 18; ///< requests per second
constexpr double Bound = 1.5 * ColdRate + 8; ///< requests that may reach a cold target in one second
constexpr milliseconds ColdTime{3'000};
constexpr milliseconds WarmService{40};
constexpr milliseconds DownTime{500}; ///< after a crash
constexpr milliseconds EntryLag{800};
constexpr milliseconds ProbeTime{6};
constexpr milliseconds Hop{1}; ///< between entry and exit nodes
constexpr milliseconds Heartbeat{500};
constexpr milliseconds Goal{300};
constexpr milliseconds Deadline{800};
constexpr std::size_t Targets = 8;
constexpr std::size_t EntryNodes = 6;
constexpr unsigned MaxDeliveries = 4;
constexpr double LoadPerTarget = 120; ///< requests per second; 0.6 of what a warm target carries, more than six times what a cold one takes
constexpr double ReturningCallers = 3; ///< requests at the start, in seconds of the ordinary load
constexpr seconds Length{11};
constexpr unsigned Priorities = 3;

struct Call {
    std::size_t entry = 0; ///< entry node
    unsigned priority = 0;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::vector<std::string> tried;
    unsigned deliveries = 0;
    bool isRetry = false; ///< after a refusal of the first request
};

struct Host {
    explicit Host(const AdmissionQueueSettings &settings)
        : queue(settings)
    {
    }

    TargetRecord record;
    AdmissionQueue queue;
    ColdStart cold;
    std::map<AdmissionId, std::size_t> calls; ///< index of the call by id, waiting or running
    TimePoint startedAt; ///< of the target's process
    bool down = false;
    std::vector<TimePoint> arrivals; ///< at the process, while it was cold
    unsigned lifetimes = 1;
};

struct FleetResult {
    std::vector<double> offered; ///< by second of arrival
    std::vector<double> served; ///< by second of arrival
    std::vector<double> offeredByPriority = std::vector<double>(Priorities); ///< in the cold start
    std::vector<double> servedByPriority = std::vector<double>(Priorities); ///< in the cold start
    std::size_t mostPerSecond = 0; ///< that reached one target while it was cold
    unsigned lifetimes = 0;
    Duration longestRefusal{0}; ///< from the arrival of a call to its refusal
};

class ColdFleet
{
public:
    ColdFleet(unsigned seed, double coldRate)
        : m_random(seed)
        , m_coldRate(coldRate)
    {
        m_result.offered.resize(static_cast<std::size_t>(Length.count()) + 1);
        m_result.served.resize(m_result.offered.size());
        for (std::size_t n = 0; n < Targets; ++n) {
            AdmissionQueueSettings settings;
            settings.slots = 8;
            m_hosts.emplace_back(settings);
            auto &record = m_hosts.back().record;
            record.id = "t" + std::to_string(n);
            record.service = "desk";
            record.dataCentre = "one";
            record.slots = settings.slots;
            record.address.host = "127.0.1." + std::to_string(n);
            m_candidates.push_back(record);
        }
        for (std::size_t n = 0; n < EntryNodes; ++n) {
            LoadBalancerSettings settings;
            settings.dataCentre = "one";
            settings.seed = seed + n;
            m_balancers.emplace_back(settings);
        }
    }

    FleetResult play()
    {
        for (std::size_t n = 0; n < Targets; ++n) {
            startProcess(n);
            m_hosts[n].cold.configure(m_now, {ColdTime, m_coldRate, true});
            for (auto &balancer : m_balancers) {
                balancer.onReachable(m_hosts[n].record.id);
            }
        }
        scheduleArrivals();
        while (!m_events.empty() && m_events.begin()->first < m_start + Length) {
            const auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
            for (std::size_t n = 0; n < Targets; ++n) {
                update(n);
            }
        }
        for (const auto &host : m_hosts) {
            m_result.lifetimes += host.lifetimes;
            m_result.mostPerSecond = std::max(m_result.mostPerSecond, Tests::mostWithin(host.arrivals, milliseconds(999), m_start));
        }
        return m_result;
    }

private:
    void at(TimePoint time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }

    std::size_t second(TimePoint time) const
    {
        return static_cast<std::size_t>(secondsOf(time - m_start));
    }

    void scheduleArrivals()
    {
        const double perSecond = LoadPerTarget * Targets;
        std::exponential_distribution<double> gap(perSecond);
        for (double time = 0; time < secondsOf(Length) - 1; time += gap(m_random)) {
            at(m_start + durationOf(time), [this] { arrive(); });
        }
        std::uniform_real_distribution<double> returns(0, 1);
        for (int n = 0; n < ReturningCallers * perSecond; ++n) {
            at(m_start + durationOf(returns(m_random)), [this] { arrive(); });
        }
        for (auto time = m_start; time < m_start + Length; time += Heartbeat) {
            at(time, [this] { sendHeartbeats(); });
        }
    }

    void sendHeartbeats()
    {
        for (std::size_t n = 0; n < Targets; ++n) {
            if (!m_hosts[n].down) {
                for (std::size_t entry = 0; entry < EntryNodes; ++entry) {
                    m_balancers[entry].onReport(m_now, m_hosts[n].record.id, report(n));
                }
            }
        }
    }

    TargetReport report(std::size_t n) const
    {
        auto report = m_hosts[n].queue.report(m_now);
        report.requestRate = m_hosts[n].cold.rate(m_now);
        report.leaving = m_hosts[n].down;
        return report;
    }

    bool isCold(std::size_t n) const
    {
        return m_now < m_hosts[n].startedAt + ColdTime;
    }

    // Targets.
    void startProcess(std::size_t n)
    {
        auto &host = m_hosts[n];
        host.down = false;
        host.startedAt = m_now;
        const auto written = m_now;
        at(m_now + EntryLag, [this, n, written] { learnEntry(n, written); });
    }

    void learnEntry(std::size_t n, TimePoint written)
    {
        auto &record = m_hosts[n].record;
        record.startedAtMs = std::chrono::duration_cast<milliseconds>(written.time_since_epoch()).count();
        record.coldRemaining = ColdTime;
        m_candidates[n] = record;
        m_hosts[n].cold.onEntry(m_now, record);
        for (auto &balancer : m_balancers) {
            balancer.onEntries(m_now, {record}, [this](const std::string &) { return m_coldRate; });
        }
    }

    void crash(std::size_t n)
    {
        auto &host = m_hosts[n];
        host.down = true;
        ++host.lifetimes;
        const auto lost = std::exchange(host.calls, {});
        for (const auto &[id, call] : lost) {
            host.queue.cancel(m_now, id);
            host.queue.finished(m_now, id, Duration(0));
            m_balancers[m_calls[call].entry].onEnded(m_now, host.record.id, SendResult::Failed);
        }
        host.cold.onLost(m_now);
        host.queue.restartRequestRate(m_now);
        at(m_now + DownTime, [this, n] { startProcess(n); });
    }

    /// Applies what the exit node knows about its target.
    void update(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (host.down) {
            return;
        }
        if (host.cold.isProbeDue(m_now)) {
            host.cold.onProbeSent(m_now);
            host.queue.onResent(m_now);
            reach(n);
            at(m_now + ProbeTime, [this, n] { onProbeEnded(n); });
        }
        apply(n, host.queue.setRequestRate(m_now, host.cold.rate(m_now), Reason::TargetCold));
        apply(n, host.queue.tick(m_now));
        const auto next = std::min(host.queue.nextTick(), host.cold.nextChange(m_now));
        if (next != TimePoint::max() && m_wakeUps.emplace(std::max(next, m_now) + milliseconds(1), n).second) {
            const auto time = std::max(next, m_now) + milliseconds(1);
            at(time, [this, time, n] { m_wakeUps.erase({time, n}); });
        }
    }

    void onProbeEnded(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (host.down) {
            host.cold.onProbeFailed(m_now);
            return;
        }
        const auto left = std::max(Duration(0), host.startedAt + ColdTime - m_now);
        host.cold.onProbeAnswer(m_now, std::chrono::ceil<milliseconds>(left));
    }

    /// A request reaches the process. Returns false if that crashes it.
    bool reach(std::size_t n)
    {
        auto &host = m_hosts[n];
        if (!isCold(n)) {
            return true;
        }
        host.arrivals.push_back(m_now);
        const auto first = std::lower_bound(host.arrivals.begin(), host.arrivals.end(), std::max(host.startedAt, m_now - seconds(1)));
        return static_cast<double>(host.arrivals.end() - first) <= Bound;
    }

    void run(std::size_t n, AdmissionId id)
    {
        if (!reach(n)) {
            crash(n);
            return;
        }
        std::exponential_distribution<double> time(1 / secondsOf(WarmService));
        const auto service = durationOf(time(m_random) * (isCold(n) ? 2 : 1));
        at(m_now + service, [this, n, id, service] { finish(n, id, service); });
    }

    void finish(std::size_t n, AdmissionId id, Duration service)
    {
        auto &host = m_hosts[n];
        const auto it = host.calls.find(id);
        if (it == host.calls.end()) {
            return; // lost in a crash
        }
        const auto &call = m_calls[it->second];
        m_balancers[call.entry].onEnded(m_now, host.record.id, SendResult::Served);
        if (m_now <= call.deadline) {
            m_result.served[second(call.arrivedAt)] += 1;
            m_result.servedByPriority[call.priority] += m_now < m_start + ColdTime ? 1 : 0;
        }
        host.calls.erase(it);
        host.cold.onAnswer(m_now, "read", service);
        apply(n, host.queue.finished(m_now, id, service));
        m_balancers[call.entry].onReport(m_now, host.record.id, report(n));
    }

    void apply(std::size_t n, const QueueChanges &changes)
    {
        for (const auto id : changes.started) {
            if (m_hosts[n].calls.contains(id)) {
                run(n, id);
            }
        }
        for (const auto &refused : changes.refused) {
            const auto node = m_hosts[n].calls.extract(refused.first);
            if (!node.empty()) {
                at(m_now + Hop, [this, n, call = node.mapped(), verdict = refused.second] { onRefused(n, call, verdict); });
            }
        }
    }

    // Entry nodes and callers.
    void arrive()
    {
        Call call;
        call.entry = std::uniform_int_distribution<std::size_t>(0, EntryNodes - 1)(m_random);
        call.priority = std::uniform_int_distribution<unsigned>(0, Priorities - 1)(m_random);
        call.arrivedAt = m_now;
        call.deadline = m_now + Deadline;
        m_result.offered[second(m_now)] += 1;
        m_result.offeredByPriority[call.priority] += m_now < m_start + ColdTime ? 1 : 0;
        m_calls.push_back(call);
        send(m_calls.size() - 1);
    }

    void send(std::size_t index)
    {
        auto &call = m_calls[index];
        auto &balancer = m_balancers[call.entry];
        const BalancedRequest request{"read", call.arrivedAt + Goal - m_now, call.tried};
        const auto &candidates = m_candidates;
        const auto target = balancer.choose(m_now, candidates, request);
        const bool cold = target && balancer.isColdBeyond(m_now, candidates, request, call.deadline - m_now, call.priority == 0);
        if (!target || cold || call.deliveries >= MaxDeliveries) {
            refuse(index, balancer.expectedWait(m_now, candidates));
            return;
        }
        ++call.deliveries;
        call.tried.push_back(target->id);
        balancer.onSent(m_now, target->id, "read");
        const auto n = static_cast<std::size_t>(std::stoul(target->id.substr(1)));
        at(m_now + Hop, [this, n, index] { offer(n, index); });
    }

    void offer(std::size_t n, std::size_t index)
    {
        auto &host = m_hosts[n];
        const auto &call = m_calls[index];
        if (host.down) {
            host.cold.onLost(m_now);
            onRefused(n, index, {AdmissionVerdict::Kind::Refuse, Reason::ConnectFailed, milliseconds(0)});
            return;
        }
        const AdmissionId id = m_nextId++;
        apply(n, host.queue.setRequestRate(m_now, host.cold.rate(m_now), Reason::TargetCold));
        const auto verdict = host.queue.offer(m_now, {id, "read", call.priority, call.arrivedAt + Goal, call.deadline});
        if (verdict.kind == AdmissionVerdict::Kind::Refuse) {
            at(m_now + Hop, [this, n, index, verdict] { onRefused(n, index, verdict); });
            return;
        }
        host.calls[id] = index;
        if (verdict.kind == AdmissionVerdict::Kind::Start) {
            run(n, id);
        }
    }

    void onRefused(std::size_t n, std::size_t index, const AdmissionVerdict &)
    {
        const auto &call = m_calls[index];
        auto &balancer = m_balancers[call.entry];
        balancer.onEnded(m_now, m_hosts[n].record.id, SendResult::Rejected);
        balancer.onReport(m_now, m_hosts[n].record.id, report(n));
        send(index);
    }

    /// The caller honours Retry-After up to a third of its remaining time, once.
    void refuse(std::size_t index, milliseconds retryAfter)
    {
        auto &call = m_calls[index];
        m_result.longestRefusal = std::max(m_result.longestRefusal, m_now - call.arrivedAt);
        const auto wait = std::max(Duration(milliseconds(50)), Duration(retryAfter));
        if (call.isRetry || wait > (call.deadline - m_now) / 3) {
            comeBackLater();
            return;
        }
        call.isRetry = true;
        call.tried.clear();
        call.deliveries = 0;
        at(m_now + wait, [this, index] { send(index); });
    }

    /// Half of the callers that got no answer send a new request after one to two seconds.
    void comeBackLater()
    {
        if (std::bernoulli_distribution(0.5)(m_random) && m_now < m_start + Length - seconds(3)) {
            at(m_now + durationOf(std::uniform_real_distribution<double>(1, 2)(m_random)), [this] { arrive(); });
        }
    }

    std::mt19937 m_random;
    double m_coldRate; ///< requests per second, as configured; 0: the nodes know of no cold targets
    const TimePoint m_start = TimePoint(seconds(1'000));
    TimePoint m_now = m_start;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::set<std::pair<TimePoint, std::size_t>> m_wakeUps;
    std::vector<Host> m_hosts;
    std::vector<TargetRecord> m_candidates; ///< as the entry nodes know them
    std::vector<LoadBalancer> m_balancers;
    std::vector<Call> m_calls;
    AdmissionId m_nextId = 1;
    FleetResult m_result;
};

/// Of the calls that arrive from `from` to the end.
double lowestShare(const FleetResult &result, std::size_t from)
{
    double lowest = 1;
    for (auto n = from; n + 2 < result.offered.size(); ++n) {
        lowest = std::min(lowest, result.served[n] / result.offered[n]);
    }
    return lowest;
}

constexpr std::size_t RecoveredAfter = 6; ///< s; the cold start and 3 s

} // namespace

BOOST_AUTO_TEST_SUITE(ColdFleetTest)

/// The whole fleet lost power. Without the cold rate it is overloaded, crashes and restarts cold until the end.
BOOST_AUTO_TEST_CASE(fleet_allColdAtOnceUnderLoad_noTargetIsOverloadedAndAllIsServedSoon)
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        const auto result = ColdFleet(seed, ColdRate).play();
        const auto share = lowestShare(result, RecoveredAfter);
        const double first = result.servedByPriority[0] / result.offeredByPriority[0];
        const double last = result.servedByPriority[Priorities - 1] / result.offeredByPriority[Priorities - 1];
        BOOST_TEST_MESSAGE("seed " << seed << ": lowest share " << share << ", most in a second " << result.mostPerSecond << ", lifetimes " << result.lifetimes
                                   << ", cold start by priority " << first << " " << last << ", longest refusal in s " << secondsOf(result.longestRefusal));
        BOOST_TEST(share > 0.95, "seed " << seed << ": " << share);
        BOOST_TEST(static_cast<double>(result.mostPerSecond) <= Bound, "seed " << seed << ": " << result.mostPerSecond);
        BOOST_TEST(result.lifetimes == Targets, "seed " << seed);
        BOOST_TEST(first > last, "seed " << seed << ": " << first << " " << last);
    }
}

/// Guards the model itself: it must show the overload that the cold rate prevents.
BOOST_AUTO_TEST_CASE(fleet_nodesKnowNoColdRate_modelShowsTheOverload)
{
    for (unsigned seed = 1; seed <= 2; ++seed) {
        const auto result = ColdFleet(seed, 0).play();
        BOOST_TEST_MESSAGE("seed " << seed << ": lowest share " << lowestShare(result, RecoveredAfter) << ", lifetimes " << result.lifetimes);
        BOOST_TEST(lowestShare(result, RecoveredAfter) < 0.5, "seed " << seed);
        BOOST_TEST(result.lifetimes > 2 * Targets, "seed " << seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
