#include "control/raftcore.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace Galenabarrow;
using namespace Galenabarrow::Control;

namespace
{

ReplicaId replica(const std::string &name)
{
    return { InstanceId(name), Incarnation(7) };
}

LogEntry entryAt(std::uint64_t index, std::uint64_t term)
{
    LogEntry entry;
    entry.index = LogIndex(index);
    entry.term = Term(term);
    entry.kind = EntryKind::Proposal;
    entry.command = { static_cast<std::uint8_t>(index) };
    return entry;
}

/// Replica c1 of a cluster of c1 to c3, which all start from the same snapshot with index 1.
struct Fixture {
    explicit Fixture(std::vector<LogEntry> entries = {})
        : core(replica("c1"), {}, random, HardState { Term(1), {} }, initialSnapshot(), std::move(entries), now)
    {
    }
    static SnapshotPointer initialSnapshot()
    {
        Snapshot snapshot { LogIndex(1), Term(1), {}, {}, { 1 } };
        for (const char *name : { "c1", "c2", "c3" }) {
            snapshot.membership.members.push_back(Member { replica(name), name, true });
        }
        return std::make_shared<const Snapshot>(snapshot);
    }
    RaftMessage from(const std::string &name, RaftKind kind, std::uint64_t term) const
    {
        RaftMessage message;
        message.kind = kind;
        message.from = replica(name);
        message.to = replica("c1");
        message.term = Term(term);
        return message;
    }
    RaftMessage append(std::uint64_t term, std::uint64_t previous, std::uint64_t previousTerm, std::vector<LogEntry> entries) const
    {
        RaftMessage message = from("c2", RaftKind::Append, term);
        message.index = LogIndex(previous);
        message.logTerm = Term(previousTerm);
        message.entries = std::move(entries);
        return message;
    }
    RaftOutput receive(const RaftMessage &message)
    {
        return core.receive(message, now);
    }
    RaftOutput sync(const RaftOutput &output)
    {
        return core.persisted(output.write.value(), now);
    }
    /// Makes the core leader of \p term, which must be the next one.
    RaftOutput elect(std::uint64_t term)
    {
        now += std::chrono::seconds(2);
        (void)core.tick(now);
        const RaftOutput candidate = receive(from("c2", RaftKind::PreVoteReply, term));
        (void)sync(candidate);
        return receive(from("c2", RaftKind::VoteReply, term));
    }

    SeededRandom random { 1 };
    Instant now {};
    RaftCore core;
};

std::size_t countOf(const RaftOutput &output, RaftKind kind)
{
    return static_cast<std::size_t>(
        std::count_if(output.messages.begin(), output.messages.end(), [kind](const RaftMessage &it) { return it.kind == kind; }));
}

}

// Guards against a vote that is lost in a crash, so that the replica votes for a second candidate in the same term.
TEST_CASE("a vote is sent only after it was synced", "[raft]")
{
    Fixture fixture;
    RaftMessage vote = fixture.from("c2", RaftKind::Vote, 5);
    vote.index = LogIndex(1);
    vote.logTerm = Term(1);
    const RaftOutput output = fixture.receive(vote);
    REQUIRE(output.hardState == HardState { Term(5), replica("c2") });
    REQUIRE(countOf(output, RaftKind::VoteReply) == 0);
    const RaftOutput released = fixture.sync(output);
    REQUIRE(countOf(released, RaftKind::VoteReply) == 1);
    REQUIRE_FALSE(released.messages[0].isRejected);

    vote.from = replica("c3");
    REQUIRE(fixture.receive(vote).messages.at(0).isRejected);
}

// Guards against a candidate that requests votes while a crash can still lose its own vote.
TEST_CASE("a candidate requests votes only after its own was synced", "[raft]")
{
    Fixture fixture;
    fixture.now += std::chrono::seconds(2);
    REQUIRE(countOf(fixture.core.tick(fixture.now), RaftKind::PreVote) == 2);
    const RaftOutput output = fixture.receive(fixture.from("c2", RaftKind::PreVoteReply, 2));
    REQUIRE(output.hardState == HardState { Term(2), replica("c1") });
    REQUIRE(countOf(output, RaftKind::Vote) == 0);
    REQUIRE(countOf(fixture.sync(output), RaftKind::Vote) == 2);
}

// Guards against a leader that counts entries as replicated although a crash of the follower can lose them.
TEST_CASE("an append is acknowledged only after it was synced", "[raft]")
{
    Fixture fixture;
    const RaftOutput output = fixture.receive(fixture.append(2, 1, 1, { entryAt(2, 2) }));
    REQUIRE(output.append.size() == 1);
    REQUIRE(countOf(output, RaftKind::AppendReply) == 0);
    // The reply to a heartbeat would acknowledge the entry as well.
    REQUIRE(countOf(fixture.receive(fixture.append(2, 2, 2, {})), RaftKind::AppendReply) == 0);
    REQUIRE(countOf(fixture.sync(output), RaftKind::AppendReply) == 2);
}

