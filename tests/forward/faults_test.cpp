// Faults that operators of similar systems reported, and the split of traffic under load. Sections: [answers] [restart] [malformed
// input] [traffic split]
#include "tests/forward/meshfixture.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

std::string answerText(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + std::string(RequestIdHeader) + ": " + id + "\r\n" + SignatureHeader + ": m\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

/// Head of an answer whose body ends with the connection.
std::string closeDelimitedHead()
{
    return "HTTP/1.1 200 OK\r\n" + std::string(RequestIdHeader) + ": id-1\r\n" + SignatureHeader + ": m\r\nConnection: close\r\n\r\n";
}

std::string requestIdIn(const std::string &head)
{
    const std::string name = std::string(RequestIdHeader) + ": ";
    const auto at = head.find(name) + name.size();
    return head.substr(at, head.find('\r', at) - at);
}

/// Changes a few bytes of `text`, or cuts it short.
std::string mutated(std::string text, std::mt19937 &random)
{
    const auto below = [&](std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(random); };
    constexpr std::size_t MaxChanges = 6;
    for (auto n = below(MaxChanges) + 1; n > 0; --n) {
        text[below(text.size())] = static_cast<char>(below(256));
    }
    return below(4) == 0 ? text.substr(0, below(text.size())) : text;
}

/// A configuration whose route /read/ goes to "desk" and "feed" with these weights.
std::string splitConfiguration(std::uint64_t version, unsigned deskWeight, unsigned feedWeight)
{
    auto json = nlohmann::json::parse(configurationText(version, "desk", seconds(2)));
    for (auto &route : json["routes"]) {
        if (route["prefix"] == "/read/") {
            route.erase("service");
            route["traffic_split"] = {{{"service", "desk"}, {"weight", deskWeight}}, {{"service", "feed"}, {"weight", feedWeight}}};
        }
    }
    return json.dump();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReportedFaultsTest, MeshFixture)

// ---- [answers] --------------------------------------------------------------------------------------------------

/// Guards against a late second copy of an answer that is taken for the answer to the next request on the same connection.
BOOST_AUTO_TEST_CASE(targetAnswer_secondCopyArrivesWithNextRequest_nextCallerGetsItsOwn)
{
    std::atomic<unsigned> connections{0};
    addRawNode("desk", [&](RawSocket &socket, unsigned) {
        ++connections;
        std::string previous;
        for (;;) {
            const auto head = socket.receiveUntil("\r\n\r\n", seconds(2));
            if (head.empty()) {
                return;
            }
            const auto id = requestIdIn(head);
            if (!previous.empty()) {
                socket.send(answerText(previous, "answer of " + previous));
            }
            socket.send(answerText(id, "answer of " + id));
            previous = id;
        }
    });
    publish(1);
    waitReady();
    constexpr int Requests = 8;
    for (int n = 0; n < Requests; ++n) {
        const auto id = "call-" + std::to_string(n);
        auto socket = RawSocket::connectTo(callerEndpoint(0));
        socket.send(request("GET", "/read/x", id));
        BOOST_TEST(contains(socket.receiveAnswer(), "answer of " + id));
    }
    BOOST_TEST(connections < Requests); // the connection was in use again
}

/// Guards against an answer that broke off and is passed on as complete: it has no length, and a reset instead of its end.
BOOST_AUTO_TEST_CASE(targetAnswer_withoutLengthAndReset_callerGetsNoCompleteAnswer)
{
    for (const std::size_t bytes : {std::size_t(100), std::size_t(3'000'000)}) {
        MeshFixture mesh;
        mesh.addRawNode("desk", [&](RawSocket &socket, unsigned) {
            socket.receiveUntil("\r\n\r\n", seconds(2));
            socket.send(closeDelimitedHead() + std::string(bytes, 'x'));
            std::this_thread::sleep_for(milliseconds(200)); // the node reads what was sent
            socket.reset();
        });
        mesh.publish(1);
        mesh.waitReady();
        auto caller = RawSocket::connectTo(mesh.callerEndpoint(0));
        caller.send(request("GET", "/read/x", "id-1", "Connection: close\r\n"));
        const auto answer = caller.receiveAll(seconds(3));
        const bool looksComplete = contains(answer, "200 OK") && (contains(answer, "\r\n0\r\n\r\n") || !contains(answer, "Transfer-Encoding: chunked"));
        BOOST_TEST(!looksComplete, "answer of " << bytes << " bytes that was reset looks complete");
    }
}

/// Guards against an answer whose status is not one of HTTP and that the caller gets as an answer, or waits for until its deadline.
BOOST_AUTO_TEST_CASE(targetAnswer_statusIsOutsideTheProtocol_callerGetsBadGateway)
{
    for (const std::string body : {"", "ok"}) {
        MeshFixture mesh;
        mesh.addRawNode("desk", [&](RawSocket &socket, unsigned) {
            const auto head = socket.receiveUntil("\r\n\r\n", seconds(2));
            socket.send("HTTP/1.1 000 Unknown\r\n" + std::string(RequestIdHeader) + ": id-1\r\n" + SignatureHeader
                        + ": m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            socket.closedByPeer(seconds(5));
        });
        mesh.publish(1);
        mesh.waitReady();
        auto caller = RawSocket::connectTo(mesh.callerEndpoint(0));
        caller.send(request("POST", "/file/x", "id-1", "Connection: close\r\nContent-Length: 0\r\n"));
        const auto answer = caller.receiveAll(seconds(5));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
        BOOST_TEST(!contains(answer, SignatureHeader));
    }
}

// ---- [restart] --------------------------------------------------------------------------------------------------

/// Guards against a target that had left and is in use again, at any node, because a node that started read a stale list.
BOOST_AUTO_TEST_CASE(nodeStart_staleListHasTargetThatLeft_noNodeUsesItAndNoneLosesAnother)
{
    addNode("desk");
    publish(1);
    waitReady();
    store.put("servers/gone", entryText("desk", {"127.0.0.9", 9'000}, "one"));
    BOOST_REQUIRE(waitUntil([&] { return contains(statusOf(0), "\"gone\""); }));
    store.snapshot();
    store.answerStaleReadsFromSnapshot();
    store.remove("servers/gone");
    BOOST_REQUIRE(waitUntil([&] { return !contains(statusOf(0), "\"gone\""); }));
    addNode("desk");
    waitReady();
    BOOST_TEST(!contains(statusOf(1), "\"gone\""));
    BOOST_TEST(contains(statusOf(1), "\"t1\""));
    const auto until = Clock::now() + seconds(2);
    while (Clock::now() < until) {
        const auto status = statusOf(0);
        BOOST_TEST(!contains(status, "\"gone\""));
        BOOST_TEST(contains(status, "\"t1\""));
        std::this_thread::sleep_for(milliseconds(50));
    }
}

// ---- [malformed input] ------------------------------------------------------------------------------------------

/// Guards against a process that ends, or loses its other links, because of bytes that are no frames.
BOOST_AUTO_TEST_CASE(peerLink_bytesThatAreNoFrames_nodeKeepsServing)
{
    constexpr unsigned Seed = 20'261'204;
    BOOST_TEST_MESSAGE("seed " << Seed);
    std::mt19937 random(Seed);
    addNode("desk");
    addNode("desk");
    publish(1);
    waitReady();
    constexpr int Connections = 60;
    for (int n = 0; n < Connections; ++n) {
        auto socket = RawSocket::connectTo(peerEndpoint(0));
        std::string bytes(std::uniform_int_distribution<std::size_t>(1, 4'000)(random), '\0');
        std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(random()); });
        if (n % 2 == 0) { // a size that fits, so that the content is read
            const auto size = static_cast<std::uint32_t>(bytes.size());
            bytes.insert(0, reinterpret_cast<const char *>(&size), sizeof size);
        }
        socket.send(bytes);
        socket.receiveAll(milliseconds(5));
    }
    for (int n = 0; n < 10; ++n) {
        BOOST_TEST(contains(get(0, "/read/x"), "200 OK"));
    }
    BOOST_TEST(metric(0, "fescuenotch_unexpected_errors") == "0");
    BOOST_TEST(metric(0, "fescuenotch_mesh_links") == "1");
}

/// Guards against a process that ends because of one document in the store.
BOOST_AUTO_TEST_CASE(storeItems_mutatedDocuments_nodeKeepsServing)
{
    constexpr unsigned Seed = 4'122'026;
    BOOST_TEST_MESSAGE("seed " << Seed);
    std::mt19937 random(Seed);
    addNode("desk");
    publish(1);
    waitReady();
    const auto entry = entryText("desk", {"127.0.0.9", 9'000}, "one");
    const auto configuration = configurationText(2, "desk", seconds(2));
    constexpr int Documents = 150;
    for (int n = 0; n < Documents; ++n) {
        store.put("servers/x" + std::to_string(n % 5), mutated(entry, random));
        store.put("op/config", mutated(configuration, random));
        if (n % 10 == 0) {
            std::this_thread::sleep_for(milliseconds(30));
        }
    }
    for (int n = 0; n < 5; ++n) {
        store.remove("servers/x" + std::to_string(n));
    }
    publish(1'000);
    BOOST_TEST(waitUntil([&] { return metric(0, "fescuenotch_mesh_configuration_version") == "1000"; }));
    BOOST_TEST(contains(get(0, "/read/x"), "200 OK"));
    BOOST_TEST(metric(0, "fescuenotch_unexpected_errors") == "0");
}

// ---- [traffic split] --------------------------------------------------------------------------------------------

/// Guards against a split whose weights give way when one part is short of room: what does not fit there is refused, not moved.
BOOST_AUTO_TEST_CASE(trafficSplit_onePartIsFull_otherPartGetsNoMoreThanItsWeight)
{
    addNode("desk");
    addNode("feed");
    store.put("op/config", splitConfiguration(1, 50, 50));
    waitReady();
    target(1).setBehaviour([this](const Standins::ServerCall &call) { return target(1).delayedReply(call, milliseconds(400)); });
    constexpr int Callers = 24;
    constexpr int RequestsEach = 15;
    std::atomic<unsigned> served{0};
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (int n = 0; n < Callers; ++n) {
        callers.emplace_back([&] {
            for (int i = 0; i < RequestsEach; ++i) {
                served += contains(get(0, "/read/x"), "200 OK") ? 1 : 0;
            }
        });
    }
    for (auto &each : callers) {
        each.join();
    }
    constexpr double Sent = Callers * RequestsEach;
    const auto atDesk = static_cast<double>(target(0).requests().size());
    BOOST_TEST_MESSAGE("served " << served << " of " << Sent << ", at desk " << atDesk);
    BOOST_TEST(atDesk / Sent > 0.5 - 0.1);
    BOOST_TEST(atDesk / Sent < 0.5 + 0.1);
    BOOST_TEST(served < Sent); // the other part was short of room
}

BOOST_AUTO_TEST_SUITE_END()
