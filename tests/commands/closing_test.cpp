// Requests that arrive in the kernel while the real program closes connections of callers: each gets a whole answer, which says that it has
// not run when it has not. The process is stopped by SIGSTOP at the moment that a test is about, as a busy processor does by chance.
#include "platform/names.h"
#include "tests/support/nodeprocess.h"
#include "tests/support/storestandin.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <deque>
#include <mutex>
#include <thread>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr milliseconds StartLimit{10'000}; ///< ms
constexpr milliseconds StopLimit{4'000}; ///< ms; the platform's time from SIGTERM to SIGKILL
constexpr milliseconds BeforeEndOfAcceptance{1'600}; ///< ms after SIGTERM; acceptance ends at 0.45 of StopLimit
constexpr milliseconds AfterEndOfAcceptance{1'900}; ///< ms after SIGTERM
constexpr milliseconds AfterExitTime{3'600}; ///< ms after SIGTERM; the process exits at 0.885 of StopLimit
constexpr milliseconds IdleTimeout{5'000}; ///< ms; of configurationText
constexpr milliseconds TimeoutCheckPeriod{250}; ///< ms; of the node
constexpr unsigned ManyConnections = 300; ///< more than the node handles in one turn of its loop

/// Not the addresses of the other tests of signals, whose sockets may be left over.
std::string nextAddress()
{
    static unsigned host = 0;
    return "127.25." + std::to_string(::getpid() % 250 + 1) + "." + std::to_string(++host);
}

/// A connection that stays open, and the requests sent on it.
struct Kept {
    RawSocket socket;
    std::vector<std::string> ids;
    std::string received; ///< not yet taken by `receiveAnswer`

    /// The next of several pipelined answers; as far as it arrives if it is not whole.
    std::string receiveAnswer()
    {
        if (received.find("\r\n\r\n") == std::string::npos) {
            received += socket.receiveAnswer();
        }
        const auto headEnd = received.find("\r\n\r\n");
        const auto length = received.find("Content-Length: ");
        const auto size = headEnd == std::string::npos || length > headEnd ? received.size() : headEnd + 4 + std::stoul(received.substr(length + 16));
        while (received.size() < size && socket.receiveSome(received, seconds(5)) > 0) { }
        auto answer = received.substr(0, size);
        received.erase(0, size);
        return answer;
    }
};

class ClosingFixture
{
public:
    ClosingFixture()
        : m_address(nextAddress())
        , m_store({m_address, 9'805})
        , node({m_folder.path(), "node", m_address, m_address, "desk", "one", m_store.endpoint(), StopLimit})
        , m_target("t0", node.targetEndpoint(), journal)
    {
        m_store.put("servers/t0", entryText("desk", node.targetEndpoint(), "one"));
        m_store.put("op/config", configurationText(1, "desk", seconds(2)));
        node.start();
        BOOST_REQUIRE(node.waitReady(StartLimit));
    }

    void connect(unsigned count)
    {
        for (unsigned n = 0; n < count; ++n) {
            connections.push_back({RawSocket::connectTo(node.callerEndpoint()), {}, {}});
        }
    }

    /// Sends a request for which the target takes `takes`, and returns its id.
    std::string send(RawSocket &socket, milliseconds takes = milliseconds(0))
    {
        auto id = "r" + std::to_string(m_nextId++);
        socket.send("GET /read/" + std::to_string(takes.count()) + " HTTP/1.1\r\nHost: desk\r\n" + Platform::RequestIdHeader + ": " + id + "\r\n\r\n");
        return id;
    }

    void sendOnAll(milliseconds takes = milliseconds(0))
    {
        for (auto &each : connections) {
            each.ids.push_back(send(each.socket, takes));
        }
    }

    /// Connections that have carried a request and wait for the next one.
    void connectAndUse(unsigned count)
    {
        connect(count);
        for (auto &each : connections) {
            const auto id = send(each.socket);
            checkAnswer(id, each.receiveAnswer());
        }
    }

    /// The answer is whole, and a request that is refused as not run has not run.
    void checkAnswer(const std::string &id, const std::string &answer)
    {
        const bool served = answer.find("HTTP/1.1 200") == 0 && answer.find("\r\n\r\n" + id + "\n") != std::string::npos;
        const bool refused
            = answer.find("HTTP/1.1 503") == 0 && answer.find("Fescuenotch-Outcome: not-run") != std::string::npos && answer.find("}\n") != std::string::npos;
        unanswered += served || refused ? 0 : 1;
        refusals += refused ? 1 : 0;
        const auto runs = journal.runs(id);
        BOOST_TEST(runs == (served ? 1U : 0U), id << " ran " << runs << " times; answer: " << answer.substr(0, 12));
    }

    void checkAllAnswers()
    {
        for (auto &each : connections) {
            for (const auto &id : each.ids) {
                checkAnswer(id, each.receiveAnswer());
            }
            each.ids.clear();
        }
        BOOST_TEST(unanswered == 0);
    }

    void beginStop()
    {
        m_stopBegin = Clock::now();
        node.process().signal(SIGTERM);
        BOOST_REQUIRE(node.process().waitForText("event=node_leaving", seconds(1)));
    }

    void waitInStop(milliseconds sinceBegin) const
    {
        std::this_thread::sleep_until(m_stopBegin + sinceBegin);
    }

    void pause()
    {
        const auto stat = "/proc/" + std::to_string(node.process().pid()) + "/stat";
        node.process().signal(SIGSTOP);
        BOOST_REQUIRE(waitUntil([&] { return Standins::readFile(stat).find(") T ") != std::string::npos; }));
    }

    void proceed()
    {
        node.process().signal(SIGCONT);
    }

    void checkEnd()
    {
        BOOST_TEST(node.process().waitForEnd(StopLimit));
        BOOST_TEST((Clock::now() - m_stopBegin < StopLimit));
        BOOST_TEST(node.process().exitCode() == 0);
    }

private:
    ScratchFolder m_folder;
    std::string m_address;
    StoreStandin m_store;
    TimePoint m_stopBegin;
    std::atomic<unsigned> m_nextId{0};

public:
    NodeProcess node;
    RunJournal journal;
    std::deque<Kept> connections;
    unsigned unanswered = 0;
    unsigned refusals = 0;

private:
    PlatformTarget m_target;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClosingTest, ClosingFixture)

// Idle connections were closed at the end of acceptance without a look at what had arrived on them.
BOOST_AUTO_TEST_CASE(endOfAcceptance_requestsHaveArrivedOnIdleConnections_areAnswered)
{
    connectAndUse(ManyConnections);
    beginStop();
    waitInStop(BeforeEndOfAcceptance);
    pause();
    sendOnAll();
    waitInStop(AfterEndOfAcceptance);
    proceed();
    checkAllAnswers();
    checkEnd();
}

// The same at the end of the idle timeout: a request that had arrived in time was not read.
BOOST_AUTO_TEST_CASE(idleTimeout_requestsHaveArrivedOnIdleConnections_areAnswered)
{
    const auto firstIsIdleSince = Clock::now();
    connectAndUse(ManyConnections);
    const auto allAreIdleSince = Clock::now();
    std::this_thread::sleep_until(firstIsIdleSince + IdleTimeout - 2 * TimeoutCheckPeriod);
    pause();
    sendOnAll();
    std::this_thread::sleep_until(allAreIdleSince + IdleTimeout + 2 * TimeoutCheckPeriod);
    proceed();
    checkAllAnswers();
}

// The process exited with requests that it had not read; the kernel reset their connections.
BOOST_AUTO_TEST_CASE(exit_firstRequestsHaveArrived_areRefused)
{
    connect(ManyConnections);
    beginStop();
    BOOST_REQUIRE(node.process().waitForText("event=accepts_no_more", seconds(3)));
    pause();
    sendOnAll();
    waitInStop(AfterExitTime);
    proceed();
    checkAllAnswers();
    BOOST_TEST(refusals == ManyConnections);
    checkEnd();
}

// An answer closed its connection during the stop although the next request on it had arrived.
BOOST_AUTO_TEST_CASE(stop_nextRequestArrivesBeforeTheAnswer_bothAreAnswered)
{
    constexpr unsigned Connections = 16;
    constexpr milliseconds TargetTakes{300};
    connect(Connections);
    sendOnAll(TargetTakes);
    BOOST_REQUIRE(waitUntil([&] { return journal.total() == Connections; }));
    beginStop();
    pause();
    std::this_thread::sleep_for(2 * TargetTakes); // the answers of the target are ready before the next requests are
    sendOnAll();
    proceed();
    checkAllAnswers();
    checkEnd();
}

// Only the first of several pipelined requests was refused after the end of acceptance.
BOOST_AUTO_TEST_CASE(endOfAcceptance_pipelinedRequestsFollow_eachIsRefused)
{
    constexpr unsigned Pipelined = 5;
    connect(1);
    beginStop();
    BOOST_REQUIRE(node.process().waitForText("event=accepts_no_more", seconds(3)));
    pause();
    for (unsigned n = 0; n < Pipelined; ++n) {
        sendOnAll();
    }
    proceed();
    auto &kept = connections.front();
    const auto answers = kept.socket.receiveAll();
    unsigned found = 0;
    for (auto at = answers.find("HTTP/1.1 503"); at != std::string::npos; at = answers.find("HTTP/1.1 503", at + 1)) {
        ++found;
    }
    BOOST_TEST(found == Pipelined);
    BOOST_TEST(!kept.socket.wasReset());
    BOOST_TEST(journal.total() == 0);
    checkEnd();
}

// Connections that were established between the last accept and the close of the listening socket were reset.
BOOST_AUTO_TEST_CASE(endOfAcceptance_callersConnectAllTheTime_eachEstablishedConnectionIsAnswered)
{
    constexpr unsigned Callers = 4;
    beginStop();
    waitInStop(BeforeEndOfAcceptance);
    std::mutex mutex;
    std::vector<std::pair<std::string, std::string>> answers; // by id
    std::vector<std::thread> callers;
    callers.reserve(Callers);
    for (unsigned n = 0; n < Callers; ++n) {
        callers.emplace_back([&] {
            try {
                for (;;) {
                    auto socket = RawSocket::connectTo(node.callerEndpoint());
                    const auto id = send(socket);
                    const auto answer = socket.receiveAnswer();
                    const std::lock_guard lock(mutex);
                    answers.emplace_back(id, answer);
                }
            } catch (const std::runtime_error &) { // the listening socket is closed
            }
        });
    }
    for (auto &each : callers) {
        each.join();
    }
    for (const auto &[id, answer] : answers) {
        checkAnswer(id, answer);
    }
    BOOST_TEST(unanswered == 0);
    BOOST_TEST(answers.size() > Callers);
    checkEnd();
}

BOOST_AUTO_TEST_SUITE_END()
