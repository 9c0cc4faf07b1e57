#include "requestfixture.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <thread>

using namespace Fescuenotch;
using namespace Fescuenotch::Testing;

BOOST_FIXTURE_TEST_SUITE(EntryHandlerSuite, RequestFixture)

BOOST_AUTO_TEST_CASE(read_targetAnswers_isRelayedCompletelyWithOutcomeAndRevision)
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
        exit = [](const std::shared_ptr<InMemoryStream> &stream) { stream->loseConnection(true); };
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
        exit = [&losses, handle = exit](const std::shared_ptr<InMemoryStream> &stream) { losses++ == 0 ? stream->loseConnection(false) : handle(stream); };
    }
    const auto response = call("POST", "/confirm", "place");
    BOOST_TEST(response.status == 200U);
    const auto heads = transport.heads();
    BOOST_REQUIRE(heads.size() == 2U);
    BOOST_TEST(heads[0].targetHost != heads[1].targetHost);
    BOOST_TEST(count("fescuenotch_retries_total", {{"reason", "link-lost"}}) == 1U);
}

BOOST_AUTO_TEST_CASE(write_longBody_isStreamedCompletelyToOneAttempt)
{
    auto &exitNode = addTarget("127.23.0.11");
    std::string received;
    exitNode.target.script = [&](const TargetRequest &, TargetSink &sink) {
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

BOOST_AUTO_TEST_CASE(read_longBodyTruncated_breaksInsteadOfAppearingComplete)
{
    auto &exitNode = addTarget("127.23.0.11");
    exitNode.target.script = [](const TargetRequest &, TargetSink &sink) {
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

BOOST_AUTO_TEST_CASE(read_longBodyTruncated_isResumedByRangeWithSameETag)
{
    const std::string whole = std::string(150'000, 'a') + std::string(50'000, 'b');
    const auto serve = [&](const TargetRequest &request, TargetSink &sink) {
        const auto *range = findHeader(request.headers, "Range");
        if (range == nullptr) {
            sink.onHead(200, {{"Content-Length", "200000"}, {"ETag", "\"v1\""}});
            sink.onBody(Bytes(whole).first(120'000));
            return TargetResult{true, false, Reason::TargetBroke, ""};
        }
        BOOST_TEST(*findHeader(request.headers, "If-Range") == "\"v1\"");
        const auto from = std::stoul(range->substr(6));
        return answerWith(sink, 206, {{"ETag", "\"v1\""}, {"Content-Range", "bytes " + std::to_string(from) + "-199999/200000"}}, whole.substr(from));
    };
    addTarget("127.23.0.11").target.script = serve;
    addTarget("127.23.0.12").target.script = serve;
    auto response = call("GET", "/slots");
    bool broken = false;
    const auto text = readAll(response, broken);
    BOOST_TEST(!broken);
    BOOST_TEST((text == whole));
    BOOST_TEST(count("fescuenotch_bodies_resumed_total", {}) == 1U);
}

BOOST_AUTO_TEST_CASE(read_longBodyTruncatedAndETagChanged_breaks)
{
    const auto serve = [&](const TargetRequest &request, TargetSink &sink) {
        const std::string part(120'000, 'a');
        const bool isRangeRequest = findHeader(request.headers, "Range") != nullptr;
        if (isRangeRequest) {
            return answerWith(sink, 206, {{"ETag", "\"v2\""}, {"Content-Range", "bytes 120000-199999/200000"}}, std::string(80'000, 'z'));
        }
        sink.onHead(200, {{"Content-Length", "200000"}, {"ETag", "\"v1\""}});
        sink.onBody(part);
        return TargetResult{true, false, Reason::TargetBroke, ""};
    };
    addTarget("127.23.0.11").target.script = serve;
    addTarget("127.23.0.12").target.script = serve;
    auto response = call("GET", "/slots");
    bool broken = false;
    const auto text = readAll(response, broken);
    BOOST_TEST(broken);
    BOOST_TEST(text.size() == 120'000U);
}

BOOST_AUTO_TEST_CASE(read_shortBodyTruncated_isRetriedAndComplete)
{
    std::atomic<unsigned> truncations{0};
    const auto serve = [&](const TargetRequest &, TargetSink &sink) {
        if (truncations++ == 0) {
            sink.onHead(200, {{"Content-Length", "10"}});
            sink.onBody(Bytes("01234", 5));
            return TargetResult{true, false, Reason::TargetBroke, ""};
        }
        return answerWith(sink, 200, {}, "0123456789");
    };
    addTarget("127.23.0.11").target.script = serve;
    addTarget("127.23.0.12").target.script = serve;
    const auto response = call("GET", "/slots");
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.text == "0123456789");
}

BOOST_AUTO_TEST_CASE(answer_targetEndsItButLengthDiffers_isNeverRelayedAsComplete)
{
    addTarget("127.23.0.11").target.script = [](const TargetRequest &, TargetSink &sink) {
        sink.onHead(200, {{"Content-Length", "10"}});
        sink.onBody(Bytes("01234", 5));
        return TargetResult{true, true, Reason::None, ""};
    };
    const auto response = call("POST", "/confirm", "x");
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "unknown");
}

BOOST_AUTO_TEST_CASE(read_exitNodeUnresponsive_isRetriedElsewhereWithinDeadline)
{
    addTarget("127.23.0.11");
    addTarget("127.23.0.12");
    std::vector<std::shared_ptr<InMemoryStream>> unresponsive;
    for (auto &[host, exit] : transport.exits) {
        exit = [&unresponsive, handle = exit](const std::shared_ptr<InMemoryStream> &stream) {
            if (unresponsive.empty()) {
                unresponsive.push_back(stream);
            } else {
                handle(stream);
            }
        };
    }
    const auto response = call("GET", "/slots", "", {{"Fescuenotch-Deadline-Ms", "400"}});
    BOOST_TEST(response.status == 200U);
    BOOST_REQUIRE(unresponsive.size() == 1U);
    BOOST_TEST(unresponsive.front()->cancelled());
}

BOOST_AUTO_TEST_CASE(reads_alwaysSlowerThanHeadTimeout_areAwaitedOnceRetryBudgetIsEmpty)
{
    // The retry budget allows at least 10 retries in 10 s, so up to 10 attempts are given up when their head times out.
    // Once the budget is empty, the entry node must wait for the answer instead.
    addTarget("127.23.0.11").target.script = [](const TargetRequest &, TargetSink &sink) {
        std::this_thread::sleep_for(milliseconds(130));
        return answerWith(sink, 200, {}, "slow");
    };
    for (int n = 0; n < 10; ++n) {
        call("GET", "/slots", "", {{"Fescuenotch-Deadline-Ms", "200"}});
    }
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(call("GET", "/slots", "", {{"Fescuenotch-Deadline-Ms", "400"}}).status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(write_deadlinePassesAtUnresponsiveExitNode_isUnknownWith504)
{
    addTarget("127.23.0.11");
    std::vector<std::shared_ptr<InMemoryStream>> unresponsive;
    transport.exits["127.23.0.11"] = [&](const std::shared_ptr<InMemoryStream> &stream) { unresponsive.push_back(stream); };
    const auto before = Clock::now();
    const auto response = call("POST", "/confirm", "x", {{"Fescuenotch-Deadline-Ms", "50"}});
    BOOST_TEST(response.status == 504U);
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "unknown");
    BOOST_TEST((Clock::now() - before < milliseconds(250)));
    BOOST_TEST(unresponsive.front()->cancelled());
}

BOOST_AUTO_TEST_CASE(write_deadlinePassesInQueue_isReportedAsNotRun)
{
    auto &exitNode = addTarget("127.23.0.11", 1);
    std::atomic<bool> hold{true};
    exitNode.target.script = [&](const TargetRequest &, TargetSink &sink) {
        while (hold) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return answerWith(sink, 200, {}, "x");
    };
    std::thread first([&] { call("POST", "/confirm", "x"); });
    while (exitNode.target.started == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    const auto response = call("POST", "/confirm", "x", {{"Fescuenotch-Deadline-Ms", "50"}});
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "not-run");
    BOOST_TEST(response.status == 503U);
    hold = false;
    first.join();
    BOOST_TEST(exitNode.target.started == 1U);
}

BOOST_AUTO_TEST_CASE(caller_disconnectsWhileWaiting_attemptIsCancelled)
{
    addTarget("127.23.0.11");
    std::shared_ptr<InMemoryStream> held;
    transport.exits["127.23.0.11"] = [&](const std::shared_ptr<InMemoryStream> &stream) { held = stream; };
    callerLeft = [] { return true; };
    call("GET", "/slots");
    BOOST_TEST(held->cancelled());
    BOOST_TEST(transport.heads().size() == 1U);
    BOOST_TEST(count("fescuenotch_callers_left_total", {}) == 1U);
}

BOOST_AUTO_TEST_CASE(target_sheds_otherTargetIsTriedAndRefusalIsNotRelayed)
{
    const auto shed = [](const TargetRequest &, TargetSink &sink) { return answerWith(sink, 503, {{"Fescuenotch-Outcome", "not-run"}}, "shed"); };
    addTarget("127.23.0.11").target.script = shed;
    addTarget("127.23.0.12");
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(call("POST", "/confirm", "x").status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(target_allShed_refusalContainsReasonAndRetryAfter)
{
    addTarget("127.23.0.11").target.script = [](const TargetRequest &, TargetSink &sink) {
        return answerWith(sink, 503, {{"Fescuenotch-Outcome", "not-run"}, {"Retry-After", "7"}}, "shed");
    };
    const auto response = call("POST", "/confirm", "x");
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "not-run");
    BOOST_TEST(headerOf(response, "Retry-After") == "7");
    BOOST_TEST(response.text.find("target-shed") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(target_refusedFurtherDownTheCallTree_isNotRetried)
{
    const auto refuse = [](const TargetRequest &, TargetSink &sink) {
        return answerWith(sink, 503, {{"Fescuenotch-Outcome", "not-run"}, {"Fescuenotch-Retried", "1"}}, "below");
    };
    addTarget("127.23.0.11").target.script = refuse;
    addTarget("127.23.0.12").target.script = refuse;
    const auto response = call("GET", "/slots");
    BOOST_TEST(transport.heads().size() == 1U);
    BOOST_TEST(headerOf(response, "Fescuenotch-Retried") == "1");
}

BOOST_AUTO_TEST_CASE(callTree_noRetriesLeft_limitsAttemptsAndIsForwarded)
{
    addTarget("127.23.0.11");
    addTarget("127.23.0.12");
    for (auto &[host, exit] : transport.exits) {
        exit = [](const std::shared_ptr<InMemoryStream> &stream) { stream->loseConnection(false); };
    }
    call("GET", "/slots", "", {{"Fescuenotch-Retries-Left", "0"}, {"Fescuenotch-Depth", "4"}});
    const auto heads = transport.heads();
    BOOST_REQUIRE(heads.size() == 1U);
    BOOST_TEST(heads[0].depth == 4U);
    BOOST_TEST(*findHeader(heads[0].headers, "Fescuenotch-Retries-Left") == "0");
}

BOOST_AUTO_TEST_CASE(view_notTrusted_waitsThenRefusesAsNotRun)
{
    addTarget("127.23.0.11");
    trusted = false;
    const auto response = call("GET", "/slots");
    BOOST_TEST(response.text.find("view-not-trusted") != std::string::npos);
    BOOST_TEST(headerOf(response, "Fescuenotch-Outcome") == "not-run");
    BOOST_TEST(transport.heads().empty());
}

BOOST_AUTO_TEST_CASE(node_leaving_refusesNewRequests)
{
    addTarget("127.23.0.11");
    entry->beginLeaving();
    BOOST_TEST(call("GET", "/slots").status == 503U);
}

BOOST_AUTO_TEST_CASE(target_leaving_getsNoNewRequests)
{
    addTarget("127.23.0.11");
    addTarget("127.23.0.12");
    entry->onLeaving("127.23.0.11");
    for (int n = 0; n < 10; ++n) {
        call("GET", "/slots");
    }
    for (const auto &head : transport.heads()) {
        BOOST_TEST(head.targetHost == "127.23.0.12");
    }
}

BOOST_AUTO_TEST_CASE(profile_changesDuringRequest_requestKeepsItsSnapshot)
{
    auto &exitNode = addTarget("127.23.0.11");
    exitNode.target.script = [this](const TargetRequest &request, TargetSink &sink) {
        inForce.swap(nullptr);
        return answerWith(sink, 200, {}, request.path);
    };
    const auto response = call("GET", "/slots");
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(headerOf(response, "Fescuenotch-Revision") == "1.42");
}

BOOST_AUTO_TEST_CASE(head_answer_hasLengthWithoutBody)
{
    addTarget("127.23.0.11").target.script = [](const TargetRequest &, TargetSink &sink) {
        sink.onHead(200, {{"Content-Length", "5000"}});
        return TargetResult{true, true, Reason::None, ""};
    };
    const auto response = call("HEAD", "/slots");
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.bodyLength.value_or(0) == 5'000U);
    BOOST_TEST(response.text.empty());
}

BOOST_AUTO_TEST_CASE(deadline_headerIsNotANumber_isBadRequest)
{
    addTarget("127.23.0.11");
    BOOST_TEST(call("GET", "/slots", "", {{"Fescuenotch-Deadline-Ms", "soon"}}).status == 400U);
}

BOOST_AUTO_TEST_SUITE_END()
