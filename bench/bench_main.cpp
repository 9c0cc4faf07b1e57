// fescuenotch-bench: runs experiments, repeats and compares them, writes the report.
#include "bench/experiment.h"
#include "bench/report.h"
#include "bench/results.h"
#include "standins/program.h"

#include <charconv>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace Fescuenotch;
using namespace Fescuenotch::Bench;

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr unsigned MaxRepeats = 100;
constexpr int DefaultSeed = 1;
constexpr const char *DefaultFolder = "build/report";

/// Writes measurements to FOLDER/NAME.jsonl as they come, and progress lines to standard error.
class FileReporter : public Reporter
{
public:
    FileReporter(std::string experiment, const std::string &folder)
        : m_experiment(std::move(experiment))
        , m_file(folder + "/" + m_experiment + ".jsonl")
        , m_start(std::chrono::steady_clock::now())
    {
    }

    void begin(unsigned run, std::uint64_t seed)
    {
        m_run = run;
        m_seed = seed;
    }

    void add(Measurement measurement) override
    {
        measurement.experiment = m_experiment;
        measurement.run = m_run;
        measurement.seed = m_seed;
        m_file << toJsonLine(measurement) << std::endl;
        m_all.push_back(std::move(measurement));
    }

    void progress(const std::string &text) override
    {
        const auto passed = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - m_start).count();
        std::fprintf(stderr, "[%4llds] run %u: %s\n", static_cast<long long>(passed), m_run, text.c_str());
    }

    bool good() const
    {
        return m_file.good();
    }

    const std::vector<Measurement> &all() const
    {
        return m_all;
    }

private:
    const std::string m_experiment;
    std::ofstream m_file;
    const std::chrono::steady_clock::time_point m_start;
    unsigned m_run = 0;
    std::uint64_t m_seed = 0;
    std::vector<Measurement> m_all;
};

int printUsage(std::FILE *out, int code)
{
    std::fprintf(out,
                 "Usage: fescuenotch-bench EXPERIMENT [flags]\n"
                 "       fescuenotch-bench repeat N EXPERIMENT [flags]   run it N times and show the spread\n"
                 "       fescuenotch-bench compare A.jsonl B.jsonl       compare two result files\n"
                 "       fescuenotch-bench report [--out FOLDER]         plots and index.html of all results\n"
                 "       fescuenotch-bench list                          names of the experiments\n\nExperiments (each has --help):\n");
    for (const auto &factory : experimentFactories()) {
        const auto experiment = factory();
        std::fprintf(out, "  %-10s %s\n", experiment->name().c_str(), experiment->summary().c_str());
    }
    return code;
}

int failed(const Error &error)
{
    std::fprintf(stderr, "fescuenotch-bench: %s\n", describe(error).c_str());
    return ExitFailed;
}

/// argv[0] is the experiment's name.
int runExperiment(unsigned repeats, int argc, char **argv)
{
    const auto experiment = makeExperiment(argv[0]);
    if (experiment == nullptr) {
        std::fprintf(stderr, "fescuenotch-bench: '%s' is no experiment\n", argv[0]);
        return printUsage(stderr, ExitUsage);
    }
    const char *folder = DefaultFolder;
    int firstSeed = DefaultSeed;
    auto options = experiment->options();
    options.push_back({"out", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &folder, 0, "folder of the results", "FOLDER"});
    options.push_back({"seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &firstSeed, 0, "of random choices; each repeat adds one", "NUMBER"});
    if (const auto code = Standins::parseOptions(argc, argv, options)) {
        return *code;
    }
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    FileReporter reporter(experiment->name(), folder);
    if (!reporter.good()) {
        return failed({ErrorKind::InvalidInput, std::string(folder) + ": cannot be written", "give --out a folder that can be written", {}});
    }
    for (unsigned run = 1; run <= repeats; ++run) {
        const auto seed = static_cast<std::uint64_t>(firstSeed) + run - 1;
        std::printf("%s run %u of %u, seed %llu\n", argv[0], run, repeats, static_cast<unsigned long long>(seed));
        std::fflush(stdout);
        reporter.begin(run, seed);
        if (const auto error = errorOf([&] { return experiment->run(seed, reporter); })) {
            return failed(*error);
        }
    }
    std::printf("%s", tables(reporter.all()).c_str());
    return 0;
}

int runRepeat(int argc, char **argv)
{
    unsigned n = 0;
    const std::string text = argc > 1 ? argv[1] : "";
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (argc < 3 || ec != std::errc() || end != text.data() + text.size() || n == 0 || n > MaxRepeats) {
        std::fprintf(stderr, "fescuenotch-bench repeat: give a number from 1 to %u and an experiment\n", MaxRepeats);
        return ExitUsage;
    }
    return runExperiment(n, argc - 2, argv + 2);
}

int runCompare(int argc, char **argv)
{
    if (argc != 3) {
        std::fprintf(stderr, "fescuenotch-bench compare: give two result files\n");
        return ExitUsage;
    }
    const auto error = errorOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(a, readResults(argv[1]));
        BOOST_LEAF_AUTO(b, readResults(argv[2]));
        std::printf("%s", comparison(a, b).c_str());
        return {};
    });
    return error ? failed(*error) : 0;
}

int runList()
{
    for (const auto &factory : experimentFactories()) {
        std::printf("%s\n", factory()->name().c_str());
    }
    return 0;
}

int runReport(int argc, char **argv)
{
    const char *folder = DefaultFolder;
    const std::vector<poptOption> options{
        {"out", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &folder, 0, "folder of the results and the report", "FOLDER"},
    };
    if (const auto code = Standins::parseOptions(argc, argv, options)) {
        return *code;
    }
    if (const auto error = errorOf([&] { return writeReport(folder); })) {
        return failed(*error);
    }
    std::printf("%s/index.html\n", folder);
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        return printUsage(stderr, ExitUsage);
    }
    const std::string command = argv[1];
    if (command == "--help" || command == "help") {
        return printUsage(stdout, 0);
    }
    if (command == "repeat") {
        return runRepeat(argc - 1, argv + 1);
    }
    if (command == "compare") {
        return runCompare(argc - 1, argv + 1);
    }
    if (command == "report") {
        return runReport(argc - 1, argv + 1);
    }
    if (command == "list") {
        return runList();
    }
    return runExperiment(1, argc - 1, argv + 1);
}
