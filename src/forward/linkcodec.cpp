// Sections: [reading] [encoding] [decoding]
#include "forward/linkcodec.h"

#include "forward/frames.h"

#include <algorithm>
#include <limits>

namespace Fescuenotch {

namespace {

constexpr flatbuffers::uoffset_t MaxTablesPerFrame = 65'536; ///< a complete configuration has a few thousand routes
constexpr flatbuffers::uoffset_t MaxDepthPerFrame = 8;
constexpr std::size_t InitialBufferBytes = 512; ///< bytes; initial buffer of a builder
constexpr double Permille = 1'000;
constexpr std::uint32_t NoStoreAge = 4'294'967'295; ///< ms; default value of Pulse.store_age_ms in the schema: no age

constexpr std::uint64_t NoRequestRate = std::numeric_limits<std::uint64_t>::max(); ///< default of the rates in the schema: not limited

using Builder = flatbuffers::FlatBufferBuilder;

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> encodeBytes(Builder &fbb, std::string_view bytes)
{
    return fbb.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<MeshWire::HeaderField>>> encodeHeaders(Builder &fbb, const Headers &headers)
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

Headers decodeHeaders(const flatbuffers::Vector<flatbuffers::Offset<MeshWire::HeaderField>> *fields)
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

/// In thousandths of a request per second.
std::uint64_t encodeRequestRate(std::optional<double> perSecond)
{
    return perSecond ? static_cast<std::uint64_t>(*perSecond * Permille) : NoRequestRate;
}

std::optional<double> decodeRequestRate(std::uint64_t milli)
{
    return milli == NoRequestRate ? std::nullopt : std::optional(static_cast<double>(milli) / Permille);
}

flatbuffers::Offset<MeshWire::Report> encodeReport(Builder &fbb, const TargetReport &report)
{
    const auto failed = static_cast<std::uint16_t>(std::clamp(report.failureRate, 0.0, 1.0) * Permille);
    return MeshWire::CreateReport(fbb,
                                  report.running,
                                  report.limit,
                                  report.waiting,
                                  static_cast<std::uint32_t>(report.meanServiceTime.count()),
                                  failed,
                                  static_cast<std::uint32_t>(report.uplinkDelay.count()),
                                  static_cast<std::uint32_t>(report.uplinkTimePerKib.count()),
                                  report.leaving,
                                  encodeRequestRate(report.requestRate),
                                  static_cast<std::uint32_t>(report.rateDelay.count()));
}

TargetReport decodeReport(const MeshWire::Report &report)
{
    TargetReport out;
    out.running = report.running();
    out.limit = report.limit();
    out.waiting = report.waiting();
    out.meanServiceTime = microseconds(report.mean_service_us());
    out.failureRate = report.failed_permille() / Permille;
    out.uplinkDelay = milliseconds(report.carry_wait_ms());
    out.uplinkTimePerKib = microseconds(report.carry_us_per_kib());
    out.leaving = report.leaving();
    out.requestRate = decodeRequestRate(report.request_rate_milli());
    out.rateDelay = milliseconds(report.rate_delay_ms());
    return out;
}

std::uint32_t ageInMilliseconds(TimePoint now, TimePoint at)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(now - at).count()));
}

std::vector<flatbuffers::Offset<MeshWire::CrashRecord>> encodeCrashes(Builder &fbb, const CrashNews &news, TimePoint now)
{
    std::vector<flatbuffers::Offset<MeshWire::CrashRecord>> records;
    for (const auto &crash : news.crashes) {
        std::vector<std::uint64_t> fingerprints;
        std::vector<std::uint32_t> ranFor;
        for (const auto &suspect : crash.suspects) {
            fingerprints.push_back(suspect.fingerprint);
            ranFor.push_back(static_cast<std::uint32_t>(suspect.ranFor.count()));
        }
        const auto suspectVector = fbb.CreateVector(fingerprints);
        const auto ranVector = fbb.CreateVector(ranFor);
        records.push_back(MeshWire::CreateCrashRecord(fbb, crash.id, ageInMilliseconds(now, crash.at), suspectVector, ranVector));
    }
    return records;
}

