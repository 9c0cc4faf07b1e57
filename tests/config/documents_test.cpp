#include "config/checkfiles.h"
#include "config/documents.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Fescuenotch;

namespace {

const std::string validProfile = R"({"spread":"bytes","routes":[{"path_prefix":"/slots","methods":["GET"],"service":"bookdesk","rule":"read"},)"
                                 R"({"path_prefix":"/slots","methods":["POST"],"service":"bookdesk","rule":"confirm"}],)"
                                 R"("rules":{"read":{"idempotent":true,"timeout_ms":800,"max_attempts":3,"class":"lookup"},)"
                                 R"("confirm":{"idempotent":false,"timeout_ms":3000,"max_attempts":2,"class":"write"}}})";
const std::string validService = R"({"profile":"desk","targets":[{"host":"127.1.0.11","data_centre":"lk-south-1","address":"127.1.0.11:9000",)"
                                 R"("slots":20,"connections":130}]})";
const std::string validPage = R"({"epoch":1,"revision":42,"complete":true,"more":false,"changes":[{"key":"profile/desk","revision":42,"value":{"a":[1,2.50,)"
                              R"("x"],"a":null}},{"key":"service/old","revision":40,"value":null}]})";
const std::string validHostList = R"({"revision":7,"hosts":[{"host":"127.1.0.11","data_centre":"lk-south-1","service":"bookdesk",)"
                                  R"("peer":"127.1.0.11:7400","state":"leaving"}]})";

struct DocumentFixture {
    /// `text` with the first occurrence of `part` replaced.
    static std::string replaced(std::string text, const std::string &part, const std::string &by)
    {
        const auto at = text.find(part);
        BOOST_REQUIRE(at != std::string::npos);
        return text.replace(at, part.size(), by);
    }

    template<typename Parse>
    static std::string errorOf(Parse parse, const std::string &text)
    {
        const auto result = valueOrError([&] { return parse(text); });
        BOOST_REQUIRE_EQUAL(result.index(), 1U);
        BOOST_TEST(!std::get<1>(result).remedy.empty());
        return describe(std::get<1>(result));
    }

    template<typename Parse>
    static auto parsed(Parse parse, const std::string &text)
    {
        const auto result = valueOrError([&] { return parse(text); });
        BOOST_REQUIRE_EQUAL(result.index(), 0U);
        return std::get<0>(result);
    }

