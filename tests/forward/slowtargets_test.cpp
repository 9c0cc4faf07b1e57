// Targets that hang, with real nodes. Sections: [fixture] [hang]
#include "tests/forward/meshfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

// ---- [fixture] --------------------------------------------------------------------------------------------------

constexpr milliseconds Service{30}; ///< ms
constexpr seconds CallingTime{4};
constexpr milliseconds Timeout{2'000}; ///< ms; of the routes

struct HangingFixture : MeshFixture {
    std::atomic<unsigned> atTarget{0}; ///< requests that the first target works on
    std::atomic<unsigned> capacity{2}; ///< of the first target; what it gets beyond is not answered

    /// Two hosts; the entry of each target states four slots.
    HangingFixture()
    {
        addNode("desk");
        addNode("desk");
        publish(1, "desk", Timeout);
        waitReady();
        target(0).setBehaviour([this](const Standins::ServerCall &call) { return answerOrHang(call); });
        target(1).setBehaviour([this](const Standins::ServerCall &call) { return target(1).delayedReply(call, Service); });
    }

    Standins::ServerReply answerOrHang(const Standins::ServerCall &call)
    {
        const bool hangs = ++atTarget > capacity;
        if (hangs) {
            --atTarget;
        }
        auto reply = target(0).delayedReply(call, hangs ? 2 * Timeout : Service);
        reply.dropConnection = hangs;
        atTarget -= hangs ? 0 : 1;
        return reply;
    }

    double metricOf(std::size_t n, const std::string &line) const
    {
        const auto text = metric(n, line);
        return text.empty() ? -1 : std::stod(text);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlowTargetsTest, HangingFixture)

// ---- [hang] -----------------------------------------------------------------------------------------------------

/// Guards against requests that a full target swallows and that their callers wait for until the timeout.
BOOST_AUTO_TEST_CASE(target_hangsWhenFull_idempotentRequestsGoElsewhereAndLessIsAdmitted)
{
    for (int n = 0; n < 30; ++n) {
        BOOST_TEST(contains(get(0, "/read/x"), "200 OK"));
    }
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> unanswered{0};
    std::vector<std::thread> callers;
    callers.reserve(7);
    for (int n = 0; n < 7; ++n) {
        callers.emplace_back([&] {
            for (const auto until = Clock::now() + CallingTime; Clock::now() < until;) {
                const auto answer = get(0, "/read/x");
                ++sent;
                unanswered += contains(answer, " 502 ") || contains(answer, " 504 ") || answer.empty() ? 1 : 0;
            }
        });
    }
    // While the target gets few requests, the limit grows back to all slots within two seconds.
    double lowestSlots = 4;
    for (const auto until = Clock::now() + CallingTime; Clock::now() < until; std::this_thread::sleep_for(milliseconds(50))) {
        lowestSlots = std::min(lowestSlots, metricOf(0, "fescuenotch_gate_slots"));
    }
    for (auto &each : callers) {
        each.join();
    }
    BOOST_TEST_MESSAGE("sent " << sent << ", without the target's answer " << unanswered << ", ended "
                               << metric(0, "fescuenotch_target_hung_total{ended=\"1\"}") << ", lowest slots " << lowestSlots);
    BOOST_TEST(metricOf(0, "fescuenotch_target_hung_total{ended=\"1\"}") > 0);
    BOOST_TEST(metricOf(1, "fescuenotch_target_hung_total{ended=\"1\"}") == 0);
    BOOST_TEST(lowestSlots > 0);
    BOOST_TEST(lowestSlots < 4);
    BOOST_TEST(unanswered == 0U);
}

/// Guards against a second target that runs a request which must not run twice, and against an answer that says it did not run.
BOOST_AUTO_TEST_CASE(target_hangs_nonIdempotentRequestKeepsItsTimeAndEndsAsUnknown)
{
    for (int n = 0; n < 30; ++n) {
        BOOST_TEST(contains(get(0, "/read/x"), "200 OK"));
    }
    capacity = 0;
    unsigned hung = 0;
    for (int n = 0; n < 20 && hung == 0; ++n) {
        const auto before = totalRequests();
        const auto start = Clock::now();
        const auto answer = post(0, "/file/x", "b");
        if (contains(answer, " 200 ")) {
            continue; // the other target got it
        }
        ++hung;
        BOOST_TEST((Clock::now() - start >= Timeout - milliseconds(50)));
        BOOST_TEST(contains(answer, " 504 "));
        BOOST_TEST(contains(answer, "Fescuenotch-Outcome: unknown"));
        BOOST_TEST(totalRequests() == before + 1);
        BOOST_TEST(metricOf(0, "fescuenotch_target_hung_total{ended=\"0\"}") == 1);
    }
    BOOST_TEST(hung == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