std::vector<flatbuffers::Offset<MeshWire::ClearanceRecord>> encodeClearances(Builder &fbb, const CrashNews &news, TimePoint now)
{
    std::vector<flatbuffers::Offset<MeshWire::ClearanceRecord>> records;
    for (const auto &clearance : news.clearances) {
        records.push_back(MeshWire::CreateClearanceRecord(fbb, clearance.fingerprint, ageInMilliseconds(now, clearance.at)));
    }
    return records;
}

CrashNews decodeCrashNews(const MeshWire::Pulse &heartbeat, TimePoint now)
{
    CrashNews news;
    if (heartbeat.crashes() != nullptr) {
        for (const auto *each : *heartbeat.crashes()) {
            CrashRecord record{each->id(), now - milliseconds(each->age_ms()), {}};
            const auto n = each->suspects() == nullptr || each->ran_ms() == nullptr ? 0 : std::min(each->suspects()->size(), each->ran_ms()->size());
            for (flatbuffers::uoffset_t at = 0; at < n; ++at) {
                record.suspects.push_back({each->suspects()->Get(at), milliseconds(each->ran_ms()->Get(at))});
            }
            news.crashes.push_back(std::move(record));
        }
    }
    if (heartbeat.clearances() != nullptr) {
        for (const auto *each : *heartbeat.clearances()) {
            news.clearances.push_back({each->fingerprint(), now - milliseconds(each->age_ms())});
        }
    }
    return news;
}

std::int64_t remainingMicroseconds(TimePoint until, TimePoint now)
{
    return std::chrono::duration_cast<microseconds>(until - now).count();
}

MeshWire::ForwardOutcome encodeOutcome(Outcome outcome)
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

Outcome decodeOutcome(MeshWire::ForwardOutcome outcome)
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

Reason decodeReason(std::uint8_t value)
{
    const auto all = allReasons();
    const auto it = std::find_if(all.begin(), all.end(), [&](Reason reason) { return static_cast<std::uint8_t>(reason) == value; });
    return it == all.end() ? Reason::None : *it;
}

} // namespace

// ---- [reading] --------------------------------------------------------------------------------------------------

Result<const MeshWire::LinkFrame *> LinkFrameReader::next()
{
    BOOST_LEAF_AUTO(whole, m_cutter.next());
    if (!whole) {
        return nullptr;
    }
    const auto &bytes = m_cutter.frame();
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), MaxDepthPerFrame, MaxTablesPerFrame);
    if (!MeshWire::VerifySizePrefixedLinkFrameBuffer(verifier)) {
        return badFrame("frame failed FlatBuffers verification");
    }
    const auto *frame = MeshWire::GetSizePrefixedLinkFrame(bytes.data());
    if (frame->message() == nullptr) {
        return badFrame("frame contains no message");
    }
    return frame;
}

Duration ClockOffset::transitTime(std::int64_t sentAt, TimePoint now)
{
    const auto difference = toWireTime(now) - sentAt;
    m_minDifference = std::min(m_minDifference.value_or(difference), difference);
    return std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(difference - *m_minDifference));
}

std::int64_t toWireTime(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
}

std::string_view toStringView(const flatbuffers::Vector<std::uint8_t> *bytes)
{
    return bytes == nullptr ? std::string_view() : std::string_view(reinterpret_cast<const char *>(bytes->data()), bytes->size());
}

// ---- [encoding] -------------------------------------------------------------------------------------------------

std::string encodeGreeting(const LinkIdentity &self, TimePoint now)
{
    Builder fbb(InitialBufferBytes);
    const auto host = fbb.CreateString(self.host);
    const auto dataCentre = fbb.CreateString(self.dataCentre);
    return finishFrame(fbb, MeshWire::CreateGreeting(fbb, LinkProtocol, host, dataCentre, self.incarnation, toWireTime(now)));
}

