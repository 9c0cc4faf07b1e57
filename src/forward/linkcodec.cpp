// Sections: [reading] [encoding] [decoding]
#include "forward/linkcodec.h"

#include "forward/frames.h"

#include <algorithm>

namespace Fescuenotch {

namespace {

constexpr flatbuffers::uoffset_t MaxTablesPerFrame = 65'536; ///< a whole configuration has some thousand routes
constexpr flatbuffers::uoffset_t MaxDepthPerFrame = 8;
constexpr std::size_t SmallFrameBytes = 512; ///< bytes; first size of a builder's buffer
constexpr double Permille = 1'000;
constexpr std::uint32_t NoStoreAge = 4'294'967'295; ///< ms; default in the schema

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> makeBytes(Builder &fbb, std::string_view bytes)
{
    return fbb.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<MeshWire::HeaderField>>> makeFields(Builder &fbb, const Headers &headers)
{
    std::vector<flatbuffers::Offset<MeshWire::HeaderField>> fields;
    fields.reserve(headers.size());
    for (const auto &header : headers) {
        const auto name = fbb.CreateString(header.name);
        const auto value = fbb.CreateString(header.value);
        fields.push_back(MeshWire::CreateHeaderField(fbb, name, value));
    }
    return fbb.CreateVector(fields);
}

Headers readFields(const flatbuffers::Vector<flatbuffers::Offset<MeshWire::HeaderField>> *fields)
{
    Headers headers;
    if (fields == nullptr) {
        return headers;
    }
    headers.reserve(fields->size());
    for (const auto *field : *fields) {
        headers.push_back({field->name()->str(), field->value()->str()});
    }
    return headers;
}

flatbuffers::Offset<MeshWire::Report> makeReport(Builder &fbb, const TargetReport &report)
{
    const auto failed = static_cast<std::uint16_t>(std::clamp(report.failedShare, 0.0, 1.0) * Permille);
    return MeshWire::CreateReport(fbb,
                                  report.running,
                                  report.limit,
                                  report.waiting,
                                  static_cast<std::uint32_t>(report.meanService.count()),
                                  failed,
                                  static_cast<std::uint32_t>(report.carryWait.count()),
                                  static_cast<std::uint32_t>(report.carryPerKib.count()),
                                  report.leaving);
}

TargetReport readReport(const MeshWire::Report &report)
{
    TargetReport out;
    out.running = report.running();
    out.limit = report.limit();
    out.waiting = report.waiting();
    out.meanService = microseconds(report.mean_service_us());
    out.failedShare = report.failed_permille() / Permille;
    out.carryWait = milliseconds(report.carry_wait_ms());
    out.carryPerKib = microseconds(report.carry_us_per_kib());
    out.leaving = report.leaving();
    return out;
}

std::int64_t microsecondsLeft(TimePoint until, TimePoint now)
{
    return std::chrono::duration_cast<microseconds>(until - now).count();
}

MeshWire::ForwardOutcome wireOutcome(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return MeshWire::ForwardOutcome::Ran;
    case Outcome::NotRun:
        return MeshWire::ForwardOutcome::NotRun;
    case Outcome::Unknown:
        break;
    }
    return MeshWire::ForwardOutcome::Unknown;
}

Outcome outcomeOf(MeshWire::ForwardOutcome outcome)
{
    switch (outcome) {
    case MeshWire::ForwardOutcome::Ran:
        return Outcome::Ran;
    case MeshWire::ForwardOutcome::NotRun:
        return Outcome::NotRun;
    case MeshWire::ForwardOutcome::Unknown:
        break;
    }
    return Outcome::Unknown;
}

Reason reasonOf(std::uint8_t value)
{
    const auto all = allReasons();
    const auto it = std::find_if(all.begin(), all.end(), [&](Reason reason) { return static_cast<std::uint8_t>(reason) == value; });
    return it == all.end() ? Reason::None : *it;
}

} // namespace

// ---- [reading] --------------------------------------------------------------------------------------------------

Result<const MeshWire::LinkFrame *> LinkReader::next()
{
    BOOST_LEAF_AUTO(whole, m_cutter.next());
    if (!whole) {
        return nullptr;
    }
    const auto &bytes = m_cutter.frame();
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), MaxDepthPerFrame, MaxTablesPerFrame);
    if (!MeshWire::VerifySizePrefixedLinkFrameBuffer(verifier)) {
        return badFrame("a frame that does not verify");
    }
    const auto *frame = MeshWire::GetSizePrefixedLinkFrame(bytes.data());
    if (frame->message() == nullptr) {
        return badFrame("a frame without a message");
    }
    return frame;
}

