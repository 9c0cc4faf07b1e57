#include "config/checkfiles.h"
#include "config/documents.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Fescuenotch;

namespace {

const std::string goodProfile = R"({"spread":"bytes","routes":[{"path_prefix":"/slots","methods":["GET"],"service":"bookdesk","rule":"read"},)"
                                R"({"path_prefix":"/slots","methods":["POST"],"service":"bookdesk","rule":"confirm"}],)"
                                R"("rules":{"read":{"idempotent":true,"timeout_ms":800,"max_attempts":3,"class":"lookup"},)"
                                R"("confirm":{"idempotent":false,"timeout_ms":3000,"max_attempts":2,"class":"write"}}})";
const std::string goodService = R"({"profile":"desk","targets":[{"host":"127.1.0.11","data_centre":"lk-south-1","address":"127.1.0.11:9000",)"
                                R"("slots":20,"connections":130}]})";
const std::string goodPage = R"({"epoch":1,"revision":42,"complete":true,"more":false,"changes":[{"key":"profile/desk","revision":42,"value":{"a":[1,2.50,)"
                             R"("x"],"a":null}},{"key":"service/old","revision":40,"value":null}]})";
const std::string goodHosts = R"({"revision":7,"hosts":[{"host":"127.1.0.11","data_centre":"lk-south-1","service":"bookdesk",)"
                              R"("peer":"127.1.0.11:7400","state":"leaving"}]})";

struct DocumentFixture {
    /// goodProfile with one part replaced.
    static std::string changed(std::string text, const std::string &part, const std::string &by)
    {
        const auto at = text.find(part);
        BOOST_REQUIRE(at != std::string::npos);
        return text.replace(at, part.size(), by);
    }

    template<typename Parse>
    static std::string fault(Parse parse, const std::string &text)
    {
        const auto result = valueOrError([&] { return parse(text); });
        BOOST_REQUIRE_EQUAL(result.index(), 1U);
        BOOST_TEST(!std::get<1>(result).remedy.empty());
        return describe(std::get<1>(result));
    }

    template<typename Parse>
    static auto good(Parse parse, const std::string &text)
    {
        const auto result = valueOrError([&] { return parse(text); });
        BOOST_REQUIRE_EQUAL(result.index(), 0U);
        return std::get<0>(result);
    }

