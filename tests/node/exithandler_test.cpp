#include "requestfixture.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace Fescuenotch;
using namespace Fescuenotch::Testing;

namespace {

constexpr const char *Host = "127.23.0.11";

struct ExitFixture : RequestFixture {
    std::shared_ptr<InMemoryStream> offer(bool idempotent = true, Duration remaining = seconds(2), std::uint64_t number = 0)
    {
        AttemptHead head;
        head.id = {1, number == 0 ? nextNumber++ : number};
        head.targetHost = Host;
        head.method = idempotent ? "GET" : "POST";
        head.path = "/slots";
        head.bodyLength = 0;
        head.deadline = Clock::now() + remaining;
        head.idempotent = idempotent;
        head.depth = 2;
        auto stream = std::make_shared<InMemoryStream>(head);
        exitNode.handler->onAttempt(stream);
        return stream;
    }
    static AttemptEnd endOf(const std::shared_ptr<InMemoryStream> &stream)
    {
        BOOST_REQUIRE(stream->waitForEnd(seconds(5)));
        return *stream->attemptEnd();
    }
    bool waitFor(const std::function<bool()> &condition) const
    {
        for (int n = 0; n < 2'000 && !condition(); ++n) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return condition();
    }

    ExitNodeFixture &exitNode = addTarget(Host, 2); // after a cold start only one of the slots is used
    std::uint64_t nextNumber = 1'000;
    std::atomic<bool> hold{false}; ///< while set, exchanges wait

    /// Makes exchanges wait until `hold` is cleared or they are cancelled.
    void holdExchanges()
    {
        hold = true;
        exitNode.target.script = [this](const TargetRequest &, TargetSink &sink) {
            while (hold) {
                if (sink.cancelled()) {
                    return TargetResult{true, false, Reason::Cancelled, ""};
                }
                std::this_thread::sleep_for(milliseconds(1));
            }
            return answerWith(sink, 200, {}, "free");
        };
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExitHandlerSuite, ExitFixture)

BOOST_AUTO_TEST_CASE(attempts_manyAtOnce_neverExceedTheSlots)
{
    exitNode.target.script = [](const TargetRequest &, TargetSink &sink) {
        std::this_thread::sleep_for(milliseconds(2));
        return answerWith(sink, 200, {}, "x");
    };
    std::vector<std::shared_ptr<InMemoryStream>> streams;
    streams.reserve(50);
    for (int n = 0; n < 50; ++n) {
        streams.push_back(offer());
    }
    for (const auto &stream : streams) {
        BOOST_TEST((endOf(stream).outcome == Outcome::Ran));
    }
    BOOST_TEST(exitNode.target.maxRunning <= 2U);
    BOOST_TEST(waitFor([&] { return exitNode.handler->inFlight() == 0; }));
}

BOOST_AUTO_TEST_CASE(write_duplicateId_isRefusedAndRunsOnce)
{
    BOOST_TEST((endOf(offer(false, seconds(2), 7)).outcome == Outcome::Ran));
    BOOST_TEST((endOf(offer(false, seconds(2), 7)).outcome == Outcome::NotRun));
    BOOST_TEST(exitNode.target.started == 1U);
}

BOOST_AUTO_TEST_CASE(write_deadlinePassedOnArrival_isRefusedAsNotRun)
{
    const auto end = endOf(offer(false, milliseconds(-1)));
    BOOST_TEST((end.outcome == Outcome::NotRun));
    BOOST_TEST((end.reason == Reason::DeadlinePassed));
    BOOST_TEST(exitNode.target.started == 0U);
}

BOOST_AUTO_TEST_CASE(write_cancelledWhileWaiting_isNotRun)
{
    holdExchanges();
    const auto first = offer(false);
    const auto second = offer(false);
    BOOST_TEST(waitFor([&] { return exitNode.target.started == 1; }));
    second->cancel();
    const auto end = endOf(second);
    BOOST_TEST((end.outcome == Outcome::NotRun));
    BOOST_TEST((end.reason == Reason::Cancelled));
    hold = false;
    endOf(first);
    BOOST_TEST(exitNode.target.started == 1U);
}

BOOST_AUTO_TEST_CASE(write_cancelledWhileRunning_isUnknown)
{
    holdExchanges();
    const auto stream = offer(false);
    BOOST_TEST(waitFor([&] { return exitNode.target.started == 1; }));
    stream->cancel();
    BOOST_TEST((endOf(stream).outcome == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(slot_exchangeAborted_isKeptForCancelPropagationTime)
{
    std::vector<TimePoint> starts;
    exitNode.target.script = [&](const TargetRequest &, TargetSink &sink) {
        starts.push_back(Clock::now()); // only one slot is used after a cold start, so no two exchanges run at once
        while (starts.size() == 1 && !sink.cancelled()) {
            std::this_thread::sleep_for(milliseconds(1));
        }
        return starts.size() == 1 ? TargetResult{true, false, Reason::Cancelled, ""} : answerWith(sink, 200, {}, "x");
    };
    const auto first = offer(false);
    const auto second = offer(false);
    BOOST_TEST(waitFor([&] { return exitNode.target.started == 1; }));
    const auto cut = Clock::now();
    first->cancel();
    endOf(second);
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST((starts[1] - cut >= milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(write_deadlinePassesWhileRunning_isUnknownWithReasonDeadlinePassed)
{
    holdExchanges();
    const auto end = endOf(offer(false, milliseconds(30)));
    BOOST_TEST((end.outcome == Outcome::Unknown));
    BOOST_TEST((end.reason == Reason::DeadlinePassed));
}

BOOST_AUTO_TEST_CASE(write_deadlinePassesWhileWaiting_isNotRun)
{
    holdExchanges();
    const auto first = offer(false);
    const auto second = offer(false);
    const auto end = endOf(offer(false, milliseconds(30)));
    BOOST_TEST((end.outcome == Outcome::NotRun));
    BOOST_TEST((end.reason == Reason::DeadlinePassed));
    hold = false;
    endOf(first);
    endOf(second);
}

BOOST_AUTO_TEST_CASE(target_connectFails_isNotRun)
{
    exitNode.target.script = [](const TargetRequest &, TargetSink &) { return TargetResult{false, false, Reason::ConnectFailed, "refused"}; };
    const auto end = endOf(offer(false));
    BOOST_TEST((end.outcome == Outcome::NotRun));
    BOOST_TEST((end.reason == Reason::ConnectFailed));
}

BOOST_AUTO_TEST_CASE(target_refusesAsDraining_isNotRunAndMarksLoadLeaving)
{
    exitNode.target.script = [](const TargetRequest &, TargetSink &sink) {
        return answerWith(sink, 503, {{"Fescuenotch-Outcome", "not-run"}, {"Fescuenotch-Draining", "1"}, {"Retry-After", "3"}}, "draining");
    };
    const auto stream = offer(false);
    const auto end = endOf(stream);
    BOOST_TEST((end.outcome == Outcome::NotRun));
    BOOST_TEST((end.reason == Reason::TargetShed));
    BOOST_TEST(end.retryAfter.count() == 3'000);
    BOOST_TEST(end.load.leaving);
    BOOST_TEST((stream->wait(Clock::now()).kind == AttemptEvent::Kind::End));
}

BOOST_AUTO_TEST_CASE(target_drainedAndRestarted_acceptsRequestsAgainWithinSeconds)
{
    exitNode.target.script = [](const TargetRequest &, TargetSink &sink) {
        return answerWith(sink, 503, {{"Fescuenotch-Outcome", "not-run"}, {"Fescuenotch-Draining", "1"}}, "draining");
    };
    endOf(offer(false));
    BOOST_TEST(exitNode.handler->load().leaving);
    exitNode.target.accepts = false;
    std::this_thread::sleep_for(milliseconds(400));
    BOOST_TEST(exitNode.handler->load().leaving);
    exitNode.target.accepts = true;
    const auto until = Clock::now() + seconds(3);
    while (exitNode.handler->load().leaving && Clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    BOOST_TEST(!exitNode.handler->load().leaving);
}

BOOST_AUTO_TEST_CASE(target_503WithoutOutcome_isRelayedAsItsAnswer)
{
    exitNode.target.script = [](const TargetRequest &, TargetSink &sink) { return answerWith(sink, 503, {}, "busy"); };
    BOOST_TEST((endOf(offer(false)).outcome == Outcome::Ran));
}

BOOST_AUTO_TEST_CASE(target_request_carriesDeadlineAttemptAndDepth)
{
    Headers seen;
    exitNode.target.script = [&](const TargetRequest &request, TargetSink &sink) {
        seen = request.headers;
        return answerWith(sink, 200, {}, "x");
    };
    endOf(offer());
    BOOST_REQUIRE(findHeader(seen, "Fescuenotch-Deadline-Ms") != nullptr);
    BOOST_TEST(std::stoi(*findHeader(seen, "Fescuenotch-Deadline-Ms")) <= 2'000);
    BOOST_TEST(findHeader(seen, "Fescuenotch-Attempt") != nullptr);
    BOOST_TEST(*findHeader(seen, "Fescuenotch-Depth") == "3");
}

BOOST_AUTO_TEST_CASE(handler_leaving_refusesNewAndFinishesRunning)
{
    holdExchanges();
    const auto running = offer(false);
    exitNode.handler->beginLeaving();
    const auto end = endOf(offer(false));
    BOOST_TEST((end.reason == Reason::Leaving));
    BOOST_TEST(exitNode.handler->load().leaving);
    hold = false;
    BOOST_TEST((endOf(running).outcome == Outcome::Ran));
}

BOOST_AUTO_TEST_CASE(attempt_otherHost_isRefusedAsWrongHost)
{
    AttemptHead head;
    head.targetHost = "127.23.0.99";
    head.deadline = Clock::now() + seconds(1);
    const auto stream = std::make_shared<InMemoryStream>(head);
    exitNode.handler->onAttempt(stream);
    BOOST_TEST((endOf(stream).reason == Reason::WrongHost));
}

BOOST_AUTO_TEST_SUITE_END()