Duration ClockOffset::timeOnTheWay(std::int64_t sentAt, TimePoint now)
{
    const auto difference = clockValue(now) - sentAt;
    m_least = std::min(m_least.value_or(difference), difference);
    return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(difference - *m_least));
}

std::int64_t clockValue(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
}

std::string_view bytesOf(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return bytes == nullptr ? std::string_view() : std::string_view(reinterpret_cast<const char *>(bytes->data()), bytes->size());
}

// ---- [encoding] -------------------------------------------------------------------------------------------------

std::string encodeGreeting(const LinkIdentity &self, TimePoint now)
{
    Builder fbb(SmallFrameBytes);
    const auto host = fbb.CreateString(self.host);
    const auto dataCentre = fbb.CreateString(self.dataCentre);
    return finishFrame(fbb, MeshWire::CreateGreeting(fbb, LinkProtocol, host, dataCentre, self.incarnation, clockValue(now)));
}

std::string encodePulse(const LinkPulse &pulse, TimePoint now)
{
    Builder fbb(SmallFrameBytes);
    const auto target = fbb.CreateString(pulse.targetId);
    const auto report = makeReport(fbb, pulse.report);
    const auto age = std::chrono::duration_cast<milliseconds>(pulse.storeAge).count();
    const auto ageMs = static_cast<std::uint32_t>(std::min<std::int64_t>(age, NoStoreAge));
    return finishFrame(
        fbb, MeshWire::CreatePulse(fbb, clockValue(now), target, report, pulse.configuration, pulse.storeRevision, pulse.targetsDigest, pulse.linkMbps, ageMs));
}

std::string encodeBeat(TimePoint now)
{
    Builder fbb(SmallFrameBytes);
    return finishFrame(fbb, MeshWire::CreateBeat(fbb, clockValue(now)));
}

std::string encodeOpen(std::uint64_t stream, const ForwardRequest &request, TimePoint now)
{
    Builder fbb(SmallFrameBytes + request.body.size());
    const auto requestId = fbb.CreateString(request.requestId);
    const auto service = fbb.CreateString(request.service);
    const auto target = fbb.CreateString(request.targetId);
    const auto route = fbb.CreateString(request.route);
    const auto method = fbb.CreateString(request.method);
    const auto path = fbb.CreateString(request.path);
    const auto fields = makeFields(fbb, request.headers);
    const auto body = makeBytes(fbb, request.body);
    return finishFrame(fbb,
                       MeshWire::CreateOpen(fbb,
                                            stream,
                                            clockValue(now),
                                            microsecondsLeft(request.deadline, now),
                                            microsecondsLeft(request.goal, now),
                                            requestId,
                                            service,
                                            target,
                                            route,
                                            method,
                                            path,
                                            fields,
                                            static_cast<std::uint8_t>(request.kind),
                                            request.priority,
                                            request.bodyLength.has_value(),
                                            request.bodyLength.value_or(0),
                                            body,
                                            request.bodyComplete));
}

std::string encodeRequestBody(std::uint64_t stream, std::string_view bytes, bool last)
{
    Builder fbb(SmallFrameBytes + bytes.size());
    const auto data = makeBytes(fbb, bytes);
    return finishFrame(fbb, MeshWire::CreateRequestBody(fbb, stream, data, last));
}

std::string encodeForwardAnswer(std::uint64_t stream, const ForwardAnswer &answer)
{
    Builder fbb(SmallFrameBytes);
    const auto fields = makeFields(fbb, answer.headers);
    return finishFrame(
        fbb,
        MeshWire::CreateAnswer(fbb, stream, static_cast<std::uint16_t>(answer.status), fields, answer.bodyLength.has_value(), answer.bodyLength.value_or(0)));
}

