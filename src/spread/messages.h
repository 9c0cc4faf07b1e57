// The control messages that nodes exchange, as typed aggregates.
//
// How to use: fill a body, wrap it in a `ControlMessage` and encode it with src/wire/controlcodec.h. Each list has a
// cap below; who fills a list splits what is longer over several messages.
#pragma once

#include "config/store.h"
#include "spread/spreadcore.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Fescuenotch {

constexpr std::size_t MaxControlBytes = 512 * 1024; ///< bytes of one encoded message
constexpr std::size_t MaxRecordsPerMessage = 256; ///< records and announcements, each
constexpr std::size_t MaxKeysPerMessage = 512; ///< keys of a pull or of a version list
constexpr std::size_t MaxMembersPerMessage = 64;
constexpr std::size_t MaxNewsPerMessage = 4; ///< member entries that ride on any message
constexpr std::size_t MaxSummaryLines = 16; ///< lines of one summary or beacon
constexpr std::size_t MaxVersionCounts = 4; ///< distinct versions of one summary line
constexpr std::size_t MaxTextBytes = 256; ///< a key or a name
constexpr std::size_t MaxInlineValueBytes = 64 * 1024; ///< a larger value is announced and pulled in chunks
constexpr std::size_t MaxValueBytes = 1024 * 1024;
constexpr std::size_t ChunkBytes = 32 * 1024;
constexpr std::size_t BatchValueBytes = 128 * 1024; ///< values of one push or records message
constexpr std::size_t BucketCount = 64; ///< buckets of a comparison

/// A member as one node knows it. Order of news: incarnation, then refutation, then the severity of the state.
struct MemberEntry {
    std::string host; ///< IPv4 number, the identity
    std::uint16_t port = 0; ///< of its peer address
    std::string dataCentre;
    std::string service;
    std::uint64_t incarnation = 0; ///< 0: only read from the host list so far
    std::uint32_t refutation = 0; ///< raised by the member itself each time it is wrongly suspected
    MemberState state = MemberState::Alive;
    bool operator==(const MemberEntry &) const = default;
};

/// A value too large to push: who lacks it pulls it in chunks.
struct Announcement {
    std::string key;
    Version version;
    std::uint32_t size = 0; ///< bytes
};

/// Changed records on their way down the tree of `root`.
struct PushBody {
    std::string root; ///< host of the reader that began this push
    std::vector<Record> records;
    std::vector<Announcement> announcements;
};

/// Answer to a pull, or what a comparison found the other side to lack.
struct RecordsBody {
    std::vector<Record> records;
    std::vector<Announcement> announcements;
};

/// What a node holds, in short. It is also the liveness probe: a digest that is no answer is always answered by one.
struct DigestBody {
    std::uint64_t nonce = 0; ///< repeated in the answer
    bool answer = false;
    bool trusted = false; ///< the sender trusts its own view
    Version highWater;
    Version highestHeard; ///< highest mark that the sender knows to exist
    std::uint64_t hash = 0; ///< over its records
    std::uint64_t membersHash = 0; ///< over its members that are not dead
    bool membersKnown = false; ///< the sender knows the whole fleet, not only who spoke to it
    bool collecting = false; ///< it holds changes that it will push soon; a steady peer need not compare yet
};

/// One 32 bit hash per bucket of keys; the answer is a RecordVersionsBody.
struct RecordBucketsBody {
    std::vector<std::uint32_t> hashes;
};
/// Every key of the listed buckets; `total` buckets differ, over all messages of this answer.
struct RecordVersionsBody {
    std::vector<std::uint8_t> buckets;
    std::uint32_t total = 0;
    std::vector<KeyVersions> keys;
};
struct PullBody {
    std::vector<std::string> keys;
};
struct ChunkPullBody {
    std::string key;
    Version version;
    std::uint32_t offset = 0; ///< bytes
};
struct ChunkBody {
    std::string key;
    Version version;
    std::uint32_t offset = 0; ///< bytes
    std::uint32_t total = 0; ///< bytes of the whole value
    std::string bytes;
};

/// News about members on its way down the tree of `root`.
struct MemberNewsBody {
    std::string root;
    std::vector<MemberEntry> members;
};
/// One hash per bucket of hosts; the answer is a MemberSetBody.
struct MemberBucketsBody {
    std::vector<std::uint32_t> hashes;
};
/// Every member of the listed buckets that is not dead; `total` buckets differ. The receiver gives back what the
/// sender lacks, once.
struct MemberSetBody {
    std::vector<std::uint8_t> buckets;
    std::uint32_t total = 0;
    std::vector<MemberEntry> members;
    bool answer = false; ///< it answers another set; no further answer
};
/// Asks the receiver to probe a member that does not answer the sender, and to tell it when it is suspected.
struct ProbeRequestBody {
    MemberEntry member;
};
/// The probed member answered.
struct ProbeAnswerBody {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint32_t refutation = 0;
};

/// How many nodes of a data centre have which version of a profile in force.
struct VersionCount {
    Version version;
    std::uint32_t nodes = 0;
    bool operator==(const VersionCount &) const = default;
};
struct SummaryLine {
    std::string profile;
    std::string dataCentre;
    std::vector<VersionCount> counts; ///< newest first
    std::uint32_t rejecting = 0; ///< nodes
    std::uint32_t silent = 0; ///< nodes; known by the first reader only
    milliseconds lag{0}; ///< ms; known by the first reader only
    bool operator==(const SummaryLine &) const = default;
};

/// A reader tells that it is at work, and up to which mark it has pushed.
struct BeaconBody {
    MemberEntry reader;
    std::uint64_t sequence = 0; ///< raised by each beacon of this incarnation
    milliseconds platformAge{0}; ///< ms since the platform last answered it
    Version highWater;
    bool relay = false; ///< true: on its way down the tree; false: between data centres
    std::vector<SummaryLine> summary;
};
/// A subtree's spread, on its way up to the first reader.
struct SummaryBody {
    std::vector<SummaryLine> lines;
};

using ControlBody = std::variant<PushBody,
                                 RecordsBody,
                                 DigestBody,
                                 RecordBucketsBody,
                                 RecordVersionsBody,
                                 PullBody,
                                 ChunkPullBody,
                                 ChunkBody,
                                 MemberNewsBody,
                                 MemberBucketsBody,
                                 MemberSetBody,
                                 ProbeRequestBody,
                                 ProbeAnswerBody,
                                 BeaconBody,
                                 SummaryBody>;

/// Name of a body for counters, e.g. "push".
const char *controlKind(const ControlBody &body);

struct ControlMessage {
    MemberEntry sender; ///< as the sender knows itself
    std::vector<MemberEntry> news; ///< recent member news that ride along
    ControlBody body;
};

} // namespace Fescuenotch
