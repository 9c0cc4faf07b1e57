#include "mesh/linkselection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace Fescuenotch;

namespace {

/// Fleets of many hosts in several data centres.
struct LinkSelectionFixture {
    std::vector<LinkCandidate> candidates;

    void addHosts(const std::string &dataCentre, const std::string &service, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n) {
            candidates.push_back({dataCentre + "-" + service + "-" + std::to_string(n), dataCentre, service});
        }
    }

    /// Five data centres with 32 hosts of one service and 7 of another.
    void addFleet()
    {
        for (const auto *dataCentre : {"a", "b", "c", "d", "e"}) {
            addHosts(dataCentre, "desk", 32);
            addHosts(dataCentre, "feed", 7);
        }
    }

    std::vector<std::string> select(const LinkCandidate &own, const std::set<std::string> &usedServices = {}) const
    {
        LinkSelectionSettings settings;
        settings.host = own.host;
        settings.dataCentre = own.dataCentre;
        return selectLinks(settings, candidates, usedServices);
    }

    std::size_t count(const std::vector<std::string> &hosts, const std::string &prefix) const
    {
        return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](const auto &host) { return host.rfind(prefix, 0) == 0; }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkSelectionTest, LinkSelectionFixture)

BOOST_AUTO_TEST_CASE(fleetOfHundreds_everyTarget_isLinkedByManyNodes)
{
    addFleet();
    std::map<std::string, unsigned> linksTo;
    for (const auto &own : candidates) {
        for (const auto &host : select(own)) {
            ++linksTo[host];
        }
    }
    BOOST_TEST(linksTo.size() == candidates.size());
    for (const auto &[host, n] : linksTo) {
        BOOST_TEST(n >= 38U + 4U, host << " is linked by " << n); // the own data centre and some nodes of others
    }
}

BOOST_AUTO_TEST_CASE(ownDataCentre_allPeers_areSelected)
{
    addFleet();
    const auto selected = select(candidates.front());
    BOOST_TEST(count(selected, "a-") == 38U);
}

BOOST_AUTO_TEST_CASE(otherDataCentres_eachService_getsAFewPeers)
{
    addFleet();
    const auto selected = select(candidates.front());
    for (const auto *prefix : {"b-desk", "b-feed", "c-desk", "c-feed", "d-desk", "e-feed"}) {
        BOOST_TEST(count(selected, prefix) == 4U);
    }
    BOOST_TEST(selected.size() == 38U + 4U * 2U * 4U);
}

BOOST_AUTO_TEST_CASE(smallFleet_allPeers_areSelected)
{
    for (const auto *dataCentre : {"a", "b", "c"}) {
        addHosts(dataCentre, "desk", 3);
        addHosts(dataCentre, "feed", 1);
    }
    BOOST_TEST(select(candidates.front()).size() == candidates.size() - 1);
}

BOOST_AUTO_TEST_CASE(hostLeaves_otherLinks_stay)
{
    addFleet();
    const auto own = candidates.front();
    const auto before = select(own);
    candidates.pop_back();
    const auto after = select(own);
    const auto kept = std::count_if(before.begin(), before.end(), [&](const auto &host) { return std::find(after.begin(), after.end(), host) != after.end(); });
    BOOST_TEST(kept >= static_cast<std::ptrdiff_t>(before.size()) - 1);
}

/// The design size: 2,800 hosts of 340 services in 8 data centres.
BOOST_AUTO_TEST_CASE(manyServices_usedOnes_comeFirstAndTheTotalIsBounded)
{
    for (int service = 0; service < 340; ++service) {
        for (const auto *dataCentre : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
            addHosts(dataCentre, "s" + std::to_string(service) + "x", 1);
        }
    }
    const auto selected = select(candidates.front(), {"s7x", "s200x"});
    BOOST_TEST(selected.size() == 128U);
    for (const auto *host : {"b-s7x-0", "h-s7x-0", "a-s200x-0", "g-s200x-0"}) {
        BOOST_TEST((std::find(selected.begin(), selected.begin() + 16, host) != selected.begin() + 16), host);
    }
}

BOOST_AUTO_TEST_CASE(ownHost_isNeverSelected)
{
    addFleet();
    const auto selected = select(candidates[3]);
    BOOST_TEST((std::find(selected.begin(), selected.end(), candidates[3].host) == selected.end()));
}

BOOST_AUTO_TEST_SUITE_END()