std::string encodeAnswerBody(std::uint64_t stream, std::string_view bytes)
{
    Builder fbb(SmallFrameBytes + bytes.size());
    const auto data = makeBytes(fbb, bytes);
    return finishFrame(fbb, MeshWire::CreateAnswerBody(fbb, stream, data));
}

std::string encodeEnded(std::uint64_t stream, const ForwardEnd &end)
{
    Builder fbb(SmallFrameBytes);
    const auto report = end.report ? makeReport(fbb, *end.report) : 0;
    return finishFrame(fbb,
                       MeshWire::CreateEnded(fbb,
                                             stream,
                                             wireOutcome(end.outcome),
                                             static_cast<std::uint8_t>(end.reason),
                                             end.complete,
                                             end.offered,
                                             static_cast<std::uint32_t>(end.retryAfter.count()),
                                             report));
}

std::string encodeCredit(std::uint64_t stream, std::size_t bytes)
{
    Builder fbb(SmallFrameBytes);
    return finishFrame(fbb, MeshWire::CreateCredit(fbb, stream, static_cast<std::uint32_t>(bytes)));
}

std::string encodeLinkCancel(std::uint64_t stream)
{
    Builder fbb(SmallFrameBytes);
    return finishFrame(fbb, MeshWire::CreateCancel(fbb, stream));
}

// ---- [decoding] -------------------------------------------------------------------------------------------------

LinkIdentity decodeGreeting(const MeshWire::Greeting &greeting)
{
    return {greeting.host()->str(), greeting.data_centre()->str(), greeting.incarnation()};
}

LinkPulse decodePulse(const MeshWire::Pulse &pulse)
{
    LinkPulse out;
    out.targetId = textOf(pulse.target());
    if (pulse.report() != nullptr) {
        out.report = readReport(*pulse.report());
    }
    out.configuration = pulse.configuration();
    out.storeRevision = pulse.store_revision();
    out.targetsDigest = pulse.targets_digest();
    out.linkMbps = pulse.link_mbps();
    if (pulse.store_age_ms() != NoStoreAge) {
        out.storeAge = milliseconds(pulse.store_age_ms());
    }
    return out;
}

ForwardRequest decodeOpen(const MeshWire::Open &open, TimePoint now, Duration onTheWay)
{
    ForwardRequest request;
    request.requestId = textOf(open.request_id());
    request.service = open.service()->str();
    request.targetId = open.target()->str();
    request.route = open.route()->str();
    request.method = open.method()->str();
    request.path = open.path()->str();
    request.headers = readFields(open.fields());
    // A kind that is not known is taken for the strictest.
    request.kind = open.kind() == static_cast<std::uint8_t>(RouteKind::Idempotent) ? RouteKind::Idempotent
        : open.kind() == static_cast<std::uint8_t>(RouteKind::Download)            ? RouteKind::Download
                                                                                   : RouteKind::NotIdempotent;
    request.priority = open.priority();
    request.deadline = now + microseconds(open.remaining_us()) - onTheWay;
    request.goal = now + microseconds(open.goal_us()) - onTheWay;
    if (open.has_length()) {
        request.bodyLength = open.body_length();
    }
    request.body = std::string(bytesOf(open.first_bytes()));
    request.bodyComplete = open.whole();
    request.fromPeer = true;
    return request;
}

ForwardAnswer decodeForwardAnswer(const MeshWire::Answer &answer)
{
    ForwardAnswer out;
    out.status = answer.status();
    out.headers = readFields(answer.fields());
    if (answer.has_length()) {
        out.bodyLength = answer.body_length();
    }
    return out;
}

ForwardEnd decodeEnded(const MeshWire::Ended &ended)
{
    ForwardEnd end;
    end.outcome = outcomeOf(ended.outcome());
    end.reason = reasonOf(ended.reason());
    end.complete = ended.complete();
    end.offered = ended.offered();
    end.retryAfter = milliseconds(ended.retry_after_ms());
    if (ended.report() != nullptr) {
        end.report = readReport(*ended.report());
    }
    return end;
}

} // namespace Fescuenotch
