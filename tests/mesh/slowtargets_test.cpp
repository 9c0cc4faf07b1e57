// Targets that become slow for a while, seen through the real LoadBalancer of several entry nodes and the real AdmissionQueue of each
// exit node. Arrivals, service times and slow phases are drawn from a printed seed; there is no network.
// Sections: [model] [tests]
#include "mesh/loadbalancer.h"

#include "kernel/durations.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace Fescuenotch;

namespace {

// ---- [model] ----------------------------------------------------------------------------------------------------

constexpr TimePoint Start = TimePoint(seconds(1'000));
constexpr unsigned Targets = 6;
constexpr unsigned EntryNodes = 12;
constexpr Duration MeanWork = milliseconds(60); ///< ms; at a target of speed 1, without heavy tails
constexpr double TailShare = 0.03; ///< of the requests
constexpr double TailFactor = 7; ///< multiple of the usual service time
constexpr Duration Goal = milliseconds(300);
constexpr Duration Deadline = seconds(2);
constexpr Duration HeartbeatPeriod = milliseconds(400);

struct ModelSettings {
    double perSecond = 200; ///< requests
    unsigned slots = 10;
    std::vector<double> slowness = std::vector<double>(Targets, 1.0); ///< factor of the service times by target
    /// Further factor of the service times of a target at a time.
    std::function<double(unsigned target, Duration sinceStart)> slowPhase = [](unsigned, Duration) { return 1.0; };
};

struct Counts {
    unsigned arrived = 0;
    unsigned missed = 0; ///< refused, or answered after the goal
    std::vector<unsigned> startedAt = std::vector<unsigned>(Targets); ///< by target
    double shareOf(unsigned first, unsigned last) const ///< of the started requests, those of targets first to last
    {
        double some = 0;
        double all = 0;
        for (unsigned n = 0; n < Targets; ++n) {
            some += n >= first && n <= last ? startedAt[n] : 0;
            all += startedAt[n];
        }
        return all == 0 ? 0 : some / all;
    }
    double missedShare() const
    {
        return arrived == 0 ? 0 : static_cast<double>(missed) / arrived;
    }
};

class SlowTargetsModel
{
public:
    SlowTargetsModel(const ModelSettings &settings, std::uint64_t seed)
        : m_settings(settings)
        , m_random(static_cast<std::mt19937::result_type>(seed))
    {
        AdmissionQueueSettings queueSettings;
        queueSettings.slots = settings.slots;
        for (unsigned n = 0; n < Targets; ++n) {
            TargetRecord record;
            record.id = std::to_string(n);
            record.address = {"127.1.0." + std::to_string(n + 1), 9'000};
            record.dataCentre = "one";
            record.slots = settings.slots;
            m_records.push_back(record);
            m_queues.push_back(std::make_unique<AdmissionQueue>(queueSettings));
            schedule(Start + HeartbeatPeriod * n / Targets, [this, n] { heartbeat(n); });
        }
        for (unsigned n = 0; n < EntryNodes; ++n) {
            LoadBalancerSettings own;
            own.dataCentre = "one";
            own.host = "127.9.9.9";
            own.seed = seed * 1'000 + n * 50'021;
            m_balancers.push_back(std::make_unique<LoadBalancer>(own));
            for (const auto &record : m_records) {
                m_balancers.back()->onReachable(record.id);
            }
        }
        schedule(Start, [this] { arrive(); });
    }

    /// Runs until `sinceStart`; returns the requests that arrived since the call before and are decided.
    Counts runUntil(Duration sinceStart)
    {
        m_counts = Counts();
        while (!m_events.empty() && m_events.begin()->first <= Start + sinceStart) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        return m_counts;
    }

private:
    struct Request {
        AdmissionId id = 0;
        unsigned entry = 0;
        unsigned target = 0;
        double work = 0; ///< s at speed 1
        TimePoint arrivedAt;
        TimePoint startedAt;
        std::vector<std::string> tried;
    };

    void schedule(TimePoint at, std::function<void()> event)
    {
        m_events.emplace(at, std::move(event));
    }

    void arrive()
    {
        ++m_counts.arrived;
        Request request;
        request.id = ++m_lastId;
        request.entry = static_cast<unsigned>(m_random() % EntryNodes);
        request.work = secondsOf(MeanWork) * std::lognormal_distribution<double>(-0.045, 0.3)(m_random);
        request.work *= std::bernoulli_distribution(TailShare)(m_random) ? TailFactor : 1;
        request.arrivedAt = m_now;
        place(std::move(request));
        schedule(m_now + durationOf(std::exponential_distribution<double>(m_settings.perSecond)(m_random)), [this] { arrive(); });
    }

    void place(Request request)
    {
        const auto chosen = m_balancers[request.entry]->choose(m_now, m_records, {"read", request.arrivedAt + Goal - m_now, request.tried});
        if (!chosen || request.tried.size() > 3) {
            ++m_counts.missed;
            return;
        }
        m_balancers[request.entry]->onSent(m_now, chosen->id, "read");
        request.target = static_cast<unsigned>(std::stoul(chosen->id));
        request.tried.push_back(chosen->id);
        const auto id = request.id;
        const auto target = request.target;
        const AdmissionRequest wanted{id, "read", 1, request.arrivedAt + Goal, request.arrivedAt + Deadline};
        m_requests[id] = std::move(request);
        const auto verdict = m_queues[target]->offer(m_now, wanted);
        if (verdict.kind == AdmissionVerdict::Kind::Start) {
            start(id);
        } else if (verdict.kind == AdmissionVerdict::Kind::Refuse) {
            refuse(id);
        }
        scheduleTick(target);
    }

    void start(AdmissionId id)
    {
        auto &request = m_requests.at(id);
        request.startedAt = m_now;
        ++m_counts.startedAt[request.target];
        schedule(endOf(request), [this, id] { finish(id); });
    }

    /// The slowness at each moment counts, in steps.
    TimePoint endOf(const Request &request) const
    {
        constexpr Duration Step = milliseconds(5);
        double left = request.work * m_settings.slowness[request.target];
        auto at = m_now;
        for (;;) {
            const double phase = m_settings.slowPhase(request.target, at - Start);
            if (left <= secondsOf(Step) / phase) {
                return at + durationOf(left * phase);
            }
            left -= secondsOf(Step) / phase;
            at += Step;
        }
    }

    void finish(AdmissionId id)
    {
        const auto request = m_requests.extract(id).mapped();
        const auto changes = m_queues[request.target]->finished(m_now, id, m_now - request.startedAt);
        m_counts.missed += m_now - request.arrivedAt > Goal ? 1 : 0;
        endAtEntry(request, SendResult::Served);
        apply(request.target, changes);
    }

    void refuse(AdmissionId id)
    {
        auto request = m_requests.extract(id).mapped();
        endAtEntry(request, SendResult::Rejected);
        place(std::move(request));
    }

    void endAtEntry(const Request &request, SendResult result)
    {
        m_balancers[request.entry]->onReport(m_now, std::to_string(request.target), m_queues[request.target]->report(m_now));
        m_balancers[request.entry]->onEnded(m_now, std::to_string(request.target), result);
    }

    void apply(unsigned target, const QueueChanges &changes)
    {
        for (const auto id : changes.started) {
            start(id);
        }
        for (const auto &[id, verdict] : changes.refused) {
            refuse(id);
        }
        scheduleTick(target);
    }

    void scheduleTick(unsigned target)
    {
        const auto next = m_queues[target]->nextTick();
        if (next != TimePoint::max()) {
            schedule(next + milliseconds(1), [this, target] { apply(target, m_queues[target]->tick(m_now)); });
        }
    }

    void heartbeat(unsigned target)
    {
        for (const auto &balancer : m_balancers) {
            balancer->onReport(m_now, std::to_string(target), m_queues[target]->report(m_now));
        }
        schedule(m_now + HeartbeatPeriod, [this, target] { heartbeat(target); });
    }

    ModelSettings m_settings;
    std::mt19937 m_random;
    TimePoint m_now = Start;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<TargetRecord> m_records;
    std::vector<std::unique_ptr<AdmissionQueue>> m_queues; ///< by target
    std::vector<std::unique_ptr<LoadBalancer>> m_balancers; ///< by entry node
    std::map<AdmissionId, Request> m_requests;
    AdmissionId m_lastId = 0;
    Counts m_counts;
};

/// Targets 0 to 2 take `factor` times as long from 5 to 10 s.
ModelSettings threeSlowForFiveSeconds(double perSecond, double factor)
{
    ModelSettings settings;
    settings.perSecond = perSecond;
    settings.slowPhase = [factor](unsigned target, Duration at) { return target < 3 && at >= seconds(5) && at < seconds(10) ? factor : 1.0; };
    return settings;
}

/// Phases of 600 ms, 15 % of the time, in which a target is 2.5 times slower; each target has its own offset.
double shortPhase(unsigned target, Duration at)
{
    constexpr auto Period = seconds(4);
    return (at + milliseconds(667) * target) % Period < milliseconds(600) ? 2.5 : 1.0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlowTargetsTest)

// ---- [tests] ----------------------------------------------------------------------------------------------------

struct SlowTime {
    double perSecond;
    double factor;
};

/// Guards against targets that get no work for good after a slow time, since nothing measures them any more, and against a remedy that
/// sends them so many trials while they are slow that more callers wait. Before service times had an age, 4,171 requests missed their goal
/// in the slow times of all runs; the sum of such runs varies by 3 % with the seeds.
BOOST_AUTO_TEST_CASE(choose_halfOfTheTargetsSlowForFiveSeconds_getTheirWorkBackTwoSecondsLater)
{
    constexpr unsigned Seeds = 15;
    constexpr unsigned MissedBefore = 4'171;
    constexpr double Tolerance = 0.02;
    unsigned missed = 0;
    for (const auto &load : {SlowTime{90, 5}, SlowTime{200, 5}, SlowTime{300, 5}, SlowTime{400, 3}, SlowTime{400, 5}}) {
        double share = 0;
        unsigned missedAtLoad = 0;
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            SlowTargetsModel model(threeSlowForFiveSeconds(load.perSecond, load.factor), seed);
            model.runUntil(seconds(5));
            missedAtLoad += model.runUntil(seconds(10)).missed;
            model.runUntil(seconds(12));
            share += model.runUntil(seconds(22)).shareOf(0, 2) / Seeds;
        }
        missed += missedAtLoad;
        BOOST_TEST_MESSAGE("seeds 1 to " << Seeds << ": per_second=" << load.perSecond << " factor=" << load.factor << " missed_while_slow=" << missedAtLoad
                                         << " share_from_2_to_12_s_after=" << share);
        BOOST_TEST(share >= 0.4);
    }
    BOOST_TEST(missed <= MissedBefore * (1 + Tolerance));
}

struct Summary {
    double missedShare = 0;
    double shareOfSlowest = 0; ///< of target 0
    double lowestShare = 0; ///< of the target with the least work
};

Summary meanOfSeeds(const ModelSettings &settings)
{
    constexpr unsigned Seeds = 8;
    Summary mean;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SlowTargetsModel model(settings, seed);
        model.runUntil(seconds(4));
        const auto counts = model.runUntil(seconds(34));
        double lowest = 1;
        for (unsigned n = 0; n < Targets; ++n) {
            lowest = std::min(lowest, counts.shareOf(n, n));
        }
        mean.missedShare += counts.missedShare() / Seeds;
        mean.shareOfSlowest += counts.shareOf(0, 0) / Seeds;
        mean.lowestShare += lowest / Seeds;
    }
    BOOST_TEST_MESSAGE("seeds 1 to " << Seeds << ": per_second=" << settings.perSecond << " missed_share=" << mean.missedShare
                                     << " share_of_slowest=" << mean.shareOfSlowest << " lowest_share=" << mean.lowestShare);
    return mean;
}

/// Guards against a target that is avoided for long after a slow phase of 600 ms: the others then miss goals for lack of slots.
BOOST_AUTO_TEST_CASE(choose_shortSlowPhases_allTargetsKeepTheirWork)
{
    for (const double perSecond : {300.0, 600.0}) {
        ModelSettings settings;
        settings.perSecond = perSecond;
        settings.slowPhase = shortPhase;
        const auto mean = meanOfSeeds(settings);
        BOOST_TEST(mean.lowestShare >= 0.6 / Targets);
        BOOST_TEST(mean.missedShare <= 0.055); // of which 0.03 are the requests that take 7 times as long
    }
}

/// Guards against trying targets of lasting low speed so often that callers miss their goals, and against a fast target that one slow
/// answer excludes for good.
BOOST_AUTO_TEST_CASE(choose_speedsFromHalfTo17_slowOnesAreUsedOnlyAsNeeded)
{
    for (const double perSecond : {90.0, 300.0, 600.0}) {
        ModelSettings settings;
        settings.perSecond = perSecond;
        settings.slowness = {1 / 0.5, 1 / 0.7, 1 / 0.9, 1 / 1.1, 1 / 1.4, 1 / 1.7};
        settings.slowPhase = shortPhase;
        const auto mean = meanOfSeeds(settings);
        BOOST_TEST(mean.shareOfSlowest <= 0.05);
        BOOST_TEST(mean.missedShare <= 0.034);
    }
}

BOOST_AUTO_TEST_SUITE_END()
