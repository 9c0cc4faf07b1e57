// Encodes and decodes the frames of a link between two nodes of the mesh. Frames are size-prefixed FlatBuffers
// (wire/mesh.fbs) and are verified on receipt.
//
// How to use: pass received bytes to `LinkFrameReader::append` and call `next` until it returns null. Each `encode...`
// function returns the bytes of one complete frame. Nodes do not share a clock, so deadlines travel as remaining time,
// together with the time of sending; see `ClockOffset`.
//
// Pitfall: the pointer to a frame is valid only until the next call of `append` or `next`.
#pragma once

#include "forward/types.h"
#include "mesh/crashsuspects.h"
#include "mesh/targets.h"
#include "wire/framecutter.h"
#include "wire/mesh_generated.h"

namespace Fescuenotch {

constexpr std::uint32_t LinkProtocol = 1;
constexpr std::uint32_t MaxLinkFrameBytes = 8 * 1024 * 1024; ///< bytes; fits a complete compressed configuration
constexpr std::uint32_t MaxGreetingBytes = 4 * 1024; ///< bytes; limit before the greeting, so that an unknown peer cannot make the node buffer much

/// Splits the bytes received on a link into verified frames.
class LinkFrameReader
{
public:
    void append(std::string_view bytes)
    {
        m_cutter.append(bytes);
    }
    /// The next complete frame, or null if more bytes are needed. Error InvalidFrame if the bytes are not a valid frame.
    Result<const MeshWire::LinkFrame *> next();
    /// Raises the frame limit from MaxGreetingBytes to MaxLinkFrameBytes. Call it once the peer has sent its greeting.
    void allowLargeFrames()
    {
        m_cutter.setCap(MaxLinkFrameBytes);
    }

private:
    FrameCutter m_cutter{MaxGreetingBytes};
};

/// Estimates the transit time of messages without synchronized clocks. The smallest difference seen between receive
/// time and send time stands for the clock offset plus the shortest transit time; what exceeds it is extra delay.
class ClockOffset
{
public:
    /// Transit time in excess of the shortest one seen so far. `sentAt` is in ns on the sender's clock.
    Duration transitTime(std::int64_t sentAt, TimePoint now);

private:
    std::optional<std::int64_t> m_minDifference; ///< ns; receive time minus send time
};

struct LinkIdentity {
    std::string host;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< differs for each start of the node
};

/// Status of a node, sent with each heartbeat (wire table Pulse).
struct LinkHeartbeat {
    std::string targetId; ///< target described by `report`; empty: none
    TargetReport report;
    std::uint64_t configuration = 0; ///< version of the configuration in force; 0: none
    StorePosition storePosition; ///< the sender's list of targets includes every change up to here
    std::uint64_t targetsDigest = 0; ///< digest of the sender's list of targets
    std::uint64_t lifetimesDigest = 0; ///< digest of the starts of those targets; 0: not stated, by a node of the build before
    std::uint64_t evacuationsDigest = 0; ///< digest of the evacuations that the sender knows; 0: it knows none of their states
    CrashNews crashes; ///< times on the clock of the node that holds it
    unsigned linkMbps = 0; ///< Mbit/s; bandwidth of the sender's host link
    Duration storeAge = Duration::max(); ///< time since the store last answered the sender; max: the sender does not watch the store
};

std::int64_t toWireTime(TimePoint now); ///< ns since the epoch of the local clock

std::string encodeGreeting(const LinkIdentity &self, TimePoint now);
/// A heartbeat with the status of the node.
std::string encodeHeartbeat(const LinkHeartbeat &heartbeat, TimePoint now);
/// A frame that only shows that the link is alive (wire table Beat). The status of the last heartbeat still applies, except
/// that its `storeAge` has grown since.
std::string encodeKeepAlive(TimePoint now);
std::string encodeOpen(std::uint64_t stream, const ForwardRequest &request, TimePoint now);
std::string encodeRequestBody(std::uint64_t stream, std::string_view bytes, bool last);
std::string encodeForwardAnswer(std::uint64_t stream, const ForwardAnswer &answer);
std::string encodeAnswerBody(std::uint64_t stream, std::string_view bytes);
std::string encodeEnded(std::uint64_t stream, const ForwardEnd &end);
/// Grants the other side `bytes` more of a body.
std::string encodeCredit(std::uint64_t stream, std::size_t bytes);
std::string encodeLinkCancel(std::uint64_t stream);
/// Replaces the deadline of an open request by an earlier one. Nodes that do not know the frame ignore it.
std::string encodeDeadline(std::uint64_t stream, TimePoint deadline, TimePoint now);

LinkIdentity decodeGreeting(const MeshWire::Greeting &greeting);
LinkHeartbeat decodeHeartbeat(const MeshWire::Pulse &heartbeat, TimePoint now);
/// Subtracts `transitTime` from the remaining times that the frame states, to get deadline and goal on the local clock.
ForwardRequest decodeOpen(const MeshWire::Open &open, TimePoint now, Duration transitTime);
ForwardAnswer decodeForwardAnswer(const MeshWire::Answer &answer);
ForwardEnd decodeEnded(const MeshWire::Ended &ended);
/// Empty if `bytes` is null.
std::string_view toStringView(const flatbuffers::Vector<std::uint8_t> *bytes);

} // namespace Fescuenotch
