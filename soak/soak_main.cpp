// fescuenotch-soak: real nodes under seeded, overlapping faults; exits with 1 when a promise was broken.
//
// Usage: fescuenotch-soak [--seed N] [--rounds N] [--hosts N] [--kind N] [--net N]. A failing run keeps its folder of logs and prints it.
#include "soak/checks.h"

#include "kernel/logging.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace Fescuenotch::Soak {

namespace {

constexpr std::array<RoundKind, 3> Kinds{RoundKind::Planned, RoundKind::Rough, RoundKind::Herds}; ///< in turn
constexpr milliseconds CalmBetweenRounds{1'500}; ///< ms; what a rough round did to connections has ended

Result<SoakSettings> parseSettings(const std::vector<std::string> &args)
{
    SoakSettings settings;
    for (std::size_t n = 0; n < args.size(); n += 2) {
        char *end = nullptr;
        const auto value = n + 1 < args.size() ? std::strtoull(args[n + 1].c_str(), &end, 10) : 0;
        if (end == nullptr || *end != '\0' || end == args[n + 1].c_str()) {
            return fail(ErrorKind::InvalidSetting, args[n] + ": its value is not a number", "see the usage in soak/soak_main.cpp");
        }
        if (args[n] == "--seed") {
            settings.seed = value;
        } else if (args[n] == "--rounds") {
            settings.rounds = static_cast<unsigned>(value);
        } else if (args[n] == "--hosts") {
            settings.hosts = static_cast<unsigned>(value);
        } else if (args[n] == "--kind") {
            settings.kind = static_cast<unsigned>(value);
        } else if (args[n] == "--net") {
            settings.net = static_cast<unsigned>(value);
        } else {
            return fail(ErrorKind::InvalidSetting, args[n] + " is no flag", "see the usage in soak/soak_main.cpp");
        }
    }
    return settings;
}

int run(SoakSettings settings)
{
    Tests::ScratchFolder folder;
    settings.folder = folder.path();
    std::printf("soak seed=%llu rounds=%u hosts=%u\n", static_cast<unsigned long long>(settings.seed), settings.rounds, settings.hosts);
    std::fflush(stdout);
    SoakFleet fleet(settings);
    fleet.start();
    Checks checks(fleet, settings.seed);
    FaultRounds faults(fleet, settings.seed);
    for (unsigned n = 0; n < settings.rounds; ++n) {
        const auto kind = Kinds[(settings.kind == 0 ? n : settings.kind - 1) % Kinds.size()];
        checks.beginRound(kind);
        faults.run(kind);
        fleet.waitAllReady(seconds(5));
        std::this_thread::sleep_for(CalmBetweenRounds);
        checks.endRound();
    }
    auto problems = checks.finish();
    problems.insert(problems.end(), faults.problems().begin(), faults.problems().end());
    for (const auto &problem : problems) {
        std::printf("broken: %s\n", problem.c_str());
    }
    if (!problems.empty()) {
        folder.keep();
        std::printf("logs: %s\n", folder.path().c_str());
    }
    std::printf("soak seed=%llu %s: %s\n", static_cast<unsigned long long>(settings.seed), problems.empty() ? "passed" : "FAILED", checks.summary().c_str());
    return problems.empty() ? 0 : 1;
}

} // namespace

} // namespace Fescuenotch::Soak

int main(int argc, char **argv)
{
    using namespace Fescuenotch;
    startLogging(LogLevel::Error, "soak");
    const auto settings = valueOrError([&] { return Soak::parseSettings({argv + 1, argv + argc}); });
    if (const auto *error = std::get_if<Error>(&settings)) {
        std::fprintf(stderr, "fescuenotch-soak: %s\n", describe(*error).c_str());
        return 2;
    }
    return Soak::run(std::get<Soak::SoakSettings>(settings));
}
