#include "control/codecparts.h"
#include "control/contractstate.h"

namespace Galenabarrow::Control
{

using namespace CodecParts;

Bytes ContractState::encodeImage() const
{
    Builder builder;
    std::vector<flatbuffers::Offset<Fb::StoredContract>> contracts;
    for (const auto &[customer, record] : m_contracts) {
        contracts.push_back(Fb::CreateStoredContract(builder, pack(builder, record), m_changedAt.at(customer).value()));
    }
    std::vector<flatbuffers::Offset<Fb::StoredResult>> results;
    for (const ChangeId &id : m_resultOrder) {
        const StoredResult &stored = m_results.at(id);
        const auto text = builder.CreateString(id.value());
        results.push_back(Fb::CreateStoredResult(builder, text, stored.fingerprint, pack(builder, stored.result)));
    }
    std::vector<flatbuffers::Offset<Fb::StoredClaim>> claims;
    for (const std::string &key : m_claimOrder) {
        const TimedClaim &it = m_claims.at(key);
        claims.push_back(Fb::CreateStoredClaim(builder, pack(builder, it.claim), it.time.count()));
    }
    std::vector<flatbuffers::Offset<Fb::RegisteredEntry>> entries;
    for (const auto &[instance, entry] : m_entries) {
        entries.push_back(pack(builder, entry));
    }
    const auto image =
        Fb::CreateStateImageDirect(builder, m_applied.value(), &contracts, &results, &claims, &entries, m_entriesChangedAt.value());
    return finish(builder, image);
}

Result<void> ContractState::restoreImage(ByteView image)
{
    const auto *root = verifiedRoot<Fb::StateImage>(image);
    if (root == nullptr) {
        return failure(ResultCode::StoreCorrupt, "FlatBuffers verification of the state in the snapshot failed");
    }
    ContractState fresh;
    fresh.restore(*root);
    *this = std::move(fresh);
    return {};
}

void ContractState::restore(const Fb::StateImage &image)
{
    m_applied = LogIndex(image.applied());
    m_entriesChangedAt = LogIndex(image.entries_changed_at());
    for (const Fb::StoredContract *it : *image.contracts()) {
        ContractRecord record = unpack(*it->record());
        const CustomerId customer = record.contract.customer;
        m_changedAt[customer] = LogIndex(it->changed_at());
        m_byChange[LogIndex(it->changed_at())] = customer;
        m_contracts[customer] = std::move(record);
    }
    for (const Fb::StoredResult *it : *image.results()) {
        storeResult(ChangeId(it->id()->str()), it->fingerprint(), unpack(*it->result()));
    }
    for (const Fb::StoredClaim *it : *image.claims()) {
        const KeyClaim claim = unpack(*it->claim());
        m_claims[claim.key] = TimedClaim { claim, Duration(it->time()) };
        m_claimOrder.push_back(claim.key);
    }
    for (const Fb::RegisteredEntry *it : *image.entries()) {
        RegisteredEntry entry = unpack(*it);
        m_entries[entry.instance] = std::move(entry);
    }
}

}
