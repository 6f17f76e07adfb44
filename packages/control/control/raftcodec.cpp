#include "control/codecparts.h"
#include "control/codecs.h"

namespace Galenabarrow::Control
{

using namespace CodecParts;

namespace
{

flatbuffers::Offset<Fb::Replica> pack(Builder &builder, const ReplicaId &id)
{
    return Fb::CreateReplicaDirect(builder, id.instance.value().c_str(), id.store.value());
}

flatbuffers::Offset<Fb::Membership> pack(Builder &builder, const Membership &membership)
{
    std::vector<flatbuffers::Offset<Fb::Member>> members;
    for (const Member &it : membership.members) {
        const auto id = pack(builder, it.id);
        members.push_back(Fb::CreateMember(builder, id, builder.CreateString(it.address), it.isVoter));
    }
    return Fb::CreateMembership(builder, builder.CreateVector(members), membership.target, membership.isFormed);
}

flatbuffers::Offset<Fb::LogEntry> pack(Builder &builder, const LogEntry &entry)
{
    flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> command;
    flatbuffers::Offset<Fb::Membership> membership;
    if (entry.kind == EntryKind::Proposal) {
        command = builder.CreateVector(entry.command);
    }
    if (entry.kind == EntryKind::MembershipChange) {
        membership = pack(builder, entry.membership);
    }
    return Fb::CreateLogEntry(builder, entry.index.value(), entry.term.value(), static_cast<std::uint8_t>(entry.kind), entry.time.count(),
                              command, membership);
}

ReplicaId unpack(const Fb::Replica &from)
{
    return { InstanceId(from.instance()->str()), Incarnation(from.store()) };
}

Membership unpack(const Fb::Membership &from)
{
    Membership membership;
    for (const Fb::Member *it : *from.members()) {
        membership.members.push_back(Member { unpack(*it->id()), it->address()->str(), it->is_voter() });
    }
    membership.target = from.target();
    membership.isFormed = from.is_formed();
    return membership;
}

/// False when the entry has an unknown kind, or a membership entry has no membership.
bool unpack(const Fb::LogEntry &from, LogEntry &entry)
{
    const auto kind = static_cast<EntryKind>(from.kind());
    if (kind > EntryKind::MembershipChange || (kind == EntryKind::MembershipChange && from.membership() == nullptr)) {
        return false;
    }
    entry.index = LogIndex(from.index());
    entry.term = Term(from.term());
    entry.kind = kind;
    entry.time = Duration(from.time());
    entry.command = bytes(from.command());
    if (kind == EntryKind::MembershipChange) {
        entry.membership = unpack(*from.membership());
    }
    return true;
}

/// False when the entries are not valid or not consecutive.
bool unpackEntries(const Fb::RaftMessage &from, RaftMessage &message)
{
    if (from.entries() == nullptr) {
        return true;
    }
    for (const Fb::LogEntry *it : *from.entries()) {
        LogEntry entry;
        if (!unpack(*it, entry) || entry.index.value() != message.index.value() + message.entries.size() + 1) {
            return false;
        }
        message.entries.push_back(std::move(entry));
    }
    return true;
}

void unpackHeader(const Fb::RaftMessage &from, RaftMessage &message)
{
    message.kind = static_cast<RaftKind>(from.kind());
    message.from = unpack(*from.from());
    message.to = unpack(*from.to());
    message.term = Term(from.term());
    message.index = LogIndex(from.index());
    message.logTerm = Term(from.log_term());
    message.commit = LogIndex(from.commit());
    message.isRejected = from.is_rejected();
    message.sentAt = Instant(Duration(from.sent_at()));
    message.session = from.session();
    if (from.echo()) {
        message.echo = Instant(Duration(*from.echo()));
    }
    message.echoSession = from.echo_session();
    if (from.confirmed_age()) {
        message.confirmedAge = Duration(*from.confirmed_age());
    }
}

void unpackBody(const Fb::RaftMessage &from, RaftMessage &message)
{
    message.offset = from.offset();
    message.total = from.total();
    message.data = bytes(from.data());
    if (from.membership() != nullptr) {
        message.membership = unpack(*from.membership());
    }
    message.time = Duration(from.time());
    message.round = from.round();
    message.challenge = from.challenge();
    message.isEmpty = from.is_empty();
    if (from.first_start() <= static_cast<std::uint8_t>(FirstStart::ClusterSeen)) {
        message.firstStart = static_cast<FirstStart>(from.first_start());
    }
    if (from.contacts() != nullptr) {
        for (const flatbuffers::String *it : *from.contacts()) {
            message.contacts.emplace_back(it->str());
        }
    }
}

}

Bytes encode(const RaftMessage &message)
{
    Builder builder;
    std::vector<flatbuffers::Offset<Fb::LogEntry>> entries;
    for (const LogEntry &it : message.entries) {
        entries.push_back(pack(builder, it));
    }
    const auto entryVector = entries.empty() ? 0 : builder.CreateVector(entries);
    const auto data = message.data.empty() ? 0 : builder.CreateVector(message.data);
    const auto membership = message.membership.members.empty() ? 0 : pack(builder, message.membership);
    std::vector<std::string> contactNames;
    for (const InstanceId &it : message.contacts) {
        contactNames.push_back(it.value());
    }
    const auto contacts = contactNames.empty() ? 0 : builder.CreateVectorOfStrings(contactNames);
    const auto from = pack(builder, message.from);
    const auto to = pack(builder, message.to);
    Fb::RaftMessageBuilder table(builder);
    table.add_kind(static_cast<std::uint8_t>(message.kind));
    table.add_from(from);
    table.add_to(to);
    table.add_term(message.term.value());
    table.add_index(message.index.value());
    table.add_log_term(message.logTerm.value());
    table.add_commit(message.commit.value());
    table.add_is_rejected(message.isRejected);
    table.add_entries(entryVector);
    table.add_sent_at(message.sentAt.time_since_epoch().count());
    table.add_session(message.session);
    if (message.echo) {
        table.add_echo(message.echo->time_since_epoch().count());
    }
    table.add_echo_session(message.echoSession);
    if (message.confirmedAge) {
        table.add_confirmed_age(message.confirmedAge->count());
    }
    table.add_offset(message.offset);
    table.add_total(message.total);
    table.add_data(data);
    table.add_membership(membership);
    table.add_time(message.time.count());
    table.add_round(message.round);
    table.add_challenge(message.challenge);
    table.add_is_empty(message.isEmpty);
    table.add_contacts(contacts);
    table.add_first_start(static_cast<std::uint8_t>(message.firstStart));
    return finish(builder, table.Finish());
}

Result<RaftMessage> decodeRaftMessage(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::RaftMessage>(bytes);
    RaftMessage message;
    if (root == nullptr || root->kind() > static_cast<std::uint8_t>(RaftKind::LeaveReply)) {
        return malformed("message between replicas");
    }
    unpackHeader(*root, message);
    unpackBody(*root, message);
    const bool hasNoMembership = message.kind == RaftKind::SnapshotChunk && message.membership.members.empty();
    if (!unpackEntries(*root, message) || hasNoMembership) {
        return malformed("content of a message between replicas");
    }
    return message;
}

Bytes encode(const LogEntry &entry)
{
    Builder builder;
    return finish(builder, pack(builder, entry));
}

Result<LogEntry> decodeLogEntry(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::LogEntry>(bytes);
    LogEntry entry;
    if (root == nullptr || !unpack(*root, entry)) {
        return malformed("log entry");
    }
    return entry;
}

Bytes encode(const HardState &state)
{
    Builder builder;
    const auto vote = state.vote ? pack(builder, *state.vote) : flatbuffers::Offset<Fb::Replica>();
    return finish(builder, Fb::CreateHardState(builder, state.term.value(), vote));
}

Result<HardState> decodeHardState(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::HardState>(bytes);
    if (root == nullptr) {
        return malformed("hard state");
    }
    HardState state { Term(root->term()), std::nullopt };
    if (root->vote() != nullptr) {
        state.vote = unpack(*root->vote());
    }
    return state;
}

Bytes encode(const Snapshot &snapshot)
{
    Builder builder;
    const auto membership = pack(builder, snapshot.membership);
    const auto state = builder.CreateVector(snapshot.state);
    return finish(builder,
                  Fb::CreateSnapshot(builder, snapshot.index.value(), snapshot.term.value(), snapshot.time.count(), membership, state));
}

Result<Snapshot> decodeSnapshot(ByteView bytes)
{
    const auto *root = verifiedRoot<Fb::Snapshot>(bytes);
    if (root == nullptr) {
        return malformed("snapshot");
    }
    return Snapshot { LogIndex(root->index()), Term(root->term()), Duration(root->time()), unpack(*root->membership()),
                      CodecParts::bytes(root->state()) };
}

}
