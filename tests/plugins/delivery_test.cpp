// Answers of the server for callers that are read slowly: nothing that the server decides may cut them.
#include "callerfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Fescuenotch;

namespace {

constexpr std::size_t AnswerBytes = 600'000;
constexpr std::size_t LargeAnswerBytes = 8'000'000; ///< bytes; more than the kernel takes at once
constexpr int ReceiveBuffer = 8 * 1024; ///< bytes; so that an answer waits in the server's sockets and not in the test's
constexpr std::size_t SlowRate = 200'000; ///< bytes a second; three seconds for an answer
constexpr std::size_t SteadyRate = 1'000'000; ///< bytes a second; eight seconds for a large answer
constexpr milliseconds ReadLimit{12'000}; ///< ms

struct DeliveryFixture : CallerFixture {
    static std::size_t bodyBytes(const std::string &answer)
    {
        const auto headEnd = answer.find("\r\n\r\n");
        const auto begin = headEnd == std::string::npos ? answer.end() : answer.begin() + static_cast<std::ptrdiff_t>(headEnd);
        return static_cast<std::size_t>(std::count(begin, answer.end(), 'x'));
    }

    static std::string getBody(std::size_t bytes)
    {
        return "GET /body?size=" + std::to_string(bytes) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerDelivery, DeliveryFixture)

/// Guards against a reset that discards what the kernel still holds of an answer, while its caller goes on sending the request's body.
BOOST_AUTO_TEST_CASE(answer_inTheMiddleOfARequestBodyIsReadSlowly_isComplete)
{
    start();
    auto socket = connect(ReceiveBuffer);
    socket.send("POST /early?size=" + std::to_string(AnswerBytes) + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    std::atomic<bool> ended{false};
    std::thread sender([&] {
        while (!ended && socket.send("5\r\nhello\r\n")) {
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    const auto answer = socket.receiveAtRate(SlowRate, ReadLimit);
    ended = true;
    sender.join();
    BOOST_TEST(bodyBytes(answer) == AnswerBytes);
    BOOST_TEST(!socket.wasReset());
}

/// Guards against a reset that discards what the kernel still holds of a connection's last answer, because a further request, sent before
/// its caller could know of the end, was not read.
BOOST_AUTO_TEST_CASE(stopAccepting_requestFollowsAnAnswerThatIsReadSlowly_answerIsComplete)
{
    start();
    auto socket = connect(ReceiveBuffer);
    socket.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    socket.receiveAnswer();
    server->stopAccepting();
    socket.send(getBody(AnswerBytes));
    BOOST_TEST(waitUntil([this] { return handler.count() == 2U; }));
    std::thread sender([&] {
        std::this_thread::sleep_for(milliseconds(500));
        socket.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    });
    const auto answer = socket.receiveAtRate(SlowRate, ReadLimit);
    sender.join();
    BOOST_TEST(bodyBytes(answer) == AnswerBytes);
    BOOST_TEST(!socket.wasReset());
}

/// Guards against a caller that is taken for stalled while it reads steadily: the kernel asks for more only when a third of what it holds is
/// read, which takes longer than the limit.
BOOST_AUTO_TEST_CASE(answer_isReadSteadilyButSlowerThanTheKernelTakesIt_isComplete)
{
    start({seconds(1), seconds(60)});
    auto socket = connect(ReceiveBuffer);
    socket.send("GET /body?size=" + std::to_string(LargeAnswerBytes) + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto answer = socket.receiveAtRate(SteadyRate, ReadLimit);
    BOOST_TEST(bodyBytes(answer) == LargeAnswerBytes);
}

/// Guards against the same for an answer in the middle of a request's body.
BOOST_AUTO_TEST_CASE(answer_inTheMiddleOfARequestBodyIsReadSteadily_isComplete)
{
    start({seconds(1), seconds(60)});
    auto socket = connect(ReceiveBuffer);
    socket.send("POST /early?size=" + std::to_string(LargeAnswerBytes) + " HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nhello");
    const auto answer = socket.receiveAtRate(SteadyRate, ReadLimit);
    BOOST_TEST(bodyBytes(answer) == LargeAnswerBytes);
}

/// Guards against an answer that the sweep for slow heads cuts: the time for the next head counts from the hand-over of an answer.
BOOST_AUTO_TEST_CASE(answer_onKeptConnectionIsReadLongerThanTheHeadLimit_isComplete)
{
    start({seconds(60), seconds(1)});
    auto socket = connect(ReceiveBuffer);
    socket.send(getBody(AnswerBytes));
    const auto answer = socket.receiveAtRate(SlowRate, ReadLimit);
    BOOST_TEST(bodyBytes(answer) == AnswerBytes);
    BOOST_TEST(!socket.wasReset());
}

/// Guards against a stop that takes an answer in the kernel for delivered: what its caller sends next makes the kernel discard the rest.
BOOST_AUTO_TEST_CASE(stop_afterAllIsDelivered_answerIsComplete)
{
    constexpr std::size_t SmallAnswerBytes = 100'000; ///< bytes; handed to the kernel at once
    start();
    auto socket = connect(ReceiveBuffer);
    socket.send(getBody(SmallAnswerBytes));
    BOOST_TEST(waitUntil([this] { return handler.count() == 1U && handler.seen(0).ended; }));
    BOOST_TEST(server->undeliveredAnswers() == 1U);
    std::thread stopping([&] {
        server->stopAccepting();
        waitUntil([this] { return server->undeliveredAnswers() == 0; }, ReadLimit);
        server->stop();
        socket.send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
    });
    const auto answer = socket.receiveAtRate(SmallAnswerBytes / 2, ReadLimit);
    stopping.join();
    BOOST_TEST(bodyBytes(answer) == SmallAnswerBytes);
}

BOOST_AUTO_TEST_SUITE_END()