    /// The fault of a text starts with the pointer.
    template<typename Parse>
    static void expectFault(Parse parse, const std::string &text, const std::string &pointer)
    {
        const std::string found = fault(parse, text);
        BOOST_TEST(found.rfind(pointer + ": ", 0) == 0U, "expected " << pointer << ", found " << found);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Documents, DocumentFixture)

BOOST_AUTO_TEST_CASE(profile_good_isReadWhole)
{
    const auto profile = good(parseProfile, goodProfile);
    BOOST_TEST((profile.spread == SpreadMode::Bytes));
    BOOST_REQUIRE_EQUAL(profile.routes.size(), 2U);
    BOOST_TEST(profile.routes[1].methods == std::vector<std::string>{"POST"});
    BOOST_TEST(profile.rules.at("read").timeout.count() == 800);
    BOOST_TEST((profile.rules.at("confirm").requestClass == RequestClass::Write));
    BOOST_TEST(!profile.rules.at("confirm").idempotent);
}

BOOST_AUTO_TEST_CASE(profile_eachFault_namesItsPointer)
{
    const std::vector<std::array<std::string, 3>> faults{
        {"\"spread\"", "\"colour\":1,\"spread\"", "/colour"},
        {"\"bytes\"", "\"quick\"", "/spread"},
        {"\"/slots\",\"methods\":[\"GET\"]", "\"slots\",\"methods\":[\"GET\"]", "/routes/0/path_prefix"},
        {"\"/slots\",\"methods\":[\"GET\"]", "\"/sl ots\"", "/routes/0/path_prefix"},
        {"[\"GET\"]", "[\"FETCH\"]", "/routes/0/methods/0"},
        {"[\"GET\"]", "[\"GET\",\"GET\"]", "/routes/0/methods/1"},
        {"[\"GET\"]", "[]", "/routes/1"},
        {"\"rule\":\"read\"", "\"rule\":\"reed\"", "/routes/0/rule"},
        {"\"service\":\"bookdesk\",\"rule\":\"read\"", "\"rule\":\"read\"", "/routes/0/service"},
        {"\"bookdesk\"", "\"book/desk\"", "/routes/0/service"},
        {"800", "0", "/rules/read/timeout_ms"},
        {"800", "600001", "/rules/read/timeout_ms"},
        {"800", "1e3", "/rules/read/timeout_ms"},
        {"\"max_attempts\":3", "\"max_attempts\":11", "/rules/read/max_attempts"},
        {"\"lookup\"", "7", "/rules/read/class"},
        {"\"idempotent\":true", "\"idempotent\":\"yes\"", "/rules/read/idempotent"},
        {"\"idempotent\":true", "\"idempotent\":true,\"idempotent\":false", "/rules/read/idempotent"},
        {"\"confirm\":{", "\"con/firm\":{", "/rules/con~1firm"},
        {"\"rules\"", "\"roles\"", "/roles"},
    };
    for (const auto &[part, by, pointer] : faults) {
        expectFault(parseProfile, changed(goodProfile, part, by), pointer);
    }
}

BOOST_AUTO_TEST_CASE(service_eachFault_namesItsPointer)
{
    const std::string target = goodService.substr(goodService.find("[{") + 1, goodService.find("}]") - goodService.find("[{"));
    const std::vector<std::array<std::string, 3>> faults{
        {"\"slots\":20", "\"slots\":0", "/targets/0/slots"},
        {"\"slots\":20", "\"slots\":-1", "/targets/0/slots"},
        {"\"slots\":20,", "", "/targets/0/slots"},
        {"130", "10001", "/targets/0/connections"},
        {"127.1.0.11:9000", "127.1.0.11:0", "/targets/0/address"},
        {"\"127.1.0.11\"", "\"desk.example\"", "/targets/0/host"},
        {target, target + "," + target, "/targets/1"},
        {"\"desk\"", "\"\"", "/profile"},
    };
    BOOST_TEST(good(parseService, goodService).targets[0].connections == 130U);
    for (const auto &[part, by, pointer] : faults) {
        expectFault(parseService, changed(goodService, part, by), pointer);
    }
}

BOOST_AUTO_TEST_CASE(documents_tooLargeOrDeepOrNoJson_areRefused)
{
    expectFault(parseProfile, std::string(1'048'577, ' '), "/");
    expectFault(parseProfile, goodProfile.substr(0, 40), "/routes/0");
    expectFault(parseProfile, "", "/");
    expectFault(parseProfile, "[]", "/");
    BOOST_TEST(fault(parseProfile, "{\"rules\":" + std::string(100'000, '[')).find("nested too deep") != std::string::npos);
    std::string many = "{\"routes\":[],\"rules\":{";
    for (int n = 0; n <= 1'000; ++n) {
        many += (n == 0 ? "\"r" : ",\"r") + std::to_string(n) + "\":{}";
    }
    expectFault(parseProfile, many + "}}", "/rules");
}

BOOST_AUTO_TEST_CASE(page_withBrokenDocument_isReadAndKeepsItsText)
{
    const auto page = good(parseConfigPage, goodPage);
    BOOST_REQUIRE_EQUAL(page.changes.size(), 2U);
    BOOST_TEST(*page.changes[0].value == R"({"a":[1,2.50,"x"],"a":null})");
    BOOST_TEST((page.changes[0].version == Version{1, 42}));
    BOOST_TEST(!page.changes[1].value);
    BOOST_TEST(page.complete);
}

BOOST_AUTO_TEST_CASE(page_eachFault_namesItsPointer)
{
    expectFault(parseConfigPage, changed(goodPage, "\"revision\":40", "\"revision\":43"), "/changes/1/revision");
    expectFault(parseConfigPage, changed(goodPage, ",\"value\":null", ""), "/changes/1/value");
    expectFault(parseConfigPage, changed(goodPage, "service/old", "profile/desk"), "/changes/1");
    expectFault(parseConfigPage, changed(goodPage, "\"epoch\":1", "\"epoch\":-1"), "/epoch");
}

BOOST_AUTO_TEST_CASE(page_withOversizedValue_isReadAndThatValueIsCut)
{
    const auto page = good(parseConfigPage, changed(goodPage, "\"x\"", "\"" + std::string(2'000'000, 'y') + "\""));
    BOOST_TEST(page.changes[0].value->size() == 1'048'577U);
    expectFault(parseProfile, *page.changes[0].value, "/");
}

BOOST_AUTO_TEST_CASE(hosts_goodAndBad_areToldApart)
{
    const auto list = good(parseHostList, goodHosts);
    BOOST_TEST((list.hosts.at(0).state == HostState::Leaving));
    BOOST_TEST(toString(list.hosts.at(0).peer) == "127.1.0.11:7400");
    expectFault(parseHostList, changed(goodHosts, "leaving", "gone"), "/hosts/0/state");
}

BOOST_AUTO_TEST_CASE(mutatedDocuments_anySeed_giveErrorOrValue)
{
    std::mt19937_64 random(20'240'601);
    const std::vector<std::string> seeds{goodProfile, goodService, goodPage, goodHosts};
    std::size_t refused = 0;
    const auto count = [&](auto parse, const std::string &text) { refused += valueOrError([&] { return parse(text); }).index(); };
    for (int round = 0; round < 20'000; ++round) {
        std::string text = seeds[random() % seeds.size()];
        for (std::uint64_t n = 1 + random() % 4; n > 0; --n) {
            const auto at = random() % text.size();
            const auto from = random() % text.size();
            switch (random() % 4) {
            case 0:
                text[at] = static_cast<char>(random());
                break;
            case 1:
                text.erase(at, 1 + random() % 8);
                break;
            case 2:
                text.insert(at, text.substr(from, random() % 24));
                break;
            default:
                text[at] = "{}[]\":,0-e\\"[random() % 11];
            }
            text += text.empty() ? "{" : "";
        }
        count(parseProfile, text);
        count(parseService, text);
        count(parseConfigPage, text);
        count(parseHostList, text);
    }
    BOOST_TEST(refused > 60'000U); // three of four parsers are given another's document
}

BOOST_AUTO_TEST_CASE(check_goodFiles_haveNoFault)
{
    const auto faults = checkFiles({{"a", "{\"profile/desk\":" + goodProfile + "}"}, {"b", "{\"service/bookdesk\":" + goodService + "}"}});
    BOOST_TEST(faults.empty());
}

BOOST_AUTO_TEST_CASE(check_faults_nameFilePointerAndRemedy)
{
    const auto faults = checkFiles({{"a", "{\"profile/desk\":" + goodProfile + ",\"colour\":1,\"service/x\":null}"},
                                    {"b", "{\"service/y\":" + changed(goodService, "20", "0") + ",\"service/x\":null}"},
                                    {"c", "[]"}});
    std::vector<std::string> lines;
    lines.reserve(faults.size());
    for (const auto &fault : faults) {
        lines.push_back(fault.file + ": " + fault.text.substr(0, fault.text.find(": ")));
    }
    const std::vector<std::string> expected{
        "a: /colour", "b: /service~1x", "b: /service~1y/targets/0/slots", "c: /", "a: /profile~1desk/routes/0/service", "a: /profile~1desk/routes/1/service"};
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
