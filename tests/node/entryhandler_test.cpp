#include "requestfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;
using namespace Fescuenotch::Testing;

BOOST_FIXTURE_TEST_SUITE(EntryHandlerSuite, RequestFixture)

BOOST_AUTO_TEST_CASE(read_targetAnswers_isRelayedWholeWithOutcomeAndRevision)
{
    addTarget("127.23.0.11");
    auto response = call("GET", "/slots/7?day=1");
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.text == "/slots/7?day=1");
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "ran");
    BOOST_TEST(headerOf(response, "Fescuenotch-Revision") == "1.42");
    BOOST_TEST(count("fescuenotch_requests_total", {{"class", "lookup"}, {"outcome", "ran"}}) == 1U);
    BOOST_TEST(entry->inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(request_noProfileOrRoute_isRefusedAsNotRunWithRemedy)
{
    auto response = call("GET", "/slots");
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.text.find("no-profile") != std::string::npos);
    addTarget("127.23.0.11");
    response = call("GET", "/elsewhere");
    BOOST_TEST(response.status == 404U);
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "not-run");
    BOOST_TEST(headerOf(response, "Retry-After") == "1");
    BOOST_TEST(response.text.find("\"remedy\":\"") != std::string::npos);
    BOOST_TEST(count("fescuenotch_refusals_total", {{"reason", "no-route"}}) == 1U);
}

BOOST_AUTO_TEST_CASE(write_linkLostAfterSending_isUnknownAndNotRepeated)
{
    addTarget("127.23.0.11");
    addTarget("127.23.0.12");
    for (auto &[host, exit] : transport.exits) {
        exit = [](const std::shared_ptr<LoopStream> &stream) { stream->lose(true); };
    }
    const auto response = call("POST", "/confirm", "place");
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "unknown");
    BOOST_TEST(transport.heads().size() == 1U);
}

BOOST_AUTO_TEST_CASE(write_linkLostBeforeSending_isRetriedAtAnotherTarget)
{
    addTarget("127.23.0.11");
    addTarget("127.23.0.12");
    unsigned losses = 0;
    for (auto &[host, exit] : transport.exits) {
        exit = [&losses, handle = exit](const std::shared_ptr<LoopStream> &stream) { losses++ == 0 ? stream->lose(false) : handle(stream); };
    }
    const auto response = call("POST", "/confirm", "place");
    BOOST_TEST(response.status == 200U);
    const auto heads = transport.heads();
    BOOST_REQUIRE(heads.size() == 2U);
    BOOST_TEST(heads[0].targetHost != heads[1].targetHost);
    BOOST_TEST(count("fescuenotch_retries_total", {{"reason", "link-lost"}}) == 1U);
}

BOOST_AUTO_TEST_CASE(write_longBody_isStreamedWholeToOneAttempt)
{
    auto &side = addTarget("127.23.0.11");
    std::string received;
    side.target.script = [&](const TargetRequest &, TargetSink &sink) {
        std::array<char, 10'000> buf{};
        for (auto size = sink.readBody(buf); size > 0; size = sink.readBody(buf)) {
            received.append(buf.data(), static_cast<std::size_t>(size));
        }
        return answerWith(sink, 201, {}, "filed");
    };
    std::string body(700'000, 'x');
    body[699'999] = 'y';
    const auto response = call("POST", "/confirm", body);
    BOOST_TEST(response.status == 201U);
    BOOST_TEST((received == body));
}

BOOST_AUTO_TEST_CASE(read_longBodyCutMidway_breaksInsteadOfPassingAsWhole)
{
    auto &side = addTarget("127.23.0.11");
    side.target.script = [](const TargetRequest &, TargetSink &sink) {
        const std::string part(100'000, 'a');
        sink.onHead(200, {{"Content-Length", "200000"}});
        sink.onBody(part);
        TargetResult result;
        result.sent = true;
        result.reason = Reason::TargetBroke;
        return result;
    };
    auto response = call("GET", "/slots");
    bool broken = false;
    const auto text = readAll(response, broken);
    BOOST_TEST(broken);
    BOOST_TEST(text.size() == 100'000U);
}

BOOST_AUTO_TEST_SUITE_END()
