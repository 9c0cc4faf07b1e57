// Sections: encode parts, encode bodies, decode parts, decode bodies, entry points.
#include "wire/controlcodec.h"

#include "wire/control_generated.h"

#include <algorithm>
#include <array>

namespace Fescuenotch {
namespace {

namespace Wire = ControlWire;
using Builder = flatbuffers::FlatBufferBuilder;
template<typename T>
using Offset = flatbuffers::Offset<T>;

constexpr std::size_t InitialBuilderBytes = 1024;
constexpr std::size_t MinControlBytes = 16; ///< shorter buffers cannot hold the root and its identifier
constexpr flatbuffers::uoffset_t MaxTableDepth = 8;
constexpr flatbuffers::uoffset_t MaxTables = 8192;

// ---- encode parts

Wire::Mark mark(const Version &version)
{
    return Wire::Mark(version.epoch, version.revision);
}

/// Writes a vector of tables, one call of `one` for each item.
template<typename Table, typename Items, typename One>
auto tables(Builder &builder, const Items &items, One one)
{
    std::vector<Offset<Table>> offsets;
    offsets.reserve(items.size());
    for (const auto &it : items) {
        offsets.push_back(one(builder, it));
    }
    return builder.CreateVector(offsets);
}

Offset<Wire::Member> put(Builder &b, const MemberEntry &m)
{
    const auto host = b.CreateString(m.host);
    const auto dataCentre = b.CreateSharedString(m.dataCentre);
    const auto service = b.CreateSharedString(m.service);
    return Wire::CreateMember(b, host, m.port, dataCentre, service, m.incarnation, m.refutation, static_cast<std::uint8_t>(m.state));
}

Offset<Wire::Record> put(Builder &b, const Record &r)
{
    const auto version = mark(r.version);
    const auto key = b.CreateString(r.key);
    const auto value = r.value ? b.CreateString(*r.value) : Offset<flatbuffers::String>();
    return Wire::CreateRecord(b, key, &version, value);
}

Offset<Wire::Announcement> put(Builder &b, const Announcement &a)
{
    const auto version = mark(a.version);
    return Wire::CreateAnnouncement(b, b.CreateString(a.key), &version, a.size);
}

Offset<Wire::KeyMarks> put(Builder &b, const KeyVersions &k)
{
    const auto newest = mark(k.newest);
    const auto valid = mark(k.newestValid);
    return Wire::CreateKeyMarks(b, b.CreateString(k.key), &newest, &valid);
}

Offset<Wire::SummaryLine> put(Builder &b, const SummaryLine &line)
{
    const auto counts = tables<Wire::VersionCount>(b, line.counts, [](Builder &into, const VersionCount &count) {
        const auto version = mark(count.version);
        return Wire::CreateVersionCount(into, &version, count.nodes);
    });
    const auto profile = b.CreateSharedString(line.profile);
    const auto dataCentre = b.CreateSharedString(line.dataCentre);
    return Wire::CreateSummaryLine(b, profile, dataCentre, counts, line.rejecting, line.silent, static_cast<std::uint64_t>(line.lag.count()));
}

template<typename Table, typename Items>
auto list(Builder &builder, const Items &items)
{
    return tables<Table>(builder, items, [](Builder &b, const auto &it) { return put(b, it); });
}

// ---- encode bodies

struct BodyWriter {
    Builder &b;

