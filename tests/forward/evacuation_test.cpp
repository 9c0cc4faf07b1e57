#include "tests/forward/meshfixture.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr milliseconds Bound{5'000}; ///< between the store's answer to the write and the last request

double retryAfterOf(const std::string &answer)
{
    const std::string name = "Retry-After: ";
    const auto at = answer.find(name);
    return at == std::string::npos ? 0 : std::stod(answer.substr(at + name.size()));
}

/// Nodes of data centres "one" and "two" that use evacuations; all targets are of the service "desk".
struct EvacuationFixture : MeshFixture {
    EvacuationFixture()
    {
        evacuationLimit = Bound;
    }

    void startMesh(std::size_t ofOne, std::size_t ofTwo)
    {
        for (std::size_t n = 0; n < ofOne; ++n) {
            addNode("desk", "one");
        }
        for (std::size_t n = 0; n < ofTwo; ++n) {
            addNode("desk", "two");
        }
        m_nodes = ofOne + ofTwo;
        publish(1);
        waitReady();
    }

    std::uint64_t evacuate(const std::string &dataCentre)
    {
        return store.put("op/evacuate/" + dataCentre, "{}");
    }

    bool know(const std::string &evacuatedDataCentres)
    {
        return waitUntil([&] {
            for (std::size_t n = 0; n < m_nodes; ++n) {
                if (metric(n, "fescuenotch_mesh_evacuated_data_centres") != evacuatedDataCentres) {
                    return false;
                }
            }
            return true;
        });
    }

    std::size_t requestsAt(std::size_t n)
    {
        return target(n).requests().size();
    }

    std::size_t m_nodes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationTest, EvacuationFixture)

/// Guards the bound under load, the service of callers in the evacuated data centre, and the return to its targets.
BOOST_AUTO_TEST_CASE(evacuation_putAndDeletedUnderLoad_targetsGetNothingWithinTheBoundAndAreUsedAgain)
{
    startMesh(2, 2);
    SteadyCallers callers(*this, 4, 1, milliseconds(5));
    BOOST_TEST(waitUntil([&] { return requestsAt(0) + requestsAt(1) > 10; }));
    evacuate("one");
    const auto written = Clock::now();
    BOOST_REQUIRE(know("1"));
    const auto tookMs = std::chrono::duration_cast<milliseconds>(Clock::now() - written).count();
    std::this_thread::sleep_for(milliseconds(300)); // requests that were on their way
    const std::pair before{requestsAt(0), requestsAt(1)};
    const auto servedBefore = callers.served();
    const auto sentBefore = callers.sent();
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST((std::pair{requestsAt(0), requestsAt(1)} == before));
    BOOST_TEST(callers.served() - servedBefore > 40U);
    BOOST_TEST(callers.served() - servedBefore + 8 >= callers.sent() - sentBefore);
    BOOST_TEST_MESSAGE("known to all nodes after " << tookMs << " ms");
    BOOST_TEST(tookMs < Bound.count());
    store.remove("op/evacuate/one");
    BOOST_TEST(know("0"));
    BOOST_TEST(waitUntil([&] { return requestsAt(0) + requestsAt(1) > before.first + before.second + 10; }));
}

BOOST_AUTO_TEST_CASE(evacuation_ofAllDataCentres_callersAreRefusedAtOnceAsNotRun)
{
    startMesh(1, 1);
    evacuate("one");
    evacuate("two");
    BOOST_REQUIRE(know("2"));
    const auto requestsBefore = totalRequests();
    for (std::size_t n = 0; n < 2; ++n) {
        const auto begin = Clock::now();
        const auto answer = post(n, "/file/x", "body");
        BOOST_TEST(contains(answer, "503"));
        BOOST_TEST(contains(answer, "Fescuenotch-Outcome: not-run"));
        BOOST_TEST(contains(answer, "\"reason\":\"evacuated\""));
        BOOST_TEST(retryAfterOf(answer) > 0);
        BOOST_TEST((Clock::now() - begin < milliseconds(500)));
        BOOST_TEST(metric(n, "fescuenotch_entry_refusals_total{reason=\"evacuated\"}") == "1");
    }
    BOOST_TEST(totalRequests() == requestsBefore);
    store.remove("op/evacuate/two");
    BOOST_REQUIRE(know("1"));
    BOOST_TEST(waitUntil([&] { return contains(get(0, "/read/x"), "from t1"); }));
}

