#include "bench/processstats.h"

#include <unistd.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <sstream>

namespace Fescuenotch::Bench {

namespace {

constexpr int FieldsBeforeUserTime = 11; ///< of /proc/PID/stat, after the name

std::string fieldOf(std::string_view line, const std::string &key)
{
    const std::string start = " " + key + "=";
    const auto at = line.find(start);
    if (at == std::string_view::npos) {
        return {};
    }
    const auto from = at + start.size();
    return std::string(line.substr(from, line.find_first_of(" \n", from) - from));
}

std::optional<WallTime> parseTime(const std::string &text)
{
    std::tm parts{};
    const char *rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr || *rest != '.') {
        return std::nullopt;
    }
    return std::chrono::system_clock::from_time_t(timegm(&parts)) + milliseconds(std::strtol(rest + 1, nullptr, 10));
}

std::uint64_t toNumber(const std::string &text)
{
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

} // namespace

microseconds processorTime(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
    std::string skipped;
    for (int n = 0; n < FieldsBeforeUserTime; ++n) {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> skipped >> user >> system;
    const auto ticks = sysconf(_SC_CLK_TCK);
    return microseconds((user + system) * 1'000'000 / ticks);
}

std::uint64_t residentBytes(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::optional<InForceEvent> parseInForceEvent(std::string_view line)
{
    if (line.find(" event=profile_in_force ") == std::string_view::npos || line.rfind("time=", 0) != 0) {
        return std::nullopt;
    }
    const auto at = parseTime(std::string(line.substr(5, line.find(' ') - 5)));
    if (!at) {
        return std::nullopt;
    }
    return InForceEvent{*at, toNumber(fieldOf(line, "epoch")), toNumber(fieldOf(line, "revision"))};
}

double sumMetric(const std::string &text, const std::string &name, const std::string &label)
{
    double sum = 0;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const bool isSample = line.rfind(name, 0) == 0 && (line[name.size()] == '{' || line[name.size()] == ' ');
        if (isSample && line.find(label) != std::string::npos) {
            sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return sum;
}

} // namespace Fescuenotch::Bench
