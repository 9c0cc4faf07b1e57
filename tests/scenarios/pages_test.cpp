// docs/SCENARIOS.md lists each step of the language and no other; each test that docs/PROOFS.md names exists.
#include "tests/scenarios/scenario.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

using namespace Fescuenotch;
using namespace Fescuenotch::Scenarios;

namespace {

std::string page(const std::string &name)
{
    return Standins::readFile((std::filesystem::path(__FILE__).parent_path() / "../../docs" / name).string());
}

/// Everything between backquotes in the part "## Steps".
std::set<std::string> documentedSteps()
{
    const auto text = page("SCENARIOS.md");
    const auto start = text.find("## Steps");
    const auto part = text.substr(start, text.find("## What every", start) - start);
    const std::regex quoted("`([^`]+)`");
    std::set<std::string> found;
    for (std::sregex_iterator it(part.begin(), part.end(), quoted), end; it != end; ++it) {
        const auto step = (*it)[1].str();
        if (step.find(' ') != std::string::npos) {
            found.insert(step);
        }
    }
    return found;
}

/// Tests as docs/PROOFS.md names them: program, suite and case.
struct NamedTest {
    std::string program;
    std::string suite;
    std::string name;
};

std::vector<NamedTest> namedTests()
{
    const auto text = page("PROOFS.md");
    const std::regex quoted("`(test_[a-z]+):([A-Za-z]+)/([A-Za-z0-9_]+)`");
    std::vector<NamedTest> found;
    for (std::sregex_iterator it(text.begin(), text.end(), quoted), end; it != end; ++it) {
        found.push_back({(*it)[1], (*it)[2], (*it)[3]});
    }
    return found;
}

/// What a test program lists: suites at the left, their cases indented.
std::set<std::string> listedTests(const std::string &program)
{
    const auto log = Standins::buildFolder() + "/" + program + ".list";
    std::filesystem::remove(log);
    Standins::ChildProcess child({Standins::buildFolder() + "/" + program, {"--list_content"}, log});
    BOOST_TEST(!errorOf([&] { return child.start(); }));
    BOOST_TEST(child.waitForEnd(seconds(20)));
    std::set<std::string> found;
    std::istringstream lines(Standins::readFile(log));
    std::string line;
    std::string suite;
    while (std::getline(lines, line)) {
        const auto start = line.find_first_not_of(' ');
        const auto name = line.substr(std::min(start, line.size()), line.find('*') - start);
        if (start == 0) {
            suite = name;
        }
        found.insert(suite + "/" + name);
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Pages)

BOOST_AUTO_TEST_CASE(scenariosPage_steps_areThoseOfTheLanguage)
{
    const auto patterns = allPatterns();
    const std::set<std::string> known(patterns.begin(), patterns.end());
    const auto documented = documentedSteps();
    for (const auto &step : known) {
        BOOST_TEST(documented.contains(step), "docs/SCENARIOS.md lacks: " << step);
    }
    for (const auto &step : documented) {
        BOOST_TEST(known.contains(step), "no such step: " << step);
    }
}

BOOST_AUTO_TEST_CASE(proofsPage_eachTestNamed_exists)
{
    const auto named = namedTests();
    BOOST_TEST(named.size() > 30U);
    std::map<std::string, std::set<std::string>> listed;
    for (const auto &test : named) {
        if (!listed.contains(test.program)) {
            listed[test.program] = listedTests(test.program);
        }
        const auto name = test.suite + "/" + test.name;
        BOOST_TEST(listed[test.program].contains(name), "docs/PROOFS.md names " << test.program << ":" << name << ", which does not exist");
    }
}

BOOST_AUTO_TEST_SUITE_END()