/// Guards a caller whose request runs, or waits, at a target when its data centre is evacuated.
BOOST_AUTO_TEST_CASE(evacuation_whileRequestsRunAndWait_runningOnesFinishAndWaitingOnesAreRefused)
{
    addNode("desk", "one");
    addNode("feed", "two");
    m_nodes = 2;
    publish(1, "desk", seconds(6));
    waitReady();
    std::atomic<bool> finishes{false};
    target(0).setBehaviour([&](const Standins::ServerCall &call) {
        waitUntil([&] { return finishes.load(); }, seconds(5));
        return target(0).validReply(call, "ran");
    });
    constexpr std::size_t Slots = 4;
    constexpr std::size_t Waiting = 2;
    std::atomic<unsigned> ran{0};
    std::atomic<unsigned> evacuated{0};
    std::vector<std::thread> callers;
    for (std::size_t n = 0; n < Slots + Waiting; ++n) {
        callers.emplace_back([&] {
            const auto answer = post(1, "/file/x", "body");
            ran += contains(answer, "200 OK") && contains(answer, "ran") ? 1 : 0;
            evacuated += contains(answer, "503") && contains(answer, "\"reason\":\"evacuated\"") ? 1 : 0;
        });
    }
    const bool isFull = waitUntil([&] { return metric(0, "fescuenotch_gate_running") == "4" && metric(0, "fescuenotch_gate_waiting") == "2"; });
    evacuate("one");
    const bool known = know("1");
    const bool refused = waitUntil([&] { return evacuated == Waiting; }, milliseconds(500));
    finishes = true;
    for (auto &each : callers) {
        each.join();
    }
    BOOST_TEST(isFull);
    BOOST_TEST(known);
    BOOST_TEST(refused);
    BOOST_TEST(ran == Slots);
    BOOST_TEST(evacuated == Waiting);
    BOOST_TEST(requestsAt(0) == Slots);
    BOOST_TEST(metric(0, "fescuenotch_gate_refusals_total{reason=\"evacuated\"}") == "2");
}

/// Guards against a node that starts and uses the evacuated data centre before it knows.
BOOST_AUTO_TEST_CASE(evacuation_nodeStartsDuringIt_knowsItWhenReady)
{
    startMesh(1, 1);
    evacuate("one");
    BOOST_REQUIRE(know("1"));
    addNode("desk", "two");
    ++m_nodes;
    waitReady();
    BOOST_TEST(metric(2, "fescuenotch_mesh_evacuated_data_centres") == "1");
    BOOST_TEST(contains(statusOf(2), "\"evacuations_known\":true"));
    BOOST_TEST(contains(statusOf(2), "\"evacuations\":[{\"data_centre\":\"one\",\"evacuated\":true"));
    const auto before = requestsAt(0);
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST(contains(get(2, "/read/x"), "200 OK"));
    }
    BOOST_TEST(requestsAt(0) == before);
}

/// The node that watches the store ends, and the evacuation is written before another one watches. Guards against a gap.
BOOST_AUTO_TEST_CASE(evacuation_writtenWhileTheWatcherEnds_anotherNodeListsIt)
{
    linkMbps = 2'000; // the node with the fastest link watches
    addNode("desk", "one");
    linkMbps = 1'000;
    startMesh(2, 1);
    m_nodes = 4;
    std::this_thread::sleep_for(seconds(1)); // the nodes of the data centre agree on the one that watches
    stopNode(0);
    evacuate("one");
    const auto othersKnow
        = [&] { return metric(1, "fescuenotch_mesh_evacuated_data_centres") == "1" && metric(2, "fescuenotch_mesh_evacuated_data_centres") == "1"; };
    BOOST_TEST(waitUntil(othersKnow, Bound));
}

/// Guards against giving up an evacuation because the store cannot be read, and against missing one that was written just before
/// the watch broke.
BOOST_AUTO_TEST_CASE(evacuation_storeLostAndHistoryForgotten_newestStateApplies)
{
    startMesh(1, 1);
    evacuate("one");
    BOOST_REQUIRE(know("1"));
    store.fault(StoreFault::Lost);
    std::this_thread::sleep_for(seconds(3));
    const auto before = requestsAt(0);
    for (int n = 0; n < 10; ++n) {
        BOOST_TEST(contains(get(0, "/read/x"), "from t1"));
    }
    BOOST_TEST(requestsAt(0) == before);
    evacuate("two");
    store.remove("op/evacuate/one");
    store.forgetHistory();
    store.fault(StoreFault::None);
    BOOST_TEST(know("1"));
    BOOST_TEST(waitUntil([&] { return contains(get(1, "/read/x"), "from t0"); }));
}

