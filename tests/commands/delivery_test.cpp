// Answers that callers of the real program still read when its process ends.
#include "platform/names.h"
#include "tests/support/nodeprocess.h"
#include "tests/support/storestandin.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr milliseconds StartLimit{10'000}; ///< ms
constexpr milliseconds StopLimit{4'000}; ///< ms; the process exits 3.5 s after SIGTERM
constexpr milliseconds ReadLimit{15'000}; ///< ms
constexpr int ReceiveBuffer = 8 * 1024; ///< bytes; so that answers wait in the node
constexpr std::size_t ChunkBytes = 0x8000;
constexpr std::size_t AnswerBytes = 30 * ChunkBytes;

std::string nextAddress()
{
    static unsigned host = 0;
    return "127.24." + std::to_string(::getpid() % 250 + 1) + "." + std::to_string(++host);
}

/// Reads the head of a request and writes an answer of AnswerBytes without a length.
void answerInChunks(RawSocket &socket, unsigned)
{
    const auto head = socket.receiveUntil("\r\n\r\n");
    const auto at = head.find(Platform::RequestIdHeader);
    const auto idLine = at == std::string::npos ? std::string() : head.substr(at, head.find('\r', at) - at);
    socket.send("HTTP/1.1 200 OK\r\n" + idLine + "\r\n" + Platform::SignatureHeader + ": seal\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t n = 0; n < AnswerBytes; n += ChunkBytes) {
        socket.send("8000\r\n" + std::string(ChunkBytes, 'x') + "\r\n");
    }
    socket.send("0\r\n\r\n");
    socket.closedByPeer(ReadLimit);
}

struct ProcessFixture {
    ProcessFixture()
        : m_address(nextAddress())
        , m_store({m_address, 9'806})
        , node({m_folder.path(), "node", m_address, m_address, "desk", "one", m_store.endpoint(), StopLimit})
    {
        m_store.put("servers/t0", entryText("desk", node.targetEndpoint(), "one"));
        m_store.put("op/config", configurationText(1, "desk", seconds(10)));
        node.start();
        BOOST_REQUIRE(node.waitReady(StartLimit));
    }

    /// Sends a request, and SIGTERM once its answer has begun; reads the answer at this rate.
    std::string readWhileTheProcessStops(RawSocket &socket, const std::string &request, std::size_t bytesPerSecond)
    {
        socket.send(request);
        auto answer = socket.receiveUntil("\r\n\r\n");
        node.process().signal(SIGTERM);
        answer += socket.receiveAtRate(bytesPerSecond, ReadLimit);
        BOOST_TEST(node.process().waitForEnd(StopLimit));
        return answer;
    }

    RawSocket connectSlowReader()
    {
        return RawSocket::connectTo(node.callerEndpoint(), ReceiveBuffer);
    }

private:
    ScratchFolder m_folder;
    std::string m_address;
    StoreStandin m_store;

public:
    NodeProcess node;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DeliveryAtExitTest, ProcessFixture)

/// Guards against the end of an answer that is lost with the process, although the kernel could have sent it after the process had gone.
BOOST_AUTO_TEST_CASE(exit_answerIsStillBeingRead_theKernelSendsTheRest)
{
    RunJournal journal;
    const PlatformTarget target("t0", node.targetEndpoint(), journal);
    auto socket = connectSlowReader();
    const auto request = "GET /read/0/" + std::to_string(AnswerBytes) + " HTTP/1.1\r\nHost: desk\r\n" + Platform::RequestIdHeader + ": id-1\r\n\r\n";
    const auto answer = readWhileTheProcessStops(socket, request, 200'000);
    BOOST_TEST(answer.size() - answer.find("\r\n\r\n") - 4 == AnswerBytes);
    BOOST_TEST(!socket.wasReset());
}

/// Guards against an answer without a length that the end of the process cuts, and that looks complete because only the close ends it.
/// Whether the kernel takes all of it depends on the machine.
BOOST_AUTO_TEST_CASE(exit_answerThatEndsWithItsConnection_isWholeOrReset)
{
    const RawServer target(node.targetEndpoint(), answerInChunks);
    auto socket = connectSlowReader();
    const auto request = std::string("GET /read/x HTTP/1.0\r\nHost: desk\r\n") + Platform::RequestIdHeader + ": id-1\r\n\r\n";
    const auto answer = readWhileTheProcessStops(socket, request, 100'000);
    const auto isWhole = std::count(answer.begin(), answer.end(), 'x') == static_cast<std::ptrdiff_t>(AnswerBytes);
    BOOST_TEST((isWhole || socket.wasReset()), "got " << answer.size() << " bytes and a regular end");
}

BOOST_AUTO_TEST_SUITE_END()
