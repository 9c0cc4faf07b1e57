#include "kernel/processmetrics.h"
#include "kernel/settings.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>

using namespace Fescuenotch;

namespace {

std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    BOOST_REQUIRE_MESSAGE(file, "run from the folder of the sources: cannot read " << path);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::set<std::string> matchesOf(const std::string &text, const std::string &pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), expression), end; it != end; ++it) {
        found.insert((*it)[1].str());
    }
    return found;
}

/// Rows of the settings page as the help text has them.
std::set<std::string> settingRows()
{
    const std::regex entry(R"(  (--\S+ \S+)\n      (.*) \((required|default: .*)\)\n      (\S+)\n)");
    const auto help = nodeHelp();
    std::set<std::string> rows;
    for (std::sregex_iterator it(help.begin(), help.end(), entry), end; it != end; ++it) {
        const auto initial = std::regex_replace((*it)[3].str(), std::regex("default: "), "");
        rows.insert("| `" + (*it)[1].str() + "` | `" + (*it)[4].str() + "` | " + initial + " | " + (*it)[2].str() + " |");
    }
    return rows;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Pages)

BOOST_AUTO_TEST_CASE(metricsPage_namesInTheSources_areTheSame)
{
    std::set<std::string> inSources;
    for (const auto &file : std::filesystem::recursive_directory_iterator("src")) {
        if (file.path().extension() == ".cpp") {
            inSources.merge(matchesOf(contentOf(file.path()), "\"(fescuenotch_[a-z_]+)\""));
        }
    }
    const auto inPage = matchesOf(contentOf("docs/METRICS.md"), "\n\\| `(fescuenotch_[a-z_]+)` \\|");
    BOOST_CHECK_EQUAL_COLLECTIONS(inPage.begin(), inPage.end(), inSources.begin(), inSources.end());
    BOOST_TEST(inSources.size() > 30U);
}

BOOST_AUTO_TEST_CASE(settingsPage_helpText_isTheSame)
{
    const auto expected = settingRows();
    const auto inPage = matchesOf(contentOf("docs/SETTINGS.md"), "(\\| `--[^\n]*)");
    BOOST_CHECK_EQUAL_COLLECTIONS(inPage.begin(), inPage.end(), expected.begin(), expected.end());
    BOOST_TEST(expected.size() == matchesOf(nodeHelp(), "\n  (--\\S+)").size());
}

BOOST_AUTO_TEST_CASE(processUsage_ofThisProcess_isPlausible)
{
    const auto usage = processUsage();
    BOOST_TEST(usage.residentBytes > 1'000'000U);
    BOOST_TEST(usage.threads >= 1U);
    BOOST_TEST(usage.openFiles >= 3U);
    BOOST_TEST(usage.processorSeconds > 0);
}

BOOST_AUTO_TEST_SUITE_END()
