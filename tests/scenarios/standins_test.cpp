// The stand-ins keep the protocols that the scenarios rely on.
#include "standins/archive.h"
#include "standins/httpclient.h"
#include "standins/link.h"
#include "standins/platform.h"
#include "standins/target.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <thread>

using namespace Fescuenotch;
using namespace Fescuenotch::Standins;

namespace {

const std::string baseIp = "127.24.249.1";

ServerCall get(const std::string &path, const std::map<std::string, std::string> &query = {})
{
    ServerCall call;
    call.method = "GET";
    call.path = path;
    call.query = query;
    call.callerLeft = [] { return false; };
    return call;
}

struct PlatformFixture {
    PlatformSettings settings{5, 40};
    Platform platform{settings};
    nlohmann::json config(std::uint64_t after, unsigned waitMs = 0)
    {
        const auto reply = platform.answer(get("/v1/config", {{"after", std::to_string(after)}, {"wait_ms", std::to_string(waitMs)}}));
        return reply.status == 200 ? nlohmann::json::parse(reply.body) : nlohmann::json(reply.status);
    }
    void fault(const nlohmann::json &json)
    {
        ServerCall call = get("/fault");
        call.method = "POST";
        call.body = json.dump();
        BOOST_TEST(platform.operate(call).status == 200U);
    }
};

struct TargetFixture {
    Target target{TargetSettings{}};
    HttpServer server{{{baseIp, 9000}}, [this](const ServerCall &call) { return target.answer(call); }};
    HttpClient client;
    TargetFixture()
    {
        target.onRefuse = [](bool) {};
        BOOST_TEST(!errorOf([this] { return server.start(); }));
    }
    void fault(const nlohmann::json &json)
    {
        ServerCall call = get("/fault");
        call.method = "POST";
        call.body = json.dump();
        target.operate(call);
    }
    ClientReply ask(const std::string &path, const Headers &headers = {}, milliseconds timeout = milliseconds(3'000))
    {
        ClientCall call;
        call.url = "http://" + baseIp + ":9000" + path;
        call.headers = headers;
        call.timeout = timeout;
        return client.run(call);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformStandIn, PlatformFixture)

BOOST_AUTO_TEST_CASE(watch_aNewRevision_endsIt)
{
    platform.publish("profile/a", {{"x", 1}});
    std::thread later([this] {
        std::this_thread::sleep_for(milliseconds(30));
        platform.publish("profile/a", nullptr);
    });
    const auto start = Clock::now();
    const auto answer = config(1, 5'000);
    later.join();
    BOOST_TEST(bool(Clock::now() - start < seconds(2)));
    BOOST_TEST(answer["changes"][0]["value"].is_null());
    BOOST_TEST(!answer["complete"].get<bool>());
}

BOOST_AUTO_TEST_CASE(everything_overTheSizeOfAPage_comesInPages)
{
    for (const auto *key : {"a", "b", "c"}) {
        platform.publish(key, std::string(30, 'x'));
    }
    const auto first = config(0);
    BOOST_TEST(first["complete"].get<bool>());
    BOOST_TEST(first["more"].get<bool>());
    BOOST_TEST(config(first["changes"].back()["revision"].get<std::uint64_t>())["changes"][0]["key"] == "b");
}

BOOST_AUTO_TEST_CASE(calls_overTheRate_get429)
{
    fault({{"rate", 0}});
    BOOST_TEST(config(0) == 429);
}

BOOST_AUTO_TEST_CASE(faults_outageStaleAndRestore_changeTheAnswers)
{
    platform.publish("a", 1);
    platform.publish("a", 2);
    fault({{"outage", true}});
    BOOST_TEST(config(0) == 503);
    fault({{"outage", false}, {"stale", 1}});
    BOOST_TEST(config(0)["changes"][0]["value"] == 1);
    BOOST_TEST(config(2)["complete"].get<bool>()); // a revision that it does not remember
    fault({{"restore", 1}});
    const auto restored = config(0);
    BOOST_TEST(restored["epoch"] == 2);
    BOOST_TEST(restored["revision"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TargetStandIn, TargetFixture)

BOOST_AUTO_TEST_CASE(archive_range_givesThatPiece)
{
    const auto reply = ask("/scan/archive/1000", {{"Range", "bytes=10-19"}, {"If-Range", "\"archive-1000\""}});
    std::array<char, 10> expected{};
    fillArchive(10, expected);
    BOOST_TEST(reply.status == 206U);
    BOOST_TEST(reply.body == std::string(expected.begin(), expected.end()));
    BOOST_TEST(reply.header("Content-Range") == "bytes 10-19/1000");
    BOOST_TEST(!archiveFault(10, reply.body));
    BOOST_TEST(*archiveFault(11, reply.body) == 11U);
}

BOOST_AUTO_TEST_CASE(answer_brokenMidway_isNotWhole)
{
    fault({{"break_midway", 1}});
    BOOST_TEST(!ask("/archive/100000").whole);
    BOOST_TEST(ask("/archive/100000").whole);
}

BOOST_AUTO_TEST_CASE(draining_newWork_isRefusedAsNotRun)
{
    fault({{"drain", true}});
    const auto reply = ask("/echo/a");
    BOOST_TEST(reply.status == 503U);
    BOOST_TEST(reply.header("Fescuenotch-Outcome") == "not-run");
    BOOST_TEST(reply.header("Fescuenotch-Draining") == "1");
}

BOOST_AUTO_TEST_CASE(silent_open_connectionsOfALink_staySilentWhileNewOnesWork)
{
    Link link({baseIp, 9500}, {baseIp, 9000});
    BOOST_TEST(!errorOf([&] { return link.start(); }));
    ClientCall call;
    call.url = "http://" + baseIp + ":9500/echo/token";
    call.timeout = milliseconds(300);
    BOOST_TEST(client.run(call).body == "token");
    link.silenceOpen();
    BOOST_TEST(!client.run(call).whole); // on the kept connection
    BOOST_TEST(HttpClient().run(call).body == "token");
    link.setFaults({true, false, milliseconds(0)});
    BOOST_TEST(!HttpClient().run(call).whole);
}

BOOST_AUTO_TEST_SUITE_END()
