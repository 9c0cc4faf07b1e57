#include "tests/scenarios/checks.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;
using namespace Fescuenotch::Scenarios;

namespace {

struct ChecksFixture {
    std::set<Version> published{{1, 3}, {1, 4}, {1, 5}, {2, 4}};
    std::vector<std::string> faults(const std::vector<NodeLife> &lives) const
    {
        return versionFaults("node 1 of east", lives, published);
    }
};

const std::string logLine = "time=2026-01-31T12:00:00.123Z level=info event=profile_in_force host=127.24.1.11 profile=desk epoch=1 revision=4\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(Checks, ChecksFixture)

BOOST_AUTO_TEST_CASE(inForceLines_amongOthers_areRead)
{
    const auto life = readInForceLines("event=node_started\n" + logLine + "time=x level=info event=link_lost peer=a\n");
    BOOST_REQUIRE(life.size() == 1);
    BOOST_TEST(life[0].profile == "desk");
    BOOST_TEST(bool(life[0].version == Version{1, 4}));
}

BOOST_AUTO_TEST_CASE(versions_risingWithEpochFirst_areRight)
{
    BOOST_TEST(faults({{{"desk", {1, 4}}, {"desk", {1, 5}}}, {{"desk", {1, 5}}, {"desk", {2, 4}}}}).empty());
}

BOOST_AUTO_TEST_CASE(versions_downWithinOneLife_areAFault)
{
    BOOST_TEST(faults({{{"desk", {1, 5}}, {"desk", {1, 4}}}}).size() == 1);
}

BOOST_AUTO_TEST_CASE(versions_downAfterARestart_areAFault)
{
    BOOST_TEST(faults({{{"desk", {1, 5}}}, {{"desk", {1, 4}}}}).size() == 1);
}

BOOST_AUTO_TEST_CASE(versions_neverPublished_areAFault)
{
    BOOST_TEST(faults({{{"desk", {1, 9}}}}).size() == 1);
}

BOOST_AUTO_TEST_CASE(writes_ranOnceOrNot_areRight)
{
    Journal runs;
    readJournal(R"({"event":"started","method":"POST","token":"a"}
{"event":"finished","method":"POST","token":"a"}
{"event":"started","method":"POST","token":"c"}
{"event":"start)",
                runs);
    BOOST_TEST(writeFaults({{"a", CallEnd::Ran}, {"b", CallEnd::NotRun}, {"c", CallEnd::Unknown}}, runs).empty());
}

BOOST_AUTO_TEST_CASE(writes_againstTheirAnswer_areFaults)
{
    const Journal runs{{"twice", {2, 1}}, {"refused", {1, 0}}, {"unfinished", {1, 0}}};
    BOOST_TEST(writeFaults({{"twice", CallEnd::Unknown}}, runs).size() == 1);
    BOOST_TEST(writeFaults({{"refused", CallEnd::NotRun}}, runs).size() == 1);
    BOOST_TEST(writeFaults({{"unfinished", CallEnd::Ran}}, runs).size() == 1);
    BOOST_TEST(writeFaults({{"missing", CallEnd::Ran}}, runs).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
