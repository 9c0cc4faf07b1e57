// Signals to the real program, as a separate process with callers whose connections stay open until it is gone.
#include "tests/support/nodeprocess.h"
#include "tests/support/storestandin.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

using namespace Fescuenotch;
using namespace Fescuenotch::Tests;

namespace {

constexpr milliseconds StartLimit{10'000}; ///< ms
constexpr milliseconds StopLimit{4'000}; ///< ms; the platform's time from SIGTERM to SIGKILL

/// Each fixture uses another address, so that sockets left over from the previous one cannot interfere, nor can another run of
/// these tests on the same machine.
std::string nextAddress()
{
    static unsigned host = 0;
    return "127.22." + std::to_string(::getpid() % 250 + 1) + "." + std::to_string(++host);
}

/// Opens a named pipe for writing once another process reads from it; -1 when none does in time.
int openWhenRead(const std::string &path)
{
    int fd = -1;
    waitUntil([&] { return (fd = ::open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0; }, StartLimit);
    return fd;
}

class SignalsFixture
{
public:
    SignalsFixture()
        : m_address(nextAddress())
        , m_store({m_address, 9'805})
        , node({m_folder.path(), "node", m_address, m_address, "desk", "one", m_store.endpoint(), StopLimit})
        , m_target("t0", node.targetEndpoint(), journal)
    {
        m_store.put("servers/t0", entryText("desk", node.targetEndpoint(), "one"));
        m_store.put("op/config", configurationText(1, "desk", seconds(2)));
    }

    void startNode()
    {
        node.start();
        BOOST_REQUIRE(node.waitReady(StartLimit));
    }

    /// Sends a signal while the starting node reads its settings.
    void startAndSignalWhileSettingsAreRead(int number)
    {
        // The settings are a named pipe at first, so that the start waits for this test.
        const auto text = node.settingsText("desk");
        std::filesystem::remove(node.settingsPath());
        BOOST_REQUIRE(::mkfifo(node.settingsPath().c_str(), 0600) == 0);
        node.start();
        const int fd = openWhenRead(node.settingsPath());
        BOOST_REQUIRE(fd >= 0);
        node.process().signal(number);
        node.writeSettings(text);
        BOOST_TEST(::write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        ::close(fd);
    }

    void startCallers(unsigned count, const std::string &path)
    {
        for (unsigned n = 0; n < count; ++n) {
            m_callers.push_back(std::make_unique<KeptCaller>("c" + std::to_string(n), node.callerEndpoint(), path));
        }
    }

    std::vector<CallOutcome> stopCallers()
    {
        std::vector<CallOutcome> all;
        for (const auto &caller : m_callers) {
            caller->stop();
            all.insert(all.end(), caller->outcomes().begin(), caller->outcomes().end());
        }
        m_callers.clear();
        return all;
    }

    /// Sends SIGTERM while requests run, then `next`, and checks that nothing but the stop happens.
    void checkStopWithSecondSignal(int next, const std::string &ignoredAs)
    {
        startNode();
        startCallers(4, "/file/600");
        BOOST_REQUIRE(waitUntil([this] { return journal.total() == 4; }));
        node.process().signal(SIGTERM);
        BOOST_REQUIRE(node.process().waitForText("event=node_leaving", seconds(2)));
        node.process().signal(next);
        checkCompleteStop();
        BOOST_TEST(node.log().find("event=already_stopping host=node asked_for=" + ignoredAs) != std::string::npos);
    }

    /// The process ends by itself in time, and no request that ran has lost its answer.
    void checkCompleteStop()
    {
        BOOST_TEST(node.process().waitForEnd(StopLimit));
        BOOST_TEST(node.process().exitCode() == 0);
        BOOST_TEST(node.lastLogLine().find("event=node_left") != std::string::npos, node.lastLogLine());
        unsigned answered = 0;
        for (const auto &call : stopCallers()) {
            const auto runs = journal.runs(call.id);
            BOOST_TEST((call.whole || runs == 0), call.id << " ran and was cut");
            BOOST_TEST((!call.refused() || runs == 0), call.id << " was refused as not run and ran");
            BOOST_TEST(runs <= 1);
            BOOST_TEST((runs == 0 || (call.status == 200 && call.own)), call.id << " ran and got status " << call.status);
            answered += call.status == 200 && call.own ? 1 : 0;
        }
        BOOST_TEST(answered >= 4);
    }

    ScratchFolder m_folder;

private:
    std::string m_address;
    StoreStandin m_store;

public:
    NodeProcess node;
    RunJournal journal;

private:
    PlatformTarget m_target;
    std::vector<std::unique_ptr<KeptCaller>> m_callers;
};

void checkOnlySignalThreadTakesSignals(pid_t pid)
{
    const std::vector<std::string> expected{"signals"};
    waitUntil([&] { return !threadsThatTakeSignals(pid).empty(); }); // the thread may just have been started
    BOOST_TEST(threadsThatTakeSignals(pid) == expected, boost::test_tools::per_element());
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(NodeSignalsTest, SignalsFixture)

// A thread that was started before the signals were blocked took them with their default action, which ends the process.
BOOST_AUTO_TEST_CASE(runningNode_allThreads_blockTheSignals)
{
    startNode();
    checkOnlySignalThreadTakesSignals(node.process().pid());
}

// The end of each stop killed the process by its own SIGTERM: no status, and the last lines of the log were lost.
BOOST_AUTO_TEST_CASE(stop_once_endsWithStatusZeroAndLastLine)
{
    startNode();
    startCallers(4, "/file/50");
    BOOST_REQUIRE(waitUntil([this] { return journal.total() >= 8; }));
    node.process().signal(SIGTERM);
    checkCompleteStop();
}

// The second signal ended the process at once and cut requests in flight.
BOOST_AUTO_TEST_CASE(stop_hangupFollows_requestsInFlightAreAnswered)
{
    checkStopWithSecondSignal(SIGHUP, "reload");
}

// As above.
BOOST_AUTO_TEST_CASE(stop_secondTermFollows_requestsInFlightAreAnswered)
{
    checkStopWithSecondSignal(SIGTERM, "stop");
}

// As above.
BOOST_AUTO_TEST_CASE(stop_interruptFollows_requestsInFlightAreAnswered)
{
    checkStopWithSecondSignal(SIGINT, "stop");
}

// A SIGHUP that came while an earlier one was still handled ended the process.
BOOST_AUTO_TEST_CASE(hangup_hundredInARowUnderTraffic_everyRequestIsAnswered)
{
    startNode();
    startCallers(4, "/file/20");
    BOOST_REQUIRE(waitUntil([this] { return journal.total() >= 4; }));
    for (unsigned n = 0; n < 100; ++n) {
        node.process().signal(SIGHUP);
        std::this_thread::sleep_for(milliseconds(n % 3)); // some arrive while the one before is handled
    }
    BOOST_REQUIRE(node.process().running());
    BOOST_TEST(waitUntil([this] { return node.log().find("event=settings_unchanged") != std::string::npos; }));
    for (const auto &call : stopCallers()) {
        BOOST_TEST((call.status == 200 && call.own), call.id << " status " << call.status);
    }
}

// A SIGHUP during the start ended the process.
BOOST_AUTO_TEST_CASE(start_hangupWhileSettingsAreRead_isHandledOnceStarted)
{
    startAndSignalWhileSettingsAreRead(SIGHUP);
    BOOST_REQUIRE(node.waitReady(StartLimit));
    BOOST_TEST(node.process().waitForText("event=settings_unchanged", seconds(2)));
}

// A change between the reading of the settings and the first look at the file, half a second later, was never seen.
BOOST_AUTO_TEST_CASE(start_settingsChangeRightAfter_isTakenWithoutSignal)
{
    node.start();
    BOOST_REQUIRE(waitUntil([this] { return node.isListening(); }, StartLimit));
    node.writeSettings(node.settingsText("feed"));
    BOOST_TEST(node.process().waitForText("event=settings_reloaded host=node service=feed", seconds(3)));
}

// A SIGTERM during the start ended the process without a line.
BOOST_AUTO_TEST_CASE(start_termWhileSettingsAreRead_stopsOnceStarted)
{
    startAndSignalWhileSettingsAreRead(SIGTERM);
    BOOST_TEST(node.process().waitForEnd(StartLimit));
    BOOST_TEST(node.process().exitCode() == 0);
    BOOST_TEST(node.lastLogLine().find("event=node_left") != std::string::npos, node.lastLogLine());
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A node without an adapter.
struct PlainNodeFixture {
    ScratchFolder folder;
    std::string address = nextAddress();
    Standins::ChildProcess node{{Standins::buildFolder() + "/fescuenotch",
                                 {"node",
                                  "--host",
                                  address,
                                  "--data-centre",
                                  "one",
                                  "--service",
                                  "desk",
                                  "--platform",
                                  "http://" + address + ":9805",
                                  "--caller-listen",
                                  address + ":9802",
                                  "--peer-listen",
                                  address + ":9803",
                                  "--operator-listen",
                                  address + ":9804"},
                                 folder.path() + "/node.log"}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlainNodeSignalsTest, PlainNodeFixture)

// A second signal, or a SIGHUP at any time, ended the process by its default action.
BOOST_AUTO_TEST_CASE(stop_furtherSignalsFollow_endsWithStatusZero)
{
    BOOST_REQUIRE(!errorOf([&] { return node.start(); }));
    BOOST_REQUIRE(node.waitForText("event=node_started", StartLimit));
    checkOnlySignalThreadTakesSignals(node.pid());
    for (const int number : {SIGHUP, SIGTERM, SIGTERM, SIGINT}) {
        node.signal(number);
        std::this_thread::sleep_for(milliseconds(5));
    }
    BOOST_TEST(node.waitForEnd(StartLimit));
    BOOST_TEST(node.exitCode() == 0);
    BOOST_TEST(Standins::readFile(folder.path() + "/node.log").find("event=node_left") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
