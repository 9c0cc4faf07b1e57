// One short run of the soak with a fixed seed.
#include "tests/support/nodeprocess.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

constexpr seconds RunLimit{90}; ///< s; a run takes about twenty

struct SoakFixture {
    Tests::ScratchFolder folder;
    std::string log = folder.path() + "/soak.log";
    Standins::ChildProcess soak{{Standins::buildFolder() + "/fescuenotch-soak",
                                 {"--seed", "1", "--rounds", "3", "--net", "39"},
                                 log,
                                 {"FESCUENOTCH_BUILD=" + Standins::buildFolder()}}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoakTest, SoakFixture)

// Guards the promises that soak/checks.cpp lists, under overlapping stops, signals, kills, pauses and cuts, herds of
// stops, and callers that read slowly.
BOOST_AUTO_TEST_CASE(nodes_plannedAndRoughRoundAndHerds_keepTheirPromises)
{
    BOOST_REQUIRE(!errorOf([&] { return soak.start(); }));
    BOOST_REQUIRE(soak.waitForEnd(RunLimit));
    const bool passed = soak.exitCode() == 0;
    BOOST_TEST(passed, Standins::readFile(log));
    BOOST_TEST(Standins::readFile(log).find("soak seed=1 passed") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
