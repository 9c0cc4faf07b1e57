// Bodies far larger than any buffer: memory stays bounded when the reader is slower than the sender.
#include "callerfixture.h"
#include "kernel/plugin.h"
#include "kernel/processmetrics.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

constexpr std::uint64_t ArchiveBytes = 1'073'741'824; ///< bytes
constexpr std::uint64_t MemoryBound = 33'554'432; ///< bytes; growth of this process that is allowed
constexpr std::size_t PieceBytes = 1'048'576; ///< bytes sent at a time by the test

/// Highest growth of this process's memory while it lives.
class MemoryWatch
{
public:
    MemoryWatch()
        : m_thread([this] {
            while (!m_stopped) {
                m_highest = std::max<std::uint64_t>(m_highest, processUsage().residentBytes);
                std::this_thread::sleep_for(milliseconds(5));
            }
        })
    {
    }

    std::uint64_t growth()
    {
        m_stopped = true;
        m_thread.join();
        return m_highest > m_start ? m_highest - m_start : 0;
    }

private:
    std::uint64_t m_start = processUsage().residentBytes;
    std::atomic<std::uint64_t> m_highest{0};
    std::atomic<bool> m_stopped{false};
    std::thread m_thread;
};

/// Reads to the end with pauses.
std::uint64_t readSlowly(RawSocket &socket, std::uint64_t wanted)
{
    std::uint64_t total = 0;
    std::string piece;
    for (unsigned n = 0; total < wanted && socket.receiveSome(piece, seconds(5)) > 0; ++n) {
        total += piece.size();
        piece.clear();
        if (n % 256 == 0) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    return total;
}

class SlowSink : public TargetSink
{
public:
    bool mayStart() override
    {
        return true;
    }
    std::ptrdiff_t readBody(std::span<char> buf) override
    {
        const auto n = std::min<std::uint64_t>(buf.size(), toSend);
        toSend -= n;
        return static_cast<std::ptrdiff_t>(n);
    }
    bool onHead(unsigned, const Headers &) override
    {
        return true;
    }
    bool onBody(Bytes piece) override
    {
        received += piece.size();
        if (++m_pieces % 256 == 0) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return true;
    }
    bool cancelled() override
    {
        return false;
    }

    std::uint64_t toSend = 0;
    std::uint64_t received = 0;

private:
    unsigned m_pieces = 0;
};

struct TargetStreamFixture : CallerFixture {
    TargetResult exchange(SlowSink &sink, bool upload)
    {
        TargetRequest request;
        request.address = {"127.25.2.2", 19000};
        request.method = upload ? "PUT" : "GET";
        request.path = "/archive";
        request.deadline = Clock::now() + seconds(60);
        request.hasBody = upload;
        request.bodyLength = upload ? std::optional(ArchiveBytes) : std::nullopt;
        sink.toSend = upload ? ArchiveBytes : 0;
        return makePlugin<TargetClient>("http", context).value()->exchange(request, sink);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Streaming)

BOOST_FIXTURE_TEST_CASE(callerAnswer_archiveToSlowReader_staysInBoundedMemory, CallerFixture)
{
    start();
    auto socket = connect();
    MemoryWatch memory;
    socket.send("GET /body?size=" + std::to_string(ArchiveBytes) + " HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(readSlowly(socket, ArchiveBytes) >= ArchiveBytes);
    BOOST_TEST(memory.growth() < MemoryBound);
}

BOOST_FIXTURE_TEST_CASE(callerUpload_archiveToSlowHandler_staysInBoundedMemory, CallerFixture)
{
    start();
    auto socket = connect();
    const std::string piece(PieceBytes, 'u');
    MemoryWatch memory;
    socket.send("PUT /slowupload HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(ArchiveBytes) + "\r\n\r\n");
    for (std::uint64_t sent = 0; sent < ArchiveBytes; sent += piece.size()) {
        BOOST_REQUIRE(socket.send(piece));
    }
    BOOST_TEST(socket.receiveAnswer(seconds(30)).find("200 OK") != std::string::npos);
    BOOST_TEST(handler.seen(0).bodyBytes == ArchiveBytes);
    BOOST_TEST(memory.growth() < MemoryBound);
}

BOOST_FIXTURE_TEST_CASE(targetAnswer_archiveToSlowSink_staysInBoundedMemory, TargetStreamFixture)
{
    const RawServer target({"127.25.2.2", 19000}, [](RawSocket &socket, unsigned) {
        socket.receiveUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(ArchiveBytes) + "\r\n\r\n");
        const std::string piece(PieceBytes, 't');
        for (std::uint64_t sent = 0; sent < ArchiveBytes && socket.send(piece); sent += piece.size()) { }
    });
    SlowSink sink;
    MemoryWatch memory;
    BOOST_TEST(exchange(sink, false).complete);
    BOOST_TEST(sink.received == ArchiveBytes);
    BOOST_TEST(memory.growth() < MemoryBound);
}

BOOST_FIXTURE_TEST_CASE(targetUpload_archiveToSlowTarget_staysInBoundedMemory, TargetStreamFixture)
{
    std::atomic<std::uint64_t> received{0};
    const RawServer target({"127.25.2.2", 19000}, [&](RawSocket &socket, unsigned) {
        received = readSlowly(socket, ArchiveBytes);
        socket.send("HTTP/1.1 204 No Content\r\n\r\n");
    });
    SlowSink sink;
    MemoryWatch memory;
    BOOST_TEST(exchange(sink, true).complete);
    BOOST_TEST(received >= ArchiveBytes);
    BOOST_TEST(memory.growth() < MemoryBound);
}

BOOST_AUTO_TEST_SUITE_END()
