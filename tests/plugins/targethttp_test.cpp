#include "kernel/plugin.h"
#include "plugins/interfaces.h"
#include "tests/support/rawsocket.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

const Endpoint targetAddress{"127.25.2.1", 19000};

/// Records one exchange; its answers to the client are fields.
class RecordingSink : public TargetSink
{
public:
    bool mayStart() override
    {
        ++starts;
        return allowed;
    }
    std::ptrdiff_t readBody(std::span<char> buf) override
    {
        if (uploadBreaks) {
            return -1;
        }
        const auto n = std::min(buf.size(), upload.size());
        std::copy_n(upload.begin(), n, buf.begin());
        upload.erase(0, n);
        return static_cast<std::ptrdiff_t>(n);
    }
    bool onHead(unsigned answerStatus, const Headers &answerHeaders) override
    {
        status = answerStatus;
        headers = answerHeaders;
        ++heads;
        return true;
    }
    bool onBody(Bytes piece) override
    {
        body.append(piece.data(), piece.size());
        return wantsBody;
    }
    bool cancelled() override
    {
        return cancel;
    }

    bool allowed = true;
    bool wantsBody = true;
    bool uploadBreaks = false;
    std::atomic<bool> cancel{false};
    std::string upload;
    unsigned starts = 0;
    unsigned heads = 0;
    unsigned status = 0;
    Headers headers;
    std::string body;
};

struct TargetFixture {
    TargetFixture()
    {
        context = {&settings, metrics.get(), nullptr, 1};
        client = makePlugin<TargetClient>("http", context).value();
    }

    static TargetRequest request(const std::string &method)
    {
        TargetRequest r;
        r.address = targetAddress;
        r.method = method;
        r.path = "/a%20b/../c?d=e";
        r.headers = {{"Host", "desk"}, {"X-Empty", ""}, {"Fescuenotch-Attempt", "7"}};
        r.deadline = Clock::now() + seconds(5);
        r.idempotent = method == "GET";
        return r;
    }

    static TargetRequest post(const std::string &body)
    {
        auto r = request("POST");
        r.hasBody = true;
        r.bodyLength = body.size();
        return r;
    }

    /// Answers every request on a connection with `answer`.
    static RawServer::Script always(const std::string &answer)
    {
        return [answer](RawSocket &socket, unsigned) {
            while (!socket.receiveUntil("\r\n\r\n", milliseconds(500)).empty()) {
                socket.send(answer);
            }
        };
    }

    /// Answers once with `answer` and closes.
    static RawServer::Script once(const std::string &answer)
    {
        return [answer](RawSocket &socket, unsigned) {
            socket.receiveUntil("\r\n\r\n");
            socket.send(answer);
        };
    }

    TargetResult run(const TargetRequest &r)
    {
        return client->exchange(r, sink);
    }

    NodeSettings settings;
    std::unique_ptr<MetricsRegistry> metrics = makeMetricsRegistry();
    NodeContext context;
    std::unique_ptr<TargetClient> client;
    RecordingSink sink;
};

const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n\r\nok";

} // namespace

BOOST_FIXTURE_TEST_SUITE(TargetHttp, TargetFixture)

BOOST_AUTO_TEST_CASE(request_plain_arrivesAsWrittenAndAnswerIsWhole)
{
    std::string received;
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) {
        received = socket.receiveUntil("\r\n\r\n");
        socket.send(okAnswer);
    });
    const auto result = run(request("GET"));
    BOOST_TEST(result.sent);
    BOOST_TEST(result.complete);
    BOOST_TEST((result.reason == Reason::None));
    BOOST_TEST(received == "GET /a%20b/../c?d=e HTTP/1.1\r\nHost: desk\r\nX-Empty:\r\nFescuenotch-Attempt: 7\r\n\r\n");
    BOOST_TEST(sink.status == 200U);
    BOOST_TEST((sink.headers == Headers{{"Content-Length", "2"}, {"X-End", "2"}}));
    BOOST_TEST(sink.body == "ok");
}

BOOST_AUTO_TEST_CASE(request_withBody_isSentSizedOrInChunks)
{
    std::vector<std::string> received;
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) {
        received.push_back(socket.receiveUntil("hello"));
        received.push_back(socket.receiveUntil("0\r\n\r\n", milliseconds(100)));
        socket.send("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
    });
    auto sized = post("hello");
    sized.headers.push_back({"Content-Length", "5"});
    sized.headers.push_back({"Expect", "100-continue"});
    sink.upload = "hello";
    BOOST_TEST(run(sized).complete);
    auto chunked = request("POST");
    chunked.hasBody = true;
    sink.upload = "hello";
    BOOST_TEST(run(chunked).complete);
    BOOST_REQUIRE(received.size() == 4U);
    BOOST_TEST(received[0].ends_with("Content-Length: 5\r\n\r\nhello"), received[0]);
    BOOST_TEST(received[0].find("Expect") == std::string::npos);
    BOOST_TEST(received[0].find("Content-Length") == received[0].rfind("Content-Length"));
    BOOST_TEST(received[2].find("Transfer-Encoding: chunked\r\n") != std::string::npos, received[2]);
    BOOST_TEST((received[2] + received[3]).ends_with("\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), received[2] + received[3]);
}

BOOST_AUTO_TEST_CASE(request_postWithoutBody_tellsItsLength)
{
    std::string received;
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) {
        received = socket.receiveUntil("\r\n\r\n");
        socket.send(okAnswer);
    });
    BOOST_TEST(run(request("POST")).complete);
    BOOST_TEST(received.find("Content-Length: 0\r\n") != std::string::npos, received);
}

