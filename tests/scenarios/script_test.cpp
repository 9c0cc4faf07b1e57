#include "tests/scenarios/script.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;
using namespace Fescuenotch::Scenarios;

namespace {

struct ScriptFixture {
    std::vector<std::string> patterns{
        "start <processes>",
        "cut <link>",
        "publish profile <name>",
        "expect profile <name> in force on <processes> within <time>",
        "data-centre <name> has <number> hosts of <name>",
    };
    std::vector<Step> steps(const std::string &text) const
    {
        auto parsed = parseScript(text, patterns);
        BOOST_REQUIRE(parsed.index() == 0);
        return std::get<0>(parsed);
    }
    ScriptFault fault(const std::string &text) const
    {
        auto parsed = parseScript(text, patterns);
        BOOST_REQUIRE(parsed.index() == 1);
        return std::get<1>(parsed);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Script, ScriptFixture)

BOOST_AUTO_TEST_CASE(script_commentsAndBlankLines_areSkipped)
{
    const auto found = steps("# a comment\n\n  start platform  # and another\n");
    BOOST_REQUIRE(found.size() == 1);
    BOOST_TEST(found[0].line == 3U);
    BOOST_TEST(found[0].text == "start platform");
    BOOST_TEST(bool(found[0].arguments.processes[0].kind == ProcessKind::Platform));
}

BOOST_AUTO_TEST_CASE(script_processWords_giveTheirSets)
{
    const auto found = steps("start every node but 2 of east\nstart target 3 of west\nstart readers of east\n");
    const auto &but = found[0].arguments.processes[0];
    BOOST_TEST(but.but);
    BOOST_TEST(but.number == 2U);
    BOOST_TEST(but.dataCentre == "east");
    const auto &target = found[1].arguments.processes[0];
    BOOST_TEST(bool(target.kind == ProcessKind::Target));
    BOOST_TEST(target.number == 3U);
    BOOST_TEST(found[2].arguments.processes[0].readersOnly);
}

BOOST_AUTO_TEST_CASE(script_severalArguments_keepTheirOrder)
{
    const auto found = steps("data-centre east has 4 hosts of desk\nexpect profile p in force on nodes of east within 250ms\ncut link to target 2 of east");
    BOOST_TEST(found[0].arguments.names[0] == "east");
    BOOST_TEST(found[0].arguments.names[1] == "desk");
    BOOST_TEST(found[0].arguments.numbers[0] == 4U);
    BOOST_TEST(found[1].arguments.times[0].count() == 250);
    BOOST_TEST(found[2].arguments.links[0].target == 2U);
}

BOOST_AUTO_TEST_CASE(script_wrongWord_namesLineAndColumn)
{
    const auto found = fault("start platform\n  expect profile p in place on every node within 6s\n");
    BOOST_TEST(found.line == 2U);
    BOOST_TEST(found.column == 23U);
    BOOST_TEST(found.what == "found 'place' where 'force' was expected");
}

BOOST_AUTO_TEST_CASE(script_lineEndsTooSoon_namesTheColumnAfterIt)
{
    const auto found = fault("publish profile");
    BOOST_TEST(found.line == 1U);
    BOOST_TEST(found.column == 16U);
    BOOST_TEST(found.what == "found the end of the line where a name was expected");
}

BOOST_AUTO_TEST_CASE(script_timeWithoutUnit_isAFault)
{
    BOOST_TEST(fault("expect profile p in force on every node within 6").column == 48U);
}

BOOST_AUTO_TEST_CASE(script_wordsAfterTheStep_areAFault)
{
    BOOST_TEST(fault("publish profile p twice").column == 19U);
}

BOOST_AUTO_TEST_CASE(script_unknownVerb_listsTheVerbs)
{
    BOOST_TEST(fault("begin platform").what == "found 'begin' where 'start', 'cut', 'publish', 'expect' or 'data-centre' was expected");
}

BOOST_AUTO_TEST_SUITE_END()
