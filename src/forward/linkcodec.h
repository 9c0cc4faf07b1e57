// Frames of a link between two nodes of the mesh: FlatBuffers, verified on receipt.
//
// How to use: `LinkFrameReader::append` what a socket gave and take frames with `next`. The `encode...` functions give the
// bytes of one whole frame each. Times travel as time left, with the time of sending: see `ClockOffset`.
// Pitfall: a frame's pointer is valid until the next call of `append` or `next`.
#pragma once

#include "forward/types.h"
#include "mesh/targets.h"
#include "wire/framecutter.h"
#include "wire/mesh_generated.h"

namespace Fescuenotch {

constexpr std::uint32_t LinkProtocol = 1;
constexpr std::uint32_t MaxLinkFrameBytes = 8 * 1024 * 1024; ///< bytes; a whole configuration, compressed
constexpr std::uint32_t MaxGreetingBytes = 4 * 1024; ///< bytes; cap until the other side has said who it is

class LinkFrameReader
{
public:
    void append(std::string_view bytes)
    {
        m_cutter.append(bytes);
    }
    /// The next whole frame, null when more bytes are needed; InvalidFrame when the bytes cannot be a frame.
    Result<const MeshWire::LinkFrame *> next();
    void allowLargeFrames()
    {
        m_cutter.setCap(MaxLinkFrameBytes);
    }

private:
    FrameCutter m_cutter{MaxGreetingBytes};
};

/// Works out how long a message was on its way, from the smallest difference between the two clocks that was seen.
class ClockOffset
{
public:
    /// `sentAt` on the sender's clock. Gives the time on the way beyond the shortest one seen.
    Duration transitTime(std::int64_t sentAt, TimePoint now);

private:
    std::optional<std::int64_t> m_minDifference; ///< ns; least difference between the clocks
};

struct LinkIdentity {
    std::string host;
    std::string dataCentre;
    std::uint64_t incarnation = 0; ///< of this start of the node
};

/// What a node tells with each pulse.
struct LinkHeartbeat {
    std::string targetId; ///< that the report is about; empty: none
    TargetReport report;
    std::uint64_t configuration = 0; ///< version in force; 0: none
    std::uint64_t storeRevision = 0; ///< the view of the targets is whole up to here
    std::uint64_t targetsDigest = 0;
    unsigned linkMbps = 0; ///< Mbit/s of the sender's link
    Duration storeAge = Duration::max(); ///< since the store answered this node; max: it does not watch the store
};

std::int64_t toWireTime(TimePoint now); ///< ns

std::string encodeGreeting(const LinkIdentity &self, TimePoint now);
std::string encodeHeartbeat(const LinkHeartbeat &heartbeat, TimePoint now);
std::string encodeKeepAlive(TimePoint now);
std::string encodeOpen(std::uint64_t stream, const ForwardRequest &request, TimePoint now);
std::string encodeRequestBody(std::uint64_t stream, std::string_view bytes, bool last);
std::string encodeForwardAnswer(std::uint64_t stream, const ForwardAnswer &answer);
std::string encodeAnswerBody(std::uint64_t stream, std::string_view bytes);
std::string encodeEnded(std::uint64_t stream, const ForwardEnd &end);
std::string encodeCredit(std::uint64_t stream, std::size_t bytes);
std::string encodeLinkCancel(std::uint64_t stream);

LinkIdentity decodeGreeting(const MeshWire::Greeting &greeting);
LinkHeartbeat decodeHeartbeat(const MeshWire::Pulse &heartbeat);
/// `onTheWay` is taken off the times that were left when it was sent.
ForwardRequest decodeOpen(const MeshWire::Open &open, TimePoint now, Duration transitTime);
ForwardAnswer decodeForwardAnswer(const MeshWire::Answer &answer);
ForwardEnd decodeEnded(const MeshWire::Ended &ended);
std::string_view toStringView(const flatbuffers::Vector<std::uint8_t> *bytes);

} // namespace Fescuenotch
