#include "control/codecparts.h"
#include "control/codecs.h"

namespace Galenabarrow::Control
{

using namespace CodecParts;

namespace
{

using Body = flatbuffers::Offset<void>;

/// Packs an alternative of a command and sets \c type to its union type.
struct BodyPacker {
    Builder &builder;
    Fb::CommandBody type = Fb::CommandBody::NONE;

    Body operator()(const ContractChange &it)
    {
        type = Fb::CommandBody::ContractChange;
        const auto contract = pack(builder, it.contract);
        const auto id = builder.CreateString(it.id.value());
        const auto customer = builder.CreateString(it.customer.value());
        const auto kind = static_cast<std::uint8_t>(it.kind);
        return Fb::CreateContractChange(builder, kind, id, customer, it.expected.value(), contract).Union();
    }
    Body operator()(const KeyClaim &it)
    {
        type = Fb::CommandBody::KeyClaim;
        return pack(builder, it).Union();
    }
    Body operator()(const EntryRegistration &it)
    {
        type = Fb::CommandBody::EntryRegistration;
        const auto entry = pack(builder, it.entry);
        return Fb::CreateEntryRegistration(builder, builder.CreateString(it.id.value()), entry).Union();
    }
    Body operator()(const EntryRemoval &it)
    {
        type = Fb::CommandBody::EntryRemoval;
        return Fb::CreateEntryRemovalDirect(builder, it.id.value().c_str(), it.instance.value().c_str()).Union();
    }
    Body operator()(const ChangeAbandonment &it)
    {
        type = Fb::CommandBody::ChangeAbandonment;
        return Fb::CreateChangeAbandonmentDirect(builder, it.id.value().c_str()).Union();
    }
};

Result<Command> unpack(const Fb::ContractChange &from)
{
    const auto kind = static_cast<ContractChange::Kind>(from.kind());
    if (kind > ContractChange::Kind::Withdraw) {
        return malformed("kind of the change");
    }
    return ContractChange { kind, ChangeId(from.id()->str()), CustomerId(from.customer()->str()), Version(from.expected()),
                            CodecParts::unpack(*from.contract()) };
}

}

Bytes encode(const Command &command)
{
    Builder builder;
    BodyPacker packer { builder };
    const Body body = std::visit(packer, command);
    return finish(builder, Fb::CreateCommand(builder, packer.type, body));
}

Result<Command> decodeCommand(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::Command>(bytes);
    if (root == nullptr) {
        return malformed("command");
    }
    switch (root->body_type()) {
    case Fb::CommandBody::ContractChange:
        return unpack(*root->body_as_ContractChange());
    case Fb::CommandBody::KeyClaim:
        return CodecParts::unpack(*root->body_as_KeyClaim());
    case Fb::CommandBody::EntryRegistration: {
        const auto *it = root->body_as_EntryRegistration();
        return EntryRegistration { ChangeId(it->id()->str()), CodecParts::unpack(*it->entry()) };
    }
    case Fb::CommandBody::EntryRemoval: {
        const auto *it = root->body_as_EntryRemoval();
        return EntryRemoval { ChangeId(it->id()->str()), InstanceId(it->instance()->str()) };
    }
    case Fb::CommandBody::ChangeAbandonment:
        return ChangeAbandonment { ChangeId(root->body_as_ChangeAbandonment()->id()->str()) };
    default:
        return malformed("kind of the command");
    }
}

Bytes encode(const ProposeRequest &request)
{
    Builder builder;
    return finish(builder, Fb::CreateProposeRequestDirect(builder, request.isForwarded, &request.command));
}

Result<ProposeRequest> decodeProposeRequest(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::ProposeRequest>(bytes);
    if (root == nullptr) {
        return malformed("proposal");
    }
    return ProposeRequest { root->is_forwarded(), CodecParts::bytes(root->command()) };
}

Bytes encode(const ProposalResult &result)
{
    Builder builder;
    return finish(builder, pack(builder, result));
}

Result<ProposalResult> decodeProposalResult(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::ProposalResult>(bytes);
    if (root == nullptr) {
        return malformed("result of a proposal");
    }
    return CodecParts::unpack(*root);
}

}
