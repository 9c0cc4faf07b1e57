#include "kernel/settings.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct SettingsFixture {
    std::vector<std::string> args{"--host",
                                  "127.1.0.11",
                                  "--data-centre",
                                  "lk-south-1",
                                  "--service",
                                  "bookdesk",
                                  "--platform",
                                  "http://127.0.0.1:7000",
                                  "--caller-listen",
                                  "127.1.0.11:8080",
                                  "--peer-listen",
                                  "127.1.0.11:7400",
                                  "--operator-listen",
                                  "127.1.0.11:8081"};
    Environment environment;

    std::variant<NodeSettings, Error> parse() const
    {
        return valueOrError([&] { return parseNodeSettings(args, environment); });
    }

    NodeSettings parsed() const
    {
        const auto result = parse();
        BOOST_REQUIRE_EQUAL(result.index(), 0U);
        return std::get<0>(result);
    }

    std::string error() const
    {
        const auto result = parse();
        BOOST_REQUIRE_EQUAL(result.index(), 1U);
        return describe(std::get<1>(result));
    }

    void add(const std::string &flag, const std::string &value)
    {
        args.push_back(flag);
        args.push_back(value);
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Settings, SettingsFixture)

BOOST_AUTO_TEST_CASE(settings_allRequiredGiven_haveDefaultsForTheRest)
{
    BOOST_TEST(parsed().drainLimit.count() == 30'000);
    BOOST_TEST(parsed().readers == 3U);
}

BOOST_AUTO_TEST_CASE(settings_flagAndVariable_flagWins)
{
    environment["FESCUENOTCH_DRAIN_LIMIT"] = "5s";
    BOOST_TEST(parsed().drainLimit.count() == 5'000);
    add("--drain-limit", "7s");
    BOOST_TEST(parsed().drainLimit.count() == 7'000);
}

BOOST_AUTO_TEST_CASE(settings_badValue_namesFlagValueAndAllowed)
{
    add("--readers", "many");
    BOOST_TEST(contains(error(), "--readers"));
    BOOST_TEST(contains(error(), "'many'"));
    BOOST_TEST(contains(error(), "1 to 64"));
}

BOOST_AUTO_TEST_CASE(settings_missingRequired_namesFlagAndVariable)
{
    args.erase(args.begin(), args.begin() + 2);
    BOOST_TEST(contains(error(), "--host is missing"));
    BOOST_TEST(contains(error(), "FESCUENOTCH_HOST"));
}

BOOST_AUTO_TEST_CASE(settings_contradiction_isRefused)
{
    add("--digest-period", "4s");
    BOOST_TEST(contains(error(), "--digest-period"));
}

BOOST_AUTO_TEST_CASE(settings_unknownFlagOrVariable_isRefused)
{
    environment["FESCUENOTCH_COLOUR"] = "red";
    BOOST_TEST(contains(error(), "FESCUENOTCH_COLOUR"));
    environment.clear();
    add("--colour", "red");
    BOOST_TEST(contains(error(), "--colour"));
}

BOOST_AUTO_TEST_CASE(settings_durationOutOfRange_isRefusedNotWrapped)
{
    add("--drain-limit", "9223372036854775807m");
    BOOST_TEST(contains(error(), "--drain-limit"));
}

BOOST_AUTO_TEST_SUITE_END()
