// Sections: [durations and bytes] [store] [configuration] [targets] [settings]
#include "platform/documents.h"
#include "platform/fields.h"
#include "platform/settings.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;
namespace P = Fescuenotch::Platform;

namespace {

constexpr const char *Configuration = R"({"version":"0000000c","routes":[
 {"name":"a","host":"Desk.example","prefix":"/a/","route_type":"non_idempotent","timeout":"1200ms","latency_goal":"0.6s","priority":1,"service":"desk","max_attempts":2,"later":1},
 {"name":"b","host":"desk.example","prefix":"/b/","route_type":"idempotent","timeout":"1s","traffic_split":[{"service":"desk","weight":90},{"service":"feed","weight":10}],"max_attempts":2}],
 "services":[{"name":"desk","health_path":"/health","max_connections":130,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":18.0},{"name":"feed"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";

constexpr const char *Entry
    = R"({"service":"desk","address":"10.1.0.9:8080","zone":"one","version":"v1","max_concurrency":18,"state":"ready","cold_remaining":"1.5s","sequence":4,"born":1700000000000})";

constexpr const char *Settings = R"({"node_name":"n-1","ip":"10.1.0.35","zone":"one","region":"r","zones":{"one":"r"},"service":"desk",
 "listen_addrs":{"inbound":"10.1.0.35:8145","outbound":"10.1.0.35:8141","readiness_addr":"10.1.0.35:8140"},"app_addr":"10.1.0.35:8147","seeds":[],
 "heartbeat":"870ms","bounds":{"drain":"2500ms","grace":"6s","retry_budget_ratio":0.2,"retry_budget_slack":"192","evacuate":"5000ms","cold_slack":8},
 "limits":{"cpu_share":0.1,"link_mbps":6.0,"memory_mb":260,"max_fds":4100},"platform":{"address":"10.200.1.7:8142","reads_per_s":2000},"new_field":{}})";

template<typename F>
auto valueOf(F &&f)
{
    auto result = valueOrError(std::forward<F>(f));
    if (const auto *error = std::get_if<Error>(&result)) {
        throw std::runtime_error(describe(*error));
    }
    return std::get<0>(std::move(result));
}

std::string replaced(std::string text, const std::string &part, const std::string &by = "")
{
    const auto at = text.find(part);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, part.size(), by);
}

bool isEntryRejected(const std::string &text)
{
    return valueOrError([&] { return P::decodeTarget("i-1", text); }).index() == 1;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformDocumentsTest)

