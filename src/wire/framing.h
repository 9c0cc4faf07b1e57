// Frames between nodes: size-prefixed FlatBuffers, verified on receipt.
//
// How to use: `FrameReader::append` what a socket gave, then take frames with `next` until it gives none. Encode with
// the functions below; each gives the bytes of one whole frame.
// Pitfall: a frame's pointer is valid until the next call of `append` or `next`.
#pragma once

#include "kernel/errors.h"
#include "plugins/interfaces.h"
#include "wire/framecutter.h"
#include "wire/peer_generated.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Fescuenotch {

constexpr std::uint32_t ProtocolVersion = 1;
constexpr std::uint32_t MaxFrameBytes = 2 * 1024 * 1024; ///< bytes; a control message carries a value of up to 1 MiB
constexpr std::uint32_t MaxHelloBytes = 4 * 1024; ///< bytes; cap until the other side has said who it is
constexpr std::size_t MaxPieceBytes = 64 * 1024; ///< bytes; body bytes in one frame
constexpr std::uint32_t StreamWindowBytes = 256 * 1024; ///< bytes; body bytes of one stream on the way and not yet taken

/// Cuts a byte stream into verified frames.
class FrameReader
{
public:
    void append(Bytes bytes);
    /// The next whole frame, null when more bytes are needed; InvalidFrame when the bytes cannot be a frame.
    Result<const Wire::PeerFrame *> next();
    /// Raises the cap from MaxHelloBytes to MaxFrameBytes.
    void allowLargeFrames();
    std::size_t lastFrameBytes() const ///< bytes; size of the frame that `next` gave
    {
        return m_cutter.frame().size();
    }

private:
    FrameCutter m_cutter{MaxHelloBytes};
};

/// Who speaks on a link, from its Hello.
struct PeerIdentity {
    Endpoint endpoint; ///< where it listens
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    Wire::LinkKind kind = Wire::LinkKind::Control;
};

std::string encodeHello(const PeerIdentity &self, TimePoint now);
std::string encodeHeartbeat(const TargetLoad &load, TimePoint now);
std::string encodeGoodbye();
std::string encodeControl(const std::string &kind, const std::string &bytes);
std::string encodeAttempt(const AttemptHead &head, TimePoint now);
std::string encodePiece(std::uint64_t stream, Bytes bytes);
std::string encodePiecesEnd(std::uint64_t stream);
std::string encodeWindow(std::uint64_t stream, std::uint32_t bytes);
std::string encodeAnswer(std::uint64_t stream, const AnswerHead &head);
std::string encodeAttemptEnd(std::uint64_t stream, const AttemptEnd &end);
std::string encodeCancel(std::uint64_t stream);

PeerIdentity decodeHello(const Wire::Hello &hello);
TargetLoad decodeLoad(const Wire::Load *load);
/// `deadline` is the local time that the transport worked out.
AttemptHead decodeAttempt(const Wire::Attempt &attempt, TimePoint deadline);
AnswerHead decodeAnswer(const Wire::Answer &answer);
AttemptEnd decodeAttemptEnd(const Wire::AttemptEnd &end);

} // namespace Fescuenotch
