#include "membership/gossipcodec.h"

#include "membership/generated/gossip_generated.h"
#include "membership/membershiptable.h"

namespace Galenabarrow::Membership
{

namespace
{

std::vector<std::uint8_t> bytesOf(const flatbuffers::FlatBufferBuilder &builder)
{
    return { builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize() };
}

std::vector<Fb::LoadUpdate> toWire(const std::vector<LoadUpdate> &loads)
{
    std::vector<Fb::LoadUpdate> out;
    out.reserve(loads.size());
    for (const LoadUpdate &it : loads) {
        out.emplace_back(it.announcer, it.sequence, it.load, it.ageMs);
    }
    return out;
}

std::vector<Fb::StateVersion> toWire(const std::vector<StateVersion> &versions)
{
    std::vector<Fb::StateVersion> out;
    out.reserve(versions.size());
    for (const StateVersion &it : versions) {
        out.emplace_back(it.announcer, it.sequence, it.leaving);
    }
    return out;
}

std::vector<LoadUpdate> fromWire(const flatbuffers::Vector<const Fb::LoadUpdate *> *loads)
{
    std::vector<LoadUpdate> out;
    if (loads != nullptr) {
        out.reserve(loads->size());
        for (const Fb::LoadUpdate *it : *loads) {
            out.push_back({ it->announcer(), it->sequence(), it->load(), it->age_ms() });
        }
    }
    return out;
}

std::vector<StateVersion> fromWire(const flatbuffers::Vector<const Fb::StateVersion *> *versions)
{
    std::vector<StateVersion> out;
    if (versions != nullptr) {
        out.reserve(versions->size());
        for (const Fb::StateVersion *it : *versions) {
            out.push_back({ it->announcer(), it->sequence(), it->leaving() });
        }
    }
    return out;
}

// An absent vector costs 4 bytes, an empty one 12.
template<typename Item>
flatbuffers::Offset<flatbuffers::Vector<const Item *>> createStructVector(flatbuffers::FlatBufferBuilder &builder,
                                                                          const std::vector<Item> &items)
{
    return items.empty() ? 0 : builder.CreateVectorOfStructs(items);
}

/// Encodes one record, with an overload for each type of body.
class RecordWriter
{
public:
    RecordWriter(flatbuffers::FlatBufferBuilder &builder, const Record &record, Instant now)
        : m_builder(builder)
        , m_record(record)
        , m_ageMs(loadOf(record, now).ageMs)
    {
    }

    flatbuffers::Offset<Fb::Record> operator()(const ServerInfo &info)
    {
        const auto service = sharedString(info.service.value());
        const auto address = sharedString(info.address);
        const auto dataCentre = sharedString(info.dataCentre.value());
        return write([&](Fb::RecordBuilder &out) {
            out.add_service(service);
            out.add_address(address);
            out.add_data_centre(dataCentre);
            out.add_slots(info.slots);
            out.add_flag(info.coldStart);
        });
    }

    flatbuffers::Offset<Fb::Record> operator()(const InstanceInfo &info)
    {
        const auto caller = sharedString(info.callerAddress);
        const auto peer = sharedString(info.peerAddress);
        const auto dataCentre = sharedString(info.dataCentre.value());
        const auto scope = sharedString(info.keyScope);
        return write([&](Fb::RecordBuilder &out) {
            out.add_address(caller);
            out.add_peer_address(peer);
            out.add_data_centre(dataCentre);
            out.add_key_scope(scope);
            out.add_roles(info.roles);
            out.add_flag(info.serving);
        });
    }

    flatbuffers::Offset<Fb::Record> operator()(const ProbeInfo &info)
    {
        return write([&](Fb::RecordBuilder &out) { out.add_flag(info.healthy); });
    }

private:
    // Equal strings are stored once: names of services and data centres repeat within a message.
    flatbuffers::Offset<flatbuffers::String> sharedString(const std::string &value)
    {
        return m_builder.CreateSharedString(value);
    }

    template<typename AddBody>
    flatbuffers::Offset<Fb::Record> write(const AddBody &addBody)
    {
        const auto id = sharedString(m_record.key.id);
        Fb::RecordBuilder out(m_builder);
        out.add_kind(static_cast<std::uint8_t>(m_record.key.kind));
        out.add_id(id);
        out.add_incarnation(m_record.incarnation.value());
        out.add_sequence(m_record.sequence.value());
        out.add_load_sequence(m_record.loadSequence.value());
        out.add_load(m_record.load);
        out.add_age_ms(m_ageMs);
        out.add_leaving(m_record.leaving);
        addBody(out);
        return out.Finish();
    }

