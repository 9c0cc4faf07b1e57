// Cold targets with real nodes: a target that counts the requests that reach it and crashes when it is overloaded while cold.
#include "kernel/logging.h"
#include "tests/forward/meshfixture.h"
#include "tests/support/arrivals.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr double ColdRate = 18; ///< requests per second
constexpr std::size_t Bound = 35; ///< requests that may reach a cold target in one second: 1.5 times the rate and 8
constexpr const char *HealthPath = "/health";
constexpr unsigned CallerThreads = 8;

/// The state of one cold target; all functions may be called from any thread.
class ColdTarget
{
public:
    explicit ColdTarget(milliseconds coldTime)
        : m_coldTime(coldTime)
    {
    }

    CrashingTargetSettings settings()
    {
        CrashingTargetSettings settings;
        settings.crashText = "/read/crash";
        settings.downFor = milliseconds(400);
        settings.onCrash = [this] { ++crashes; };
        settings.onStart = [this] { becomeCold(); };
        settings.isOverload = [this](const std::string &request) { return onRequest(request); };
        settings.answer = [this](const std::string &request) { return answer(request); };
        return settings;
    }

    void becomeCold()
    {
        const std::lock_guard lock(m_mutex);
        m_coldUntil = Clock::now() + m_coldTime;
        m_arrivals.clear();
    }

    /// The most requests in one second that have reached it in one life while it was cold.
    std::size_t mostPerSecond() const
    {
        const std::lock_guard lock(m_mutex);
        return m_most;
    }

    std::atomic<unsigned> crashes{0};
    std::atomic<unsigned> probes{0};
    std::atomic<unsigned> requests{0};

private:
    bool onRequest(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        ++(request.find(HealthPath) == std::string::npos ? requests : probes);
        const auto now = Clock::now();
        if (now >= m_coldUntil) {
            return false;
        }
        m_arrivals.push_back(now);
        m_most = std::max(m_most, mostWithin(m_arrivals, seconds(1), TimePoint::min()));
        return m_most > Bound;
    }

    std::string answer(const std::string &request)
    {
        if (request.find(HealthPath) == std::string::npos) {
            return MeshFixture::crashingTargetAnswer(request);
        }
        const std::lock_guard lock(m_mutex);
        const auto left = std::max(Duration(0), m_coldUntil - Clock::now());
        return std::string("HTTP/1.1 200 OK\r\n") + HealthTargetIdHeader + ": t0\r\n" + ColdRemainingHeader + ": "
            + std::to_string(std::chrono::ceil<milliseconds>(left).count()) + "\r\nContent-Length: 0\r\n\r\n";
    }

    milliseconds m_coldTime;
    mutable std::mutex m_mutex;
    TimePoint m_coldUntil;
    std::vector<TimePoint> m_arrivals; ///< while cold, in this life
    std::size_t m_most = 0;
};

struct Answers {
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> refused{0}; ///< 429 for the cold target
    std::atomic<unsigned> others{0};
    std::atomic<unsigned> slowRefusals{0}; ///< refused later than `LongestRefusal` after their arrival
};

