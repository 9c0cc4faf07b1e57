#include "kernel/plugin.h"
#include "plugins/interfaces.h"
#include "tests/support/rawsocket.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

const std::string emptyPage = R"({"epoch":1,"revision":42,"complete":false,"more":false,"changes":[]})";

std::string answerOf(const std::string &status, const std::string &body, const std::string &header = "")
{
    return "HTTP/1.1 " + status + "\r\n" + header + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct PlatformFixture {
    PlatformFixture()
    {
        settings.platform = "http://127.25.4.1:17000";
        reader = makePlugin<PlatformReader>("http", NodeContext{&settings, metrics.get(), nullptr, 1}).value();
    }

    /// Answers each request with `answer` and records it.
    RawServer::Script always(const std::string &answer)
    {
        return [this, answer](RawSocket &socket, unsigned) {
            for (auto text = socket.receiveUntil("\r\n\r\n", milliseconds(300)); !text.empty(); text = socket.receiveUntil("\r\n\r\n", milliseconds(300))) {
                const std::lock_guard lock(mutex);
                requests.push_back(text.substr(0, text.find("\r\n")));
                socket.send(answer);
            }
        };
    }

    Error errorOfWatch()
    {
        const auto result = valueOrError([&] { return reader->watchConfig(7, milliseconds(100)); });
        BOOST_REQUIRE(result.index() == 1U);
        return std::get<1>(result);
    }

    NodeSettings settings;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    std::unique_ptr<PlatformReader> reader;
    std::mutex mutex;
    std::vector<std::string> requests;
    Endpoint address{"127.25.4.1", 17000};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformHttp, PlatformFixture)

BOOST_AUTO_TEST_CASE(watch_twice_asksOverOneConnection)
{
    const RawServer platform(address, always(answerOf("200 OK", emptyPage)));
    for (int n = 0; n < 2; ++n) {
        const auto result = valueOrError([&] { return reader->watchConfig(7, milliseconds(100)); });
        BOOST_REQUIRE(result.index() == 0U);
        BOOST_TEST(std::get<0>(result).revision == 42U);
    }
    BOOST_TEST(platform.accepted() == 1U);
    BOOST_TEST(requests.at(0) == "GET /v1/config?after=7&wait_ms=100 HTTP/1.1");
}

BOOST_AUTO_TEST_CASE(hosts_listed_areParsed)
{
    const RawServer platform(address, always(answerOf("200 OK", R"({"revision":7,"hosts":[]})")));
    const auto result = valueOrError([&] { return reader->hosts(); });
    BOOST_REQUIRE(result.index() == 0U);
    BOOST_TEST(std::get<0>(result).revision == 7U);
}

BOOST_AUTO_TEST_CASE(watch_limited_tellsHowLongToWait)
{
    const RawServer platform(address, always(answerOf("429 Too Many Requests", "", "Retry-After: 3\r\n")));
    const auto error = errorOfWatch();
    BOOST_TEST((error.kind == ErrorKind::PlatformLimited));
    BOOST_TEST((error.retryAfter == seconds(3)));
}

BOOST_AUTO_TEST_CASE(watch_outage_isUnavailable)
{
    const RawServer platform(address, always(answerOf("503 Service Unavailable", "", "Retry-After: 2\r\n")));
    const auto error = errorOfWatch();
    BOOST_TEST((error.kind == ErrorKind::PlatformUnavailable));
    BOOST_TEST((error.retryAfter == seconds(2)));
}

BOOST_AUTO_TEST_CASE(watch_refusedOrBroken_isUnavailable)
{
    BOOST_TEST((errorOfWatch().kind == ErrorKind::PlatformUnavailable));
    const RawServer platform(address, [](RawSocket &socket, unsigned) {
        socket.receiveUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"epoch\"");
    });
    BOOST_TEST((errorOfWatch().kind == ErrorKind::PlatformUnavailable));
}

BOOST_AUTO_TEST_CASE(watch_silentPlatform_endsSoonAfterTheWait)
{
    const RawServer platform(address, [](RawSocket &socket, unsigned) { socket.receiveAll(seconds(4)); });
    const auto begun = Clock::now();
    BOOST_TEST((errorOfWatch().kind == ErrorKind::PlatformUnavailable));
    BOOST_TEST((Clock::now() - begun < milliseconds(100 + 2'000 + 200)));
}

BOOST_AUTO_TEST_CASE(interrupt_whileWaiting_endsTheWatchAtOnce)
{
    const RawServer platform(address, [](RawSocket &socket, unsigned) { socket.receiveAll(seconds(4)); });
    std::thread stopper([&] {
        std::this_thread::sleep_for(milliseconds(100));
        reader->interrupt();
    });
    const auto begun = Clock::now();
    const auto result = valueOrError([&] { return reader->watchConfig(7, seconds(30)); });
    stopper.join();
    BOOST_TEST(result.index() == 1U);
    BOOST_TEST((Clock::now() - begun < milliseconds(250)));
}

BOOST_AUTO_TEST_SUITE_END()
