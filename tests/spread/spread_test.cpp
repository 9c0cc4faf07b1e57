// Records reach every node, whatever breaks on the way.
#include "fleet.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

const std::string Key = "profile/desk";
constexpr seconds Target{6};

struct TwoCentres : Fleet {
    explicit TwoCentres(std::uint64_t seed = 1, SpreadWay way = SpreadWay::TreeDigest)
        : Fleet(seed, way)
        , first(list(1, 6))
        , second(list(2, 6))
    {
        publish(Key, "v1");
        startAll();
        BOOST_REQUIRE(runUntil([this] { return allTrusted() && allHold(Key, Version{1, 1}); }, seconds(8)));
        run(seconds(3));
    }
    ~TwoCentres()
    {
        BOOST_TEST(faults.empty());
    }

    std::vector<std::string> first;
    std::vector<std::string> second;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Spread)

BOOST_AUTO_TEST_CASE(herd_start_trustedEverywhereWithinSeconds)
{
    Fleet fleet;
    fleet.list(1, 2);
    fleet.list(2, 2);
    const auto version = fleet.publish(Key, "v1");
    fleet.startAll();
    const TimePoint begin = fleet.now();
    BOOST_TEST(fleet.runUntil([&] { return fleet.allTrusted() && fleet.allHold(Key, version); }, seconds(4)));
    BOOST_TEST_MESSAGE("ready after ms " << std::chrono::duration_cast<milliseconds>(fleet.now() - begin).count());
}

BOOST_AUTO_TEST_CASE(change_published_heldEverywhere)
{
    TwoCentres fleet;
    const auto version = fleet.publish(Key, "v2");
    const TimePoint begin = fleet.now();
    BOOST_TEST(fleet.runUntil([&] { return fleet.allHold(Key, version); }, Target));
    BOOST_TEST_MESSAGE("held after ms " << std::chrono::duration_cast<milliseconds>(fleet.now() - begin).count());
    BOOST_TEST(fleet.readersNow().size() == 6U);
}

BOOST_AUTO_TEST_SUITE_END()
