#include "limits/sharecodec.h"

#include "limits/generated/shares_generated.h"

namespace Galenabarrow::Limits
{

namespace
{

std::vector<std::uint8_t> bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

template<typename Table>
const Table *verified(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes.data()) : nullptr;
}

}

std::vector<std::uint8_t> encode(const ShareRequest &request)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Fb::Demand>> demands;
    demands.reserve(request.demands.size());
    for (const ShareDemand &it : request.demands) {
        demands.push_back(Fb::CreateDemandDirect(builder, it.customer.value().c_str(), it.rate, it.concurrency, it.heldConcurrency));
    }
    builder.Finish(Fb::CreateRequestDirect(builder, request.entry.value().c_str(), request.incarnation.value(), request.number,
                                           request.installed, &demands));
    return bytesOf(builder);
}

Result<ShareRequest> decodeShareRequest(std::span<const std::uint8_t> bytes)
{
    const auto *root = verified<Fb::Request>(bytes);
    if (root == nullptr) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the share request failed");
    }
    ShareRequest request { InstanceId(root->entry()->str()), Incarnation(root->incarnation()), root->number(), root->installed(), {} };
    for (const Fb::Demand *it : *root->demands()) {
        request.demands.push_back({ CustomerId(it->customer()->str()), it->rate(), it->concurrency(), it->held_concurrency() });
    }
    return request;
}

std::vector<std::uint8_t> encode(const ShareReply &reply)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Fb::Grant>> grants;
    grants.reserve(reply.grants.size());
    for (const ShareGrant &it : reply.grants) {
        grants.push_back(Fb::CreateGrantDirect(builder, it.customer.value().c_str(), it.contractVersion.value(), it.share.rate,
                                               it.share.burst, it.share.concurrency, it.tokens));
    }
    builder.Finish(Fb::CreateReplyDirect(builder, reply.number, reply.lease.count(), &grants));
    return bytesOf(builder);
}

Result<ShareReply> decodeShareReply(std::span<const std::uint8_t> bytes)
{
    const auto *root = verified<Fb::Reply>(bytes);
    if (root == nullptr) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the share reply failed");
    }
    ShareReply reply { root->number(), Duration(root->lease()), {} };
    for (const Fb::Grant *it : *root->grants()) {
        reply.grants.push_back({ CustomerId(it->customer()->str()),
                                 Version(it->contract_version()),
                                 { it->rate(), it->burst(), it->concurrency() },
                                 it->tokens() });
    }
    return reply;
}

}
