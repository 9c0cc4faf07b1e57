#include "loop/eventloop.h"
#include "loop/tcpstream.h"
#include "loop/worker.h"
#include "tests/support/rawsocket.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace Fescuenotch;

namespace {

Endpoint serverAddress()
{
    return {"127.9.0.1", 18'811};
}

struct LoopFixture {
    EventLoop loop;

    void runFor(milliseconds limit)
    {
        loop.timers().after(limit, [this](TimePoint) { loop.stop(); });
        loop.run();
    }
};

struct RecordedEvents final : public StreamEvents {
    void onConnected() override
    {
        connected = true;
    }
    void onInput() override
    {
        ++inputs;
        if (throwsOnInput) {
            throw std::runtime_error("a message that the handler cannot process");
        }
    }
    void onDrained() override
    {
        ++drains;
    }
    void onClosed(CloseCause why) override
    {
        cause = why;
    }

    bool connected = false;
    bool throwsOnInput = false;
    int inputs = 0;
    int drains = 0;
    std::optional<CloseCause> cause;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EventLoopTest, LoopFixture)

BOOST_AUTO_TEST_CASE(timer_cancelledByAnotherTimer_doesNotRun)
{
    int runs = 0;
    const auto second = loop.timers().after(milliseconds(20), [&](TimePoint) { ++runs; });
    loop.timers().after(milliseconds(5), [&](TimePoint) { loop.timers().cancel(second); });
    runFor(milliseconds(60));
    BOOST_TEST(runs == 0);
}

BOOST_AUTO_TEST_CASE(timer_repeating_runsUntilItsOwnerIsDestroyed)
{
    int runs = 0;
    {
        ScopedTimer timer;
        timer.repeat(loop.timers(), milliseconds(5), [&](TimePoint) { ++runs; });
        runFor(milliseconds(60));
    }
    BOOST_TEST(runs >= 3);
}

BOOST_AUTO_TEST_CASE(post_fromAnotherThread_runsOnLoopThread)
{
    std::thread::id ranOn;
    std::thread other([&] {
        loop.post([&] {
            ranOn = std::this_thread::get_id();
            loop.stop();
        });
    });
    loop.run();
    other.join();
    BOOST_TEST((ranOn == std::this_thread::get_id()));
}

BOOST_AUTO_TEST_CASE(worker_jobFinishes_resultIsDeliveredOnLoop)
{
    int result = 0;
    Worker worker(loop);
    worker.run([] { return 42; },
               [&](int value) {
                   result = value;
                   loop.stop();
               });
    loop.run();
    BOOST_TEST(result == 42);
}

/// Guards against a process that ends because one handler met something unexpected.
BOOST_AUTO_TEST_CASE(callback_throws_isCountedAndTheOthersRun)
{
    unsigned ran = 0;
    const auto fail = [] { throw std::runtime_error("defect"); };
    const auto succeed = [&] { ++ran; };
    loop.defer(fail);
    loop.defer(succeed);
    loop.post(fail);
    loop.post(succeed);
    loop.timers().after(milliseconds(5), [&](TimePoint) { fail(); });
    loop.timers().after(milliseconds(5), [&](TimePoint) { succeed(); });
    runFor(milliseconds(50));
    BOOST_TEST(ran == 3U);
    BOOST_TEST(loop.unexpectedErrors() == 3U);
}

/// As above, for a message: only the connection that it came on is closed.
BOOST_AUTO_TEST_CASE(stream_inputHandlerThrows_onlyThisConnectionIsReset)
{
    const RawServer server(serverAddress(), [](RawSocket &socket, unsigned) {
        socket.send("x");
        std::this_thread::sleep_for(milliseconds(100));
    });
    RecordedEvents failing;
    failing.throwsOnInput = true;
    RecordedEvents working;
    const auto first = TcpStream::connect(loop, serverAddress(), failing);
    const auto second = TcpStream::connect(loop, serverAddress(), working);
    runFor(milliseconds(60));
    BOOST_TEST((failing.cause == CloseCause::Reset));
    BOOST_TEST(!first->isOpen());
    BOOST_TEST(working.inputs == 1);
    BOOST_TEST(second->isOpen());
}

/// As above, on the worker's thread.
BOOST_AUTO_TEST_CASE(worker_jobThrows_laterJobsRun)
{
    int result = 0;
    Worker worker(loop);
    worker.run([]() -> int { throw std::runtime_error("defect"); }, [](int) {});
    worker.run([] { return 42; },
               [&](int value) {
                   result = value;
                   loop.stop();
               });
    runFor(seconds(2));
    BOOST_TEST(result == 42);
}

/// A result that trips a library is an error of the document, not of the process.
BOOST_AUTO_TEST_CASE(valueOrError_functionThrows_returnsInternalError)
{
    const auto result = valueOrError([]() -> Result<int> { throw std::out_of_range("index 9"); });
    BOOST_REQUIRE(result.index() == 1U);
    BOOST_TEST((std::get<Error>(result).kind == ErrorKind::Internal));
    BOOST_TEST(std::get<Error>(result).what.find("index 9") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stream_portWithoutListener_reportsConnectFailed)
{
    RecordedEvents events;
    const auto stream = TcpStream::connect(loop, {"127.9.0.1", 18'899}, events);
    runFor(milliseconds(50));
    BOOST_TEST((events.cause == CloseCause::ConnectFailed));
    BOOST_TEST(!events.connected);
}

BOOST_AUTO_TEST_CASE(stream_remoteResetsOrCloses_causesDiffer)
{
    const RawServer server(serverAddress(), [](RawSocket &socket, unsigned number) {
        std::string bytes;
        socket.receiveSome(bytes, seconds(2));
        number == 0 ? socket.reset() : socket.close();
    });
    for (const auto expected : {CloseCause::Reset, CloseCause::EndOfStream}) {
        EventLoop own;
        RecordedEvents events;
        const auto stream = TcpStream::connect(own, serverAddress(), events);
        stream->write("x");
        own.timers().after(milliseconds(150), [&](TimePoint) { own.stop(); });
        own.run();
        BOOST_TEST(events.connected);
        BOOST_TEST((events.cause == expected));
    }
}

BOOST_AUTO_TEST_CASE(stream_slowReader_buffersOutputAndNotifiesWhenDrained)
{
    constexpr std::size_t Bytes = 8 * 1024 * 1024;
    std::atomic<std::size_t> read{0};
    const RawServer server(serverAddress(), [&](RawSocket &socket, unsigned) {
        std::this_thread::sleep_for(milliseconds(50));
        std::string bytes;
        while (read < Bytes && socket.receiveSome(bytes, seconds(2)) > 0) {
            read = bytes.size();
        }
    });
    RecordedEvents events;
    const auto stream = TcpStream::connect(loop, serverAddress(), events);
    stream->write(std::string(Bytes, 'x'));
    loop.timers().after(milliseconds(30), [&](TimePoint) { BOOST_TEST(stream->pendingBytes() > 0U); });
    ScopedTimer poll;
    poll.repeat(loop.timers(), milliseconds(10), [&](TimePoint) {
        if (read == Bytes) {
            loop.stop();
        }
    });
    runFor(seconds(5));
    BOOST_TEST(read == Bytes);
    BOOST_TEST(stream->pendingBytes() == 0U);
    BOOST_TEST(events.drains >= 1);
}

/// Guards against a writer that waits for ever: `onDrained` must follow a backlog also when the kernel takes all of it at once.
BOOST_AUTO_TEST_CASE(stream_backlogSentAtOnce_stillNotifiesDrained)
{
    const RawServer server(serverAddress(), [](RawSocket &socket, unsigned) { socket.receiveAll(milliseconds(300)); });
    RecordedEvents events;
    const auto stream = TcpStream::connect(loop, serverAddress(), events);
    loop.timers().after(milliseconds(20), [&](TimePoint) { stream->write(std::string(DrainNotifyBytes, 'x')); });
    runFor(milliseconds(100));
    BOOST_TEST(stream->pendingBytes() == 0U);
    BOOST_TEST(events.drains == 1);
}

// A connection that was established between the last accept and the close of the listening socket was reset by the kernel. Needs a kernel
// that filters the segments of listening sockets.
BOOST_AUTO_TEST_CASE(listener_callerConnectsAfterTheLastAccept_isNeverEstablished)
{
    std::vector<RawSocket> accepted;
    auto listener = TcpListener::listen(loop, serverAddress(), "test", [&](int fd) { accepted.emplace_back(fd); }).value();
    auto early = RawSocket::connectTo(serverAddress());
    listener->dropConnectionRequests();
    listener->acceptPending();
    BOOST_REQUIRE(accepted.size() == 1);
    std::atomic<bool> established{false};
    std::thread late([&] {
        try {
            RawSocket::connectTo(serverAddress());
            established = true;
        } catch (const std::runtime_error &) { // refused
        }
    });
    std::this_thread::sleep_for(milliseconds(50));
    listener->acceptPending();
    listener.reset();
    late.join();
    BOOST_TEST(!established);
    BOOST_TEST(accepted.size() == 1);
    BOOST_TEST(accepted.front().send("x"));
    BOOST_TEST(early.receiveUntil("x") == "x");
}

BOOST_AUTO_TEST_CASE(stream_paused_readsNothingUntilResumed)
{
    const RawServer server(serverAddress(), [](RawSocket &socket, unsigned) {
        socket.send("hello");
        std::this_thread::sleep_for(milliseconds(150));
    });
    RecordedEvents events;
    const auto stream = TcpStream::connect(loop, serverAddress(), events);
    stream->pauseInput();
    loop.timers().after(milliseconds(50), [&](TimePoint) {
        BOOST_TEST(events.inputs == 0);
        stream->resumeInput();
    });
    runFor(milliseconds(100));
    BOOST_TEST(stream->input() == "hello");
}

/// Guards against a loop that reads from the fastest senders only.
BOOST_AUTO_TEST_CASE(stream_senderNeverStops_timersRun)
{
    constexpr std::uint64_t MostBytes = 5'000'000'000;
    constexpr unsigned Senders = 4;
    std::atomic<bool> stopped{false};
    std::uint64_t received = 0;
    int runs = 0;
    struct Discarding final : public StreamEvents {
        std::unique_ptr<TcpStream> stream;
        std::function<void(std::size_t)> onBytes;
        void onInput() override
        {
            onBytes(stream->input().size());
            stream->input().clear();
        }
        void onClosed(CloseCause) override
        {
        }
    };
    std::vector<std::unique_ptr<Discarding>> readers;
    const auto listener = TcpListener::listen(loop, serverAddress(), "test", [&](int fd) {
        auto reader = std::make_unique<Discarding>();
        reader->onBytes = [&](std::size_t n) {
            received += n;
            if (received > MostBytes) {
                stopped = true;
                loop.stop();
            }
        };
        reader->stream = TcpStream::adopt(loop, fd, *reader);
        readers.push_back(std::move(reader));
    });
    std::vector<std::thread> senders;
    for (unsigned n = 0; n < Senders; ++n) {
        senders.emplace_back([&] {
            auto socket = RawSocket::connectTo(serverAddress());
            const std::string bytes(1 << 20, '.');
            while (!stopped && socket.send(bytes)) { }
        });
    }
    ScopedTimer timer;
    timer.repeat(loop.timers(), milliseconds(5), [&](TimePoint) {
        if (++runs == 50) {
            loop.stop();
        }
    });
    loop.run();
    stopped = true;
    readers.clear();
    for (auto &each : senders) {
        each.join();
    }
    BOOST_TEST_MESSAGE("received " << received << " bytes, timer ran " << runs << " times");
    BOOST_TEST(runs == 50);
}

BOOST_AUTO_TEST_SUITE_END()