// ---- [durations and bytes] --------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(parseDuration_secondsAndMilliseconds_areParsed)
{
    BOOST_TEST((valueOf([] { return P::parseDuration("1500ms"); }) == milliseconds(1'500)));
    BOOST_TEST((valueOf([] { return P::parseDuration("2.5s"); }) == milliseconds(2'500)));
    for (const auto *invalid : {"", "5", "5m", "-1s", "s", "1e99s", "nans", "nanms", "infs"}) {
        BOOST_TEST((valueOrError([&] { return P::parseDuration(invalid); }).index() == 1U));
    }
}

BOOST_AUTO_TEST_CASE(parseVersion_notEightHexDigits_isRejected)
{
    BOOST_TEST(valueOf([] { return P::parseVersion("0000001f"); }) == 31U);
    for (const auto *invalid : {"", "1f", "0000001g", "000000001f"}) {
        BOOST_TEST((valueOrError([&] { return P::parseVersion(invalid); }).index() == 1U));
    }
}

BOOST_AUTO_TEST_CASE(decodeBase64_anyPadding_isDecoded)
{
    BOOST_TEST(valueOf([] { return P::decodeBase64("bm9kZS0x"); }) == "node-1");
    BOOST_TEST(valueOf([] { return P::decodeBase64("YQ=="); }) == "a");
    BOOST_TEST(valueOf([] { return P::decodeBase64(""); }).empty());
    BOOST_TEST((valueOrError([] { return P::decodeBase64("YQ"); }).index() == 1U));
    BOOST_TEST((valueOrError([] { return P::decodeBase64("!!!!"); }).index() == 1U));
}

// ---- [store] ----------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(storeRequestTarget_eachKind_returnsPathAndQuery)
{
    BOOST_TEST(P::storeRequestTarget({StoreQuery::Kind::Configuration, "", 0, milliseconds(0)}) == "/kv-key?key=op/config");
    BOOST_TEST(P::storeRequestTarget({StoreQuery::Kind::Targets, "", 0, milliseconds(0)}) == "/kv-range?prefix=servers/");
    BOOST_TEST(P::storeRequestTarget({StoreQuery::Kind::Targets, "servers/i-1", 0, milliseconds(0)}) == "/kv-range?prefix=servers/&after=servers/i-1");
    BOOST_TEST(P::storeRequestTarget({StoreQuery::Kind::Targets, "", 0, milliseconds(0), true}) == "/kv-range?prefix=servers/&allow_stale=1");
    BOOST_TEST(P::storeRequestTarget({StoreQuery::Kind::OperatorItems, "", 0, milliseconds(0)}) == "/kv-range?prefix=op/");
    BOOST_TEST(P::storeRequestTarget({StoreQuery::Kind::OperatorItems, "op/evacuate/a b&c%", 0, milliseconds(0)})
               == "/kv-range?prefix=op/&after=op/evacuate/a%20b%26c%25");
    BOOST_TEST(P::storeRequestTarget({StoreQuery::Kind::Watch, "", 411, seconds(2)}) == "/kv-watch?prefix=&after=411&wait_ms=2000");
}

/// Only the key of an evacuation counts. Guards against a value that makes a whole response unreadable.
BOOST_AUTO_TEST_CASE(decodeResponse_operatorItems_returnsConfigurationAndEvacuationsWhateverTheirValue)
{
    const StoreQuery query{StoreQuery::Kind::OperatorItems, "", 0, milliseconds(0)};
    const auto response = valueOf([&] {
        return P::decodeResponse(query,
                                 R"({"items":[{"key":"op/config","value":"YQ==","revision":4},{"key":"op/evacuate/","value":"e30=","revision":5},
                                  {"key":"op/evacuate/one","value":"!!!","revision":6},{"key":"op/evacuate/two","revision":7},
                                  {"key":"op/evacuated","value":"e30=","revision":8}],"has_more":true,"as_of":9})");
    });
    BOOST_REQUIRE(response.items.size() == 5U);
    BOOST_TEST((response.items[0].kind == StoreItem::Kind::Configuration));
    BOOST_TEST((response.items[1].kind == StoreItem::Kind::Evacuation));
    BOOST_TEST(response.items[1].id.empty());
    BOOST_TEST(response.items[2].id == "one");
    BOOST_TEST(response.items[2].value.has_value());
    BOOST_TEST(response.items[3].id == "two");
    BOOST_TEST(response.items[3].value.has_value());
    BOOST_TEST((response.items[4].kind == StoreItem::Kind::Other));
    BOOST_TEST(response.more);
    BOOST_TEST(response.lastKey == "op/evacuated");
}

BOOST_AUTO_TEST_CASE(decodeResponse_watch_returnsItemsAndDeletions)
{
    const StoreQuery watch{StoreQuery::Kind::Watch, "", 1, seconds(1)};
    const auto response = valueOf([&] {
        return P::decodeResponse(
            watch,
            R"({"events":[{"key":"servers/i-1","value":"YQ==","revision":412,"lease":7},{"key":"servers/i-2","revision":413,"deleted":true},
                                  {"key":"op/config","value":"YQ==","revision":414},{"key":"other","value":"YQ==","revision":415}],"as_of":415})");
    });
    BOOST_REQUIRE(response.items.size() == 4U);
    BOOST_TEST((response.items[0].kind == StoreItem::Kind::Target));
    BOOST_TEST(response.items[0].id == "i-1");
    BOOST_TEST(response.items[0].value.value() == "a");
    BOOST_TEST(!response.items[1].value.has_value());
    BOOST_TEST((response.items[2].kind == StoreItem::Kind::Configuration));
    BOOST_TEST((response.items[3].kind == StoreItem::Kind::Other));
    BOOST_TEST(response.position.revision == 415U);
}

BOOST_AUTO_TEST_CASE(decodeStoreEra_headerMissingOrInvalid_isNoneOrRejected)
{
    BOOST_TEST((valueOf([] { return P::decodeStoreEra({{"store-era", "7"}}); }) == std::optional<std::uint64_t>(7)));
    BOOST_TEST((valueOf([] { return P::decodeStoreEra({{"Content-Type", "application/json"}}); }) == std::nullopt));
    for (const auto *invalid : {"", "-1", "two", "1.5", "3 ", "99999999999999999999"}) {
        BOOST_TEST((valueOrError([&] { return P::decodeStoreEra({{"Store-Era", invalid}}); }).index() == 1U));
    }
}

BOOST_AUTO_TEST_CASE(decodeResponse_itemWithInvalidBase64_otherItemsAreDecoded)
{
    const StoreQuery targets{StoreQuery::Kind::Targets, "", 0, milliseconds(0)};
    const auto response = valueOf([&] {
        return P::decodeResponse(
            targets,
            R"({"items":[{"key":"servers/bad","value":"###","revision":2},{"key":"servers/good","value":"YQ==","revision":3}],"has_more":true,"as_of":9})");
    });
    BOOST_TEST(response.items.size() == 2U);
    BOOST_TEST(response.more);
    BOOST_TEST(response.lastKey == "servers/good");
}

BOOST_AUTO_TEST_CASE(decodeResponse_invalidJson_isRejected)
{
    BOOST_TEST((valueOrError([] { return P::decodeResponse({}, "<html>"); }).index() == 1U));
}

// ---- [configuration] --------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(decodeConfiguration_valid_returnsAllFields)
{
    const auto c = valueOf([] { return P::decodeConfiguration(Configuration); });
    BOOST_TEST(c.version == 12U);
    BOOST_REQUIRE(c.routes.size() == 2U);
    BOOST_TEST(c.routes[0].host == "desk.example");
    BOOST_TEST((c.routes[0].kind == RouteKind::NotIdempotent));
    BOOST_TEST((c.routes[0].latencyGoal == milliseconds(600)));
    BOOST_TEST(c.routes[0].priority == 1U);
    BOOST_TEST((c.routes[1].latencyGoal == milliseconds(1'000)));
    BOOST_TEST(c.routes[1].parts.size() == 2U);
    BOOST_TEST(c.services[0].maxConnections == 130U);
    BOOST_TEST((c.services[0].coldStart == seconds(3)));
    BOOST_TEST(c.services[0].coldRequestRate == 18.0);
    BOOST_TEST(c.services[1].coldRequestRate == 0.0);
    BOOST_TEST(c.callerLimits.maxHeadBytes == 16'384U);
    BOOST_TEST((c.callerLimits.idleTimeout == milliseconds(15'000)));
}

BOOST_AUTO_TEST_CASE(decodeConfiguration_fieldMissingOrInvalid_isRejected)
{
    const std::string valid = Configuration;
    for (const auto *part : {"\"version\":\"0000000c\",", "\"host\":\"Desk.example\",", "\"timeout\":\"1200ms\",", "\"name\":\"a\","}) {
        BOOST_TEST((valueOrError([&] { return P::decodeConfiguration(replaced(valid, part)); }).index() == 1U));
    }
    BOOST_TEST((valueOrError([&] { return P::decodeConfiguration(replaced(valid, "non_idempotent", "sometimes")); }).index() == 1U));
    BOOST_TEST((valueOrError([&] { return P::decodeConfiguration(replaced(valid, "18.0", "-1")); }).index() == 1U));
    BOOST_TEST((valueOrError([&] { return P::decodeConfiguration(valid.substr(0, valid.size() / 2)); }).index() == 1U));
}

// ---- [targets] --------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(decodeTarget_valid_returnsAllFields)
{
    const auto t = valueOf([] { return P::decodeTarget("i-1", Entry); });
    BOOST_TEST(t.id == "i-1");
    BOOST_TEST(toString(t.address) == "10.1.0.9:8080");
    BOOST_TEST(t.slots == 18U);
    BOOST_TEST((t.coldRemaining == milliseconds(1'500)));
    BOOST_TEST(t.startedAtMs == 1'700'000'000'000);
    BOOST_TEST(t.sequence == 4U);
}

BOOST_AUTO_TEST_CASE(decodeTarget_fieldMissingOrInvalid_isRejected)
{
    const std::string valid = Entry;
    for (const auto *part : {"\"service\":\"desk\",",
                             "\"address\":\"10.1.0.9:8080\",",
                             "\"zone\":\"one\",",
                             "\"max_concurrency\":18,",
                             "\"state\":\"ready\",",
                             "\"sequence\":4,"}) {
        BOOST_TEST(isEntryRejected(replaced(valid, part)));
    }
    BOOST_TEST(isEntryRejected(replaced(valid, "\"ready\"", "\"resting\"")));
    BOOST_TEST(isEntryRejected(replaced(valid, "18", "\"18\"")));
    BOOST_TEST(isEntryRejected(replaced(valid, "18", "0")));
    BOOST_TEST(isEntryRejected(replaced(valid, "1700000000000", "1700000000000.5")));
    BOOST_TEST(isEntryRejected("\xff\xfe"));
    BOOST_TEST(isEntryRejected(""));
}

// ---- [settings] -------------------------------------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(parseSettings_unknownFields_areIgnored)
{
    const auto s = valueOf([] { return P::parseSettings(Settings); });
    BOOST_TEST(toString(s.peerListen) == "10.1.0.35:8145");
    BOOST_TEST(toString(s.targetAddress) == "10.1.0.35:8147");
    BOOST_TEST((s.drainLimit == milliseconds(2'500)));
    BOOST_TEST((s.stopLimit == milliseconds(6'000)));
    BOOST_TEST((s.heartbeat == milliseconds(870)));
    BOOST_TEST(s.retryShare == 0.2);
    BOOST_TEST(s.retrySlack == 192);
    BOOST_TEST(s.linkMbps == 6.0);
    BOOST_TEST(s.memoryBytes == 260U * 1'024 * 1'024);
    BOOST_TEST(s.maxDescriptors == 4'100U);
    BOOST_TEST((s.evacuationLimit == std::optional<milliseconds>(5'000)));
    BOOST_TEST(s.coldOverrun == 1.5);
    BOOST_TEST(s.coldSlack == 8);
    BOOST_TEST(!s.seedListen.has_value());
}

/// Guards against new calls to the store in deployments that do not use evacuations.
BOOST_AUTO_TEST_CASE(parseSettings_withoutEvacuationBound_evacuationsAreOff)
{
    const auto s = valueOf([] { return P::parseSettings(replaced(Settings, "\"evacuate\":\"5000ms\",")); });
    BOOST_TEST(!s.evacuationLimit.has_value());
}

BOOST_AUTO_TEST_CASE(parseSettings_fieldMissing_errorNamesIt)
{
    const auto result = valueOrError([] { return P::parseSettings(replaced(Settings, "\"app_addr\":\"10.1.0.35:8147\",")); });
    BOOST_REQUIRE(result.index() == 1U);
    BOOST_TEST(std::get<1>(result).what.find("app_addr") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
