#include "kernel/plugin.h"
#include "plugins/interfaces.h"
#include "plugins/peerlink/linkhealth.h"
#include "tests/support/rawsocket.h"
#include "wire/framing.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace Fescuenotch;

namespace {

constexpr auto TestLimit = seconds(5);

/// Keeps what a transport told it.
struct RecordingListener : PeerListener {
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> control;
    std::vector<std::shared_ptr<InboundAttempt>> attempts;
    std::vector<Endpoint> lost;
    std::vector<Endpoint> leaving;

    void onControl(const Endpoint &, std::string bytes) override
    {
        const std::lock_guard lock(mutex);
        control.push_back(std::move(bytes));
        changed.notify_all();
    }
    void onAttempt(std::shared_ptr<InboundAttempt> attempt) override
    {
        const std::lock_guard lock(mutex);
        attempts.push_back(std::move(attempt));
        changed.notify_all();
    }
    void onPeerLost(const Endpoint &peer) override
    {
        const std::lock_guard lock(mutex);
        lost.push_back(peer);
        changed.notify_all();
    }
    void onPeerLoad(const Endpoint &, const TargetLoad &) override
    {
    }
    void onPeerLeaving(const Endpoint &peer) override
    {
        const std::lock_guard lock(mutex);
        leaving.push_back(peer);
        changed.notify_all();
    }
    TargetLoad localLoad() override
    {
        return {1, 20, 0, false};
    }

    template<typename F>
    bool waitFor(F &&condition)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, TestLimit, condition);
    }

    std::shared_ptr<InboundAttempt> firstAttempt()
    {
        BOOST_REQUIRE(waitFor([this] { return !attempts.empty(); }));
        return attempts.front();
    }
};

/// A node's transport with its kernel parts.
struct TestPeer {
    NodeSettings settings;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    std::unique_ptr<TimerService> timers = makeThreadTimerService();
    NodeContext context;
    RecordingListener listener;
    std::unique_ptr<PeerTransport> transport;

    explicit TestPeer(const std::string &host, std::uint16_t port)
    {
        settings.host = host;
        settings.peerListen = {host, port};
        settings.dataCentre = "test";
        settings.heartbeatPeriod = milliseconds(50);
        context = {&settings, metrics.get(), timers.get(), 1};
        auto made = valueOrError([&] { return makePlugin<PeerTransport>("tcp", context); });
        transport = std::move(std::get<0>(made));
        const auto error = errorOf([&] { return transport->start(listener); });
        BOOST_REQUIRE(!error.has_value());
    }
    ~TestPeer()
    {
        transport->stop();
        timers->stop();
    }
    TestPeer(const TestPeer &) = delete;
    TestPeer &operator=(const TestPeer &) = delete;