    Offset<Wire::Push> operator()(const PushBody &v) const
    {
        const auto root = b.CreateString(v.root);
        const auto records = list<Wire::Record>(b, v.records);
        return Wire::CreatePush(b, root, records, list<Wire::Announcement>(b, v.announcements));
    }
    Offset<Wire::Records> operator()(const RecordsBody &v) const
    {
        const auto records = list<Wire::Record>(b, v.records);
        return Wire::CreateRecords(b, records, list<Wire::Announcement>(b, v.announcements));
    }
    Offset<Wire::Digest> operator()(const DigestBody &v) const
    {
        const auto highWater = mark(v.highWater);
        const auto heard = mark(v.highestHeard);
        return Wire::CreateDigest(b, v.nonce, v.answer, v.trusted, &highWater, &heard, v.hash, v.membersHash, v.membersKnown, v.collecting);
    }
    Offset<Wire::RecordBuckets> operator()(const RecordBucketsBody &v) const
    {
        return Wire::CreateRecordBuckets(b, b.CreateVector(v.hashes));
    }
    Offset<Wire::RecordVersions> operator()(const RecordVersionsBody &v) const
    {
        const auto buckets = b.CreateVector(v.buckets);
        return Wire::CreateRecordVersions(b, buckets, v.total, list<Wire::KeyMarks>(b, v.keys));
    }
    Offset<Wire::Pull> operator()(const PullBody &v) const
    {
        return Wire::CreatePull(b, b.CreateVectorOfStrings(v.keys));
    }
    Offset<Wire::ChunkPull> operator()(const ChunkPullBody &v) const
    {
        const auto version = mark(v.version);
        return Wire::CreateChunkPull(b, b.CreateString(v.key), &version, v.offset);
    }
    Offset<Wire::Chunk> operator()(const ChunkBody &v) const
    {
        const auto version = mark(v.version);
        const auto key = b.CreateString(v.key);
        return Wire::CreateChunk(b, key, &version, v.offset, v.total, b.CreateString(v.bytes));
    }
    Offset<Wire::MemberNews> operator()(const MemberNewsBody &v) const
    {
        const auto root = b.CreateString(v.root);
        return Wire::CreateMemberNews(b, root, list<Wire::Member>(b, v.members));
    }
    Offset<Wire::MemberBuckets> operator()(const MemberBucketsBody &v) const
    {
        return Wire::CreateMemberBuckets(b, b.CreateVector(v.hashes));
    }
    Offset<Wire::MemberSet> operator()(const MemberSetBody &v) const
    {
        const auto buckets = b.CreateVector(v.buckets);
        return Wire::CreateMemberSet(b, buckets, v.total, list<Wire::Member>(b, v.members), v.answer);
    }
    Offset<Wire::ProbeRequest> operator()(const ProbeRequestBody &v) const
    {
        return Wire::CreateProbeRequest(b, put(b, v.member));
    }
    Offset<Wire::ProbeAnswer> operator()(const ProbeAnswerBody &v) const
    {
        return Wire::CreateProbeAnswer(b, b.CreateString(v.host), v.incarnation, v.refutation);
    }
    Offset<Wire::Beacon> operator()(const BeaconBody &v) const
    {
        const auto highWater = mark(v.highWater);
        const auto reader = put(b, v.reader);
        const auto summary = list<Wire::SummaryLine>(b, v.summary);
        return Wire::CreateBeacon(b, reader, v.sequence, static_cast<std::uint64_t>(v.platformAge.count()), &highWater, v.relay, summary);
    }
    Offset<Wire::Summary> operator()(const SummaryBody &v) const
    {
        return Wire::CreateSummary(b, list<Wire::SummaryLine>(b, v.lines));
    }
};

// ---- decode parts

/// A cap was passed; turned into an error at the entry point.
struct CapPassed {
    const char *what;
};

Version version(const Wire::Mark *m)
{
    return Version{m->epoch(), m->revision()};
}

std::string text(const flatbuffers::String *s, std::size_t cap = MaxTextBytes)
{
    if (s == nullptr) {
        return {};
    }
    if (s->size() > cap) {
        throw CapPassed{"a text is too long"};
    }
    return s->str();
}

template<typename Vector>
std::size_t countOf(const Vector *items, std::size_t cap)
{
    const std::size_t n = items == nullptr ? 0 : items->size();
    if (n > cap) {
        throw CapPassed{"a list is too long"};
    }
    return n;
}

milliseconds duration(std::uint64_t count)
{
    constexpr std::uint64_t MaxMilliseconds = 1'000'000'000;
    return milliseconds(static_cast<std::int64_t>(std::min(count, MaxMilliseconds)));
}

MemberEntry get(const Wire::Member *m)
{
    if (m->state() > static_cast<std::uint8_t>(MemberState::Leaving)) {
        throw CapPassed{"a member state is unknown"};
    }
    const auto state = static_cast<MemberState>(m->state());
    return {text(m->host()), m->port(), text(m->data_centre()), text(m->service()), m->incarnation(), m->refutation(), state};
}

Record get(const Wire::Record *r)
{
    Record record{text(r->key()), version(r->version()), {}};
    if (r->value() != nullptr) {
        record.value = text(r->value(), MaxValueBytes);
    }
    return record;
}

Announcement get(const Wire::Announcement *a)
{
    if (a->size() > MaxValueBytes) {
        throw CapPassed{"an announced value is too large"};
    }
    return {text(a->key()), version(a->version()), a->size()};
}

KeyVersions get(const Wire::KeyMarks *k)
{
    return {text(k->key()), version(k->newest()), version(k->newest_valid())};
}

SummaryLine get(const Wire::SummaryLine *line)
{
    SummaryLine out{text(line->profile()), text(line->data_centre()), {}, line->rejecting(), line->silent(), duration(line->lag_ms())};
    const std::size_t n = countOf(line->counts(), MaxVersionCounts);
    for (flatbuffers::uoffset_t i = 0; i < n; ++i) {
        const auto *count = line->counts()->Get(i);
        out.counts.push_back({version(count->version()), count->nodes()});
    }
    return out;
}

template<typename T, typename Vector>
std::vector<T> getList(const Vector *items, std::size_t cap)
{
    const std::size_t n = countOf(items, cap);
    std::vector<T> out;
    out.reserve(n);
    for (flatbuffers::uoffset_t i = 0; i < n; ++i) {
        out.push_back(get(items->Get(i)));
    }
    return out;
}

template<typename T>
std::vector<T> getNumbers(const flatbuffers::Vector<T> *items)
{
    countOf(items, BucketCount);
    return items == nullptr ? std::vector<T>() : std::vector<T>(items->begin(), items->end());
}

// ---- decode bodies

PushBody get(const Wire::Push *v)
{
    return {text(v->root()), getList<Record>(v->records(), MaxRecordsPerMessage), getList<Announcement>(v->announcements(), MaxRecordsPerMessage)};
}
RecordsBody get(const Wire::Records *v)
{
    return {getList<Record>(v->records(), MaxRecordsPerMessage), getList<Announcement>(v->announcements(), MaxRecordsPerMessage)};
}
DigestBody get(const Wire::Digest *v)
{
    return {v->nonce(),
            v->answer(),
            v->trusted(),
            version(v->high_water()),
            version(v->highest_heard()),
            v->hash(),
            v->members_hash(),
            v->members_known(),
            v->collecting()};
}
RecordBucketsBody get(const Wire::RecordBuckets *v)
{
    return {getNumbers(v->hashes())};
}
RecordVersionsBody get(const Wire::RecordVersions *v)
{
    return {getNumbers(v->buckets()), v->total(), getList<KeyVersions>(v->keys(), MaxKeysPerMessage)};
}
PullBody get(const Wire::Pull *v)
{
    PullBody body;
    const std::size_t n = countOf(v->keys(), MaxKeysPerMessage);
    for (flatbuffers::uoffset_t i = 0; i < n; ++i) {
        body.keys.push_back(text(v->keys()->Get(i)));
    }
    return body;
}
ChunkPullBody get(const Wire::ChunkPull *v)
{
    return {text(v->key()), version(v->version()), v->offset()};
}
ChunkBody get(const Wire::Chunk *v)
{
    if (v->total() > MaxValueBytes) {
        throw CapPassed{"a chunked value is too large"};
    }
    return {text(v->key()), version(v->version()), v->offset(), v->total(), text(v->bytes(), ChunkBytes)};
}
MemberNewsBody get(const Wire::MemberNews *v)
{
    return {text(v->root()), getList<MemberEntry>(v->members(), MaxMembersPerMessage)};
}
MemberBucketsBody get(const Wire::MemberBuckets *v)
{
    return {getNumbers(v->hashes())};
}
MemberSetBody get(const Wire::MemberSet *v)
{
    return {getNumbers(v->buckets()), v->total(), getList<MemberEntry>(v->members(), MaxMembersPerMessage), v->answer()};
}
ProbeRequestBody get(const Wire::ProbeRequest *v)
{
    return {get(v->member())};
}
ProbeAnswerBody get(const Wire::ProbeAnswer *v)
{
    return {text(v->host()), v->incarnation(), v->refutation()};
}
BeaconBody get(const Wire::Beacon *v)
{
    return {get(v->reader()),
            v->sequence(),
            duration(v->platform_age_ms()),
            version(v->high_water()),
            v->relay(),
            getList<SummaryLine>(v->summary(), MaxSummaryLines)};
}
SummaryBody get(const Wire::Summary *v)
{
    return {getList<SummaryLine>(v->lines(), MaxSummaryLines)};
}

ControlBody getBody(const Wire::Control *control)
{
    switch (control->body_type()) {
    case Wire::Body::Push:
        return get(control->body_as_Push());
    case Wire::Body::Records:
        return get(control->body_as_Records());
    case Wire::Body::Digest:
        return get(control->body_as_Digest());
    case Wire::Body::RecordBuckets:
        return get(control->body_as_RecordBuckets());
    case Wire::Body::RecordVersions:
        return get(control->body_as_RecordVersions());
    case Wire::Body::Pull:
        return get(control->body_as_Pull());
    case Wire::Body::ChunkPull:
        return get(control->body_as_ChunkPull());
    case Wire::Body::Chunk:
        return get(control->body_as_Chunk());
    case Wire::Body::MemberNews:
        return get(control->body_as_MemberNews());
    case Wire::Body::MemberBuckets:
        return get(control->body_as_MemberBuckets());
    case Wire::Body::MemberSet:
        return get(control->body_as_MemberSet());
    case Wire::Body::ProbeRequest:
        return get(control->body_as_ProbeRequest());
    case Wire::Body::ProbeAnswer:
        return get(control->body_as_ProbeAnswer());
    case Wire::Body::Beacon:
        return get(control->body_as_Beacon());
    case Wire::Body::Summary:
        return get(control->body_as_Summary());
    case Wire::Body::NONE:
        break;
    }
    throw CapPassed{"the body is of an unknown kind"};
}

auto invalid(const std::string &what)
{
    return fail(ErrorKind::InvalidFrame, "control message: " + what, "check that the peer runs a compatible fescuenotch");
}

} // namespace

// ---- entry points

const char *controlKind(const ControlBody &body)
{
    static constexpr std::array<const char *, std::variant_size_v<ControlBody>> Names{"push",
                                                                                      "records",
                                                                                      "digest",
                                                                                      "record-buckets",
                                                                                      "record-versions",
                                                                                      "pull",
                                                                                      "chunk-pull",
                                                                                      "chunk",
                                                                                      "member-news",
                                                                                      "member-buckets",
                                                                                      "member-set",
                                                                                      "probe-request",
                                                                                      "probe-answer",
                                                                                      "beacon",
                                                                                      "summary"};
    return Names.at(body.index());
}

std::string encodeControl(const ControlMessage &message)
{
    Builder b(InitialBuilderBytes);
    const auto sender = put(b, message.sender);
    const auto news = list<Wire::Member>(b, message.news);
    const auto body = std::visit([&b](const auto &v) { return BodyWriter{b}(v).Union(); }, message.body);
    const auto type = static_cast<Wire::Body>(message.body.index() + 1);
    Wire::FinishControlBuffer(b, Wire::CreateControl(b, sender, news, type, body));
    return {reinterpret_cast<const char *>(b.GetBufferPointer()), b.GetSize()};
}

Result<ControlMessage> decodeControl(const std::string &bytes)
{
    if (bytes.size() > MaxControlBytes) {
        return invalid(std::to_string(bytes.size()) + " bytes are over the cap");
    }
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), MaxTableDepth, MaxTables);
    if (bytes.size() < MinControlBytes || !Wire::VerifyControlBuffer(verifier)) {
        return invalid("the buffer does not verify");
    }
    const auto *control = Wire::GetControl(data);
    try {
        return ControlMessage{get(control->sender()), getList<MemberEntry>(control->news(), MaxNewsPerMessage), getBody(control)};
    } catch (const CapPassed &e) {
        return invalid(e.what);
    }
}

} // namespace Fescuenotch
