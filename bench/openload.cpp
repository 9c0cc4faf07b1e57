#include "bench/openload.h"

#include <atomic>
#include <random>
#include <thread>

namespace Fescuenotch::Bench {

namespace {

std::vector<Duration> dueTimes(const LoadSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap(settings.rate);
    std::vector<Duration> due;
    double at = 0;
    while (true) {
        at += gap(random);
        const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        if (time >= settings.length) {
            return due;
        }
        due.push_back(time);
    }
}

} // namespace

std::vector<CallResult> runOpenLoad(const LoadSettings &settings, const std::function<CallResult(unsigned number, unsigned thread)> &call)
{
    const auto due = dueTimes(settings);
    std::vector<CallResult> results(due.size());
    std::atomic<std::size_t> next{0};
    const auto start = Clock::now();
    const auto work = [&](unsigned thread) {
        for (auto n = next++; n < due.size(); n = next++) {
            std::this_thread::sleep_until(start + due[n]);
            results[n] = call(static_cast<unsigned>(n), thread);
            results[n].time = Clock::now() - start - due[n];
        }
    };
    std::vector<std::thread> threads;
    threads.reserve(settings.threads);
    for (unsigned n = 0; n < settings.threads; ++n) {
        threads.emplace_back(work, n);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return results;
}

} // namespace Fescuenotch::Bench
