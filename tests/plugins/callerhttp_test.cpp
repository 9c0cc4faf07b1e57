#include "callerfixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace Fescuenotch;

namespace {

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// A request shape that must be refused.
struct Shape {
    const char *name;
    std::string_view bytes;
    const char *status = "400"; ///< "413" for a length beyond every cap, "505" for another version of HTTP
};

std::ostream &operator<<(std::ostream &out, const Shape &shape)
{
    return out << shape.name;
}

using namespace std::string_view_literals;

const std::vector<Shape> smugglingShapes{
    {"two lengths", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello"},
    {"two different lengths", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"},
    {"length list", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\nhello"},
    {"signed length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello"},
    {"negative length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\nhello"},
    {"hexadecimal length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 0x5\r\n\r\nhello"},
    {"empty length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n"},
    {"huge length", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\nhello", "413"},
    {"length with chunks", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
    {"chunks with length", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"},
    {"two codings", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n"},
    {"coding list", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
    {"unknown coding", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
    {"coding with tab",
     "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \x0b"
     "chunked\r\n\r\n0\r\n\r\n"},
    {"chunks over 1.0", "POST /p HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
    {"space before colon", "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello"},
    {"tab before colon", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding\t: chunked\r\n\r\n0\r\n\r\n"},
    {"folded header", "GET /p HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\nX-D: e\r\n\r\n"},
    {"folded last header", "GET /p HTTP/1.1\r\nHost: a\r\nX-A: b\r\n\tc\r\n\r\n"},
    {"folded coding", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n"},
    {"folded to nothing", "GET /p HTTP/1.1\r\nHost: a\r\nX-A: b\r\n \r\n\r\n"},
    {"space before first header", "GET /p HTTP/1.1\r\n X-A: b\r\nHost: a\r\n\r\n"},
    {"bare return in name", "POST /p HTTP/1.1\r\nHost: a\r\nX\rContent-Length: 5\r\n\r\nhello"},
    {"bare return in value", "GET /p HTTP/1.1\r\nHost: a\r\nX-A: b\rX-C: d\r\n\r\n"},
    {"bare line feed", "GET /p HTTP/1.1\r\nHost: a\nX-A: b\r\n\r\n"},
    {"bare line feed after request line", "GET /p HTTP/1.1\nHost: a\r\n\r\n"},
    {"bare line feed at the end", "GET /p HTTP/1.1\r\nHost: a\r\n\n"},
    {"null in value", "GET /p HTTP/1.1\r\nHost: a\r\nX-A: b\0c\r\nX-D: e\r\n\r\n"sv},
    {"null in last value", "GET /p HTTP/1.1\r\nHost: a\r\nX-A: b\0c\r\n\r\n"sv},
    {"null in name", "GET /p HTTP/1.1\r\nHost: a\r\nX\0A: b\r\n\r\n"sv},
    {"no colon", "GET /p HTTP/1.1\r\nHost: a\r\nX-A\r\n\r\n"},
    {"empty name", "GET /p HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n"},
    {"no host", "GET /p HTTP/1.1\r\nX-A: b\r\n\r\n"},
    {"two hosts", "GET /p HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"},
    {"space in path", "GET /p q HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"tab in path", "GET /p\tq HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"two spaces in line", "GET  /p HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"no version", "GET /p\r\nHost: a\r\n\r\n"},
    {"wrong version", "GET /p HTTP/2.0\r\nHost: a\r\n\r\n", "505"},
    {"version with tail", "GET /p HTTP/1.1x\r\nHost: a\r\n\r\n"},
    {"absolute form", "GET http://a/p HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"connect", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"chunk size with sign", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n"},
    {"chunk size with 0x", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n"},
    {"chunk size with space", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n 5\r\nhello\r\n0\r\n\r\n"},
    {"chunk size not hexadecimal", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nhello\r\n0\r\n\r\n"},
    {"chunk size missing", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\nhello\r\n0\r\n\r\n"},
    {"chunk size overflow", "POST /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000005\r\nhello\r\n0\r\n\r\n", "413"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(CallerHttp)

BOOST_DATA_TEST_CASE_F(CallerFixture, request_smugglingShape_isRefusedAndNeverHandedOn, smugglingShapes, shape)
{
    start();
    const auto answer = exchange(shape.bytes);
    BOOST_TEST(answer.rfind("HTTP/1.1 " + std::string(shape.status), 0) == 0, answer);
    BOOST_TEST(!contains(answer, "200 OK"), answer);
    BOOST_TEST(handler.count() == 0U);
}

BOOST_FIXTURE_TEST_CASE(request_plain_isHandedOnWithEndToEndHeadersOnly, CallerFixture)
{
    start();
    auto socket = connect();
    socket.send("GET /a%20b?c=d&e=%2F HTTP/1.1\r\nHost: a\r\nX-Kept:  b \r\nConnection: X-Named\r\nX-Named: c\r\nTE: trailers\r\n\r\n");
    const auto answer = socket.receiveAnswer();
    BOOST_TEST(contains(answer, "HTTP/1.1 200 OK"), answer);
    BOOST_TEST(contains(answer, "X-Path: /a%20b?c=d&e=%2F"), answer);
    BOOST_TEST(!contains(answer, "Keep-Alive"), answer);
    const auto seen = handler.seen(0);
    BOOST_TEST(seen.request.path == "/a%20b?c=d&e=%2F");
    BOOST_TEST((seen.request.headers == Headers{{"Host", "a"}, {"X-Kept", "b"}}));
    BOOST_TEST(!seen.request.hasBody);
}

BOOST_FIXTURE_TEST_CASE(connection_keptAlive_servesOneRequestAfterTheOther, CallerFixture)
{
    start();
    auto socket = connect();
    for (int n = 0; n < 3; ++n) {
        socket.send("POST /n" + std::to_string(n) + " HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
        BOOST_TEST(contains(socket.receiveAnswer(), "POST /n" + std::to_string(n)));
    }
    BOOST_TEST(handler.seen(2).body == "hello");
    BOOST_TEST(handler.seen(1).ended);
    BOOST_TEST(metric("fescuenotch_caller_connections") == "1");
}

BOOST_FIXTURE_TEST_CASE(request_twoPipelined_areAnsweredInOrder, CallerFixture)
{
    start();
    const auto answer = exchange("GET /one HTTP/1.1\r\nHost: a\r\n\r\nGET /two HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    BOOST_TEST(answer.find("GET /one") < answer.find("GET /two"));
    BOOST_TEST(contains(answer, "GET /two"), answer);
}

BOOST_FIXTURE_TEST_CASE(head_sizedAnswer_keepsLengthAndHasNoBody, CallerFixture)
{
    start();
    const auto answer = exchange("HEAD /body?size=1234 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    BOOST_TEST(contains(answer, "Content-Length: 1234\r\n"), answer);
    BOOST_TEST(answer.size() == answer.find("\r\n\r\n") + 4);
}

BOOST_FIXTURE_TEST_CASE(body_chunkedRequest_reachesHandlerWhole, CallerFixture)
{
    start();
    const auto answer
        = exchange("POST /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n");
    BOOST_TEST(contains(answer, "200 OK"), answer);
    BOOST_TEST(handler.seen(0).body == "hello world");
    BOOST_TEST(handler.seen(0).request.hasBody);
    BOOST_TEST(!handler.seen(0).request.bodyLength.has_value());
}

BOOST_FIXTURE_TEST_CASE(body_laterChunkMalformed_endsTheSessionWithoutAnswerOfTheHandler, CallerFixture)
{
    start();
    const auto answer = exchange("POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nxyz\r\n\r\n0\r\n\r\n");
    BOOST_TEST(!contains(answer, "200 OK"), answer);
    BOOST_TEST(waitUntil([&] { return handler.seen(0).ended; }));
    BOOST_TEST(!handler.seen(0).responded);
}

BOOST_FIXTURE_TEST_CASE(body_chunkedAnswer_endsWithLastChunk, CallerFixture)
{
    start();
    const auto answer = exchange("GET /body?size=100000&chunked=1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    BOOST_TEST(contains(answer, "Transfer-Encoding: chunked"));
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(std::count(answer.begin(), answer.end(), 'x') >= 100'000);
}

BOOST_DATA_TEST_CASE_F(CallerFixture,
                       answer_brokenMidway_isVisiblyCut,
                       (std::vector<std::string>{
                           "size=100000&break=50000", "size=100000&chunked=1&break=50000", "size=100&break=50", "size=50&chunked=1&break=0"}),
                       query)
{
    start();
    const auto answer = exchange("GET /body?" + query + " HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(!answer.ends_with("0\r\n\r\n"));
    BOOST_TEST(std::count(answer.begin(), answer.end(), 'x') < 60'000);
    BOOST_TEST(waitUntil([&] { return metric("fescuenotch_caller_broken_answers_total") == "1"; }));
}

BOOST_FIXTURE_TEST_CASE(answer_brokenForCallerWithoutChunks_endsWithReset, CallerFixture)
{
    start();
    auto whole = connect();
    whole.send("GET /body?size=100000&chunked=1 HTTP/1.0\r\n\r\n");
    BOOST_TEST(whole.receiveAll().size() > 100'000U);
    BOOST_TEST(!whole.wasReset());
    auto broken = connect();
    broken.send("GET /body?size=100000&chunked=1&break=50000 HTTP/1.0\r\n\r\n");
    broken.receiveAll();
    BOOST_TEST(broken.wasReset());
}

BOOST_FIXTURE_TEST_CASE(expectContinue_isAnsweredBeforeTheBody, CallerFixture)
{
    start();
    auto socket = connect();
    socket.send("POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n");
    BOOST_TEST(contains(socket.receiveUntil("\r\n\r\n"), "HTTP/1.1 100 "));
    socket.send("hello");
    BOOST_TEST(contains(socket.receiveAnswer(), "200 OK"));
}

BOOST_FIXTURE_TEST_CASE(caps_headAndBody_areRefusedAsNotRun, CallerFixture)
{
    settings.maxHeaderBytes = 2'000;
    settings.maxBodyBytes = 1'000;
    start();
    const auto bigHead = exchange("GET / HTTP/1.1\r\nHost: a\r\nX-Big: " + std::string(2'000, 'y') + "\r\n\r\n");
    const auto bigLength = exchange("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
    const std::string piece = "1f4\r\n" + std::string(500, 'z') + "\r\n";
    const auto bigChunks = exchange("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + piece + piece + piece + "0\r\n\r\n");
    BOOST_TEST(contains(bigHead, "HTTP/1.1 431 "), bigHead);
    BOOST_TEST(contains(bigLength, "HTTP/1.1 413 "), bigLength);
    BOOST_TEST(contains(bigChunks, "HTTP/1.1 413 "), bigChunks);
    for (const auto &answer : {bigHead, bigLength, bigChunks}) {
        BOOST_TEST(contains(answer, "Fescuenotch-Outcome: not-run"), answer);
        BOOST_TEST(contains(answer, "{\"reason\":\"too-large\",\"remedy\":"), answer);
    }
    BOOST_TEST(metric("fescuenotch_caller_refusals_total{reason=\"too-large\"}") == "3");
}

BOOST_FIXTURE_TEST_CASE(body_notWantedAnyMore_isAnsweredWhileTheCallerSends, CallerFixture)
{
    start();
    auto socket = connect();
    socket.send("POST /early HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nhello");
    const auto answer = socket.receiveAnswer();
    BOOST_TEST(contains(answer, "200 OK"), answer);
    BOOST_TEST(contains(answer, "Connection: close"), answer);
    BOOST_TEST(contains(answer, "POST /early"), answer);
}

BOOST_FIXTURE_TEST_CASE(connections_overTheLimit_areRefusedAsNotRun, CallerFixture)
{
    settings.maxCallerConnections = 2;
    start();
    auto one = connect();
    auto two = connect();
    one.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    two.send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    one.receiveAnswer();
    two.receiveAnswer();
    const auto refused = get("/b");
    BOOST_TEST(contains(refused, "HTTP/1.1 503 "), refused);
    BOOST_TEST(contains(refused, "Fescuenotch-Outcome: not-run"), refused);
    BOOST_TEST(contains(refused, "Retry-After: "), refused);
    one.close();
    BOOST_TEST(waitUntil([&] { return contains(get("/c"), "200 OK"); }));
}

BOOST_FIXTURE_TEST_CASE(connections_130AtOnce_areAllServed, CallerFixture)
{
    start();
    std::vector<RawSocket> sockets;
    for (int n = 0; n < 130; ++n) {
        sockets.push_back(connect());
        sockets.back().send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    BOOST_TEST(waitUntil([&] { return handler.count() == 130U; }));
    handler.release();
    for (auto &socket : sockets) {
        BOOST_TEST(contains(socket.receiveAnswer(), "200 OK"));
    }
}

BOOST_FIXTURE_TEST_CASE(caller_leavesWhileTheHandlerWaits_isTold, CallerFixture)
{
    start();
    auto socket = connect();
    socket.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(waitUntil([&] { return handler.count() == 1U; }));
    socket.close();
    BOOST_TEST(waitUntil([&] { return handler.sawLeft(); }, milliseconds(500)));
    BOOST_TEST(waitUntil([&] { return handler.seen(0).ended; }));
}

BOOST_FIXTURE_TEST_CASE(caller_leavesDuringUpload_endsTheSession, CallerFixture)
{
    start();
    auto socket = connect();
    socket.send("POST /u HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nhello");
    BOOST_TEST(waitUntil([&] { return handler.count() == 1U && handler.seen(0).bodyBytes == 5U; }));
    socket.close();
    BOOST_TEST(waitUntil([&] { return handler.seen(0).ended; }));
    BOOST_TEST(!handler.seen(0).responded);
    BOOST_TEST(waitUntil([&] { return metric("fescuenotch_caller_connections_lost_total") == "1"; }));
}

BOOST_FIXTURE_TEST_CASE(sender_stallsInHeadOrBody_isEnded, CallerFixture)
{
    start({seconds(1), seconds(2)});
    auto head = connect();
    auto body = connect();
    head.send("GET /slow HTTP/1.1\r\nHost:");
    body.send("POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhello");
    BOOST_TEST(head.closedByPeer(seconds(4)));
    BOOST_TEST(body.closedByPeer(seconds(4)));
    BOOST_TEST(waitUntil([&] { return handler.seen(0).ended; }));
}

BOOST_FIXTURE_TEST_CASE(sender_tricklesItsHead_isEndedAtTheHeadLimit, CallerFixture)
{
    start({seconds(1), seconds(2)});
    auto socket = connect();
    socket.send("GET /slow HTTP/1.1\r\n");
    const auto begun = Clock::now();
    while (Clock::now() - begun < seconds(8) && !socket.closedByPeer(milliseconds(200)) && socket.send("x")) { }
    BOOST_TEST((Clock::now() - begun < seconds(4)));
    BOOST_TEST(metric("fescuenotch_caller_refusals_total{reason=\"slow-head\"}") == "1");
}

BOOST_FIXTURE_TEST_CASE(handler_worksLongerThanTheStallLimit_stillAnswers, CallerFixture)
{
    start({seconds(1), seconds(60)});
    auto socket = connect();
    socket.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(2'500));
    handler.release();
    BOOST_TEST(contains(socket.receiveAnswer(), "200 OK"));
}

BOOST_FIXTURE_TEST_CASE(reader_stalls_isEnded, CallerFixture)
{
    start({seconds(1), seconds(60)});
    auto socket = connect(4'096);
    socket.send("GET /body?size=1073741824 HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(waitUntil([&] { return handler.count() == 1U; }));
    BOOST_TEST(waitUntil([&] { return handler.seen(0).ended; }, seconds(5)));
    BOOST_TEST(waitUntil([&] { return metric("fescuenotch_caller_connections_lost_total") == "1"; }));
}

BOOST_FIXTURE_TEST_CASE(stopAccepting_requestInFlight_isAnsweredAndTheConnectionClosed, CallerFixture)
{
    start();
    auto busy = connect();
    auto idle = connect();
    busy.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(waitUntil([&] { return handler.count() == 1U; }));
    server->stopAccepting();
    BOOST_CHECK_THROW(connect(), std::runtime_error);
    handler.release();
    const auto answer = busy.receiveAll();
    BOOST_TEST(contains(answer, "200 OK"), answer);
    BOOST_TEST(contains(answer, "Connection: close"), answer);
    idle.send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
    BOOST_TEST(contains(idle.receiveAll(), "Connection: close"));
}

BOOST_FIXTURE_TEST_CASE(stopAccepting_connectionsWaiting_areServed, CallerFixture)
{
    settings.maxCallerConnections = 64;
    start();
    std::vector<RawSocket> sockets;
    for (int n = 0; n < 60; ++n) {
        sockets.push_back(connect());
        sockets.back().send("GET /w HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    server->stopAccepting();
    for (auto &socket : sockets) {
        BOOST_TEST(contains(socket.receiveAnswer(), "200 OK"));
    }
}

BOOST_FIXTURE_TEST_CASE(listen_addressInUse_failsWithRemedy, CallerFixture)
{
    start();
    const auto second = makeHttpCallerServer(context, {});
    const auto error = errorOf([&] { return second->start(handler); });
    BOOST_REQUIRE(error);
    BOOST_TEST((error->kind == ErrorKind::ListenFailed));
    BOOST_TEST(contains(describe(*error), "--caller-listen"));
}

BOOST_AUTO_TEST_SUITE_END()