    bool metricShows(const std::string &line) const
    {
        const auto until = Clock::now() + TestLimit;
        while (Clock::now() < until) {
            if (metrics->text().find(line) != std::string::npos) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        return false;
    }
};

AttemptHead makeHead(std::uint64_t number, Duration remaining = seconds(5))
{
    AttemptHead head;
    head.id = {7, number};
    head.service = "bookdesk";
    head.targetHost = "127.26.0.2";
    head.method = "POST";
    head.path = "/slots?day=1";
    head.headers = {{"X-Token", "abc"}};
    head.deadline = Clock::now() + remaining;
    return head;
}

struct PeerLinkFixture {
    TestPeer entry{"127.26.0.1", 17400};
    TestPeer exit{"127.26.0.2", 17400};
};

/// A raw connection to a transport, for bytes that no node sends.
struct RawPeer {
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    explicit RawPeer(const Endpoint &to)
    {
        sockaddr_in addr{};
        addr.sin_family = AF_INET;
        addr.sin_port = htons(to.port);
        inet_pton(AF_INET, to.host.c_str(), &addr.sin_addr);
        BOOST_REQUIRE_EQUAL(connect(fd, reinterpret_cast<const sockaddr *>(&addr), sizeof addr), 0);
        const timeval limit{5, 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    }
    ~RawPeer()
    {
        close(fd);
    }
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    void send(const std::string &bytes) const
    {
        BOOST_REQUIRE_EQUAL(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    bool isClosedByPeer() const
    {
        std::array<char, 4096> buf{};
        ssize_t n = 1;
        while (n > 0) {
            n = recv(fd, buf.data(), buf.size(), 0);
        }
        return n == 0 || errno == ECONNRESET;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PeerLinks, PeerLinkFixture)

BOOST_AUTO_TEST_CASE(attempt_answered_comesBackWhole)
{
    const auto attempt = entry.transport->open(exit.settings.peerListen, makeHead(1));
    const auto inbound = exit.listener.firstAttempt();
    BOOST_TEST(inbound->head().path == "/slots?day=1");
    BOOST_TEST(inbound->head().headers.size() == 1U);
    AnswerHead head;
    head.status = 200;
    inbound->sendHead(head);
    inbound->sendBody(std::string("whole"), Clock::now() + TestLimit);
    inbound->end({Outcome::Ran, Reason::None, true, false, milliseconds(0), {}});
    BOOST_TEST((attempt->wait(Clock::now() + TestLimit).kind == AttemptEvent::Kind::Head));
    BOOST_TEST(attempt->wait(Clock::now() + TestLimit).body == "whole");
    const auto last = attempt->wait(Clock::now() + TestLimit);
    BOOST_TEST((last.kind == AttemptEvent::Kind::End));
    BOOST_TEST((last.end.outcome == Outcome::Ran));
}

BOOST_AUTO_TEST_CASE(attempt_slowReader_senderWaitsForWindow)
{
    const auto attempt = entry.transport->open(exit.settings.peerListen, makeHead(1));
    const auto inbound = exit.listener.firstAttempt();
    const std::string big(4 * 1024 * 1024, 'x');
    std::atomic<bool> sent{false};
    std::thread sender([&] {
        inbound->sendBody(big, Clock::now() + TestLimit);
        sent = true;
        inbound->end({Outcome::Ran, Reason::None, true, false, milliseconds(0), {}});
    });
    std::this_thread::sleep_for(milliseconds(50));
    BOOST_TEST(!sent);
    std::size_t n = 0;
    auto event = attempt->wait(Clock::now() + TestLimit);
    while (event.kind == AttemptEvent::Kind::Body) {
        n += event.body.size();
        event = attempt->wait(Clock::now() + TestLimit);
    }
    sender.join();
    BOOST_TEST(n == big.size());
    BOOST_TEST((event.kind == AttemptEvent::Kind::End));
}

BOOST_AUTO_TEST_CASE(attempt_peerNotThere_isLostWithNothingSent)
{
    const auto attempt = entry.transport->open({"127.26.0.9", 17400}, makeHead(1));
    const auto event = attempt->wait(Clock::now() + TestLimit);
    BOOST_TEST((event.kind == AttemptEvent::Kind::LinkLost));
    BOOST_TEST(!event.anythingSent);
}

BOOST_AUTO_TEST_CASE(attempt_dropped_cancelsAtTheExitNode)
{
    auto attempt = entry.transport->open(exit.settings.peerListen, makeHead(1));
    const auto inbound = exit.listener.firstAttempt();
    std::atomic<bool> told{false};
    inbound->onCancel([&] { told = true; });
    attempt.reset();
    const auto until = Clock::now() + TestLimit;
    while (!told && Clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    BOOST_TEST(told);
    BOOST_TEST(inbound->cancelled());
    inbound->end({Outcome::NotRun, Reason::Cancelled, false, false, milliseconds(0), {}});
    BOOST_TEST(entry.metricShows("fescuenotch_peer_late_frames_total 1"));
}

BOOST_AUTO_TEST_CASE(attempt_linkGoesSilent_isLostAfterThreeHeartbeats)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(17401);
    inet_pton(AF_INET, "127.26.0.3", &addr.sin_addr);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    BOOST_REQUIRE_EQUAL(bind(listener, reinterpret_cast<const sockaddr *>(&addr), sizeof addr), 0);
    BOOST_REQUIRE_EQUAL(listen(listener, 8), 0);
    const auto attempt = entry.transport->open({"127.26.0.3", 17401}, makeHead(1));
    const int fd = accept(listener, nullptr, nullptr);
    const auto hello = encodeHello({{"127.26.0.3", 17401}, 1, "test", Wire::LinkKind::Request}, Clock::now());
    BOOST_REQUIRE(send(fd, hello.data(), hello.size(), MSG_NOSIGNAL) > 0);
    const auto start = Clock::now();
    const auto event = attempt->wait(start + TestLimit);
    BOOST_TEST((event.kind == AttemptEvent::Kind::LinkLost));
    BOOST_TEST(event.anythingSent);
    BOOST_TEST((Clock::now() - start < seconds(1)));
    close(fd);
    close(listener);
}

BOOST_AUTO_TEST_CASE(control_sent_arrivesAndIsCounted)
{
    BOOST_TEST(entry.transport->sendControl(exit.settings.peerListen, "digest", "abc"));
    BOOST_TEST(exit.listener.waitFor([this] { return !exit.listener.control.empty(); }));
    BOOST_TEST(exit.listener.control.front() == "abc");
    BOOST_TEST(exit.metricShows("direction=\"in\",kind=\"digest\""));
}

BOOST_AUTO_TEST_CASE(goodbye_said_reachesLinkedPeers)
{
    BOOST_TEST(entry.transport->sendControl(exit.settings.peerListen, "digest", "abc"));
    BOOST_REQUIRE(exit.listener.waitFor([this] { return !exit.listener.control.empty(); }));
    exit.transport->sayGoodbye();
    BOOST_TEST(entry.listener.waitFor([this] { return !entry.listener.leaving.empty(); }));
}

/// Guards against a stop that takes what the kernel holds for delivered: the next bytes of the peer make the kernel discard it.
BOOST_AUTO_TEST_CASE(stop_peerStillReadsAnAnswer_answerArrivesWhole)
{
    constexpr std::size_t AnswerBytes = 200'000; ///< bytes; within the window, so all is handed over at once
    constexpr std::size_t BytesPerRead = 10'000; ///< bytes; of each 5 ms, so the answer takes a third of the time that a stop may take
    auto peer = RawSocket::connectTo(exit.settings.peerListen, 8 * 1024);
    peer.send(encodeHello({{"127.26.0.8", 1}, 1, "test", Wire::LinkKind::Request}, Clock::now()) + encodeAttempt(makeHead(1), Clock::now())
              + encodePiecesEnd(1));
    const auto inbound = exit.listener.firstAttempt();
    AnswerHead head;
    head.status = 200;
    inbound->sendHead(head);
    inbound->sendBody(std::string(AnswerBytes, 'x'), Clock::now() + TestLimit);
    inbound->end({Outcome::Ran, Reason::None, true, false, milliseconds(0), {}});
    std::thread stopping([this] { exit.transport->stop(); });
    std::string bytes;
    while (peer.receiveSome(bytes, seconds(1), BytesPerRead) > 0) {
        peer.send(encodeHeartbeat({}, Clock::now()));
        std::this_thread::sleep_for(milliseconds(5));
    }
    stopping.join();
    BOOST_TEST(bytes.size() > AnswerBytes);
    BOOST_TEST(!peer.wasReset());
}

BOOST_AUTO_TEST_CASE(garbagePeer_anyBytes_costsOneLinkAndOneCount)
{
    const RawPeer raw(exit.settings.peerListen);
    raw.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(raw.isClosedByPeer());
    BOOST_TEST(exit.metricShows("fescuenotch_peer_links_ended_total{reason=\"bad-frame\"} 1"));
}

BOOST_AUTO_TEST_CASE(hostilePeer_hugeFrameBeforeHello_isRefused)
{
    const RawPeer raw(exit.settings.peerListen);
    raw.send(std::string("\x00\x00\x10\x00", 4));
    BOOST_TEST(raw.isClosedByPeer());
}

BOOST_AUTO_TEST_CASE(hostilePeer_attemptBeforeHello_isRefused)
{
    const RawPeer raw(exit.settings.peerListen);
    raw.send(encodeAttempt(makeHead(1), Clock::now()));
    BOOST_TEST(raw.isClosedByPeer());
    BOOST_TEST(exit.listener.attempts.empty());
}

BOOST_AUTO_TEST_CASE(hostilePeer_mutatedFrames_neverCrash)
{
    const auto hello = encodeHello({{"127.26.0.8", 1}, 1, "test", Wire::LinkKind::Request}, Clock::now());
    const auto attempt = encodeAttempt(makeHead(1), Clock::now());
    std::uint32_t state = 12345;
    for (int round = 0; round < 2'000; ++round) {
        FrameReader reader;
        reader.allowLargeFrames();
        std::string bytes = round % 2 == 0 ? attempt : hello;
        for (int n = 0; n < 3; ++n) {
            state = state * 1664525 + 1013904223;
            bytes[4 + (state >> 8) % (bytes.size() - 4)] = static_cast<char>(state >> 24);
        }
        reader.append(bytes);
        const auto frame = valueOrError([&] { return reader.next(); });
        if (frame.index() == 0 && std::get<0>(frame) != nullptr) {
            if (const auto *decoded = std::get<0>(frame)->message_as_Attempt()) {
                decodeAttempt(*decoded, Clock::now());
            }
        }
    }
    BOOST_TEST(true);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LinkDecisions)

BOOST_AUTO_TEST_CASE(transit_frameHeldInASocket_isSeenBeyondTheFastest)
{
    TransitClock clock;
    const TimePoint start{seconds(1'000)};
    const Duration senderStart = seconds(5);
    BOOST_TEST((clock.transit(start + milliseconds(1), senderStart) == Duration{0}));
    BOOST_TEST((clock.transit(start + seconds(15), senderStart + milliseconds(10)) > seconds(14)));
}

BOOST_AUTO_TEST_CASE(health_idleLink_isNeitherDeadNorBeating)
{
    const TimePoint start{seconds(1'000)};
    LinkHealth health(milliseconds(250), 3, start);
    BOOST_TEST(!health.isDead(start + seconds(10)));
    BOOST_TEST(!health.heartbeatDue(start + seconds(10)));
    BOOST_TEST(health.isIdle(start + seconds(21)));
}

BOOST_AUTO_TEST_CASE(health_busyAndSilent_isDeadAfterThreePeriods)
{
    const TimePoint start{seconds(1'000)};
    LinkHealth health(milliseconds(250), 3, start);
    health.setBusy(start + seconds(30), true);
    BOOST_TEST(!health.isDead(start + seconds(30) + milliseconds(740)));
    BOOST_TEST(health.isDead(start + seconds(30) + milliseconds(760)));
}

BOOST_AUTO_TEST_CASE(health_wokenFromPause_givesTheOtherSideTime)
{
    const TimePoint start{seconds(1'000)};
    LinkHealth health(milliseconds(250), 3, start);
    health.setBusy(start, true);
    health.onWake(start + seconds(15));
    BOOST_TEST(!health.isDead(start + seconds(15) + milliseconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
