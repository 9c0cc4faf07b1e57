// FlatBuffers codec of the control messages.
//
// How to use: `encodeControl` gives the bytes of one message; `decodeControl` verifies the buffer and every cap of
// src/spread/messages.h before it copies anything, and fails with InvalidFrame. The transport adds its own framing.
// Pitfall: what passes here is well-formed, not true; a list may still name hosts that do not exist.
#pragma once

#include "spread/messages.h"

namespace Fescuenotch {

std::string encodeControl(const ControlMessage &message);
/// Error InvalidFrame: the buffer does not verify, or a count, a text or a value is over its cap.
Result<ControlMessage> decodeControl(const std::string &bytes);

} // namespace Fescuenotch
