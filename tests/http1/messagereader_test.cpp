#include "http1/messagereader.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

using ReadResult = MessageReader::ReadResult;

struct ReaderFixture {
    MessageReader requests{MessageReader::Kind::Request, {1'024, 1'000}};
    MessageReader responses{MessageReader::Kind::Response, {1'024, 1'000'000}};
    std::string body;

    ReadResult requestHead(std::string bytes)
    {
        return requests.readHead(bytes);
    }

    /// Feeds a response in fragments of `fragmentBytes` bytes and returns the last result.
    ReadResult feedResponse(const std::string &bytes, std::size_t fragmentBytes, std::string &input)
    {
        auto result = ReadResult::NeedMore;
        for (std::size_t at = 0; at < bytes.size() && result == ReadResult::NeedMore; at += fragmentBytes) {
            input += bytes.substr(at, fragmentBytes);
            result = responses.isHeadComplete() ? ReadResult::Done : responses.readHead(input);
            if (result == ReadResult::Done) {
                result = responses.readBody(input, body);
            }
        }
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MessageReaderTest, ReaderFixture)

BOOST_AUTO_TEST_CASE(request_twoOnOneConnection_areReadSeparately)
{
    std::string input = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_TEST((requests.readHead(input) == ReadResult::Done));
    BOOST_TEST((requests.readBody(input, body) == ReadResult::Done));
    BOOST_TEST(body == "abc");
    requests.next();
    BOOST_TEST((requests.readHead(input) == ReadResult::Done));
    BOOST_TEST(requests.head().target == "/b");
    BOOST_TEST(input.empty());
}

BOOST_AUTO_TEST_CASE(request_chunkedByteByByte_bodyIsDecoded)
{
    const std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n";
    std::string input;
    auto result = ReadResult::NeedMore;
    for (const char c : bytes) {
        input += c;
        if (requests.isHeadComplete()) {
            result = requests.readBody(input, body);
        } else {
            requests.readHead(input);
        }
    }
    BOOST_TEST((result == ReadResult::Done));
    BOOST_TEST(body == "abcde");
    BOOST_TEST((findHeader(requests.head().headers, "Trailer") == nullptr));
}

BOOST_AUTO_TEST_CASE(request_ambiguousSyntax_isMalformed)
{
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n") == ReadResult::Malformed));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\nHost: h\r\n\r\n") == ReadResult::Malformed));
    requests.next();
    BOOST_TEST((requestHead(std::string("GET / HTTP/1.1\r\nHost: h\r\nX: a") + '\0' + "b\r\n\r\n") == ReadResult::Malformed));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") == ReadResult::Malformed));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") == ReadResult::Malformed));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost : h\r\n\r\n") == ReadResult::Malformed));
}

