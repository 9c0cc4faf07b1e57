#include "http1/messagereader.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

using Step = MessageReader::Step;

struct ReaderFixture {
    MessageReader requests{MessageReader::Kind::Request, {1'024, 1'000}};
    MessageReader answers{MessageReader::Kind::Answer, {1'024, 1'000'000}};
    std::string body;

    Step requestHead(std::string bytes)
    {
        return requests.readHead(bytes);
    }

    /// Feeds an answer in pieces of `pieceBytes`; gives the last step.
    Step feedAnswer(const std::string &bytes, std::size_t pieceBytes, std::string &input)
    {
        auto step = Step::NeedMore;
        for (std::size_t at = 0; at < bytes.size() && step == Step::NeedMore; at += pieceBytes) {
            input += bytes.substr(at, pieceBytes);
            step = answers.headIsRead() ? Step::Done : answers.readHead(input);
            if (step == Step::Done) {
                step = answers.readBody(input, body);
            }
        }
        return step;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MessageReaderTest, ReaderFixture)

BOOST_AUTO_TEST_CASE(request_twoOnOneConnection_areCutApart)
{
    std::string input = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    BOOST_TEST((requests.readHead(input) == Step::Done));
    BOOST_TEST((requests.readBody(input, body) == Step::Done));
    BOOST_TEST(body == "abc");
    requests.next();
    BOOST_TEST((requests.readHead(input) == Step::Done));
    BOOST_TEST(requests.head().target == "/b");
    BOOST_TEST(input.empty());
}

BOOST_AUTO_TEST_CASE(request_chunkedByteByByte_givesItsBody)
{
    const std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n";
    std::string input;
    auto step = Step::NeedMore;
    for (const char c : bytes) {
        input += c;
        if (requests.headIsRead()) {
            step = requests.readBody(input, body);
        } else {
            requests.readHead(input);
        }
    }
    BOOST_TEST((step == Step::Done));
    BOOST_TEST(body == "abcde");
    BOOST_TEST((findHeader(requests.head().headers, "Trailer") == nullptr));
}

BOOST_AUTO_TEST_CASE(request_shapesThatParsersReadDifferently_areBroken)
{
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n") == Step::Broken));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\nHost: h\r\n\r\n") == Step::Broken));
    requests.next();
    BOOST_TEST((requestHead(std::string("GET / HTTP/1.1\r\nHost: h\r\nX: a") + '\0' + "b\r\n\r\n") == Step::Broken));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n") == Step::Broken));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n") == Step::Broken));
    requests.next();
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost : h\r\n\r\n") == Step::Broken));
}

BOOST_AUTO_TEST_CASE(request_aboveItsLimits_saysWhich)
{
    BOOST_TEST((requestHead("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(2'000, 'x')) == Step::HeadTooLarge));
    requests.next();
    std::string input = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2'000, 'x') + "\r\n0\r\n\r\n";
    BOOST_TEST((requests.readHead(input) == Step::Done));
    BOOST_TEST((requests.readBody(input, body) == Step::BodyTooLarge));
}

BOOST_AUTO_TEST_CASE(answer_inPiecesOfAnySize_isTheSame)
{
    const std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello";
    for (std::size_t n = 1; n <= bytes.size(); ++n) {
        std::string input;
        body.clear();
        answers.next();
        BOOST_TEST((feedAnswer(bytes, n, input) == Step::Done));
        BOOST_TEST(body == "hello");
        BOOST_TEST(answers.head().status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(answer_interimBefore_isSkipped)
{
    std::string input;
    BOOST_TEST((feedAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", 1'000, input) == Step::Done));
    BOOST_TEST(answers.head().status == 204U);
}

BOOST_AUTO_TEST_CASE(answer_cutShort_isNotCompletedByTheEndOfItsConnection)
{
    std::string input;
    BOOST_TEST((feedAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", 1'000, input) == Step::NeedMore));
    BOOST_TEST(!answers.endOfStream());
}

BOOST_AUTO_TEST_CASE(answer_withoutLength_isCompletedByTheEndOfItsConnection)
{
    std::string input;
    BOOST_TEST((feedAnswer("HTTP/1.1 200 OK\r\n\r\nhello", 1'000, input) == Step::NeedMore));
    BOOST_TEST(answers.head().endsWithConnection);
    BOOST_TEST(answers.endOfStream());
}

BOOST_AUTO_TEST_CASE(answer_toHead_hasNoBodyAndKeepsItsLength)
{
    answers.expectNoBody();
    std::string input;
    BOOST_TEST((feedAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 1'000, input) == Step::Done));
    BOOST_TEST(answers.head().length.value_or(0) == 9U);
}

BOOST_AUTO_TEST_CASE(answer_bytesThatAreNone_areBroken)
{
    std::string input;
    BOOST_TEST((feedAnswer("\x01\x02 nothing of the kind\r\n\r\n", 1'000, input) == Step::Broken));
}

BOOST_AUTO_TEST_SUITE_END()
