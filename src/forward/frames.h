// What the codecs of links between nodes share: finishing a frame, reading an optional text.
#pragma once

#include "wire/mesh_generated.h"

#include <string>

namespace Fescuenotch {

/// Bytes of one whole frame around a message that was built in `fbb`.
template<typename T>
std::string finishFrame(flatbuffers::FlatBufferBuilder &fbb, flatbuffers::Offset<T> message)
{
    const auto frame = MeshWire::CreateLinkFrame(fbb, MeshWire::LinkMessageTraits<T>::enum_value, message.Union());
    MeshWire::FinishSizePrefixedLinkFrameBuffer(fbb, frame);
    return {reinterpret_cast<const char *>(fbb.GetBufferPointer()), fbb.GetSize()};
}

inline std::string stringOrEmpty(const flatbuffers::String *text)
{
    return text == nullptr ? std::string() : text->str();
}

} // namespace Fescuenotch
