#include "mesh/storewatcherselection.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace Fescuenotch;

namespace {

/// Five nodes of a data centre that exchange heartbeats.
struct SelectionFixture {
    TimePoint now = TimePoint(seconds(1'000));
    std::vector<std::string> hosts{"127.1.0.1", "127.1.0.2", "127.1.0.3", "127.1.0.4", "127.1.0.5"};
    std::map<std::string, std::unique_ptr<StoreWatcherSelection>> selections;
    std::map<std::string, bool> watches;
    std::vector<std::string> dead;
    std::vector<std::string> withoutStore; ///< nodes that get no responses from the store

    SelectionFixture()
    {
        for (const auto &host : hosts) {
            selections[host] = std::make_unique<StoreWatcherSelection>(host, linkMbpsOf(host));
            watches[host] = true;
        }
    }

    /// Mbit/s; one host has a fast link.
    static unsigned linkMbpsOf(const std::string &host)
    {
        return host == "127.1.0.4" ? 100 : 6;
    }

    bool isIn(const std::vector<std::string> &list, const std::string &host) const
    {
        return std::find(list.begin(), list.end(), host) != list.end();
    }

    void run(milliseconds time)
    {
        for (const auto until = now + time; now < until; now += milliseconds(100)) {
            for (const auto &from : hosts) {
                for (const auto &to : hosts) {
                    if (from != to && !isIn(dead, from) && !isIn(dead, to)) {
                        const bool fresh = watches[from] && !isIn(withoutStore, from);
                        selections[to]->onHeartbeat(now, from, linkMbpsOf(from), fresh ? Duration(milliseconds(200)) : Duration::max());
                    }
                }
            }
            for (const auto &host : hosts) {
                watches[host] = selections[host]->shouldWatch(now, hosts);
            }
        }
    }

    std::vector<std::string> watching() const
    {
        std::vector<std::string> found;
        for (const auto &host : hosts) {
            if (watches.at(host) && !isIn(dead, host)) {
                found.push_back(host);
            }
        }
        return found;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreWatcherSelectionTest, SelectionFixture)

BOOST_AUTO_TEST_CASE(allConnected_oneFastLink_onlyThatNodeWatches)
{
    run(seconds(3));
    BOOST_REQUIRE(watching().size() == 1U);
    BOOST_TEST(watching().front() == "127.1.0.4");
}

BOOST_AUTO_TEST_CASE(watchingNode_stops_anotherTakesOverWithinTwoSeconds)
{
    run(seconds(3));
    dead = watching();
    run(seconds(2));
    BOOST_TEST(watching().size() == 1U);
}

BOOST_AUTO_TEST_CASE(watchingNode_getsNoStoreResponses_anotherWatchesToo)
{
    run(seconds(3));
    withoutStore = watching();
    run(seconds(2));
    const auto watchers = watching();
    BOOST_TEST(std::any_of(watchers.begin(), watchers.end(), [&](const auto &host) { return !isIn(withoutStore, host); }));
}

BOOST_AUTO_TEST_CASE(store_answersNoNode_allWatch)
{
    run(seconds(3));
    withoutStore = hosts;
    run(seconds(3));
    BOOST_TEST(watching().size() == hosts.size());
}

BOOST_AUTO_TEST_CASE(singleNode_noPeers_watches)
{
    StoreWatcherSelection selection("127.1.0.9", 100);
    BOOST_TEST(selection.shouldWatch(now, {"127.1.0.9"}));
}

BOOST_AUTO_TEST_SUITE_END()
