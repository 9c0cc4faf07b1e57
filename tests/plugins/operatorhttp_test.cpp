#include "callerfixture.h"
#include "kernel/plugin.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct OperatorFixture : OperatorHandler {
    OperatorFixture()
    {
        settings.operatorListen = {"127.25.3.1", 18081};
        server = makePlugin<OperatorServer>("http", NodeContext{&settings, metrics.get(), nullptr, 1}).value();
        BOOST_REQUIRE(!errorOf([&] { return server->start(*this); }));
    }

    OperatorAnswer answer(const std::string &path) override
    {
        if (path == "/slow") {
            std::this_thread::sleep_for(milliseconds(300));
        }
        return {path == "/missing" ? 404U : 200U, "text/plain", "page " + path + "\n"};
    }

    std::string exchange(const std::string &bytes) const
    {
        auto socket = RawSocket::connectTo(settings.operatorListen);
        socket.send(bytes);
        return socket.receiveAnswer();
    }

    NodeSettings settings;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    std::unique_ptr<OperatorServer> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OperatorHttp, OperatorFixture)

BOOST_AUTO_TEST_CASE(get_anyPath_isTheHandlersAnswer)
{
    const auto found = exchange("GET /status?x=y HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(found.rfind("HTTP/1.1 200 ", 0) == 0, found);
    BOOST_TEST(found.find("Content-Type: text/plain") != std::string::npos);
    BOOST_TEST(found.ends_with("page /status\n"), found);
    BOOST_TEST(exchange("GET /missing HTTP/1.1\r\nHost: a\r\n\r\n").rfind("HTTP/1.1 404 ", 0) == 0);
}

BOOST_AUTO_TEST_CASE(otherMethod_withAndWithoutBody_isRefused)
{
    for (const std::string request : {"DELETE /status HTTP/1.1\r\nHost: a\r\n\r\n", "POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"}) {
        const auto answer = exchange(request);
        BOOST_TEST(answer.rfind("HTTP/1.1 405 ", 0) == 0, answer);
        BOOST_TEST(answer.find("Allow: GET") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(head_tooLarge_isRefused)
{
    const auto answer = exchange("GET / HTTP/1.1\r\nHost: a\r\nX-Big: " + std::string(100'000, 'y') + "\r\n\r\n");
    BOOST_TEST(answer.rfind("HTTP/1.1 4", 0) == 0, answer);
}

BOOST_AUTO_TEST_CASE(page_whileOneIsSlow_isAnswered)
{
    std::thread slow([&] { exchange("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"); });
    std::this_thread::sleep_for(milliseconds(50));
    unsigned quick = 0;
    for (int n = 0; n < 4; ++n) {
        const auto begun = Clock::now();
        exchange("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
        quick += Clock::now() - begun < milliseconds(100) ? 1 : 0;
    }
    slow.join();
    BOOST_TEST(quick == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