// Guards against a commit by a majority that counts the leader's own unsynced entry.
TEST_CASE("a leader counts its own entries only after they were synced", "[raft]")
{
    Fixture fixture;
    const RaftOutput elected = fixture.elect(2);
    REQUIRE(fixture.core.role() == RaftCore::Role::Leader);
    RaftMessage reply = fixture.from("c2", RaftKind::AppendReply, 2);
    reply.index = LogIndex(2);
    REQUIRE(fixture.receive(reply).committed.empty());
    REQUIRE(fixture.sync(elected).committed.size() == 1);
}

// Guards against the commit of an entry of an older term by counting replicas (figure 8 of the Raft paper).
TEST_CASE("an entry of an older term is not committed alone", "[raft]")
{
    Fixture fixture({ entryAt(2, 1), entryAt(3, 1) });
    const RaftOutput elected = fixture.elect(2);
    (void)fixture.sync(elected);
    RaftMessage reply = fixture.from("c2", RaftKind::AppendReply, 2);
    reply.index = LogIndex(3);
    REQUIRE(fixture.receive(reply).committed.empty());
    REQUIRE_FALSE(fixture.core.confirmation(fixture.now));
    reply.index = LogIndex(4);
    REQUIRE(fixture.receive(reply).committed.size() == 3);
}

// Guards against synced and acknowledged entries that a late, shorter append removes.
TEST_CASE("a late append does not remove later entries", "[raft]")
{
    Fixture fixture;
    (void)fixture.sync(fixture.receive(fixture.append(2, 1, 1, { entryAt(2, 2), entryAt(3, 2) })));
    const RaftOutput output = fixture.receive(fixture.append(2, 1, 1, { entryAt(2, 2) }));
    REQUIRE_FALSE(output.write);
    REQUIRE(fixture.core.log().lastIndex() == LogIndex(3));
    REQUIRE(output.messages.at(0).index == LogIndex(2));
}

// Guards against an acknowledgement for entries that the leader of the new term does not have.
TEST_CASE("an append is acknowledged only as far as it proves the log to match", "[raft]")
{
    Fixture fixture({ entryAt(2, 1), entryAt(3, 1) });
    const RaftOutput output = fixture.receive(fixture.append(2, 2, 1, {}));
    REQUIRE(fixture.sync(output).messages.at(0).index == LogIndex(2));
}

// Guards against acknowledged entries that a late snapshot removes.
TEST_CASE("a snapshot that the log already contains does not replace it", "[raft]")
{
    Fixture fixture({ entryAt(2, 1), entryAt(3, 1) });
    RaftMessage chunk = fixture.from("c2", RaftKind::SnapshotChunk, 2);
    chunk.index = LogIndex(2);
    chunk.logTerm = Term(1);
    chunk.data = { 1, 2 };
    chunk.total = 2;
    chunk.membership = Fixture::initialSnapshot()->membership;
    const RaftOutput output = fixture.receive(chunk);
    REQUIRE(output.install == nullptr);
    REQUIRE(output.committed.size() == 1);
    REQUIRE(fixture.core.log().lastIndex() == LogIndex(3));
}

// Guards against a freshness that is computed from the clock of the process before its restart.
TEST_CASE("a confirmation with the echo of an earlier process is ignored", "[raft]")
{
    Fixture fixture;
    RaftMessage heartbeat = fixture.append(2, 1, 1, {});
    heartbeat.commit = LogIndex(1);
    heartbeat.confirmedAge = Duration(10);
    heartbeat.echo = fixture.now + std::chrono::hours(1);
    heartbeat.echoSession = 99;
    const RaftOutput output = fixture.receive(heartbeat);
    REQUIRE_FALSE(fixture.core.confirmation(fixture.now));
    heartbeat.echo = fixture.now;
    heartbeat.echoSession = fixture.sync(output).messages.at(0).session;
    (void)fixture.receive(heartbeat);
    REQUIRE(fixture.core.confirmation(fixture.now)->madeAt == fixture.now - Duration(10));
}

// Guards against a failed replica that counts for quorums permanently although the operators have replaced its instance, and
// against the removal of two replicas in one step.
TEST_CASE("replicas that are no longer in the settings are removed one at a time", "[raft]")
{
    Fixture fixture;
    (void)fixture.sync(fixture.elect(2));
    RaftMessage reply = fixture.from("c2", RaftKind::AppendReply, 2);
    reply.index = LogIndex(2);
    (void)fixture.receive(reply);
    fixture.core.setRetiredReplicas({ replica("c2"), replica("c3") });
    fixture.now += std::chrono::milliseconds(900);
    (void)fixture.receive(reply);
    fixture.now += std::chrono::milliseconds(900);
    const RaftOutput output = fixture.core.tick(fixture.now); // c2 still responds
    REQUIRE(output.append.size() == 1);
    REQUIRE(output.append[0].membership.members.size() == 2);
    REQUIRE(output.append[0].membership.find(replica("c3")) == nullptr);
    REQUIRE_FALSE(fixture.core.tick(fixture.now).write); // the change is not committed yet
}