std::string encodeHeartbeat(const LinkHeartbeat &heartbeat, TimePoint now)
{
    Builder fbb(InitialBufferBytes);
    const auto target = fbb.CreateString(heartbeat.targetId);
    const auto report = encodeReport(fbb, heartbeat.report);
    const auto crashes = encodeCrashes(fbb, heartbeat.crashes, now);
    const auto clearances = encodeClearances(fbb, heartbeat.crashes, now);
    const auto crashVector = crashes.empty() ? 0 : fbb.CreateVector(crashes);
    const auto clearanceVector = clearances.empty() ? 0 : fbb.CreateVector(clearances);
    const auto age = std::chrono::duration_cast<milliseconds>(heartbeat.storeAge).count();
    const auto ageMs = static_cast<std::uint32_t>(std::min<std::int64_t>(age, NoStoreAge));
    return finishFrame(fbb,
                       MeshWire::CreatePulse(fbb,
                                             toWireTime(now),
                                             target,
                                             report,
                                             heartbeat.configuration,
                                             heartbeat.storePosition.revision,
                                             heartbeat.targetsDigest,
                                             heartbeat.linkMbps,
                                             ageMs,
                                             heartbeat.storePosition.era,
                                             heartbeat.lifetimesDigest,
                                             crashVector,
                                             clearanceVector,
                                             heartbeat.evacuationsDigest));
}

std::string encodeKeepAlive(TimePoint now)
{
    Builder fbb(InitialBufferBytes);
    return finishFrame(fbb, MeshWire::CreateBeat(fbb, toWireTime(now)));
}

std::string encodeOpen(std::uint64_t stream, const ForwardRequest &request, TimePoint now)
{
    Builder fbb(InitialBufferBytes + request.body.size());
    const auto requestId = fbb.CreateString(request.requestId);
    const auto service = fbb.CreateString(request.service);
    const auto target = fbb.CreateString(request.targetId);
    const auto route = fbb.CreateString(request.route);
    const auto method = fbb.CreateString(request.method);
    const auto path = fbb.CreateString(request.path);
    const auto fields = encodeHeaders(fbb, request.headers);
    const auto body = encodeBytes(fbb, request.body);
    return finishFrame(fbb,
                       MeshWire::CreateOpen(fbb,
                                            stream,
                                            toWireTime(now),
                                            remainingMicroseconds(request.deadline, now),
                                            remainingMicroseconds(request.goal, now),
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
                                            request.bodyComplete,
                                            request.entryStops,
                                            encodeRequestRate(request.targetRequestRate),
                                            request.fingerprint,
                                            request.isLastAttempt));
}

std::string encodeRequestBody(std::uint64_t stream, std::string_view bytes, bool last)
{
    Builder fbb(InitialBufferBytes + bytes.size());
    const auto data = encodeBytes(fbb, bytes);
    return finishFrame(fbb, MeshWire::CreateRequestBody(fbb, stream, data, last));
}

std::string encodeForwardAnswer(std::uint64_t stream, const ForwardAnswer &answer)
{
    Builder fbb(InitialBufferBytes);
    const auto fields = encodeHeaders(fbb, answer.headers);
    return finishFrame(
        fbb,
        MeshWire::CreateAnswer(fbb, stream, static_cast<std::uint16_t>(answer.status), fields, answer.bodyLength.has_value(), answer.bodyLength.value_or(0)));
}

std::string encodeAnswerBody(std::uint64_t stream, std::string_view bytes)
{
    Builder fbb(InitialBufferBytes + bytes.size());
    const auto data = encodeBytes(fbb, bytes);
    return finishFrame(fbb, MeshWire::CreateAnswerBody(fbb, stream, data));
}

std::string encodeEnded(std::uint64_t stream, const ForwardEnd &end)
{
    Builder fbb(InitialBufferBytes);
    const auto report = end.report ? encodeReport(fbb, *end.report) : 0;
    return finishFrame(fbb,
                       MeshWire::CreateEnded(fbb,
                                             stream,
                                             encodeOutcome(end.outcome),
                                             static_cast<std::uint8_t>(end.reason),
                                             end.complete,
                                             end.offered,
                                             static_cast<std::uint32_t>(end.retryAfter.count()),
                                             report));
}

