// Traces recorded from three nodes: one target killed, then one node stopped; and from two nodes at five times what
// their cold targets could take. Replayed, each decision must come out as it is stated there.
#include "requestreplay.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>

using namespace Fescuenotch::Testing;

namespace {

unsigned linesWith(const std::string &file, const std::string &text)
{
    std::ifstream in(file);
    unsigned count = 0;
    for (std::string line; std::getline(in, line);) {
        count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
}

void expectSame(const std::string &file, unsigned lines)
{
    const auto result = replayRequestTrace(file);
    BOOST_TEST(result.lines == lines);
    BOOST_TEST(result.differences.empty());
    for (std::size_t n = 0; n < std::min<std::size_t>(3, result.differences.size()); ++n) {
        BOOST_TEST_MESSAGE(result.differences[n]);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestTraces)

BOOST_AUTO_TEST_CASE(admission_overload_replaysAsStated)
{
    const std::string file = "tests/traces/admission-overload.trace";
    expectSame(file, 281);
    BOOST_TEST(linesWith(file, "\"reason\":\"wait-too-long\"") == 79U);
}

BOOST_AUTO_TEST_CASE(choice_targetKilledAndNodeStopped_replaysAsStated)
{
    expectSame("tests/traces/choice-target-killed-node-stopped.trace", 330);
}

BOOST_AUTO_TEST_CASE(retry_targetKilledAndNodeStopped_replaysAsStated)
{
    const std::string file = "tests/traces/retry-target-killed-node-stopped.trace";
    expectSame(file, 123);
    BOOST_TEST(linesWith(file, "\"retry\":true") == 6U);
}

BOOST_AUTO_TEST_CASE(replay_decisionDiffersFromStated_isReported)
{
    const std::string file = "tests/traces/retry-target-killed-node-stopped.trace";
    const std::string changed = "retry-changed.trace";
    std::ifstream in(file);
    std::ofstream out(changed);
    for (std::string line; std::getline(in, line);) {
        const auto at = line.find("\"retry\":true");
        out << (at == std::string::npos ? line : line.replace(at, 12, "\"retry\":false")) << '\n';
    }
    out.close();
    BOOST_TEST(replayRequestTrace(changed).differences.size() == 6U);
    std::remove(changed.c_str());
}

BOOST_AUTO_TEST_SUITE_END()
