#include "wire/envelope.h"

#include "wire/generated/messages_generated.h"

namespace Galenabarrow::Wire
{

std::vector<std::uint8_t> encode(const Envelope &envelope)
{
    flatbuffers::FlatBufferBuilder builder;
    // Strings are written with their lengths, so that those with a zero byte are not truncated.
    const auto sender = builder.CreateString(envelope.sender.value());
    const bool isNamedByAddress = envelope.senderAddress == envelope.sender.value();
    const auto senderAddress = isNamedByAddress ? 0 : builder.CreateString(envelope.senderAddress);
    const auto payload = builder.CreateVector(envelope.payload);
    const auto root = Fb::CreateEnvelope(builder, sender, senderAddress, envelope.incarnation.value(), envelope.correlation,
                                         static_cast<std::uint16_t>(envelope.kind), payload);
    builder.Finish(root);
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

Result<Envelope> decodeEnvelope(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!Fb::VerifyEnvelopeBuffer(verifier)) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the envelope failed");
    }
    const auto *root = Fb::GetEnvelope(bytes.data());
    Envelope envelope;
    envelope.sender = InstanceId(root->sender()->str());
    envelope.senderAddress = root->sender_address() == nullptr ? envelope.sender.value() : root->sender_address()->str();
    envelope.incarnation = Incarnation(root->incarnation());
    envelope.correlation = root->correlation();
    envelope.kind = static_cast<MessageKind>(root->kind());
    envelope.payload.assign(root->payload()->begin(), root->payload()->end());
    return envelope;
}

}