/// The store comes back from a copy without the evacuation, which is written again after 1.5 s. Guards against using the data
/// centre in between.
BOOST_AUTO_TEST_CASE(evacuation_storeRestoredWithoutIt_appliesUntilItIsWrittenAgain)
{
    startMesh(1, 1);
    store.snapshot();
    evacuate("one");
    BOOST_REQUIRE(know("1"));
    store.restore();
    const auto before = requestsAt(0);
    const auto begin = Clock::now();
    while (Clock::now() - begin < milliseconds(1'500)) {
        get(0, "/read/x");
    }
    evacuate("one");
    while (Clock::now() - begin < seconds(4)) {
        get(1, "/read/x");
    }
    BOOST_TEST(requestsAt(0) == before);
    BOOST_TEST(metric(0, "fescuenotch_mesh_evacuated_data_centres") == "1");
}

/// Guards against a restored store that brings a lifted evacuation back for good, or lacks one that stays lifted.
BOOST_AUTO_TEST_CASE(evacuation_storeRestoredForGoodWithoutIt_isLiftedAfterTheGrace)
{
    startMesh(1, 1);
    store.snapshot();
    evacuate("one");
    BOOST_REQUIRE(know("1"));
    store.restore();
    BOOST_TEST(know("0"));
}

/// Guards against a key that stops the node, or an evacuation of all data centres at once.
BOOST_AUTO_TEST_CASE(evacuation_unknownEmptyAndOverlongNames_haveNoEffectOnTheOthers)
{
    startMesh(1, 1);
    evacuate("");
    evacuate(std::string(500, 'x'));
    evacuate("nowhere/at all&x=1");
    store.put("op/evacuate/one", "not an object \x01");
    BOOST_REQUIRE(know("2"));
    BOOST_TEST(contains(get(0, "/read/x"), "from t1"));
    store.setPageItems(1);
    addNode("desk", "two");
    ++m_nodes;
    waitReady();
    BOOST_TEST(know("2"));
}

/// Guards against a node that is ready after a start without the store, and then does not know of the evacuation.
BOOST_AUTO_TEST_CASE(evacuation_nodeStartsWhileTheStoreFails_learnsItFromAPeer)
{
    startMesh(1, 1);
    evacuate("one");
    BOOST_REQUIRE(know("1"));
    store.put("servers/t2", entryText("desk", nextTargetAddress(), "two")); // its peers link to the new node
    BOOST_REQUIRE(waitUntil([&] { return metric(0, "fescuenotch_mesh_targets") == "3" && metric(1, "fescuenotch_mesh_targets") == "3"; }));
    store.fault(StoreFault::Busy);
    addNode("desk", "two");
    ++m_nodes;
    waitReady();
    BOOST_TEST(metric(2, "fescuenotch_mesh_evacuated_data_centres") == "1");
    const auto before = requestsAt(0);
    BOOST_TEST(contains(get(2, "/read/x"), "200 OK"));
    BOOST_TEST(requestsAt(0) == before);
}

BOOST_AUTO_TEST_SUITE_END()

/// Guards deployments without the setting against new calls, and against an effect of keys that mean nothing there.
BOOST_FIXTURE_TEST_CASE(evacuation_settingIsMissing_storeIsReadAsBeforeAndKeysHaveNoEffect, MeshFixture)
{
    addNode("desk", "one");
    publish(1);
    store.put("op/evacuate/one", "{}");
    waitReady();
    BOOST_TEST(store.calls("/kv-key") > 0U);
    BOOST_TEST(metric(0, "fescuenotch_store_calls_total{call=\"operator-items\"}") == "0");
    BOOST_TEST(metric(0, "fescuenotch_mesh_evacuated_data_centres") == "0");
    BOOST_TEST(contains(get(0, "/read/x"), "from t0"));
}

/// Guards the price: with the setting the number of calls stays the same.
BOOST_FIXTURE_TEST_CASE(evacuation_settingIsThere_oneListingReplacesTheCallForTheConfiguration, MeshFixture)
{
    evacuationLimit = Bound;
    addNode("desk", "one");
    publish(1);
    waitReady();
    BOOST_TEST(store.calls("/kv-key") == 0U);
    BOOST_TEST(metric(0, "fescuenotch_store_calls_total{call=\"operator-items\"}") == "1");
}