std::string encodeCredit(std::uint64_t stream, std::size_t bytes)
{
    Builder fbb(InitialBufferBytes);
    return finishFrame(fbb, MeshWire::CreateCredit(fbb, stream, static_cast<std::uint32_t>(bytes)));
}

std::string encodeLinkCancel(std::uint64_t stream)
{
    Builder fbb(InitialBufferBytes);
    return finishFrame(fbb, MeshWire::CreateCancel(fbb, stream));
}

std::string encodeDeadline(std::uint64_t stream, TimePoint deadline, TimePoint now)
{
    Builder fbb(InitialBufferBytes);
    return finishFrame(fbb, MeshWire::CreateDeadline(fbb, stream, toWireTime(now), remainingMicroseconds(deadline, now)));
}

// ---- [decoding] -------------------------------------------------------------------------------------------------

LinkIdentity decodeGreeting(const MeshWire::Greeting &greeting)
{
    return {greeting.host()->str(), greeting.data_centre()->str(), greeting.incarnation()};
}

LinkHeartbeat decodeHeartbeat(const MeshWire::Pulse &heartbeat, TimePoint now)
{
    LinkHeartbeat out;
    out.targetId = stringOrEmpty(heartbeat.target());
    if (heartbeat.report() != nullptr) {
        out.report = decodeReport(*heartbeat.report());
    }
    out.configuration = heartbeat.configuration();
    out.storePosition = {heartbeat.store_era(), heartbeat.store_revision()};
    out.targetsDigest = heartbeat.targets_digest();
    out.lifetimesDigest = heartbeat.lifetimes_digest();
    out.evacuationsDigest = heartbeat.evacuations_digest();
    out.crashes = decodeCrashNews(heartbeat, now);
    out.linkMbps = heartbeat.link_mbps();
    if (heartbeat.store_age_ms() != NoStoreAge) {
        out.storeAge = milliseconds(heartbeat.store_age_ms());
    }
    return out;
}

ForwardRequest decodeOpen(const MeshWire::Open &open, TimePoint now, Duration transitTime)
{
    ForwardRequest request;
    request.requestId = stringOrEmpty(open.request_id());
    request.service = open.service()->str();
    request.targetId = open.target()->str();
    request.route = open.route()->str();
    request.method = open.method()->str();
    request.path = open.path()->str();
    request.headers = decodeHeaders(open.fields());
    // An unknown kind is treated as not idempotent, so that the request is never repeated.
    request.kind = open.kind() == static_cast<std::uint8_t>(RouteKind::Idempotent) ? RouteKind::Idempotent
        : open.kind() == static_cast<std::uint8_t>(RouteKind::Download)            ? RouteKind::Download
                                                                                   : RouteKind::NotIdempotent;
    request.priority = open.priority();
    request.deadline = now + microseconds(open.remaining_us()) - transitTime;
    request.goal = now + microseconds(open.goal_us()) - transitTime;
    if (open.has_length()) {
        request.bodyLength = open.body_length();
    }
    request.body = std::string(toStringView(open.first_bytes()));
    request.bodyComplete = open.whole();
    request.entryStops = open.entry_stops();
    request.fingerprint = open.fingerprint();
    request.isLastAttempt = open.last_attempt();
    request.targetRequestRate = decodeRequestRate(open.target_rate_milli());
    request.fromPeer = true;
    return request;
}

ForwardAnswer decodeForwardAnswer(const MeshWire::Answer &answer)
{
    ForwardAnswer out;
    out.status = answer.status();
    out.headers = decodeHeaders(answer.fields());
    if (answer.has_length()) {
        out.bodyLength = answer.body_length();
    }
    return out;
}

ForwardEnd decodeEnded(const MeshWire::Ended &ended)
{
    ForwardEnd end;
    end.outcome = decodeOutcome(ended.outcome());
    end.reason = decodeReason(ended.reason());
    end.complete = ended.complete();
    end.offered = ended.offered();
    end.retryAfter = milliseconds(ended.retry_after_ms());
    if (ended.report() != nullptr) {
        end.report = decodeReport(*ended.report());
    }
    return end;
}

} // namespace Fescuenotch
