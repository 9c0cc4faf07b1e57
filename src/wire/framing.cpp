// Sections: [reading] [encoding] [decoding]
#include "wire/framing.h"

#include <algorithm>
#include <cstring>

namespace Fescuenotch {

namespace {

constexpr flatbuffers::uoffset_t MaxTablesPerFrame = 4'096;
constexpr flatbuffers::uoffset_t MaxDepthPerFrame = 8;
constexpr std::size_t InitialBuilderBytes = 512;

using Builder = flatbuffers::FlatBufferBuilder;

template<typename T>
std::string finish(Builder &fbb, flatbuffers::Offset<T> message)
{
    const auto frame = Wire::CreatePeerFrame(fbb, Wire::MessageTraits<T>::enum_value, message.Union());
    Wire::FinishSizePrefixedPeerFrameBuffer(fbb, frame);
    return {reinterpret_cast<const char *>(fbb.GetBufferPointer()), fbb.GetSize()};
}

std::int64_t toNanoseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count();
}

flatbuffers::Offset<Wire::Load> makeLoad(Builder &fbb, const TargetLoad &load)
{
    return Wire::CreateLoad(fbb, load.inUse, load.slots, load.queued, load.leaving);
}

flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Wire::Field>>> makeFields(Builder &fbb, const Headers &headers)
{
    std::vector<flatbuffers::Offset<Wire::Field>> fields;
    fields.reserve(headers.size());
    for (const auto &header : headers) {
        const auto name = fbb.CreateString(header.name);
        const auto value = fbb.CreateString(header.value);
        fields.push_back(Wire::CreateField(fbb, name, value));
    }
    return fbb.CreateVector(fields);
}

Headers readFields(const flatbuffers::Vector<flatbuffers::Offset<Wire::Field>> *fields)
{
    Headers headers;
    if (fields == nullptr) {
        return headers;
    }
    for (const auto *field : *fields) {
        headers.push_back({field->name()->str(), field->value()->str()});
    }
    return headers;
}

} // namespace

// ---- [reading] --------------------------------------------------------------------------------------------------

void FrameReader::append(Bytes bytes)
{
    m_cutter.append({bytes.data(), bytes.size()});
}

Result<const Wire::PeerFrame *> FrameReader::next()
{
    BOOST_LEAF_AUTO(whole, m_cutter.next());
    if (!whole) {
        return nullptr;
    }
    const auto &bytes = m_cutter.frame();
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), MaxDepthPerFrame, MaxTablesPerFrame);
    if (!Wire::VerifySizePrefixedPeerFrameBuffer(verifier)) {
        return badFrame("a frame that does not verify");
    }
    const auto *frame = Wire::GetSizePrefixedPeerFrame(bytes.data());
    if (frame->message() == nullptr) {
        return badFrame("a frame without a message");
    }
    return frame;
}

void FrameReader::allowLargeFrames()
{
    m_cutter.setCap(MaxFrameBytes);
}

// ---- [encoding] -------------------------------------------------------------------------------------------------

std::string encodeHello(const PeerIdentity &self, TimePoint now)
{
    Builder fbb(InitialBuilderBytes);
    const auto host = fbb.CreateString(self.endpoint.host);
    const auto dataCentre = fbb.CreateString(self.dataCentre);
    return finish(fbb, Wire::CreateHello(fbb, ProtocolVersion, host, self.endpoint.port, self.incarnation, dataCentre, self.kind, toNanoseconds(now)));
}

std::string encodeHeartbeat(const TargetLoad &load, TimePoint now)
{
    Builder fbb(InitialBuilderBytes);
    const auto loadTable = makeLoad(fbb, load);
    return finish(fbb, Wire::CreateHeartbeat(fbb, toNanoseconds(now), loadTable));
}

std::string encodeGoodbye()
{
    Builder fbb(InitialBuilderBytes);
    return finish(fbb, Wire::CreateGoodbye(fbb));
}

std::string encodeControl(const std::string &kind, const std::string &bytes)
{
    Builder fbb(InitialBuilderBytes + bytes.size());
    const auto vector = fbb.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    const auto name = fbb.CreateString(kind);
    return finish(fbb, Wire::CreateControl(fbb, name, vector));
}

std::string encodeAttempt(const AttemptHead &head, TimePoint now)
{
    Builder fbb(InitialBuilderBytes);
    const auto service = fbb.CreateString(head.service);
    const auto targetHost = fbb.CreateString(head.targetHost);
    const auto method = fbb.CreateString(head.method);
    const auto path = fbb.CreateString(head.path);
    const auto fields = makeFields(fbb, head.headers);
    Wire::AttemptBuilder attempt(fbb);
    attempt.add_stream(head.id.number);
    attempt.add_node(head.id.node);
    attempt.add_service(service);
    attempt.add_target_host(targetHost);
    attempt.add_method(method);
    attempt.add_path(path);
    attempt.add_fields(fields);
    attempt.add_has_length(head.bodyLength.has_value());
    attempt.add_body_length(head.bodyLength.value_or(0));
    attempt.add_sent_at(toNanoseconds(now));
    attempt.add_remaining(std::chrono::duration_cast<std::chrono::nanoseconds>(head.deadline - now).count());
    attempt.add_request_class(static_cast<std::uint8_t>(head.requestClass));
    attempt.add_idempotent(head.idempotent);
    attempt.add_depth(head.depth);
    attempt.add_epoch(head.version.epoch);
    attempt.add_revision(head.version.revision);
    return finish(fbb, attempt.Finish());
}