BOOST_AUTO_TEST_CASE(request_aboveLimit_resultNamesTheLimit)
{
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2'000, 'x')) == ReadResult::HeadTooLarge));
    requests.next();
    std::string input = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2'000, 'x') + "\r\n0\r\n\r\n";
    BOOST_TEST((requests.readHead(input) == ReadResult::Done));
    BOOST_TEST((requests.readBody(input, body) == ReadResult::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(response_inFragmentsOfAnySize_isParsedAlike)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    for (std::size_t n = 1; n <= bytes.size(); ++n) {
        std::string input;
        body.clear();
        responses.next();
        BOOST_TEST((feedResponse(bytes, n, input) == ReadResult::Done));
        BOOST_TEST(body == "hello");
        BOOST_TEST(responses.head().status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(response_precededByInterimResponse_interimIsSkipped)
{
    std::string input;
    BOOST_TEST((feedResponse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 1'000, input) == ReadResult::Done));
    BOOST_TEST(responses.head().status == 204U);
}

BOOST_AUTO_TEST_CASE(response_truncated_isNotCompletedByEndOfConnection)
{
    std::string input;
    BOOST_TEST((feedResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", 1'000, input) == ReadResult::NeedMore));
    BOOST_TEST(!responses.endOfStream());
}

BOOST_AUTO_TEST_CASE(response_withoutLength_isCompletedByEndOfConnection)
{
    std::string input;
    BOOST_TEST((feedResponse("HTTP/1.1 200 OK\r\n\r\nhello", 1'000, input) == ReadResult::NeedMore));
    BOOST_TEST(responses.head().closeDelimited);
    BOOST_TEST(responses.endOfStream());
}

BOOST_AUTO_TEST_CASE(response_toHeadRequest_hasNoBodyAndKeepsLength)
{
    responses.expectNoBody();
    std::string input;
    BOOST_TEST((feedResponse("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 1'000, input) == ReadResult::Done));
    BOOST_TEST(responses.head().length.value_or(0) == 9U);
}

BOOST_AUTO_TEST_CASE(response_notHttp_isMalformed)
{
    std::string input;
    BOOST_TEST((feedResponse("\x01\x02 nothing of the kind\r\n\r\n", 1'000, input) == ReadResult::Malformed));
}

/// Guards against interim responses without end: each was skipped at the cost of moving all input behind it, and none was counted.
BOOST_AUTO_TEST_CASE(response_interimResponsesWithoutEnd_isTooLarge)
{
    std::string input;
    for (int n = 0; n < 10'000; ++n) {
        input += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    const auto before = input.size();
    BOOST_TEST((responses.readHead(input) == ReadResult::HeadTooLarge));
    BOOST_TEST(before - input.size() < 2'048U);
}

BOOST_AUTO_TEST_CASE(response_fewInterimResponsesBeforeEachOfManyMessages_areSkipped)
{
    for (int n = 0; n < 100; ++n) {
        std::string input = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        BOOST_TEST((responses.readHead(input) == ReadResult::Done));
        BOOST_TEST(responses.head().status == 200U);
        responses.next();
    }
}

BOOST_AUTO_TEST_CASE(response_statusOutsideTheProtocol_isMalformed)
{
    for (const std::string status : {"000", "007", "099", "600", "999"}) {
        responses.next();
        std::string input = "HTTP/1.1 " + status + " Unknown\r\nContent-Length: 2\r\n\r\nok";
        BOOST_TEST((responses.readHead(input) == ReadResult::Malformed), status);
    }
}

BOOST_AUTO_TEST_CASE(response_chunkHeaderOrTrailersWithoutEnd_isMalformedAndInputStaysSmall)
{
    for (const std::string start : {"5;x=", "0\r\nTrailer: "}) {
        MessageReader reader(MessageReader::Kind::Response, {1'024, 1'000'000});
        std::string input = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start;
        BOOST_TEST((reader.readHead(input) == ReadResult::Done));
        auto result = ReadResult::NeedMore;
        std::size_t most = 0;
        for (int n = 0; n < 10'000 && result == ReadResult::NeedMore; ++n) {
            input += "yyyyyyyyyy";
            result = reader.readBody(input, body);
            most = std::max(most, input.size());
        }
        BOOST_TEST((result == ReadResult::Malformed));
        BOOST_TEST(most < 1'200U);
    }
}

BOOST_AUTO_TEST_CASE(response_bodyWithoutLengthAboveItsLimit_isTooLargeAndOneWithLengthIsNot)
{
    MessageLimits limits{1'024, 1'000'000, 1'000};
    for (const std::string framing : {"Transfer-Encoding: chunked\r\n", "Connection: close\r\n", "Content-Length: 5000\r\n"}) {
        MessageReader reader(MessageReader::Kind::Response, limits);
        std::string input = "HTTP/1.1 200 OK\r\n" + framing + "\r\n";
        BOOST_TEST((reader.readHead(input) == ReadResult::Done));
        auto result = ReadResult::NeedMore;
        for (int n = 0; n < 50 && result == ReadResult::NeedMore; ++n) {
            input += framing[0] == 'T' ? "64\r\n" + std::string(100, 'x') + "\r\n" : std::string(100, 'x');
            result = reader.readBody(input, body);
        }
        BOOST_TEST((result == (framing.starts_with("Content") ? ReadResult::Done : ReadResult::BodyTooLarge)), framing);
    }
}

BOOST_AUTO_TEST_SUITE_END()
