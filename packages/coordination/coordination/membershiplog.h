#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/log.h"
#include "coordination/replica.h"

namespace Galenabarrow::Coordination
{

/// Explains from a log line for each change who is a member of the core since when, why a replica has not joined yet, and why
/// a leader has not added one.
class MembershipLog
{
public:
    /// Shortest time between two lines about the same attempt to join.
    static constexpr Duration AttemptInterval = std::chrono::seconds(1);
    /// An instance counts as responding to join requests for this time after its response.
    static constexpr Duration ResponseLifetime = std::chrono::seconds(1);

    /// One log line.
    struct Event {
        std::string name;
        std::vector<LogField> fields;
    };

    /// The events since the last call; to be called on every tick.
    std::vector<Event> update(Replica &replica, Instant now);
    /// Number of replicas that were added, promoted or removed.
    std::uint64_t changeCount() const;
    /// Number of times that this leader did not add a replica that requested to join.
    std::uint64_t refusalCount() const;

private:
    void compareMembers(const Control::Membership &membership);
    void describeAttempt(const Replica &replica, Instant now);
    void describeRefusals(const std::map<Control::ReplicaId, Control::AdmissionRefusal> &refused);
    void add(std::string name, const Control::ReplicaId &id, std::vector<LogField> fields = {});

    std::vector<Event> m_events;
    Control::Membership m_membership;
    std::map<Control::ReplicaId, Control::AdmissionRefusal> m_refused;
    std::optional<Instant> m_attemptStartedAt;
    Instant m_attemptLoggedAt {};
    std::string m_lastAttempt;
    std::uint64_t m_changeCount = 0;
    std::uint64_t m_refusalCount = 0;
};

}
