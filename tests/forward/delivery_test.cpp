// Answers that callers read slowly: nothing that this node decides may cut them. Sections: [fixture] [closing] [stop]
#include "tests/forward/meshfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

// ---- [fixture] --------------------------------------------------------------------------------------------------

constexpr std::size_t AnswerBytes = 600'000;
constexpr std::size_t BrokenAnswerBytes = 3'000'000; ///< bytes; so long that a part is passed on before it breaks off
constexpr std::size_t SentOfBrokenAnswer = 1'150'000; ///< bytes
constexpr int ReceiveBuffer = 8 * 1024; ///< bytes; so that an answer waits in the node and not in the test's sockets
constexpr std::size_t SlowRate = 200'000; ///< bytes a second; three seconds for an answer
constexpr std::size_t Hosts = 2; ///< as many as a request may have attempts
constexpr milliseconds ReadLimit{8'000}; ///< ms

struct DeliveryFixture : MeshFixture {
    DeliveryFixture()
    {
        addNode("desk");
        addNode("desk");
        publish(1, "desk", seconds(10));
        waitReady();
        for (std::size_t n = 0; n < Hosts; ++n) {
            target(n).setBehaviour([this, n](const Standins::ServerCall &call) {
                auto reply = target(n).validReply(call, std::string(contains(call.path, "large") ? AnswerBytes : 10, 'x'));
                if (contains(call.path, "broken")) {
                    reply.streamBytes = BrokenAnswerBytes;
                    reply.stream = writeFirstPart;
                }
                return reply;
            });
        }
    }

    /// Breaks the connection after a part of the body has left.
    static std::ptrdiff_t writeFirstPart(std::uint64_t offset, std::span<char> buf)
    {
        if (offset >= SentOfBrokenAnswer) {
            std::this_thread::sleep_for(milliseconds(200));
            return -1;
        }
        const auto n = std::min(buf.size(), static_cast<std::size_t>(SentOfBrokenAnswer - offset));
        std::fill_n(buf.begin(), n, 'y');
        return static_cast<std::ptrdiff_t>(n);
    }

    RawSocket connectSlowReader()
    {
        return RawSocket::connectTo(callerEndpoint(0), ReceiveBuffer);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DeliveryTest, DeliveryFixture)

// ---- [closing] --------------------------------------------------------------------------------------------------

/// Guards against an answer that is cut because the time until the connection is closed starts before the answer is delivered.
BOOST_AUTO_TEST_CASE(answer_closesItsConnectionAndIsReadSlowly_isComplete)
{
    auto socket = connectSlowReader();
    socket.send(request("GET", "/read/large", "id-1", "Connection: close\r\n"));
    const auto answer = socket.receiveAtRate(SlowRate, ReadLimit);
    BOOST_TEST(isComplete(answer), "got " << answer.size() << " bytes");
    BOOST_TEST(metric(0, "fescuenotch_entry_cut_answers_total{closed_by=\"linger\"}") == "0");
}

/// Guards against a kept connection that counts as idle while its caller still reads the last answer: idle connections are closed after 5 s.
BOOST_AUTO_TEST_CASE(answer_onKeptConnectionIsReadLongerThanTheIdleTimeout_isComplete)
{
    auto socket = connectSlowReader();
    socket.send(request("GET", "/read/large", "id-1"));
    const auto answer = socket.receiveAtRate(AnswerBytes / 7, seconds(9));
    BOOST_TEST(isComplete(answer), "got " << answer.size() << " bytes");
    BOOST_TEST(metric(0, "fescuenotch_entry_cut_answers_total{closed_by=\"idle\"}") == "0");
}

/// Guards against a complete answer that is lost because the answer to the next pipelined request breaks off.
BOOST_AUTO_TEST_CASE(answer_nextPipelinedAnswerBreaksOff_isComplete)
{
    auto socket = connectSlowReader();
    socket.send(request("GET", "/read/large", "id-1") + request("GET", "/read/broken", "id-2"));
    const auto answers = socket.receiveAtRate(SlowRate, ReadLimit);
    BOOST_TEST(std::count(answers.begin(), answers.end(), 'x') >= static_cast<std::ptrdiff_t>(AnswerBytes), "got " << answers.size() << " bytes");
    BOOST_TEST(std::count(answers.begin(), answers.end(), 'y') < static_cast<std::ptrdiff_t>(BrokenAnswerBytes)); // the second one does not look complete
    BOOST_TEST(!contains(answers, "502"));
    BOOST_TEST(socket.wasReset());
}

/// Guards against a caller that never reads and keeps its answer in the node for good, and against a cut that no line or counter shows.
BOOST_AUTO_TEST_CASE(answer_callerStopsReading_countsAsCutAfterTheIdleTimeout)
{
    auto socket = connectSlowReader();
    const auto start = Clock::now();
    socket.send(request("GET", "/read/large", "id-1"));
    BOOST_TEST(waitUntil([this] { return metric(0, "fescuenotch_entry_cut_answers_total{closed_by=\"stalled\"}") == "1"; }, seconds(10)));
    BOOST_TEST((Clock::now() - start >= seconds(5)));
}

/// Guards against a caller that reads slowly but steadily, and that the kernel takes for gone because its window is closed most of the time.
BOOST_AUTO_TEST_CASE(answer_isReadVerySlowlyForLongerThanTheKernelWaits_isComplete)
{
    constexpr std::size_t VerySlowRate = 30'000; ///< bytes a second
    auto socket = connectSlowReader();
    socket.send(request("GET", "/read/large", "id-1"));
    const auto begin = socket.receiveAtRate(VerySlowRate, seconds(8));
    const auto answer = begin + socket.receiveAtRate(SlowRate, ReadLimit);
    BOOST_TEST(isComplete(answer), "got " << answer.size() << " bytes");
}

// ---- [stop] -----------------------------------------------------------------------------------------------------

/// Guards against answers that a stopping node cuts although it has time to deliver them.
BOOST_AUTO_TEST_CASE(stop_answerIsReadSlowly_isComplete)
{
    auto socket = connectSlowReader();
    socket.send(request("GET", "/read/small", "id-1"));
    BOOST_TEST(isComplete(socket.receiveAnswer()));
    node(0).beginStop();
    std::this_thread::sleep_for(milliseconds(100));
    socket.send(request("GET", "/read/large", "id-2"));
    const auto answer = socket.receiveAtRate(AnswerBytes / 2, ReadLimit); // the node exits 2.65 s after the stop began
    BOOST_TEST(contains(answer, "200 OK"), answer.substr(0, 300));
    BOOST_TEST(isComplete(answer), "got " << answer.size() << " bytes");
}

/// Guards against an error for a request at which its target is at work: the run takes long, and the exit node takes it for hung. Two requests
/// are at work, one from before the stop, with a deadline before the node's end, and one from after it began.
BOOST_AUTO_TEST_CASE(stop_targetTakesLongerThanUsual_requestsAreNotGivenUp)
{
    addNode("feed");
    waitReady();
    for (int n = 0; n < 40; ++n) {
        BOOST_TEST(contains(get(0, "/feed/small"), "200 OK"));
    }
    target(2).setBehaviour([this](const Standins::ServerCall &call) { return target(2).delayedReply(call, milliseconds(1'200)); });
    auto before = RawSocket::connectTo(callerEndpoint(0));
    auto after = RawSocket::connectTo(callerEndpoint(0));
    before.send(request("GET", "/feed/a", "id-a", std::string(TimeLeftHeader) + ": 1900\r\n"));
    std::this_thread::sleep_for(milliseconds(100));
    node(0).beginStop();
    std::this_thread::sleep_for(milliseconds(50));
    after.send(request("GET", "/feed/b", "id-b"));
    for (auto *socket : {&before, &after}) {
        const auto answer = socket->receiveAnswer();
        BOOST_TEST(contains(answer, "200 OK"), answer.substr(0, 300));
    }
    BOOST_TEST(metric(2, "fescuenotch_target_hung_total{ended=\"0\"}") == "2");
}

/// Guards against an error for a request at which its target is at work: the exit nodes end it as hung for the sake of another target, and the
/// entry node may not send it to a further one. A stop a moment later makes that a cut request (issue 46).
BOOST_AUTO_TEST_CASE(request_allTargetsTakeLongerThanUsual_lastAttemptIsNotGivenUp)
{
    const auto setDelay = [this](milliseconds delay) {
        for (std::size_t n = 0; n < Hosts; ++n) {
            target(n).setBehaviour([this, n, delay](const Standins::ServerCall &call) { return target(n).delayedReply(call, delay); });
        }
    };
    setDelay(milliseconds(5));
    {
        const SteadyCallers callers(*this, 1, 4, milliseconds(1)); // so many at once that both targets learn their usual time
        BOOST_REQUIRE(waitUntil([this] { return target(0).requests().size() > 50 && target(1).requests().size() > 50; }));
    }
    setDelay(milliseconds(1'200));
    const auto answer = get(0, "/read/a");
    BOOST_TEST(contains(answer, "200 OK"), answer.substr(0, 300));
}

BOOST_AUTO_TEST_SUITE_END()
