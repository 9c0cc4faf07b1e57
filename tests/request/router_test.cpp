#include "request/decisions.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct RouterFixture {
    RouterFixture()
    {
        snapshot.profile.rules["read"] = {};
        snapshot.services["bookdesk"] = {};
        snapshot.services["schoolfeed"] = {};
        snapshot.profile.routes
            = {{"/", {}, "bookdesk", "read"}, {"/rosters", {"GET"}, "schoolfeed", "read"}, {"/rosters/draft", {"POST"}, "bookdesk", "read"}};
    }

    std::string serviceFor(const std::string &method, const std::string &path) const
    {
        const auto match = matchRoute(snapshot, method, path);
        return match ? match->route->service : "none";
    }

    Snapshot snapshot;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Router, RouterFixture)

BOOST_AUTO_TEST_CASE(route_severalPrefixesMatch_longestWithMethodWins)
{
    BOOST_TEST(serviceFor("GET", "/rosters/draft/7") == "schoolfeed");
    BOOST_TEST(serviceFor("POST", "/rosters/draft?day=1") == "bookdesk");
    BOOST_TEST(serviceFor("HEAD", "/rosters") == "schoolfeed");
}

BOOST_AUTO_TEST_CASE(route_prefixEndsInsidePathSegment_doesNotMatch)
{
    BOOST_TEST(serviceFor("GET", "/rostersX") == "bookdesk");
    snapshot.profile.routes.erase(snapshot.profile.routes.begin());
    BOOST_TEST(serviceFor("GET", "/rostersX") == "none");
}

BOOST_AUTO_TEST_SUITE_END()