BOOST_AUTO_TEST_CASE(answer_headWithoutBody_isComplete)
{
    const std::string notModified = "HTTP/1.1 304 Not Modified\r\nETag: x\r\n\r\n";
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) {
        const auto text = socket.receiveUntil("\r\n\r\n");
        socket.send(text.rfind("HEAD", 0) == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" : notModified);
        socket.closedByPeer(milliseconds(200));
    });
    BOOST_TEST(run(request("HEAD")).complete);
    BOOST_TEST(*findHeader(sink.headers, "Content-Length") == "99");
    BOOST_TEST(run(request("GET")).complete);
    BOOST_TEST(sink.status == 304U);
}

BOOST_AUTO_TEST_CASE(answer_interimHeads_areNotRelayed)
{
    const RawServer target(targetAddress, once("HTTP/1.1 100 Continue\r\nX-A: 1\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okAnswer));
    BOOST_TEST(run(request("GET")).complete);
    BOOST_TEST(sink.heads == 1U);
    BOOST_TEST((sink.headers == Headers{{"Content-Length", "2"}, {"X-End", "2"}}));
}

BOOST_DATA_TEST_CASE(answer_cutOrMalformed_isNotComplete,
                     (std::vector<std::string>{
                         "",
                         "HTTP/1.1 200 OK\r\nContent-Le",
                         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n",
                         "HTTP/1.1 200 OK\r\n\r\nno length",
                         "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
                         "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
                         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
                         "nonsense\r\n\r\n",
                         "HTTP/1.1 200 OK\r\nX-Big: " + std::string(70'000, 'y') + "\r\nContent-Length: 2\r\n\r\nok",
                     }),
                     answer)
{
    const RawServer target(targetAddress, once(answer));
    const auto result = run(request("POST"));
    BOOST_TEST(result.sent);
    BOOST_TEST(!result.complete);
    BOOST_TEST((result.reason == Reason::TargetBroke));
    BOOST_TEST(!result.detail.empty());
}

/// Guards against a complete answer that is lost because the target gave it before it had read the request's body. The connection ends with a
/// reset soon after, or stays open until the deadline.
/// Guards against an answer whose status is not one of HTTP and that the caller gets as an answer.
BOOST_DATA_TEST_CASE(answer_statusOutsideTheProtocol_isBrokenAndNotRelayed, (std::vector<std::string>{"000", "007", "099", "600", "999"}), status)
{
    const RawServer target(targetAddress, once("HTTP/1.1 " + status + " Unknown\r\nContent-Length: 2\r\n\r\nok"));
    const auto result = run(request("GET"));
    BOOST_TEST(!result.complete);
    BOOST_TEST(sink.heads == 0U);
}

BOOST_DATA_TEST_CASE(answer_beforeTheTargetReadsTheBody_isComplete, (std::vector<int>{500, 3'000}), openForMs)
{
    const RawServer target(targetAddress, [openForMs](RawSocket &socket, unsigned) {
        socket.receiveUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + std::string(40'000, 'x'));
        std::this_thread::sleep_for(milliseconds(openForMs));
    });
    sink.upload.resize(16'000'000, 'b');
    auto r = post(sink.upload);
    r.deadline = Clock::now() + seconds(2);
    const auto result = run(r);
    BOOST_TEST(result.complete, result.detail);
    BOOST_TEST(sink.status == 200U);
    BOOST_TEST(sink.body.size() == 40'000U);
}

BOOST_AUTO_TEST_CASE(connection_aliveAndIdle_isReused)
{
    const RawServer target(targetAddress, always(okAnswer));
    for (int n = 0; n < 5; ++n) {
        BOOST_TEST(run(request(n % 2 == 0 ? "GET" : "POST")).complete);
    }
    BOOST_TEST(target.accepted() == 1U);
}

BOOST_AUTO_TEST_CASE(reusedConnection_closedAfterReadingThePost_isNotSentAgain)
{
    std::atomic<unsigned> posts{0};
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) {
        socket.receiveUntil("\r\n\r\n");
        socket.send(okAnswer);
        const auto second = socket.receiveUntil("hello", milliseconds(500));
        posts += second.rfind("POST", 0) == 0 ? 1 : 0;
    });
    BOOST_TEST(run(request("GET")).complete);
    sink.starts = 0;
    sink.upload = "hello";
    const auto result = run(post("hello"));
    BOOST_TEST(result.sent);
    BOOST_TEST(!result.complete);
    BOOST_TEST((result.reason == Reason::TargetBroke));
    BOOST_TEST(sink.starts == 1U);
    std::this_thread::sleep_for(milliseconds(100));
    BOOST_TEST(posts == 1U);
}

BOOST_DATA_TEST_CASE(reusedConnection_closedAfterReadingBodylessRequest_isRepeatedOnlyWhenIdempotent, (std::vector<std::string>{"GET", "DELETE"}), method)
{
    std::atomic<unsigned> received{0};
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned number) {
        const auto first = socket.receiveUntil("\r\n\r\n");
        received += number > 0 && !first.empty() ? 1 : 0;
        socket.send(okAnswer);
        const auto second = socket.receiveUntil("\r\n\r\n", milliseconds(500));
        received += second.empty() ? 0 : 1;
    });
    BOOST_TEST(run(request("GET")).complete);
    sink.starts = 0;
    const auto result = run(request(method));
    BOOST_TEST(result.complete == (method == "GET"));
    BOOST_TEST(sink.starts == 1U);
    std::this_thread::sleep_for(milliseconds(100));
    BOOST_TEST(received == (method == "GET" ? 2U : 1U));
}

BOOST_AUTO_TEST_CASE(connect_refused_isNotSent)
{
    const auto result = run(post("hello"));
    BOOST_TEST(!result.sent);
    BOOST_TEST((result.reason == Reason::ConnectFailed));
    BOOST_TEST(sink.starts == 0U);
}

BOOST_AUTO_TEST_CASE(mayStart_denied_sendsNoByte)
{
    std::atomic<std::size_t> bytes{0};
    {
        const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) { bytes += socket.receiveAll(milliseconds(300)).size(); });
        sink.allowed = false;
        BOOST_TEST(!run(request("POST")).sent);
    }
    BOOST_TEST(bytes == 0U);
}

BOOST_AUTO_TEST_CASE(deadline_silentTarget_endsThere)
{
    const RawServer target(targetAddress, [](RawSocket &socket, unsigned) { socket.receiveAll(seconds(2)); });
    auto r = request("GET");
    const auto begun = Clock::now();
    r.deadline = begun + milliseconds(150);
    const auto result = run(r);
    BOOST_TEST((result.reason == Reason::DeadlinePassed));
    BOOST_TEST(result.sent);
    BOOST_TEST((Clock::now() - begun < milliseconds(300)));
    r.deadline = Clock::now() - milliseconds(1);
    BOOST_TEST(!run(r).sent);
}

BOOST_AUTO_TEST_CASE(cancel_silentTarget_closesTheConnectionSoon)
{
    std::atomic<bool> closed{false};
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) {
        socket.receiveUntil("\r\n\r\n");
        closed = socket.closedByPeer(seconds(2));
    });
    std::thread canceller([&] {
        std::this_thread::sleep_for(milliseconds(100));
        sink.cancel = true;
    });
    const auto begun = Clock::now();
    const auto result = run(request("GET"));
    const auto took = Clock::now() - begun;
    canceller.join();
    BOOST_TEST((result.reason == Reason::Cancelled));
    BOOST_TEST((took < milliseconds(150)));
    BOOST_TEST(waitUntil([&] { return closed.load(); }, milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(sink_stops_closesTheConnection)
{
    std::atomic<unsigned> closed{0};
    const RawServer target(targetAddress, [&](RawSocket &socket, unsigned) {
        socket.receiveUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nsome");
        closed += socket.closedByPeer(seconds(2)) ? 1 : 0;
    });
    sink.wantsBody = false;
    BOOST_TEST((run(request("GET")).reason == Reason::Cancelled));
    sink.wantsBody = true;
    sink.uploadBreaks = true;
    BOOST_TEST((run(post("hello")).reason == Reason::Cancelled));
    BOOST_TEST(waitUntil([&] { return closed == 2U; }));
}

BOOST_AUTO_TEST_CASE(exchanges_onManyThreads_eachReachTheTarget)
{
    const RawServer target(targetAddress, always(okAnswer));
    std::atomic<unsigned> complete{0};
    std::vector<std::thread> threads;
    threads.reserve(20);
    for (int n = 0; n < 20; ++n) {
        threads.emplace_back([&] {
            for (int round = 0; round < 20; ++round) {
                RecordingSink own;
                complete += client->exchange(request("GET"), own).complete ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    BOOST_TEST(complete == 400U);
    BOOST_TEST(target.accepted() <= 20U);
}

BOOST_AUTO_TEST_SUITE_END()
