#include "mesh/routes.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

MeshRoute route(const std::string &name, const std::string &prefix, std::vector<WeightedService> parts = {{"desk", 1}})
{
    MeshRoute r;
    r.name = name;
    r.host = "slots.example";
    r.pathPrefix = prefix;
    r.parts = std::move(parts);
    return r;
}

MeshConfiguration configuration(std::vector<MeshRoute> routes)
{
    MeshConfiguration c;
    c.version = 7;
    c.routes = std::move(routes);
    c.services = {{"desk", "", 10}, {"feed", "", 10}};
    return c;
}

RoutingTablePtr build(std::vector<MeshRoute> routes)
{
    return std::get<0>(valueOrError([&] { return RoutingTable::build(configuration(std::move(routes))); }));
}

bool isInvalid(MeshRoute r)
{
    return errorOf([&] { return checkConfiguration(configuration({std::move(r)})); }).has_value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RoutesTest)

BOOST_AUTO_TEST_CASE(match_severalPrefixes_longestWins)
{
    const auto table = build({route("all", "/"), route("slots", "/slots/"), route("open", "/slots/open/")});
    BOOST_TEST(table->match("slots.example", "/slots/open/3?x=/y/")->name == "open");
    BOOST_TEST(table->match("slots.example", "/slots/3")->name == "slots");
    BOOST_TEST(table->match("slots.example", "/other")->name == "all");
}

BOOST_AUTO_TEST_CASE(match_prefixWithoutTrailingSlash_doesNotMatch)
{
    const auto table = build({route("slots", "/slots/")});
    BOOST_TEST((table->match("slots.example", "/slots") == nullptr));
    BOOST_TEST((table->match("slots.example", "/slotsmore/") == nullptr));
}

BOOST_AUTO_TEST_CASE(match_hostInUpperCaseWithPort_matches)
{
    const auto table = build({route("slots", "/slots/")});
    BOOST_TEST((table->match("SLOTS.example:8080", "/slots/") != nullptr));
    BOOST_TEST((table->match("other.example", "/slots/") == nullptr));
}

BOOST_AUTO_TEST_CASE(check_invalidRoutes_areRejected)
{
    BOOST_TEST(isInvalid(route("no-service", "/a/", {})));
    BOOST_TEST(isInvalid(route("unknown", "/a/", {{"nowhere", 1}})));
    BOOST_TEST(isInvalid(route("weightless", "/a/", {{"desk", 0}, {"feed", 0}})));
    BOOST_TEST(isInvalid(route("prefix", "a/")));
    auto noAttempts = route("attempts", "/a/");
    noAttempts.maxAttempts = 0;
    BOOST_TEST(isInvalid(noAttempts));
    auto noTime = route("time", "/a/");
    noTime.timeout = milliseconds(0);
    BOOST_TEST(isInvalid(noTime));
    BOOST_TEST(!isInvalid(route("sound", "/a/")));
}

BOOST_AUTO_TEST_CASE(check_duplicateHostAndPrefix_isRejected)
{
    BOOST_TEST(errorOf([] { return checkConfiguration(configuration({route("a", "/a/"), route("b", "/a/")})); }).has_value());
}

BOOST_AUTO_TEST_CASE(split_ninetyToTen_eachNodeIsWithinOneRequest)
{
    const auto r = route("split", "/a/", {{"desk", 90}, {"feed", 10}});
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
        TrafficSplit split(seed);
        int feed = 0;
        for (int n = 0; n < 100; ++n) {
            feed += split.choose(r) == "feed" ? 1 : 0;
        }
        BOOST_TEST(feed >= 9);
        BOOST_TEST(feed <= 11);
    }
}

BOOST_AUTO_TEST_CASE(split_partWithZeroWeight_getsNothing)
{
    const auto r = route("split", "/a/", {{"desk", 0}, {"feed", 10}});
    TrafficSplit split(1);
    for (int n = 0; n < 50; ++n) {
        BOOST_TEST(split.choose(r) == "feed");
    }
}

BOOST_AUTO_TEST_SUITE_END()
