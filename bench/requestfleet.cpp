#include "bench/requestfleet.h"

#include "bench/processstats.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

namespace Fescuenotch::Bench {

namespace {

constexpr milliseconds ReadyLimit{20'000};
constexpr milliseconds ReadyPoll{50};

Result<void> writeText(const std::string &file, const std::string &text)
{
    std::ofstream out(file);
    out << text;
    out.close();
    if (!out) {
        return fail(ErrorKind::InvalidInput, file + ": cannot be written", "give --folder a folder that can be written");
    }
    return {};
}

} // namespace

RequestFleet::RequestFleet(const RequestFleetSettings &settings)
    : m_settings(settings)
{
}

std::string RequestFleet::host(unsigned number) const
{
    return m_settings.prefix + ".2." + std::to_string(number + 1);
}

std::string RequestFleet::callerUrl(unsigned number) const
{
    return "http://" + host(number) + ":8080";
}

std::string RequestFleet::targetUrl(unsigned number) const
{
    return "http://" + host(number) + ":9000";
}

Result<void> RequestFleet::writeDocuments() const
{
    using nlohmann::json;
    auto targets = json::array();
    auto hosts = json::array();
    for (unsigned n = 0; n < m_settings.targets; ++n) {
        targets.push_back(
            {{"host", host(n)}, {"data_centre", "lk-south-1"}, {"address", host(n) + ":9000"}, {"slots", m_settings.slots}, {"connections", 130}});
        hosts.push_back({{"host", host(n)}, {"data_centre", "lk-south-1"}, {"service", "bookdesk"}, {"peer", host(n) + ":7400"}, {"state", "live"}});
    }
    const auto rule = [&](bool idempotent, const char *requestClass) {
        return json{{"idempotent", idempotent}, {"timeout_ms", m_settings.timeout.count()}, {"max_attempts", 3}, {"class", requestClass}};
    };
    const json routes{{{"path_prefix", "/echo"}, {"methods", {"GET"}}, {"service", "bookdesk"}, {"rule", "read"}},
                      {{"path_prefix", "/run"}, {"methods", {"POST"}}, {"service", "bookdesk"}, {"rule", "confirm"}}};
    const json rules{{"read", rule(true, "lookup")}, {"confirm", rule(false, "write")}};
    const json documents{{"service/bookdesk", {{"profile", "desk"}, {"targets", targets}}},
                         {"profile/desk", {{"spread", "time"}, {"routes", routes}, {"rules", rules}}}};
    BOOST_LEAF_CHECK(writeText(m_settings.folder + "/documents.json", documents.dump()));
    return writeText(m_settings.folder + "/hosts.json", hosts.dump());
}

Result<void> RequestFleet::startProcess(const std::string &program, std::vector<std::string> args)
{
    const std::string log = m_settings.folder + "/" + program + "-" + std::to_string(m_processes.size()) + ".log";
    m_processes.push_back(std::make_unique<Standins::ChildProcess>(Standins::ProcessCommand{Standins::buildFolder() + "/" + program, std::move(args), log}));
    return m_processes.back()->start();
}

Result<void> RequestFleet::start()
{
    std::filesystem::remove_all(m_settings.folder);
    std::filesystem::create_directories(m_settings.folder);
    BOOST_LEAF_CHECK(writeDocuments());
    const std::string platform = m_settings.prefix + ".2.200:7000";
    BOOST_LEAF_CHECK(startProcess("fescuenotch-platform",
                                  {"--listen",
                                   platform,
                                   "--operator",
                                   m_settings.prefix + ".2.200:7001",
                                   "--documents",
                                   m_settings.folder + "/documents.json",
                                   "--hosts",
                                   m_settings.folder + "/hosts.json"}));
    for (unsigned n = 0; n < m_settings.targets; ++n) {
        std::vector<std::string> target{"--listen", host(n) + ":9000", "--operator", host(n) + ":9001", "--slots", std::to_string(m_settings.slots)};
        target.insert(target.end(), {"--service-time", m_settings.serviceTime, "--connections", "1000"});
        if (m_settings.shed) {
            target.emplace_back("--shed");
        }
        BOOST_LEAF_CHECK(startProcess("fescuenotch-target", std::move(target)));
        std::vector<std::string> node{"node", "--host", host(n), "--data-centre", "lk-south-1", "--service", "bookdesk", "--platform", "http://" + platform};
        node.insert(node.end(), {"--caller-listen", host(n) + ":8080", "--peer-listen", host(n) + ":7400", "--operator-listen", host(n) + ":8081"});
        BOOST_LEAF_CHECK(startProcess("fescuenotch", std::move(node)));
    }
    if (!waitUntilReady()) {
        return fail(ErrorKind::InvalidInput, "the nodes did not become ready", "read the logs in " + m_settings.folder);
    }
    return {};
}

bool RequestFleet::waitUntilReady()
{
    const auto until = Clock::now() + ReadyLimit;
    for (unsigned n = 0; n < m_settings.targets;) {
        Standins::ClientCall call;
        call.url = "http://" + host(n) + ":8081/readyz";
        if (m_client.run(call).status == 200) {
            ++n;
        } else if (Clock::now() >= until) {
            return false;
        } else {
            std::this_thread::sleep_for(ReadyPoll);
        }
    }
    return true;
}

double RequestFleet::attempts()
{
    double sum = 0;
    for (unsigned n = 0; n < m_settings.targets; ++n) {
        Standins::ClientCall call;
        call.url = "http://" + host(n) + ":8081/metrics";
        sum += sumMetric(m_client.run(call).body, "fescuenotch_attempts_total", "");
    }
    return sum;
}

unsigned RequestFleet::mostSlotsUsed()
{
    unsigned most = 0;
    for (unsigned n = 0; n < m_settings.targets; ++n) {
        most = std::max(most, m_client.getJson("http://" + host(n) + ":9001/stats").value("in_use_most", 0U));
    }
    return most;
}

} // namespace Fescuenotch::Bench
