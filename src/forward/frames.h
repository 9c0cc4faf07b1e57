// Helpers shared by the codecs of links between nodes (linkcodec.cpp, statecodec.cpp).
#pragma once

#include "wire/mesh_generated.h"

#include <string>

namespace Fescuenotch {

/// Wraps `message`, built in `fbb`, in a size-prefixed LinkFrame and returns the bytes of the frame.
template<typename T>
std::string finishFrame(flatbuffers::FlatBufferBuilder &fbb, flatbuffers::Offset<T> message)
{
    const auto frame = MeshWire::CreateLinkFrame(fbb, MeshWire::LinkMessageTraits<T>::enum_value, message.Union());
    MeshWire::FinishSizePrefixedLinkFrameBuffer(fbb, frame);
    return {reinterpret_cast<const char *>(fbb.GetBufferPointer()), fbb.GetSize()};
}

/// The value of an optional FlatBuffers string; empty when the field is absent.
inline std::string stringOrEmpty(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

} // namespace Fescuenotch