// Guards against a voter with an empty store: after the loss of a second store, the cluster would wait for entries that it lacks.
TEST_CASE("a learner is promoted only after it has synced every committed entry", "[raft]")
{
    Fixture fixture;
    (void)fixture.sync(fixture.elect(2));
    const auto acknowledge = [&](const std::string &name, std::uint64_t index) {
        RaftMessage reply = fixture.from(name, RaftKind::AppendReply, 2);
        reply.index = LogIndex(index);
        return fixture.receive(reply);
    };
    (void)acknowledge("c2", 2);
    fixture.core.addJoiner(Member { replica("c4"), "c4", false }, fixture.now);
    const RaftOutput added = fixture.core.tick(fixture.now);
    REQUIRE_FALSE(added.append.at(0).membership.isVoter(replica("c4")));
    (void)fixture.sync(added);
    (void)acknowledge("c4", 3); // a learner does not count
    REQUIRE(fixture.core.commitIndex() == LogIndex(2));
    REQUIRE(acknowledge("c2", 3).committed.size() == 1);

    RaftOutput output;
    REQUIRE(fixture.core.propose({ 1 }, fixture.now, output));
    (void)fixture.sync(output);
    (void)acknowledge("c2", 4);
    REQUIRE_FALSE(fixture.core.tick(fixture.now).write);
    (void)acknowledge("c4", 4);
    REQUIRE(fixture.core.tick(fixture.now).append.at(0).membership.isVoter(replica("c4")));
}

// Guards against two concurrent membership changes, whose majorities need not overlap.
TEST_CASE("a membership change waits for the previous one", "[raft]")
{
    Fixture fixture;
    const RaftOutput elected = fixture.elect(2);
    fixture.core.addJoiner(Member { replica("c4"), "c4", false }, fixture.now);
    REQUIRE_FALSE(fixture.core.tick(fixture.now).write); // no entry of this term is committed yet
    (void)fixture.sync(elected);
    RaftMessage reply = fixture.from("c2", RaftKind::AppendReply, 2);
    reply.index = LogIndex(2);
    (void)fixture.receive(reply);
    REQUIRE(fixture.core.tick(fixture.now).append.size() == 1);
    fixture.core.addJoiner(Member { replica("c5"), "c5", false }, fixture.now);
    REQUIRE_FALSE(fixture.core.tick(fixture.now).write);
}

// Guards against a voter that is replaced by another in one step.
TEST_CASE("a replica with a new store replaces the old one in two steps", "[raft]")
{
    Fixture fixture;
    (void)fixture.sync(fixture.elect(2));
    RaftMessage reply = fixture.from("c2", RaftKind::AppendReply, 2);
    reply.index = LogIndex(2);
    (void)fixture.receive(reply);
    const Member successor { ReplicaId { InstanceId("c3"), Incarnation(8) }, "c3", false };
    fixture.core.addJoiner(successor, fixture.now);
    REQUIRE_FALSE(fixture.core.tick(fixture.now).write); // the old one may still be alive
    fixture.now += std::chrono::milliseconds(900);
    (void)fixture.receive(reply);
    fixture.now += std::chrono::milliseconds(200);
    fixture.core.addJoiner(successor, fixture.now);
    const RaftOutput removed = fixture.core.tick(fixture.now);
    REQUIRE(removed.append.at(0).membership.members.size() == 2);
    REQUIRE(removed.append.at(0).membership.findInstance(InstanceId("c3")) == nullptr);
}

// Guards against a leader that confirms reads without contact to a quorum: it may have been replaced meanwhile.
TEST_CASE("a leader confirms reads only as of the last contact with a quorum", "[raft]")
{
    Fixture fixture;
    const Instant before = fixture.now;
    (void)fixture.sync(fixture.elect(2));
    RaftMessage reply = fixture.from("c2", RaftKind::AppendReply, 2);
    reply.index = LogIndex(2);
    REQUIRE_FALSE(fixture.core.confirmation(fixture.now));
    reply.echo = fixture.now;
    (void)fixture.receive(reply);
    const Instant answered = fixture.now;
    fixture.now += std::chrono::milliseconds(500);
    REQUIRE(fixture.core.confirmation(fixture.now)->madeAt == answered);
    reply.echo = before; // a late answer
    (void)fixture.receive(reply);
    REQUIRE(fixture.core.confirmation(fixture.now)->madeAt == answered);
}

// Guards against the election of a leader that lacks accepted entries.
TEST_CASE("a replica votes only for a candidate whose log is not behind", "[raft]")
{
    struct Case {
        std::uint64_t index;
        std::uint64_t term;
        bool isGranted;
    };
    const std::vector<Case> cases { { 2, 1, false }, { 3, 1, true }, { 4, 1, true }, { 2, 2, true }, { 9, 0, false } };
    for (const RaftKind kind : { RaftKind::Vote, RaftKind::PreVote }) {
        for (const Case &it : cases) {
            Fixture fixture({ entryAt(2, 1), entryAt(3, 1) });
            RaftMessage vote = fixture.from("c2", kind, 5);
            vote.index = LogIndex(it.index);
            vote.logTerm = Term(it.term);
            RaftOutput output = fixture.receive(vote);
            if (output.write) {
                output = fixture.sync(output);
            }
            REQUIRE(output.messages.at(0).isRejected != it.isGranted);
        }
    }
}
