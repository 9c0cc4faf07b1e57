// Each file tests/scenarios/NAME.scn is the test case Scenarios/NAME.
#include "tests/scenarios/scenario.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>

namespace {

using namespace Fescuenotch::Scenarios;
namespace ut = boost::unit_test;

constexpr unsigned NetsPerScenario = 8; ///< data centres at most
constexpr unsigned MaxNets = 240;

std::vector<std::filesystem::path> scriptFiles()
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(std::filesystem::path(__FILE__).parent_path())) {
        if (entry.path().extension() == ".scn") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

void runFile(const std::string &path, unsigned firstNet)
{
    try {
        const auto output = runScenario(path, firstNet);
        BOOST_TEST_MESSAGE(output);
        BOOST_TEST(!output.empty());
    } catch (const ScenarioFailure &failure) {
        BOOST_ERROR(failure.what());
    }
}

bool registerScripts()
{
    auto *suite = BOOST_TEST_SUITE("Scenarios");
    unsigned n = 0;
    for (const auto &path : scriptFiles()) {
        const auto firstNet = 1 + n++ * NetsPerScenario % MaxNets;
        suite->add(ut::make_test_case([=] { runFile(path.string(), firstNet); }, path.stem().string(), __FILE__, __LINE__));
    }
    ut::framework::master_test_suite().add(suite);
    return true;
}

const bool registered = registerScripts();

} // namespace
