#include "kernel/processmetrics.h"

#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace Fescuenotch {

namespace {

double secondsOf(const timeval &time)
{
    constexpr double MicrosecondsPerSecond = 1e6;
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / MicrosecondsPerSecond;
}

std::uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t virtualPages = 0;
    std::uint64_t residentPages = 0;
    file >> virtualPages >> residentPages;
    return residentPages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

double processorSeconds()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
}

unsigned entriesOf(const char *folder)
{
    std::error_code ec;
    const std::filesystem::directory_iterator entries(folder, ec);
    return ec ? 0 : static_cast<unsigned>(std::distance(begin(entries), end(entries)));
}

} // namespace

ProcessUsage processUsage()
{
    return {residentBytes(), processorSeconds(), entriesOf("/proc/self/task"), entriesOf("/proc/self/fd")};
}

void registerProcessMetrics(MetricsRegistry &metrics)
{
    metrics.gauge("fescuenotch_process_resident_bytes", "Memory of this process in RAM.", {}, [] { return static_cast<double>(residentBytes()); });
    metrics.gauge("fescuenotch_process_cpu_seconds", "Processor time used since the start.", {}, [] { return processorSeconds(); });
    metrics.gauge("fescuenotch_process_threads", "Threads of this process.", {}, [] { return double(entriesOf("/proc/self/task")); });
    metrics.gauge(
        "fescuenotch_process_open_files", "File descriptors of this process, sockets included.", {}, [] { return double(entriesOf("/proc/self/fd")); });
}

} // namespace Fescuenotch