std::string encodePiece(std::uint64_t stream, Bytes bytes)
{
    Builder fbb(InitialBuilderBytes + bytes.size());
    const auto vector = fbb.CreateVector(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    return finish(fbb, Wire::CreatePiece(fbb, stream, vector));
}

std::string encodePiecesEnd(std::uint64_t stream)
{
    Builder fbb(InitialBuilderBytes);
    return finish(fbb, Wire::CreatePiecesEnd(fbb, stream));
}

std::string encodeWindow(std::uint64_t stream, std::uint32_t bytes)
{
    Builder fbb(InitialBuilderBytes);
    return finish(fbb, Wire::CreateWindow(fbb, stream, bytes));
}

std::string encodeAnswer(std::uint64_t stream, const AnswerHead &head)
{
    Builder fbb(InitialBuilderBytes);
    const auto fields = makeFields(fbb, head.headers);
    const auto load = makeLoad(fbb, head.load);
    const auto status = static_cast<std::uint16_t>(head.status);
    return finish(fbb, Wire::CreateAnswer(fbb, stream, status, fields, head.bodyLength.has_value(), head.bodyLength.value_or(0), load));
}

std::string encodeAttemptEnd(std::uint64_t stream, const AttemptEnd &end)
{
    Builder fbb(InitialBuilderBytes);
    const auto load = makeLoad(fbb, end.load);
    const auto retryAfter = static_cast<std::uint32_t>(std::max<std::int64_t>(0, end.retryAfter.count()));
    const auto outcome = static_cast<Wire::WireOutcome>(end.outcome);
    const auto reason = static_cast<std::uint8_t>(end.reason);
    return finish(fbb, Wire::CreateAttemptEnd(fbb, stream, outcome, reason, end.complete, end.retriedBelow, retryAfter, load));
}

std::string encodeCancel(std::uint64_t stream)
{
    Builder fbb(InitialBuilderBytes);
    return finish(fbb, Wire::CreateCancel(fbb, stream));
}

// ---- [decoding] -------------------------------------------------------------------------------------------------

PeerIdentity decodeHello(const Wire::Hello &hello)
{
    return {{hello.host()->str(), hello.port()}, hello.incarnation(), hello.data_centre()->str(), hello.kind()};
}

TargetLoad decodeLoad(const Wire::Load *load)
{
    if (load == nullptr) {
        return {};
    }
    return {load->in_use(), load->slots(), load->queued(), load->leaving()};
}

AttemptHead decodeAttempt(const Wire::Attempt &attempt, TimePoint deadline)
{
    AttemptHead head;
    head.id = {attempt.node(), attempt.stream()};
    head.service = attempt.service()->str();
    head.targetHost = attempt.target_host()->str();
    head.method = attempt.method()->str();
    head.path = attempt.path()->str();
    head.headers = readFields(attempt.fields());
    if (attempt.has_length()) {
        head.bodyLength = attempt.body_length();
    }
    head.deadline = deadline;
    head.requestClass = static_cast<RequestClass>(std::min<std::uint8_t>(attempt.request_class(), static_cast<std::uint8_t>(RequestClass::Bulk)));
    head.idempotent = attempt.idempotent();
    head.depth = attempt.depth();
    head.version = {attempt.epoch(), attempt.revision()};
    return head;
}

AnswerHead decodeAnswer(const Wire::Answer &answer)
{
    AnswerHead head;
    head.status = answer.status();
    head.headers = readFields(answer.fields());
    if (answer.has_length()) {
        head.bodyLength = answer.body_length();
    }
    head.load = decodeLoad(answer.load());
    return head;
}

AttemptEnd decodeAttemptEnd(const Wire::AttemptEnd &end)
{
    AttemptEnd decoded;
    decoded.outcome = end.outcome() <= Wire::WireOutcome::Unknown ? static_cast<Outcome>(end.outcome()) : Outcome::Unknown;
    decoded.reason = end.reason() <= static_cast<std::uint8_t>(Reason::WrongHost) ? static_cast<Reason>(end.reason()) : Reason::None;
    decoded.complete = end.complete();
    decoded.retriedBelow = end.retried_below();
    decoded.retryAfter = milliseconds(end.retry_after_ms());
    decoded.load = decodeLoad(end.load());
    return decoded;
}

} // namespace Fescuenotch