    /// Expects that parsing `text` fails with an error at the JSON pointer.
    template<typename Parse>
    static void expectError(Parse parse, const std::string &text, const std::string &pointer)
    {
        const std::string found = errorOf(parse, text);
        BOOST_TEST(found.rfind(pointer + ": ", 0) == 0U, "expected " << pointer << ", found " << found);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Documents, DocumentFixture)

BOOST_AUTO_TEST_CASE(profile_valid_isParsedCompletely)
{
    const auto profile = parsed(parseProfile, validProfile);
    BOOST_TEST((profile.spread == SpreadMode::Bytes));
    BOOST_REQUIRE_EQUAL(profile.routes.size(), 2U);
    BOOST_TEST(profile.routes[1].methods == std::vector<std::string>{"POST"});
    BOOST_TEST(profile.rules.at("read").timeout.count() == 800);
    BOOST_TEST((profile.rules.at("confirm").requestClass == RequestClass::Write));
    BOOST_TEST(!profile.rules.at("confirm").idempotent);
}

BOOST_AUTO_TEST_CASE(profile_eachError_hasItsPointer)
{
    const std::vector<std::array<std::string, 3>> cases{
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
    for (const auto &[part, by, pointer] : cases) {
        expectError(parseProfile, replaced(validProfile, part, by), pointer);
    }
}

BOOST_AUTO_TEST_CASE(service_eachError_hasItsPointer)
{
    const std::string target = validService.substr(validService.find("[{") + 1, validService.find("}]") - validService.find("[{"));
    const std::vector<std::array<std::string, 3>> cases{
        {"\"slots\":20", "\"slots\":0", "/targets/0/slots"},
        {"\"slots\":20", "\"slots\":-1", "/targets/0/slots"},
        {"\"slots\":20,", "", "/targets/0/slots"},
        {"130", "10001", "/targets/0/connections"},
        {"127.1.0.11:9000", "127.1.0.11:0", "/targets/0/address"},
        {"\"127.1.0.11\"", "\"desk.example\"", "/targets/0/host"},
        {target, target + "," + target, "/targets/1"},
        {"\"desk\"", "\"\"", "/profile"},
    };
    BOOST_TEST(parsed(parseService, validService).targets[0].connections == 130U);
    for (const auto &[part, by, pointer] : cases) {
        expectError(parseService, replaced(validService, part, by), pointer);
    }
}

BOOST_AUTO_TEST_CASE(documents_tooLargeOrTooDeepOrInvalidJson_areRejected)
{
    expectError(parseProfile, std::string(1'048'577, ' '), "/");
    expectError(parseProfile, validProfile.substr(0, 40), "/routes/0");
    expectError(parseProfile, "", "/");
    expectError(parseProfile, "[]", "/");
    BOOST_TEST(errorOf(parseProfile, "{\"rules\":" + std::string(100'000, '[')).find("nested too deep") != std::string::npos);
    std::string many = "{\"routes\":[],\"rules\":{";
    for (int n = 0; n <= 1'000; ++n) {
        many += (n == 0 ? "\"r" : ",\"r") + std::to_string(n) + "\":{}";
    }
    expectError(parseProfile, many + "}}", "/rules");
}

BOOST_AUTO_TEST_CASE(page_withInvalidDocument_keepsItsJsonText)
{
    const auto page = parsed(parseConfigPage, validPage);
    BOOST_REQUIRE_EQUAL(page.changes.size(), 2U);
    BOOST_TEST(*page.changes[0].value == R"({"a":[1,2.50,"x"],"a":null})");
    BOOST_TEST((page.changes[0].version == Version{1, 42}));
    BOOST_TEST(!page.changes[1].value);
    BOOST_TEST(page.complete);
}

BOOST_AUTO_TEST_CASE(page_eachError_hasItsPointer)
{
    expectError(parseConfigPage, replaced(validPage, "\"revision\":40", "\"revision\":43"), "/changes/1/revision");
    expectError(parseConfigPage, replaced(validPage, ",\"value\":null", ""), "/changes/1/value");
    expectError(parseConfigPage, replaced(validPage, "service/old", "profile/desk"), "/changes/1");
    expectError(parseConfigPage, replaced(validPage, "\"epoch\":1", "\"epoch\":-1"), "/epoch");
}

BOOST_AUTO_TEST_CASE(page_withOversizedValue_isParsedAndValueIsTruncated)
{
    const auto page = parsed(parseConfigPage, replaced(validPage, "\"x\"", "\"" + std::string(2'000'000, 'y') + "\""));
    BOOST_TEST(page.changes[0].value->size() == 1'048'577U);
    expectError(parseProfile, *page.changes[0].value, "/");
}

BOOST_AUTO_TEST_CASE(hostList_validAndInvalidState_areDistinguished)
{
    const auto list = parsed(parseHostList, validHostList);
    BOOST_TEST((list.hosts.at(0).state == HostState::Leaving));
    BOOST_TEST(toString(list.hosts.at(0).peer) == "127.1.0.11:7400");
    expectError(parseHostList, replaced(validHostList, "leaving", "gone"), "/hosts/0/state");
}

BOOST_AUTO_TEST_CASE(documents_mutated_giveErrorOrValue)
{
    std::mt19937_64 random(20'240'601);
    const std::vector<std::string> seeds{validProfile, validService, validPage, validHostList};
    std::size_t rejected = 0;
    const auto count = [&](auto parse, const std::string &text) { rejected += valueOrError([&] { return parse(text); }).index(); };
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
    BOOST_TEST(rejected > 60'000U); // each text is given to four parsers, three of which expect a different kind of document
}

BOOST_AUTO_TEST_CASE(checkFiles_validFiles_giveNoError)
{
    const auto errors = checkFiles({{"a", "{\"profile/desk\":" + validProfile + "}"}, {"b", "{\"service/bookdesk\":" + validService + "}"}});
    BOOST_TEST(errors.empty());
}

BOOST_AUTO_TEST_CASE(checkFiles_errors_nameFileAndPointer)
{
    const auto errors = checkFiles({{"a", "{\"profile/desk\":" + validProfile + ",\"colour\":1,\"service/x\":null}"},
                                    {"b", "{\"service/y\":" + replaced(validService, "20", "0") + ",\"service/x\":null}"},
                                    {"c", "[]"}});
    std::vector<std::string> lines;
    lines.reserve(errors.size());
    for (const auto &error : errors) {
        lines.push_back(error.file + ": " + error.text.substr(0, error.text.find(": ")));
    }
    const std::vector<std::string> expected{
        "a: /colour", "b: /service~1x", "b: /service~1y/targets/0/slots", "c: /", "a: /profile~1desk/routes/0/service", "a: /profile~1desk/routes/1/service"};
    BOOST_TEST(lines == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
