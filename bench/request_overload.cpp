// The request-overload experiment: goodput and latency from half to twice of what the targets can take, against the
// simple policy: callers choose a target at random, no queue but the target's refusal, a fixed number of retries.
#include "bench/experiment.h"
#include "bench/openload.h"
#include "bench/requestfleet.h"
#include "bench/results.h"

#include <algorithm>
#include <random>
#include <thread>

namespace Fescuenotch::Bench {

namespace {

constexpr seconds WarmUp{11}; ///< until the slow start of the targets is over
constexpr unsigned WriteShare = 4; ///< one call in this many is a write
constexpr unsigned FixedAttempts = 3; ///< of the simple policy
constexpr milliseconds ServiceMean{50};
constexpr milliseconds CallLimit{400};

enum class Policy { Simple, Mesh };

class RequestOverloadExperiment final : public Experiment
{
public:
    std::string name() const override
    {
        return "request-overload";
    }
    std::string summary() const override
    {
        return "goodput and latency at parts of the targets' capacity, against random choice with fixed retries";
    }
    std::vector<poptOption> options() override
    {
        return {{"seconds", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &m_seconds, 0, "length of each load", "SECONDS"},
                {"folder", 0, POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &m_folder, 0, "logs of the processes; emptied first", "FOLDER"}};
    }
    std::vector<PlotSpec> plots() const override
    {
        return {{"Goodput", "load", "percent", "goodput_per_s"}, {"Lookups, 99 in 100", "load", "percent", "lookup_p99_ms"}};
    }
    Result<void> run(std::uint64_t seed, Reporter &reporter) override;

private:
    void runLoad(RequestFleet &fleet, Policy policy, unsigned percent, std::uint64_t seed, Reporter &reporter) const;

    int m_seconds = 5;
    const char *m_folder = "build/bench-request-overload";
    RequestFleetSettings m_fleet;
};

/// One call over the mesh: a random entry node, whatever it answers.
CallResult callMesh(Standins::HttpClient &client, Standins::ClientCall call, const std::string &url)
{
    call.url = url + call.url;
    const auto reply = client.run(call);
    CallResult result;
    result.good = reply.status == 200 && reply.whole;
    result.refused = reply.header("Fescuenotch-Outcome") == "not-run";
    return result;
}

/// One call as a caller without the mesh makes it: random targets, again at once after a failure or refusal.
CallResult callSimply(Standins::HttpClient &client, Standins::ClientCall call, const RequestFleet &fleet, unsigned targets, std::mt19937 &random)
{
    const auto path = call.url;
    CallResult result;
    for (result.attempts = 1;; ++result.attempts) {
        call.url = fleet.targetUrl(static_cast<unsigned>(random() % targets)) + path;
        const auto reply = client.run(call);
        result.good = reply.status == 200 && reply.whole;
        result.refused = reply.header("Fescuenotch-Outcome") == "not-run";
        const bool mayRepeat = call.method == "GET" || result.refused;
        if (result.good || !mayRepeat || result.attempts == FixedAttempts) {
            return result;
        }
    }
}

void RequestOverloadExperiment::runLoad(RequestFleet &fleet, Policy policy, unsigned percent, std::uint64_t seed, Reporter &reporter) const
{
    const double capacity = m_fleet.targets * m_fleet.slots / std::chrono::duration<double>(ServiceMean).count();
    LoadSettings load;
    load.rate = capacity * percent / 100;
    load.length = seconds(m_seconds);
    load.seed = seed + percent;
    std::vector<Standins::HttpClient> clients(load.threads);
    const auto attemptsBefore = fleet.attempts();
    const auto results = runOpenLoad(load, [&](unsigned number, unsigned thread) {
        std::mt19937 random(static_cast<std::mt19937::result_type>(seed + number));
        const bool isLookup = random() % WriteShare != 0;
        Standins::ClientCall call;
        call.timeout = CallLimit;
        call.method = isLookup ? "GET" : "POST";
        call.url = (isLookup ? "/echo/" : "/run/") + std::to_string(number);
        if (!isLookup) {
            call.body = "place=1";
        }
        auto &client = clients[thread];
        auto result = policy == Policy::Mesh ? callMesh(client, call, fleet.callerUrl(static_cast<unsigned>(random() % m_fleet.targets)))
                                             : callSimply(client, call, fleet, m_fleet.targets, random);
        result.lookup = isLookup;
        return result;
    });
    std::vector<double> lookups;
    std::vector<double> writes;
    double good = 0;
    double refused = 0;
    double attempts = 0;
    for (const auto &result : results) {
        good += result.good ? 1 : 0;
        refused += !result.good && result.refused ? 1 : 0;
        attempts += result.attempts;
        if (result.good) {
            (result.lookup ? lookups : writes).push_back(std::chrono::duration<double, std::milli>(result.time).count());
        }
    }
    if (policy == Policy::Mesh) {
        attempts = fleet.attempts() - attemptsBefore;
    }
    const auto calls = static_cast<double>(results.size());
    Measurement measurement;
    measurement.phase = "load";
    measurement.conditions = {{"policy", policy == Policy::Mesh ? "fescuenotch" : "simple"}, {"percent", std::to_string(percent)}};
    measurement.values = {{"offered_per_s", calls / m_seconds},
                          {"goodput_per_s", good / m_seconds},
                          {"lookup_p50_ms", quantile(lookups, 0.5)},
                          {"lookup_p99_ms", quantile(lookups, 0.99)},
                          {"write_p99_ms", quantile(writes, 0.99)},
                          {"refused_per_s", refused / m_seconds},
                          {"other_failures_per_s", (calls - good - refused) / m_seconds},
                          {"attempts_per_request", attempts / std::max(1.0, calls)},
                          {"slots_used_most", fleet.mostSlotsUsed()}};
    reporter.add(std::move(measurement));
}

Result<void> RequestOverloadExperiment::run(std::uint64_t seed, Reporter &reporter)
{
    m_fleet.timeout = CallLimit;
    m_fleet.shed = true;
    m_fleet.serviceTime = "exponential:" + std::to_string(ServiceMean.count());
    for (const auto policy : {Policy::Simple, Policy::Mesh}) {
        m_fleet.folder = std::string(m_folder) + (policy == Policy::Mesh ? "/fescuenotch" : "/simple");
        RequestFleet fleet(m_fleet);
        BOOST_LEAF_CHECK(fleet.start());
        if (policy == Policy::Mesh) {
            std::this_thread::sleep_for(WarmUp);
        }
        for (const unsigned percent : {50U, 80U, 100U, 130U, 200U}) {
            reporter.progress((policy == Policy::Mesh ? "fescuenotch, " : "simple, ") + std::to_string(percent) + "%");
            runLoad(fleet, policy, percent, seed, reporter);
        }
    }
    return {};
}

const ExperimentRegistration registration([] { return std::make_unique<RequestOverloadExperiment>(); });

} // namespace

} // namespace Fescuenotch::Bench
