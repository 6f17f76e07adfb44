#include "control/codecparts.h"
#include "control/codecs.h"

namespace Galenabarrow::Control
{

using namespace CodecParts;

Bytes encode(const FeedRequest &request)
{
    Builder builder;
    return finish(builder, Fb::CreateFeedRequest(builder, request.after.value()));
}

Result<FeedRequest> decodeFeedRequest(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::FeedRequest>(bytes);
    if (root == nullptr) {
        return malformed("feed request");
    }
    return FeedRequest { LogIndex(root->after()) };
}

Bytes encode(const FeedReply &reply)
{
    Builder builder;
    std::vector<flatbuffers::Offset<Fb::ContractRecord>> contracts;
    for (const ContractRecord &it : reply.contracts) {
        contracts.push_back(pack(builder, it));
    }
    flatbuffers::Offset<Fb::EntryList> entries;
    if (reply.entries) {
        std::vector<flatbuffers::Offset<Fb::RegisteredEntry>> list;
        for (const RegisteredEntry &it : *reply.entries) {
            list.push_back(pack(builder, it));
        }
        entries = Fb::CreateEntryList(builder, builder.CreateVector(list));
    }
    const auto contractVector = contracts.empty() ? 0 : builder.CreateVector(contracts);
    Fb::FeedReplyBuilder table(builder);
    table.add_after(reply.after.value());
    table.add_up_to(reply.upTo.value());
    table.add_cursor(reply.cursor.value());
    table.add_more(reply.more);
    table.add_contracts(contractVector);
    table.add_entries(entries);
    if (reply.stamp) {
        table.add_stamp_index(reply.stamp->index.value());
        table.add_stamp_age(reply.stamp->age.count());
    }
    table.add_term(reply.term.value());
    return finish(builder, table.Finish());
}

Result<FeedReply> decodeFeedReply(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::FeedReply>(bytes);
    if (root == nullptr) {
        return malformed("feed reply");
    }
    FeedReply reply;
    reply.after = LogIndex(root->after());
    reply.upTo = LogIndex(root->up_to());
    reply.cursor = LogIndex(root->cursor());
    reply.more = root->more();
    if (root->contracts() != nullptr) {
        for (const Fb::ContractRecord *it : *root->contracts()) {
            reply.contracts.push_back(unpack(*it));
        }
    }
    if (root->entries() != nullptr) {
        reply.entries.emplace();
        for (const Fb::RegisteredEntry *it : *root->entries()->entries()) {
            reply.entries->push_back(unpack(*it));
        }
    }
    reply.term = Term(root->term());
    if (root->stamp_index()) {
        reply.stamp = FreshnessStamp { LogIndex(*root->stamp_index()), Duration(root->stamp_age()) };
    }
    return reply;
}

}
