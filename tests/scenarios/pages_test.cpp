// docs/SCENARIOS.md lists each step of the language and no other.
#include "tests/scenarios/scenario.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <regex>
#include <set>

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

BOOST_AUTO_TEST_SUITE_END()
