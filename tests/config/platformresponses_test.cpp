#include "config/documents.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

BOOST_AUTO_TEST_SUITE(PlatformResponses)

BOOST_AUTO_TEST_CASE(page_severalChanges_eachValueKeepsItsJsonText)
{
    const std::string json = R"({"epoch":1,"revision":3,"changes":[)"
                             R"({"key":"service/a","revision":1,"value":{"profile":"p","targets":[]}},)"
                             R"({"key":"service/b","revision":2,"value":{"profile":"p","targets":[]}},)"
                             R"({"key":"service/c","revision":3,"value":null}]})";
    const auto page = valueOrError([&] { return parseConfigPage(json); });
    BOOST_REQUIRE_EQUAL(page.index(), 0U);
    const auto &changes = std::get<0>(page).changes;
    BOOST_REQUIRE_EQUAL(changes.size(), 3U);
    BOOST_TEST(*changes[0].value == R"({"profile":"p","targets":[]})");
    BOOST_TEST(*changes[1].value == R"({"profile":"p","targets":[]})");
    BOOST_TEST(!changes[2].value.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
