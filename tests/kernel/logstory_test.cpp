#include "kernel/logring.h"
#include "kernel/logstory.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

using namespace Fescuenotch;

BOOST_AUTO_TEST_SUITE(LogStoryTest)

BOOST_AUTO_TEST_CASE(parseLogLine_quotedValuesAndPrefix_areRead)
{
    const auto pairs = parseLogLine(R"(  12.5 node-1 time=2026-01-01T00:00:00.000Z level=info event=refused what="a \"b\" c" empty="" n=5)");
    BOOST_REQUIRE(pairs.has_value());
    BOOST_TEST(logValue(*pairs, "what") == "a \"b\" c");
    BOOST_TEST(logValue(*pairs, "empty").empty());
    BOOST_TEST(logValue(*pairs, "n") == "5");
    BOOST_TEST(logValue(*pairs, "other").empty());
}

BOOST_AUTO_TEST_CASE(parseLogLine_otherText_isNothing)
{
    for (const auto *line : {"", "no log line", "time=1 what=\"open", "time=1 word"}) {
        BOOST_TEST(!parseLogLine(line).has_value());
    }
}

BOOST_AUTO_TEST_CASE(story_linesOfTwoLogsOutOfOrder_areInOrderWithTheCause)
{
    LogStory story("abc");
    story.take("time=2026-01-01T00:00:02.000Z event=refused host=n1 request=abc reason=target-broke");
    story.take("time=2026-01-01T00:00:03.000Z event=refused host=n1 request=other reason=queue-full");
    story.take("garbage");
    story.take("time=2026-01-01T00:00:01.000Z event=target_broke host=n2 request=abc detail=reset");
    const auto lines = story.lines();
    BOOST_REQUIRE(lines.size() == 2U);
    BOOST_TEST(logValue(lines[0], "host") == "n2");
    BOOST_TEST(logValue(story.cause().value(), "reason") == "target-broke");
    BOOST_TEST(story.unreadable() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LogRingTest)

BOOST_AUTO_TEST_CASE(push_nobodyReads_neverBlocksAndKeepsWarningsLongest)
{
    int fds[2] = {};
    BOOST_REQUIRE(::pipe2(fds, O_NONBLOCK) == 0);
    LogRingSettings settings;
    settings.fd = fds[1];
    settings.capacity = 100'000;
    {
        LogRing ring(settings);
        const auto start = Clock::now();
        for (int n = 0; n < 20'000; ++n) {
            ring.push(std::string(100, 'i'), false);
        }
        BOOST_TEST((Clock::now() - start < seconds(2)));
        const auto dropped = ring.dropped();
        BOOST_TEST(dropped > 0U);
        ring.push(std::string(100, 'w'), true);
        BOOST_TEST(ring.dropped() == dropped);
    }
    ::close(fds[0]);
    ::close(fds[1]);
}

BOOST_AUTO_TEST_CASE(push_readerKeepsUp_allLinesArriveInOrder)
{
    int fds[2] = {};
    BOOST_REQUIRE(::pipe(fds) == 0);
    LogRingSettings settings;
    settings.fd = fds[1];
    std::string read;
    {
        LogRing ring(settings);
        for (int n = 0; n < 100; ++n) {
            ring.push("line " + std::to_string(n), false);
        }
        ring.stop(seconds(2));
    }
    ::close(fds[1]);
    char buf[4096];
    for (auto n = ::read(fds[0], buf, sizeof buf); n > 0; n = ::read(fds[0], buf, sizeof buf)) {
        read.append(buf, static_cast<std::size_t>(n));
    }
    ::close(fds[0]);
    BOOST_TEST(read.find("line 0\nline 1\n") == 0U);
    BOOST_TEST(read.find("line 99\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
