// Pages that are read slowly.
#include "forward/pageserver.h"
#include "tests/support/rawsocket.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <algorithm>

using namespace Fescuenotch;

namespace {

constexpr std::size_t PageBytes = 8'000'000; ///< bytes; more than the kernel takes
constexpr int ReceiveBuffer = 64 * 1024; ///< bytes
constexpr std::size_t ReadRate = 4'000'000; ///< bytes a second; two seconds for a page
constexpr milliseconds ReadLimit{8'000}; ///< ms
constexpr PageServerLimits Limits{milliseconds(500), milliseconds(50)};

struct PageServerFixture {
    PageServerFixture()
    {
        server.addPage("/large", [] { return PageAnswer{200, "text/plain", std::string(PageBytes, 'x')}; });
        const auto error = errorOf([&] { return server.listen(endpoint, "the test's address"); });
        BOOST_REQUIRE(!error.has_value());
        thread = std::thread([this] { loop.run(); });
    }

    ~PageServerFixture()
    {
        loop.post([this] { loop.stop(); });
        thread.join();
    }

    std::size_t bodyBytes(const std::string &requests)
    {
        auto socket = RawSocket::connectTo(endpoint, ReceiveBuffer);
        socket.send(requests);
        const auto answer = socket.receiveAtRate(ReadRate, ReadLimit);
        return static_cast<std::size_t>(
            std::count(answer.begin() + static_cast<std::ptrdiff_t>(std::min(answer.size(), answer.find("\r\n\r\n"))), answer.end(), 'x'));
    }

    const Endpoint endpoint{"127.9." + std::to_string(::getpid() % 250 + 1) + ".7", 18'812};
    EventLoop loop;
    PageServer server{loop, Limits};
    std::thread thread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PageServerTest, PageServerFixture)

/// Guards against a page that is cut because its connection counts as idle from the last input.
BOOST_AUTO_TEST_CASE(page_isReadLongerThanTheIdleTimeout_isComplete)
{
    BOOST_TEST(bodyBytes("GET /large HTTP/1.1\r\nHost: a\r\n\r\n") == PageBytes);
    BOOST_TEST(bodyBytes("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") == PageBytes);
}

/// Guards against a page that is dropped with its connection because what follows its request is not a valid one.
BOOST_AUTO_TEST_CASE(page_invalidRequestFollows_isComplete)
{
    BOOST_TEST(bodyBytes("GET /large HTTP/1.1\r\nHost: a\r\n\r\nnot a request\r\n\r\n") == PageBytes);
}

/// Guards against a reset that discards a page: nothing may be written after the end of the output.
BOOST_AUTO_TEST_CASE(page_requestFollowsTheLastOne_isComplete)
{
    BOOST_TEST(bodyBytes("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\nGET /large HTTP/1.1\r\nHost: a\r\n\r\n") == PageBytes);
}

/// Guards against connections that stay open for ever.
BOOST_AUTO_TEST_CASE(connection_isIdleOrItsPageIsNotRead_isClosed)
{
    auto idle = RawSocket::connectTo(endpoint);
    BOOST_TEST(idle.closedByPeer(seconds(3)));
    auto stalled = RawSocket::connectTo(endpoint, ReceiveBuffer);
    stalled.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(stalled.receiveAll(seconds(3)).size() < PageBytes);
}

BOOST_AUTO_TEST_SUITE_END()
