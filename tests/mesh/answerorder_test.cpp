#include "mesh/answerorder.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Fescuenotch;

namespace {

constexpr std::size_t Kilobyte = 1'000;
constexpr std::size_t Piece = 16 * 1024;
constexpr TimePoint Start{seconds(1'000)};

/// A link of 8 Mbit/s of which nine tenths are used: 0.9 MB/s.
struct LinkFixture {
    UplinkPacer link{8};
    std::vector<PendingAnswer> answers;

    void add(std::size_t kilobytes, milliseconds timeLeft, bool deadlineIsNodeEnd = false)
    {
        answers.push_back({kilobytes * Kilobyte, Start + timeLeft, deadlineIsNodeEnd});
    }

    /// Sends all answers piece by piece; returns how many were completely sent by their deadlines.
    std::size_t countInTime()
    {
        auto now = Start;
        std::size_t inTime = 0;
        while (const auto n = nextAnswer(now, answers, link)) {
            const auto sent = std::min(Piece, answers[*n].remaining);
            now += link.timeFor(sent);
            answers[*n].remaining -= sent;
            if (answers[*n].remaining == 0) {
                inTime += now <= answers[*n].deadline ? 1 : 0;
                answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(*n));
            }
        }
        return inTime;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnswerOrderTest, LinkFixture)

BOOST_AUTO_TEST_CASE(next_nothingPending_isEmpty)
{
    BOOST_TEST(!nextAnswer(Start, answers, link).has_value());
}

BOOST_AUTO_TEST_CASE(next_timeForAll_isTheShortest)
{
    add(300, seconds(10));
    add(50, seconds(20));
    add(100, seconds(5));
    BOOST_TEST(nextAnswer(Start, answers, link).value() == 1U);
}

/// Guards against the cut answers of incident inc1: a long answer to a node that is stopping waits behind shorter ones to others.
BOOST_AUTO_TEST_CASE(next_longAnswerWouldMissItsDeadlineBehindShorterOnes_isSentFirst)
{
    for (int n = 0; n < 20; ++n) {
        add(90, seconds(4));
    }
    add(400, milliseconds(800), true);
    BOOST_TEST(nextAnswer(Start, answers, link).value() == 20U);
    BOOST_TEST(countInTime() == 21U);
}

/// An answer that cannot be sent in time any more does not take the link from those that can.
BOOST_AUTO_TEST_CASE(next_answerIsTooLateInAnyCase_othersAreSentFirst)
{
    add(900, milliseconds(500));
    add(200, milliseconds(600));
    BOOST_TEST(nextAnswer(Start, answers, link).value() == 1U);
}

/// Answers that are ready are delivered, also late.
BOOST_AUTO_TEST_CASE(next_onlyLateAnswersLeft_areStillSentShortestFirst)
{
    add(900, milliseconds(-100));
    add(800, milliseconds(-200));
    BOOST_TEST(nextAnswer(Start, answers, link).value() == 1U);
    BOOST_TEST(countInTime() == 0U);
}

/// A quarter of the fleet stops one node after the other while its answers share the link with those of the other nodes.
BOOST_AUTO_TEST_CASE(stoppingSeries_linkCarriesAllInTime_noneIsLate)
{
    std::minstd_rand random(7);
    std::uniform_int_distribution<unsigned> size(40, 140);
    for (int n = 0; n < 10; ++n) {
        add(size(random), milliseconds(1'000 + 250 * n), true);
        add(size(random), milliseconds(4'000));
    }
    BOOST_TEST(countInTime() == 20U);
}

/// Guards against a long answer that starves behind a stream of shorter ones although the link carries all in time.
BOOST_AUTO_TEST_CASE(longAnswer_shorterOnesKeepComing_isSentByItsDeadline)
{
    add(500, seconds(4));
    std::size_t late = 0;
    auto nextArrival = Start;
    for (auto now = Start; now < Start + seconds(8);) {
        if (nextArrival <= now) { // nine tenths of the link
            answers.push_back({81 * Kilobyte, now + seconds(4), false});
            nextArrival += milliseconds(100);
        }
        const auto n = nextAnswer(now, answers, link);
        if (!n) {
            now = nextArrival;
            continue;
        }
        const auto sent = std::min(Piece, answers[*n].remaining);
        now += link.timeFor(sent);
        answers[*n].remaining -= sent;
        if (answers[*n].remaining == 0) {
            late += now > answers[*n].deadline ? 1 : 0;
            answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(*n));
        }
    }
    BOOST_TEST(late == 0U);
    BOOST_TEST(answers.size() <= 3U);
}

/// Answers that no stopping node waits for are not reordered by their deadlines: under overload all would come near them, none by its
/// latency goal.
BOOST_AUTO_TEST_CASE(load_aFifthMoreThanTheLink_mostAreWithinTheirGoals)
{
    constexpr double Load = 1.2;
    constexpr double MeanBytes = 90'000;
    constexpr double Seconds = 40;
    const double linkBytesPerSecond = 1.0 / std::chrono::duration<double>(link.timeFor(1'000'000)).count() * 1e6;
    std::minstd_rand random(11);
    std::uniform_int_distribution<std::size_t> size(40'000, 140'000);
    std::exponential_distribution<double> gap(Load * linkBytesPerSecond / MeanBytes);
    std::vector<TimePoint> arrivals; // of `answers`
    std::size_t offered = 0;
    std::size_t withinGoal = 0;
    auto now = Start;
    auto nextArrival = Start;
    const auto end = Start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
    while (now < end) {
        while (nextArrival <= now) {
            answers.push_back({size(random), nextArrival + seconds(4), false});
            arrivals.push_back(nextArrival);
            ++offered;
            nextArrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        }
        for (std::size_t n = answers.size(); n-- > 0;) {
            if (answers[n].deadline <= now) { // its entry node has given up
                answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(n));
                arrivals.erase(arrivals.begin() + static_cast<std::ptrdiff_t>(n));
            }
        }
        const auto n = nextAnswer(now, answers, link);
        if (!n) {
            now = nextArrival;
            continue;
        }
        const auto sent = std::min(Piece, answers[*n].remaining);
        now += link.timeFor(sent);
        answers[*n].remaining -= sent;
        if (answers[*n].remaining == 0) {
            withinGoal += now - arrivals[*n] <= seconds(1) ? 1 : 0;
            answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(*n));
            arrivals.erase(arrivals.begin() + static_cast<std::ptrdiff_t>(*n));
        }
    }
    // Nine tenths of what the link can carry.
    BOOST_TEST(static_cast<double>(withinGoal) >= 0.9 / Load * static_cast<double>(offered));
}

/// The link is asked for twice what it carries: as many answers as possible are in time, and no order by deadline makes all late.
BOOST_AUTO_TEST_CASE(overload_twiceTheLink_halfIsInTime)
{
    for (int n = 0; n < 40; ++n) {
        add(90, seconds(2)); // 20 of them take two seconds
    }
    BOOST_TEST(countInTime() >= 18U);
}

BOOST_AUTO_TEST_SUITE_END()
