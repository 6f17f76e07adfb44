#pragma once

#include <string>

#include <flatbuffers/flatbuffers.h>

#include "control/codecs.h"
#include "control/generated/control_generated.h"

// Helpers shared by the codecs of this package; not part of its public interface.
namespace Galenabarrow::Control::CodecParts
{

using Builder = flatbuffers::FlatBufferBuilder;

/// Verifies \p bytes as a buffer whose root table is \p Table and returns the table; null when the verification fails.
template<typename Table>
const Table *verifiedRoot(ByteView bytes)
{
    constexpr std::size_t MinimumSize = 8; // below that, the verifier would read the root offset out of bounds
    constexpr flatbuffers::uoffset_t MaxDepth = 16;
    constexpr flatbuffers::uoffset_t MaxTables = 2000000;
    flatbuffers::Verifier verifier(bytes.data(), bytes.size(), MaxDepth, MaxTables);
    if (bytes.size() < MinimumSize || !verifier.VerifyBuffer<Table>(nullptr)) {
        return nullptr;
    }
    return flatbuffers::GetRoot<Table>(bytes.data());
}

template<typename Table>
Bytes finish(Builder &builder, flatbuffers::Offset<Table> root)
{
    builder.Finish(root);
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

inline tl::unexpected<Error> malformed(const std::string &what)
{
    return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the " + what + " failed");
}

inline std::string text(const flatbuffers::String *from)
{
    return from == nullptr ? std::string() : from->str();
}

inline Bytes bytes(const flatbuffers::Vector<std::uint8_t> *from)
{
    return from == nullptr ? Bytes() : Bytes(from->begin(), from->end());
}

flatbuffers::Offset<Fb::Contract> pack(Builder &builder, const Contract &contract);
flatbuffers::Offset<Fb::ContractRecord> pack(Builder &builder, const ContractRecord &record);
flatbuffers::Offset<Fb::RegisteredEntry> pack(Builder &builder, const RegisteredEntry &entry);
flatbuffers::Offset<Fb::KeyClaim> pack(Builder &builder, const KeyClaim &claim);
flatbuffers::Offset<Fb::ProposalResult> pack(Builder &builder, const ProposalResult &result);

Contract unpack(const Fb::Contract &from);
ContractRecord unpack(const Fb::ContractRecord &from);
RegisteredEntry unpack(const Fb::RegisteredEntry &from);
KeyClaim unpack(const Fb::KeyClaim &from);
ProposalResult unpack(const Fb::ProposalResult &from);

}
