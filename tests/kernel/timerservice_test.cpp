#include "kernel/timerservice.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

using namespace Fescuenotch;

BOOST_AUTO_TEST_SUITE(Timers)

BOOST_AUTO_TEST_CASE(timer_every_repeatsUntilCancelled)
{
    const auto timers = makeThreadTimerService();
    std::atomic<int> n{0};
    const auto id = timers->every(milliseconds(2), [&](TimePoint) { ++n; });
    while (n < 3) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    timers->cancel(id);
    timers->stop();
    BOOST_TEST(n >= 3);
}

BOOST_AUTO_TEST_CASE(timer_blockedThread_tellsLateWake)
{
    const auto timers = makeThreadTimerService();
    std::atomic<bool> late{false};
    timers->onLateWake(milliseconds(100), [&](TimePoint, Duration) { late = true; });
    timers->after(milliseconds(1), [](TimePoint) { std::this_thread::sleep_for(milliseconds(150)); });
    timers->after(milliseconds(20), [](TimePoint) {});
    const auto until = Clock::now() + seconds(5);
    while (!late && Clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    BOOST_TEST(late);
}

BOOST_AUTO_TEST_SUITE_END()
