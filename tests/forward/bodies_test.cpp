// Bodies of requests that are not what they were announced to be.
#include "tests/forward/meshfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

BOOST_FIXTURE_TEST_SUITE(BodiesTest, MeshFixture)

/// Guards against a node that takes the time that a caller needs for its body as the target's.
BOOST_AUTO_TEST_CASE(body_unfinishedUntilTheTimeout_nextRequestWithLessTimeIsServed)
{
    constexpr std::size_t BodyBytes = 200'000; // streamed, so that the target gets the request before its body is complete
    addNode("desk");
    publish(1);
    waitReady();
    auto unfinished = RawSocket::connectTo(callerEndpoint(0));
    unfinished.send(request("POST", "/file/x", "id-1", "Content-Length: " + std::to_string(BodyBytes) + "\r\n") + std::string(BodyBytes - 1, '.'));
    BOOST_TEST(contains(unfinished.receiveAnswer(), " 504 "));
    BOOST_REQUIRE(waitUntil([&] { return metric(0, "fescuenotch_gate_running") == "0"; }));
    auto other = RawSocket::connectTo(callerEndpoint(0));
    other.send(request("POST", "/file/x", "id-2", std::string(TimeLeftHeader) + ": 1000\r\nContent-Length: 1\r\n") + "b");
    const auto answer = other.receiveAnswer();
    BOOST_TEST(contains(answer, " 200 "), answer);
}

BOOST_AUTO_TEST_SUITE_END()