struct ColdTargetFixture : MeshFixture {
    static constexpr milliseconds LongestRefusal{1'200}; ///< ms; of 2 s that a request may take

    void publishCold(double coldRate, milliseconds coldTime)
    {
        auto json = nlohmann::json::parse(configurationText(1, "desk", seconds(2)));
        for (auto &service : json["services"]) {
            service["health_path"] = HealthPath;
            service["cold_start"] = std::to_string(coldTime.count()) + "ms";
            service["cold_per_s"] = coldRate;
        }
        store.put("op/config", json.dump());
    }

    /// Callers of node `n` send one request after another for `time`.
    void flood(std::size_t n, Duration time, Answers &answers)
    {
        const auto until = Clock::now() + time;
        std::vector<std::thread> callers;
        for (unsigned c = 0; c < CallerThreads; ++c) {
            callers.emplace_back([&, n] {
                while (Clock::now() < until) {
                    call(n, answers);
                }
            });
        }
        for (auto &each : callers) {
            each.join();
        }
    }

    void call(std::size_t n, Answers &answers)
    {
        const auto begin = Clock::now();
        const auto text = get(n, "/read/x");
        const bool refused = text.find(" 429 ") != std::string::npos && text.find("target-cold") != std::string::npos
            && text.find("Retry-After: ") != std::string::npos && text.find("Fescuenotch-Outcome: not-run") != std::string::npos;
        const bool served = text.find(" 200 ") != std::string::npos;
        ++(served ? answers.served : refused ? answers.refused : answers.others);
        answers.slowRefusals += refused && Clock::now() - begin > LongestRefusal ? 1 : 0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdTargetTest, ColdTargetFixture)

/// A node that starts beside a target that has just started: its entry, written before, says that it is warm.
BOOST_AUTO_TEST_CASE(nodeStart_targetIsCold_getsItsRateAndIsWarmAfterwards)
{
    ColdTarget target(milliseconds(5'000));
    addCrashingNode("desk", target.settings());
    publishCold(ColdRate, milliseconds(5'000));
    waitReady();
    Answers cold;
    flood(0, milliseconds(2'500), cold);
    BOOST_TEST(target.crashes == 0U);
    BOOST_TEST(target.mostPerSecond() <= Bound);
    BOOST_TEST(cold.served >= 25U);
    BOOST_TEST(cold.refused > 0U);
    BOOST_TEST(cold.others == 0U);
    BOOST_TEST(cold.slowRefusals == 0U);
    BOOST_TEST(target.probes == 1U);
    BOOST_TEST(metric(0, "fescuenotch_target_cold_per_second") == "18");
    BOOST_REQUIRE(waitUntil([&] { return metric(0, "fescuenotch_target_cold_per_second") == "-1"; }));
    Answers warm;
    flood(0, milliseconds(500), warm);
    BOOST_TEST(warm.served > 40U);
    BOOST_TEST(warm.refused == 0U);
}

/// Its entry says nothing of the new life: the node must notice that all connections broke.
BOOST_AUTO_TEST_CASE(targetCrashes_returnsUnderLoad_isNotOverloaded)
{
    ColdTarget target(milliseconds(1'500));
    addCrashingNode("desk", target.settings());
    publishCold(ColdRate, milliseconds(1'500));
    waitReady();
    std::this_thread::sleep_for(milliseconds(1'600));
    get(0, "/read/crash");
    BOOST_TEST(target.crashes == 1U);
    Answers answers;
    flood(0, milliseconds(2'000), answers);
    BOOST_TEST(target.crashes == 1U);
    BOOST_TEST(target.mostPerSecond() <= Bound);
    BOOST_TEST(answers.served >= 15U);
}

/// Only the idle connections of the node show that the target has ended.
BOOST_AUTO_TEST_CASE(targetEndsWhileNothingRuns_returns_isNotOverloaded)
{
    ColdTarget target(milliseconds(1'500));
    addCrashingNode("desk", target.settings());
    publishCold(ColdRate, milliseconds(1'500));
    waitReady();
    std::this_thread::sleep_for(milliseconds(1'600));
    get(0, "/read/x");
    crashingTarget(0).crash();
    std::this_thread::sleep_for(milliseconds(600));
    Answers answers;
    flood(0, milliseconds(1'000), answers);
    BOOST_TEST(target.crashes == 1U);
    BOOST_TEST(target.mostPerSecond() <= Bound);
    BOOST_TEST(answers.served >= 8U);
}

/// Guards services without a cold rate: no probe, no limit.
BOOST_AUTO_TEST_CASE(noColdRate_targetCrashesAndReturns_noProbeAndNoLimit)
{
    ColdTarget target(milliseconds(0));
    addCrashingNode("desk", target.settings());
    publishCold(0, milliseconds(1'500));
    waitReady();
    get(0, "/read/crash");
    std::this_thread::sleep_for(milliseconds(1'000));
    Answers answers;
    flood(0, milliseconds(500), answers);
    BOOST_TEST(answers.served > 40U);
    BOOST_TEST(answers.refused == 0U);
    BOOST_TEST(target.probes == 0U);
}

/// An entry node learns from the other's report that its target is cold.
BOOST_AUTO_TEST_CASE(oneOfTwoTargetsIsCold_load_goesToTheWarmOne)
{
    ColdTarget cold(milliseconds(6'000));
    ColdTarget warm(milliseconds(0));
    addCrashingNode("desk", cold.settings());
    addCrashingNode("desk", warm.settings());
    publishCold(ColdRate, milliseconds(6'000));
    waitReady();
    Answers answers;
    flood(1, milliseconds(2'000), answers);
    BOOST_TEST(cold.crashes == 0U);
    BOOST_TEST(cold.mostPerSecond() <= Bound);
    BOOST_TEST(warm.requests > 2 * cold.requests);
    BOOST_TEST(answers.refused + answers.others == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

class IgnoringListener final : public ForwardListener
{
public:
    void onAnswer(ForwardAnswer) override
    {
    }
    void onAnswerBody(std::string_view) override
    {
    }
    void onEnded(const ForwardEnd &) override
    {
    }
    void onReadyForBody() override
    {
    }
};

/// A dispatcher on its own loop, with a target whose health answer comes after `healthDelay`.
struct ColdDispatcherFixture {
    static constexpr milliseconds HealthDelay{300};

    DeploymentSettings settings;
    std::unique_ptr<TargetStandin> target;
    std::unique_ptr<PlatformAdapter> adapter;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    EventLoop loop;
    std::unique_ptr<TargetDispatcher> dispatcher;
    IgnoringListener listener;
    std::vector<std::unique_ptr<ForwardStream>> streams;
    std::string statedRate; ///< by the target; empty: none
    std::string coldMs = "0"; ///< in health answers; empty: not stated

    ColdDispatcherFixture()
    {
        startLogging(LogLevel::Error, "");
        settings.targetAddress = {"127.22.1.1", 9'701};
        target = std::make_unique<TargetStandin>("t0", settings.targetAddress);
        target->setBehaviour([this](const Standins::ServerCall &call) { return answer(call); });
        adapter = makeFixtureAdapter(settings);
        dispatcher = std::make_unique<TargetDispatcher>(loop, settings, *adapter, *metrics);
    }

    ~ColdDispatcherFixture()
    {
        streams.clear();
    }

    Standins::ServerReply answer(const Standins::ServerCall &call) const
    {
        if (call.path == HealthPath) {
            std::this_thread::sleep_for(HealthDelay);
            Standins::ServerReply reply;
            reply.headers = {{HealthTargetIdHeader, "t0"}};
            if (!coldMs.empty()) {
                reply.headers.push_back({ColdRemainingHeader, coldMs});
            }
            return reply;
        }
        auto reply = target->validReply(call, "ok");
        if (!statedRate.empty()) {
            reply.headers.push_back({RequestRateHeader, statedRate});
        }
        return reply;
    }

    void begin()
    {
        TargetRecord record;
        record.id = "t0";
        record.slots = 20;
        dispatcher->setTarget(&record);
        const MeshService service{"desk", HealthPath, 0, seconds(3), ColdRate};
        dispatcher->setService(&service);
    }

    void openRequests(int n)
    {
        for (; n > 0; --n) {
            ForwardRequest request;
            request.requestId = std::to_string(streams.size());
            request.headers = {{RequestIdHeader, request.requestId}};
            request.targetId = "t0";
            request.route = "read";
            request.method = "GET";
            request.path = "/read/x";
            request.goal = loop.turnTime() + seconds(20);
            request.deadline = loop.turnTime() + seconds(40);
            request.bodyLength = 0;
            streams.push_back(dispatcher->open(std::move(request), listener));
        }
    }

    void at(milliseconds time, std::function<void()> call)
    {
        loop.timers().after(time, [call = std::move(call)](TimePoint) { call(); });
    }

    std::size_t requestsOtherThanProbes() const
    {
        const auto all = target->requests();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [](const auto &each) { return each.path != HealthPath; }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ColdDispatcherTest, ColdDispatcherFixture)

/// A lifted evacuation: the target may have become cold meanwhile, so load waits for the answer of the probe, and no longer.
BOOST_AUTO_TEST_CASE(checkColdness_probeIsNotAnswered_coldRateHoldsUntilItIs)
{
    std::size_t before = 0;
    std::size_t after = 0;
    at(milliseconds(1), [&] { begin(); });
    at(milliseconds(1'200), [&] {
        BOOST_TEST(!dispatcher->report().requestRate.has_value());
        dispatcher->checkColdness();
        openRequests(18);
    });
    at(milliseconds(1'400), [&] { before = requestsOtherThanProbes(); });
    at(milliseconds(1'700), [&] {
        after = requestsOtherThanProbes();
        loop.stop();
    });
    loop.run();
    BOOST_TEST(before >= 1U);
    BOOST_TEST(before <= 5U);
    BOOST_TEST(after == 18U);
}

/// The lower of the target's stated rate and the cold rate is in force and reported.
BOOST_AUTO_TEST_CASE(statedRate_targetIsCold_lowerOfBothIsInForce)
{
    std::optional<double> lower;
    std::optional<double> higher;
    coldMs = "5000";
    statedRate = "5";
    at(milliseconds(1), [&] { begin(); });
    at(milliseconds(400), [&] { openRequests(1); });
    at(milliseconds(700), [&] {
        lower = dispatcher->report().requestRate;
        BOOST_TEST_REQUIRE(requestsOtherThanProbes() == 1U);
        statedRate = "40";
        openRequests(1);
    });
    at(milliseconds(1'200), [&] {
        higher = dispatcher->report().requestRate;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(lower.value_or(0) == 5.0);
    BOOST_TEST(higher.value_or(0) == ColdRate);
}

/// Guards against a warm target that is limited for the whole cold time after each start of its node: only cold targets state a remaining
/// time in their health answers.
BOOST_AUTO_TEST_CASE(healthAnswer_withoutRemainingTime_targetIsNotCold)
{
    coldMs.clear();
    begin();
    std::optional<double> rateAfterAnswer = 0;
    at(HealthDelay + milliseconds(200), [&] {
        rateAfterAnswer = dispatcher->report().requestRate;
        loop.stop();
    });
    loop.run();
    BOOST_TEST(!rateAfterAnswer.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
