#include "forward/linkcodec.h"

#include <boost/test/unit_test.hpp>

using namespace Fescuenotch;

namespace {

struct LinkCodecFixture {
    TimePoint now = TimePoint(seconds(1'000));
    LinkFrameReader reader;

    LinkCodecFixture()
    {
        reader.allowLargeFrames();
    }

    const MeshWire::LinkFrame &receive(const std::string &frame)
    {
        reader.append(frame);
        const auto next = valueOrError([&] { return reader.next(); });
        return *std::get<0>(next);
    }

    TargetReport sendReport(const TargetReport &report)
    {
        LinkHeartbeat heartbeat;
        heartbeat.report = report;
        return decodeHeartbeat(*receive(encodeHeartbeat(heartbeat, now)).message_as_Pulse(), now).report;
    }

    ForwardRequest sendRequest(const ForwardRequest &request)
    {
        return decodeOpen(*receive(encodeOpen(1, request, now)).message_as_Open(), now, Duration(0));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LinkCodecTest, LinkCodecFixture)

BOOST_AUTO_TEST_CASE(report_targetNamesRate_arrivesUnchanged)
{
    TargetReport report;
    report.requestRate = 11.125;
    report.rateDelay = milliseconds(90);
    BOOST_TEST((sendReport(report) == report));
    report.requestRate = 0;
    BOOST_TEST((sendReport(report) == report));
}

BOOST_AUTO_TEST_CASE(heartbeat_evacuationsDigest_arrivesUnchanged)
{
    LinkHeartbeat heartbeat;
    heartbeat.evacuationsDigest = 0x1234'5678'9abc'def0;
    BOOST_TEST(decodeHeartbeat(*receive(encodeHeartbeat(heartbeat, now)).message_as_Pulse(), now).evacuationsDigest == heartbeat.evacuationsDigest);
}

BOOST_AUTO_TEST_CASE(report_ofNodeThatDoesNotKnowTheField_isNotLimited)
{
    flatbuffers::FlatBufferBuilder fbb;
    const auto report = MeshWire::CreateReport(fbb, 3, 13);
    const auto pulse = MeshWire::CreatePulse(fbb, 0, 0, report);
    fbb.FinishSizePrefixed(MeshWire::CreateLinkFrame(fbb, MeshWire::LinkMessage::Pulse, pulse.Union()));
    const std::string frame(reinterpret_cast<const char *>(fbb.GetBufferPointer()), fbb.GetSize());
    const auto decoded = decodeHeartbeat(*receive(frame).message_as_Pulse(), now).report;
    BOOST_TEST(decoded.running == 3U);
    BOOST_TEST(!decoded.requestRate.has_value());
    BOOST_TEST((decoded.rateDelay == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(request_rateThatTheEntryNodeKnows_arrivesUnchanged)
{
    ForwardRequest request;
    BOOST_TEST(!sendRequest(request).targetRequestRate.has_value());
    request.targetRequestRate = 0.5;
    BOOST_TEST(sendRequest(request).targetRequestRate.value() == 0.5);
}

/// Guards against an exit node that takes each attempt for the last, or none.
BOOST_AUTO_TEST_CASE(request_isLastAttempt_arrivesUnchanged)
{
    ForwardRequest request;
    BOOST_TEST(!sendRequest(request).isLastAttempt);
    request.isLastAttempt = true;
    BOOST_TEST(sendRequest(request).isLastAttempt);
}

BOOST_AUTO_TEST_SUITE_END()
