// Short runs of the soak with fixed seeds.
#include "tests/support/nodeprocess.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

constexpr seconds RunLimit{90}; ///< s; a run takes about thirty

struct SoakFixture {
    Tests::ScratchFolder folder;
    std::string log = folder.path() + "/soak.log";

    void checkPasses(const std::string &seed, const std::vector<std::string> &rounds) const
    {
        std::vector<std::string> args{"--seed", seed, "--net", "39"};
        args.insert(args.end(), rounds.begin(), rounds.end());
        Standins::ChildProcess soak({Standins::buildFolder() + "/fescuenotch-soak", args, log, {"FESCUENOTCH_BUILD=" + Standins::buildFolder()}});
        BOOST_REQUIRE(!errorOf([&] { return soak.start(); }));
        BOOST_REQUIRE(soak.waitForEnd(RunLimit));
        const bool passed = soak.exitCode() == 0;
        BOOST_TEST(passed, Standins::readFile(log));
        BOOST_TEST(Standins::readFile(log).find("soak seed=" + seed + " passed") != std::string::npos);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SoakTest, SoakFixture)

// Guards the promises that soak/checks.cpp lists, under overlapping stops, signals, kills, pauses and cuts.
BOOST_AUTO_TEST_CASE(nodes_plannedAndRoughRound_keepTheirPromises)
{
    checkPasses("1", {"--rounds", "2"});
}

// Guards answers and requests that are lost while most of the nodes stop shortly after one another and callers read slowly.
BOOST_AUTO_TEST_CASE(nodes_herdsOfStopsAndSlowCallers_keepTheirPromises)
{
    checkPasses("107", {"--rounds", "1", "--kind", "3"});
}

BOOST_AUTO_TEST_SUITE_END()
