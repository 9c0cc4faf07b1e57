#include "commands/commands.h"

#include <boost/test/unit_test.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

using namespace Fescuenotch;

namespace {

constexpr const char *Settings = R"({"node_name":"n-1","ip":"10.1.0.35","zone":"one","region":"r","zones":{"one":"r"},"service":"desk",
 "listen_addrs":{"inbound":"10.1.0.35:8145","outbound":"10.1.0.35:8141","readiness_addr":"10.1.0.35:8140"},"app_addr":"10.1.0.35:8147","seeds":[],
 "heartbeat":"870ms","bounds":{"drain":"2500ms","grace":"6s","retry_budget_ratio":0.2,"retry_budget_slack":"192"},
 "limits":{"cpu_share":0.1,"link_mbps":6.0,"memory_mb":260},"platform":{"address":"10.200.1.7:8142","reads_per_s":2000},"new_field":{}})";

/// A temporary settings file, removed on destruction.
class SettingsFile
{
public:
    explicit SettingsFile(const std::string &text)
        : m_path(std::filesystem::temp_directory_path() / ("fescuenotch-check-" + std::to_string(::getpid()) + ".json"))
    {
        std::ofstream(m_path) << text;
    }

    ~SettingsFile()
    {
        std::filesystem::remove(m_path);
    }

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(CheckCommandTest)

BOOST_AUTO_TEST_CASE(check_validSettings_exitsZero)
{
    const SettingsFile file(Settings);
    BOOST_TEST(runCommand({"check", "--adapter", "platform", file.path()}) == ExitOk);
}

BOOST_AUTO_TEST_CASE(check_fieldMissing_exitsOne)
{
    auto text = std::string(Settings);
    text.replace(text.find("app_addr"), 8, "app_adr");
    const SettingsFile file(text);
    BOOST_TEST(runCommand({"check", "--adapter", "platform", file.path()}) == ExitFailed);
}

BOOST_AUTO_TEST_CASE(check_fileMissing_exitsOne)
{
    BOOST_TEST(runCommand({"check", "--adapter", "platform", "/nowhere/settings.json"}) == ExitFailed);
}

BOOST_AUTO_TEST_CASE(check_unknownAdapterOrNoFile_exitsTwo)
{
    BOOST_TEST(runCommand({"check", "--adapter", "nobody", "settings.json"}) == ExitUsage);
    BOOST_TEST(runCommand({"check", "--adapter", "platform"}) == ExitUsage);
}

BOOST_AUTO_TEST_SUITE_END()
