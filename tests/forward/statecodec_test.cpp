#include "forward/statecodec.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

MeshRoute route(const std::string &name, milliseconds timeout = seconds(1))
{
    MeshRoute r;
    r.name = name;
    r.host = "desk";
    r.pathPrefix = "/" + name + "/";
    r.timeout = timeout;
    r.latencyGoal = milliseconds(300);
    r.kind = RouteKind::NotIdempotent;
    r.priority = 3;
    r.maxAttempts = 2;
    r.parts = {{"desk", 90}, {"feed", 10}};
    return r;
}

MeshConfiguration configuration(std::uint64_t version, std::size_t routes)
{
    MeshConfiguration c;
    c.version = version;
    for (std::size_t n = 0; n < routes; ++n) {
        c.routes.push_back(route("r" + std::to_string(1'000 + n)));
    }
    c.services = {{"desk", "/health", 130, seconds(3), 11.5}, {"feed", "", 0}};
    c.callerLimits.maxHeadBytes = 16'384;
    return c;
}

/// Encodes `sent` with the sender's `base` and decodes it with `receiverBase`.
std::variant<MeshConfiguration, Error> sendAndReceive(const MeshConfiguration &sent, const MeshConfiguration *base, const MeshConfiguration *receiverBase)
{
    const auto compressed = compress(serializeConfiguration(sent, base));
    return valueOrError([&] { return deserializeConfiguration(compressed.bytes, compressed.size, receiverBase); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(StateCodecTest)

BOOST_AUTO_TEST_CASE(configuration_sentWhole_isDecodedUnchanged)
{
    const auto sent = configuration(7, 50);
    BOOST_TEST((std::get<0>(sendAndReceive(sent, nullptr, nullptr)) == sent));
}

BOOST_AUTO_TEST_CASE(configuration_sentAsDifference_isDecodedUnchangedAndSmall)
{
    const auto base = configuration(7, 1'000);
    auto changed = base;
    changed.version = 9;
    changed.routes.erase(changed.routes.begin() + 10);
    changed.routes[20].timeout = milliseconds(777);
    changed.routes.push_back(route("z-new"));
    auto got = std::get<0>(sendAndReceive(changed, &base, &base));
    const auto byName = [](const MeshRoute &a, const MeshRoute &b) { return a.name < b.name; };
    std::sort(got.routes.begin(), got.routes.end(), byName);
    std::sort(changed.routes.begin(), changed.routes.end(), byName);
    BOOST_TEST((got == changed));
    BOOST_TEST(compress(serializeConfiguration(changed, &base)).bytes.size() < 1'000U);
}

BOOST_AUTO_TEST_CASE(configuration_differenceFromAnotherBase_isRejected)
{
    const auto base = configuration(7, 10);
    const auto other = configuration(8, 10);
    const auto changed = configuration(9, 11);
    BOOST_TEST(sendAndReceive(changed, &base, &other).index() == 1U);
    BOOST_TEST(sendAndReceive(changed, &base, nullptr).index() == 1U);
}

BOOST_AUTO_TEST_CASE(configuration_corruptedBytes_areRejectedWithoutCrash)
{
    const auto compressed = compress(serializeConfiguration(configuration(7, 20), nullptr));
    for (std::size_t n = 0; n < compressed.bytes.size(); n += 3) {
        auto corrupted = compressed.bytes;
        corrupted[n] = static_cast<char>(corrupted[n] ^ 0x55);
        // Must be rejected, or decoded if the checksum still matches, but must not crash.
        static_cast<void>(valueOrError([&] { return deserializeConfiguration(corrupted, compressed.size, nullptr); }));
    }
    BOOST_TEST((valueOrError([&] { return deserializeConfiguration(compressed.bytes, compressed.size + 1, nullptr); }).index() == 1U));
    BOOST_TEST((valueOrError([&] { return deserializeConfiguration("", 100, nullptr); }).index() == 1U));
    BOOST_TEST((valueOrError([&] { return deserializeConfiguration(compressed.bytes, std::size_t(1) << 40, nullptr); }).index() == 1U));
}

BOOST_AUTO_TEST_CASE(targets_changesAndRemovals_areDecodedUnchanged)
{
    TargetRecord record;
    record.id = "t1";
    record.service = "desk";
    record.address = {"127.1.0.1", 9'000};
    record.dataCentre = "one";
    record.slots = 18;
    record.state = TargetState::Draining;
    record.coldRemaining = milliseconds(1'500);
    record.startedAtMs = 1'700'000'000'000;
    record.sequence = 9;
    const std::vector<TargetUpdate> sent{{"t1", {2, 12}, record, {}, 1, milliseconds(700)}, {"t2", {2, 13}, std::nullopt, {1'700'000'000'000, 8}, 2}};
    LinkFrameReader reader;
    reader.allowLargeFrames();
    reader.append(encodeStateNews(nullptr, sent, true, {2, 99}));
    const auto frame = valueOrError([&] { return reader.next(); });
    const auto *news = std::get<0>(frame)->message_as_StateNews();
    BOOST_REQUIRE(news != nullptr);
    BOOST_TEST(news->all_targets());
    BOOST_TEST(news->store_revision() == 99U);
    const auto got = decodeTargetUpdates(*news);
    BOOST_REQUIRE(got.size() == 2U);
    BOOST_TEST((got[0].record == sent[0].record));
    BOOST_TEST(!got[1].record.has_value());
    BOOST_TEST((got[0].position == StorePosition{2, 12}));
    BOOST_TEST((got[0].statedInEra == sent[0].statedInEra));
    BOOST_TEST((got[0].removeIn == milliseconds(700)));
    BOOST_TEST((got[1].position == StorePosition{2, 13}));
    BOOST_TEST((got[1].outdatedBefore == sent[1].outdatedBefore));
    BOOST_TEST(news->store_era() == 2U);
}

/// Guards against a peer that does not know the evacuations being taken for one that knows of none.
BOOST_AUTO_TEST_CASE(evacuations_knownNoneAndNotKnown_arriveAsSent)
{
    const auto send = [](const std::vector<EvacuationUpdate> *evacuations) {
        LinkFrameReader reader;
        reader.allowLargeFrames();
        reader.append(encodeStateNews(nullptr, {}, false, {2, 99}, evacuations));
        const auto frame = valueOrError([&] { return reader.next(); });
        return decodeEvacuations(*std::get<0>(frame)->message_as_StateNews());
    };
    const std::vector<EvacuationUpdate> sent{{"one", {2, 12}, true}, {"two", {1, 90}, false}};
    const std::vector<EvacuationUpdate> none;
    BOOST_TEST((send(&sent) == sent));
    BOOST_TEST((send(&none) == none));
    BOOST_TEST(!send(nullptr).has_value());
}

/// Guards the cost of idle links: in a large fleet most links are idle, and traffic between data centres is charged for.
BOOST_AUTO_TEST_CASE(keepAlive_comparedToAHeartbeat_isUnderAThirdOfItsSize)
{
    LinkHeartbeat heartbeat;
    heartbeat.targetId = "i-5d8f17d9b8";
    heartbeat.report.running = 12;
    heartbeat.report.limit = 18;
    heartbeat.report.meanServiceTime = microseconds(400'000);
    heartbeat.report.uplinkTimePerKib = microseconds(1'500);
    heartbeat.configuration = 34;
    heartbeat.storePosition = {3, 900};
    heartbeat.targetsDigest = 0x1234'5678'9abc'def0;
    heartbeat.lifetimesDigest = 77;
    heartbeat.linkMbps = 6;
    const auto now = TimePoint(seconds(1'000));
    const auto heartbeatBytes = encodeHeartbeat(heartbeat, now).size();
    const auto keepAliveBytes = encodeKeepAlive(now).size();
    BOOST_TEST_MESSAGE("heartbeat " << heartbeatBytes << " bytes, keep-alive " << keepAliveBytes << " bytes");
    BOOST_TEST(3 * keepAliveBytes <= heartbeatBytes);
}

/// A node of the build before sends no era. Guards against its frames being refused in a rolling change.
BOOST_AUTO_TEST_CASE(frames_withoutEra_readAsEraZero)
{
    flatbuffers::FlatBufferBuilder fbb;
    const auto id = fbb.CreateString("t1");
    MeshWire::TargetNewsRecordBuilder record(fbb);
    record.add_id(id);
    record.add_revision(12);
    record.add_listed(true);
    const auto records = fbb.CreateVector(std::vector{record.Finish()});
    fbb.Finish(MeshWire::CreateStateNews(fbb, 0, 0, records, 99));
    const auto *news = flatbuffers::GetRoot<MeshWire::StateNews>(fbb.GetBufferPointer());
    const auto got = decodeTargetUpdates(*news);
    BOOST_REQUIRE(got.size() == 1U);
    BOOST_TEST((got[0].position == StorePosition{0, 12}));
    BOOST_TEST(!got[0].statedInEra.has_value());
    flatbuffers::FlatBufferBuilder pulse;
    pulse.Finish(MeshWire::CreatePulse(pulse, 0, 0, 0, 5, 900));
    BOOST_TEST(
        (decodeHeartbeat(*flatbuffers::GetRoot<MeshWire::Pulse>(pulse.GetBufferPointer()), TimePoint(seconds(1))).storePosition == StorePosition{0, 900}));
}

BOOST_AUTO_TEST_SUITE_END()
