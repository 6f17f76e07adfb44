#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include <flatbuffers/flatbuffers.h>

#include "base/resultcode.h"
#include "routing/generated/routing_generated.h"
#include "routing/model.h"

namespace Galenabarrow::Routing
{

std::unique_ptr<Fb::ConfigT> pack(const RoutingConfig &config);
RoutingConfig unpack(const Fb::ConfigT &from);
std::unique_ptr<Fb::ChangeT> pack(const ConfigChange &change);
ConfigChange unpack(const Fb::ChangeT &from);
std::unique_ptr<Fb::EvacuationT> pack(const Evacuation &evacuation);
Evacuation unpack(const Fb::EvacuationT &from);
std::unique_ptr<Fb::ServerT> pack(const BackendServer &server);
BackendServer unpack(const Fb::ServerT &from);

std::vector<std::uint8_t> encode(const Command &command);
/// Verifies and decodes a command. Fails with FrameMalformed.
Result<Command> decodeCommand(std::span<const std::uint8_t> bytes);

/// Encodes a table of the schema as a separate buffer.
template<typename Table, typename Native>
std::vector<std::uint8_t> encodeTable(const Native &native)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Table::Pack(builder, &native));
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

/// Verifies and decodes a table; null when \p bytes are not a valid buffer of its type.
template<typename Table>
std::unique_ptr<typename Table::NativeTableType> decodeTable(std::span<const std::uint8_t> bytes)
{
    constexpr std::size_t MinimumSize = 8; // below that, the verifier would read the root offset out of bounds
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (bytes.size() < MinimumSize || !verifier.VerifyBuffer<Table>(nullptr)) {
        return nullptr;
    }
    return std::unique_ptr<typename Table::NativeTableType>(flatbuffers::GetRoot<Table>(bytes.data())->UnPack());
}

}
