// Answers that cross a link between nodes: neither a stop nor the end of a connection may cut what is still on its way.
// Sections: [peer] [stop] [target]
#include "forward/linkcodec.h"
#include "tests/forward/meshfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr std::size_t AnswerBytes = 150'000; ///< bytes; less than the credit of one answer, so that it is handed over at once
constexpr std::size_t LargeAnswerBytes = 3'000'000; ///< bytes; the exit node holds it back while its caller reads slowly
constexpr int ReceiveBuffer = 8 * 1024; ///< bytes; so that an answer waits in the node and not in the test's sockets
constexpr std::size_t SlowRate = 100'000; ///< bytes a second
constexpr std::size_t LargeAnswerRate = 1'000'000; ///< bytes a second
constexpr milliseconds ReadLimit{8'000}; ///< ms

// ---- [peer] -----------------------------------------------------------------------------------------------------

/// A peer that opens one request, and then reads its link slowly and goes on sending, as entry nodes do.
class SlowPeer
{
public:
    explicit SlowPeer(const Endpoint &to)
        : m_socket(RawSocket::connectTo(to, ReceiveBuffer))
    {
        const auto now = Clock::now();
        ForwardRequest request;
        request.requestId = "id-1";
        request.service = "desk";
        request.targetId = "t0";
        request.route = "read";
        request.method = "GET";
        request.path = "/read/large";
        request.headers = {{"Host", "desk"}, {RequestIdHeader, "id-1"}};
        request.deadline = now + seconds(8);
        request.goal = now + seconds(8);
        request.bodyLength = 0;
        m_socket.send(encodeGreeting({"peer", "one", 1}, now));
        m_socket.send(encodeOpen(1, request, now));
        m_reader.allowLargeFrames();
        m_receiver = std::thread([this] { receive(); });
    }

    ~SlowPeer()
    {
        join();
    }

    void join()
    {
        if (m_receiver.joinable()) {
            m_receiver.join();
        }
    }

    std::size_t bodyBytes = 0;
    bool complete = false;

private:
    void receive()
    {
        const auto begin = Clock::now();
        std::size_t total = 0;
        std::string bytes;
        while (!complete && m_socket.receiveSome(bytes, seconds(2), SlowRate / 100) > 0 && Clock::now() - begin < ReadLimit) {
            total += bytes.size();
            m_reader.append(bytes);
            bytes.clear();
            readFrames();
            m_socket.send(encodeCredit(2, 1));
            std::this_thread::sleep_until(begin + milliseconds(total * 1'000 / SlowRate));
        }
    }

    void readFrames()
    {
        for (;;) {
            const auto next = valueOrError([&] { return m_reader.next(); });
            const auto *frame = std::holds_alternative<Error>(next) ? nullptr : std::get<0>(next);
            if (frame == nullptr) {
                return;
            }
            if (const auto *body = frame->message_as_AnswerBody()) {
                bodyBytes += toStringView(body->bytes()).size();
            } else if (const auto *ended = frame->message_as_Ended()) {
                complete = decodeEnded(*ended).complete;
            }
        }
    }

    RawSocket m_socket;
    LinkFrameReader m_reader;
    std::thread m_receiver;
};

struct LinkDeliveryFixture : MeshFixture {
    /// The answer to a request with a body of 2 MB, from a target that runs `script`.
    std::string postToTarget(RawServer::Script script)
    {
        addNode("feed");
        addRawNode("desk", std::move(script));
        publish(1, "desk", seconds(10));
        waitReady();
        return post(0, "/file/x", std::string(2'000'000, 'b'));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkDeliveryTest, LinkDeliveryFixture)

// ---- [stop] -----------------------------------------------------------------------------------------------------

/// Guards against a node that exits when its answers to peers are in the kernel: the next bytes of a peer make the kernel discard them.
BOOST_AUTO_TEST_CASE(stop_peerReadsItsLinkSlowly_answerIsComplete)
{
    addNode("desk");
    publish(1, "desk", seconds(10));
    waitReady();
    target(0).setBehaviour([this](const Standins::ServerCall &call) { return target(0).validReply(call, std::string(AnswerBytes, 'x')); });
    SlowPeer peer(peerEndpoint(0));
    BOOST_REQUIRE(waitUntil([this] { return totalRequests() == 1; }));
    removeNode(0);
    peer.join();
    BOOST_TEST(peer.bodyBytes == AnswerBytes);
    BOOST_TEST(peer.complete);
}

// ---- [target] ---------------------------------------------------------------------------------------------------

/// Guards against a target's answer that is cut because its connection ends while this node holds it back for a slow caller.
BOOST_AUTO_TEST_CASE(target_closesAfterAnAnswerThatIsReadSlowly_answerIsComplete)
{
    addNode("desk");
    addRawNode("feed", [](RawSocket &socket, unsigned) {
        if (!contains(socket.receiveUntil("\r\n\r\n", seconds(2)), "/feed/")) {
            return;
        }
        socket.send("HTTP/1.1 200 OK\r\nTry-Id: id-1\r\nTarget-Mark: m\r\nConnection: close\r\nContent-Length: " + std::to_string(LargeAnswerBytes) + "\r\n\r\n"
                    + std::string(LargeAnswerBytes, 'x'));
    });
    publish(1, "desk", seconds(10));
    waitReady();
    auto socket = RawSocket::connectTo(callerEndpoint(0), ReceiveBuffer);
    socket.send(request("GET", "/feed/large", "id-1", "Connection: close\r\n"));
    const auto answer = socket.receiveAtRate(LargeAnswerRate, ReadLimit);
    BOOST_TEST(isComplete(answer), "got " << answer.size() << " bytes");
}

/// A target that answers when it has the head of a request, leaves the body unread, and ends the connection after `wait`.
RawServer::Script earlyAnswer(milliseconds wait)
{
    return [wait](RawSocket &socket, unsigned) {
        if (!contains(socket.receiveUntil("\r\n\r\n", seconds(2)), "/file/")) {
            return;
        }
        socket.send("HTTP/1.1 200 OK\r\nTry-Id: id-2\r\nTarget-Mark: m\r\nContent-Length: 40000\r\n\r\n" + std::string(40'000, 'x'));
        std::this_thread::sleep_for(wait);
    };
}

/// Guards against a complete answer that is lost because the target gave it before it had read the request's body.
BOOST_AUTO_TEST_CASE(target_answersBeforeItReadsTheBody_answerIsComplete)
{
    const auto answer = postToTarget(earlyAnswer(milliseconds(500)));
    BOOST_TEST(isComplete(answer), "got " << answer.size() << " bytes: " << answer.substr(0, 300));
}

/// As above, and the connection ends with a reset before this node has read the answer.
BOOST_AUTO_TEST_CASE(target_answersAndClosesBeforeItReadsTheBody_answerIsComplete)
{
    const auto answer = postToTarget(earlyAnswer(milliseconds(0)));
    BOOST_TEST(isComplete(answer), "got " << answer.size() << " bytes: " << answer.substr(0, 300));
}

BOOST_AUTO_TEST_SUITE_END()