    flatbuffers::FlatBufferBuilder &m_builder;
    const Record &m_record;
    std::uint16_t m_ageMs;
};

std::string stringOf(const flatbuffers::String *value)
{
    return value == nullptr ? std::string() : value->str();
}

bool readBody(const Fb::Record &in, RecordBody &body)
{
    switch (static_cast<RecordKind>(in.kind())) {
    case RecordKind::Server:
        body = ServerInfo { ServiceId(stringOf(in.service())), stringOf(in.address()), DataCentreId(stringOf(in.data_centre())), in.slots(),
                            in.flag() };
        return true;
    case RecordKind::Instance:
        body = InstanceInfo { in.roles(),
                              stringOf(in.address()),
                              stringOf(in.peer_address()),
                              DataCentreId(stringOf(in.data_centre())),
                              stringOf(in.key_scope()),
                              in.flag() };
        return true;
    case RecordKind::Probe:
        body = ProbeInfo { in.flag() };
        return true;
    }
    return false;
}

bool readRecord(const Fb::Record &in, Instant now, Record &out)
{
    if (!readBody(in, out.body)) {
        return false;
    }
    out.key = { static_cast<RecordKind>(in.kind()), in.id()->str() };
    out.incarnation = Incarnation(in.incarnation());
    out.sequence = SequenceNumber(in.sequence());
    out.leaving = in.leaving();
    out.loadSequence = SequenceNumber(in.load_sequence());
    out.load = in.load();
    out.lastContactAt = now - std::chrono::milliseconds(in.age_ms());
    return validate(out).has_value();
}

template<typename Table>
const Table *verifiedRoot(std::span<const std::uint8_t> bytes)
{
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    return verifier.VerifyBuffer<Table>(nullptr) ? flatbuffers::GetRoot<Table>(bytes.data()) : nullptr;
}

}

std::vector<std::uint8_t> encode(const GossipRecords &message, Instant now)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<Fb::Record>> records;
    records.reserve(message.records.size());
    for (const Record &it : message.records) {
        records.push_back(std::visit(RecordWriter(builder, it, now), it.body));
    }
    const auto loads = createStructVector(builder, toWire(message.loads));
    const auto list = records.empty() ? 0 : builder.CreateVector(records);
    builder.Finish(Fb::CreateRecords(builder, list, loads));
    return bytesOf(builder);
}

std::vector<std::uint8_t> encode(const GossipAcknowledgement &message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto versions = createStructVector(builder, toWire(message.versions));
    builder.Finish(Fb::CreateAcknowledgement(builder, versions));
    return bytesOf(builder);
}

std::vector<std::uint8_t> encode(const GossipDigest &message)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto versions = createStructVector(builder, toWire(message.versions));
    const auto stale = createStructVector(builder, toWire(message.stale));
    builder.Finish(
        Fb::CreateDigest(builder, message.summary, versions, stale, message.wantsVersions, message.catchUp, message.catchUpAnswer));
    return bytesOf(builder);
}

Result<GossipRecords> decodeRecords(std::span<const std::uint8_t> bytes, Instant now)
{
    const auto *root = verifiedRoot<Fb::Records>(bytes);
    if (root == nullptr) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the gossip records failed");
    }
    GossipRecords message;
    message.loads = fromWire(root->loads());
    if (root->records() != nullptr) {
        for (const Fb::Record *it : *root->records()) {
            Record record;
            if (!readRecord(*it, now, record)) {
                return failure(ResultCode::FrameMalformed, "a gossip record has invalid fields");
            }
            message.records.push_back(std::move(record));
        }
    }
    return message;
}

Result<GossipAcknowledgement> decodeAcknowledgement(std::span<const std::uint8_t> bytes)
{
    const auto *root = verifiedRoot<Fb::Acknowledgement>(bytes);
    if (root == nullptr) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the gossip acknowledgement failed");
    }
    return GossipAcknowledgement { fromWire(root->versions()) };
}

Result<GossipDigest> decodeDigest(std::span<const std::uint8_t> bytes)
{
    const auto *root = verifiedRoot<Fb::Digest>(bytes);
    if (root == nullptr) {
        return failure(ResultCode::FrameMalformed, "FlatBuffers verification of the gossip digest failed");
    }
    return GossipDigest { root->summary(),        fromWire(root->versions()), fromWire(root->stale()),
                          root->wants_versions(), root->catch_up(),           root->catch_up_answer() };
}

}
