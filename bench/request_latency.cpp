// The request-latency experiment: what two hops add to a call, against calling the target directly.
//
// Direct calls and calls over both hops alternate on two kept connections, so that both see the same machine.
#include "bench/experiment.h"
#include "bench/requestfleet.h"
#include "bench/results.h"

namespace Fescuenotch::Bench {

namespace {

constexpr int WarmUpCalls = 200;

double callTime(Standins::HttpClient &client, const std::string &url, unsigned &failures)
{
    Standins::ClientCall call;
    call.url = url;
    const auto reply = client.run(call);
    failures += reply.status == 200 && reply.whole ? 0 : 1;
    return static_cast<double>(reply.time.count()) / 1'000;
}

class RequestLatencyExperiment final : public Experiment
{
public:
    std::string name() const override
    {
        return "request-latency";
    }
    std::string summary() const override
    {
        return "time that two hops add to a call, against calling the target directly";
    }
    std::vector<poptOption> options() override
    {
        return {{"calls", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &m_calls, 0, "calls each way", "COUNT"},
                {"folder", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &m_folder, 0, "logs of the processes; emptied first", "FOLDER"}};
    }
    std::vector<PlotSpec> plots() const override
    {
        return {{"Time of a call", "calls", "way", "p99_ms"}};
    }
    Result<void> run(std::uint64_t seed, Reporter &reporter) override;

private:
    int m_calls = 4'000;
    const char *m_folder = "build/bench-request-latency";
};

Result<void> RequestLatencyExperiment::run(std::uint64_t, Reporter &reporter)
{
    RequestFleetSettings settings;
    settings.targets = 2;
    settings.slots = 20;
    settings.folder = m_folder;
    RequestFleet fleet(settings);
    BOOST_LEAF_CHECK(fleet.start());
    reporter.progress("calls");
    Standins::HttpClient client;
    std::vector<double> direct;
    std::vector<double> hops;
    unsigned directFailures = 0;
    unsigned hopFailures = 0;
    for (int n = 0; n < m_calls + WarmUpCalls; ++n) {
        const auto path = "/echo/" + std::to_string(n);
        const auto first = callTime(client, fleet.targetUrl(0) + path, directFailures);
        const auto second = callTime(client, fleet.callerUrl(0) + path, hopFailures);
        if (n >= WarmUpCalls) {
            direct.push_back(first);
            hops.push_back(second);
        }
    }
    const auto report = [&](const char *way, const std::vector<double> &times, unsigned failures) {
        Measurement measurement;
        measurement.phase = "calls";
        measurement.conditions = {{"way", way}};
        measurement.values = {{"p50_ms", quantile(times, 0.5)},
                              {"p99_ms", quantile(times, 0.99)},
                              {"added_p50_ms", quantile(times, 0.5) - quantile(direct, 0.5)},
                              {"added_p99_ms", quantile(times, 0.99) - quantile(direct, 0.99)},
                              {"failures", failures}};
        reporter.add(std::move(measurement));
    };
    report("direct", direct, directFailures);
    report("two-hops", hops, hopFailures);
    return {};
}

const ExperimentRegistration registration([] { return std::make_unique<RequestLatencyExperiment>(); });

} // namespace

} // namespace Fescuenotch::Bench
