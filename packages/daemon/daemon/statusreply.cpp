#include "daemon/statusreply.h"

#include <chrono>
#include <sstream>

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace Galenabarrow::Daemon
{

namespace
{

using Poco::JSON::Array;
using Poco::JSON::Object;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Array::Ptr contractsOf(const Control::FeedClient &feed)
{
    Array::Ptr contracts = new Array;
    for (const auto &[customer, record] : feed.contracts()) {
        Object::Ptr it = new Object;
        it->set("customer", customer.value());
        it->set("version", record.contract.version.value());
        it->set("withdrawn", record.withdrawn);
        contracts->add(it);
    }
    return contracts;
}

Array::Ptr serversOf(const Membership::MembershipTable &members)
{
    Array::Ptr servers = new Array;
    for (const Membership::Record *record : members.live(Membership::RecordKind::Server)) {
        const auto &info = std::get<Membership::ServerInfo>(record->body);
        Object::Ptr it = new Object;
        it->set("server", record->key.id);
        it->set("service", info.service.value());
        it->set("address", info.address);
        it->set("dc", info.dataCentre.value());
        it->set("slots", info.slots);
        it->set("inFlight", record->load);
        it->set("leaving", record->leaving);
        servers->add(it);
    }
    return servers;
}

Array::Ptr instancesOf(const Membership::MembershipTable &members)
{
    Array::Ptr instances = new Array;
    for (const Membership::Record *record : members.live(Membership::RecordKind::Instance)) {
        const auto &info = std::get<Membership::InstanceInfo>(record->body);
        Object::Ptr it = new Object;
        it->set("instance", record->key.id);
        it->set("dc", info.dataCentre.value());
        it->set("callers", info.callerAddress);
        it->set("peers", info.peerAddress);
        it->set("serving", info.serving);
        it->set("leaving", record->leaving);
        instances->add(it);
    }
    return instances;
}

Object::Ptr controlOf(const Control::ControlStatus &status)
{
    Object::Ptr control = new Object;
    control->set("isLeader", status.isLeader);
    control->set("isVoter", status.isVoter);
    control->set("isFormed", status.isFormed);
    control->set("leader", status.leader.value());
    control->set("term", status.term.value());
    control->set("commit", status.commit.value());
    return control;
}

Array::Ptr rolesOf(std::uint8_t roles)
{
    Array::Ptr names = new Array;
    if ((roles & Membership::EntryRole) != 0) {
        names->add("entry");
    }
    if ((roles & Membership::ControlRole) != 0) {
        names->add("control");
    }
    return names;
}

}

HttpReply statusReply(ClusterNode &cluster, const std::optional<Control::ControlStatus> &control, const EntryNode *entry, Instant now)
{
    const Identity &self = cluster.identity();
    Object object;
    object.set("instance", self.instance.value());
    object.set("dc", self.dataCentre.value());
    object.set("incarnation", self.incarnation.value());
    object.set("roles", rolesOf(self.roles));
    object.set("fenced", cluster.isFenced(now));
    const std::optional<Duration> age = cluster.feed().freshnessAge(now);
    object.set("freshnessAgeMs", age ? milliseconds(*age) : -1);
    object.set("tableIndex", cluster.feed().tableIndex().value());
    object.set("contracts", contractsOf(cluster.feed()));
    object.set("registeredEntries", cluster.feed().registeredEntries().size());
    object.set("instances", instancesOf(cluster.members()));
    object.set("servers", serversOf(cluster.members()));
    if (control) {
        object.set("control", controlOf(*control));
    }
    if (entry != nullptr) {
        object.set("callsInProgress", entry->engine().callCount());
        object.set("callsWaiting", entry->engine().waitingCount());
    }
    std::ostringstream text;
    object.stringify(text);
    HttpReply reply;
    reply.body = text.str();
    return reply;
}

}
