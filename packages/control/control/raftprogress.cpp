#include "control/raftprogress.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace Galenabarrow::Control
{

namespace
{

/// The largest value that at least \p quorum of \p values reach; absent when there are fewer values than \p quorum.
template<typename T>
std::optional<T> quorumValue(std::vector<T> values, std::size_t quorum)
{
    if (values.size() < quorum) {
        return std::nullopt;
    }
    std::sort(values.begin(), values.end(), std::greater<T>());
    return values[quorum - 1];
}

}

ProgressTable::ProgressTable(ReplicaId self)
    : m_self(std::move(self))
{
}

void ProgressTable::reset(const Membership &membership, LogIndex lastIndex, Instant now)
{
    m_rows.clear();
    updateMembers(membership, lastIndex, now);
}

void ProgressTable::updateMembers(const Membership &membership, LogIndex lastIndex, Instant now)
{
    std::erase_if(m_rows, [&membership](const auto &row) { return membership.find(row.first) == nullptr; });
    for (const Member &member : membership.members) {
        if (member.id != m_self && !m_rows.contains(member.id)) {
            Progress row;
            row.next = next(lastIndex);
            row.lastContactAt = now;
            m_rows.emplace(member.id, row);
        }
    }
}

Progress *ProgressTable::find(const ReplicaId &id)
{
    const auto it = m_rows.find(id);
    return it == m_rows.end() ? nullptr : &it->second;
}

LogIndex ProgressTable::quorumMatch(const Membership &membership, LogIndex localMatch) const
{
    std::vector<LogIndex> values;
    for (const Member &member : membership.members) {
        if (member.isVoter) {
            values.push_back(member.id == m_self ? localMatch : m_rows.at(member.id).match);
        }
    }
    return quorumValue(std::move(values), membership.quorum()).value_or(LogIndex());
}

std::optional<Instant> ProgressTable::quorumEcho(const Membership &membership, Instant now) const
{
    std::vector<Instant> values;
    for (const Member &member : membership.members) {
        if (!member.isVoter) {
            continue;
        }
        if (member.id == m_self) {
            values.push_back(now);
        } else if (m_rows.at(member.id).echoed) {
            values.push_back(*m_rows.at(member.id).echoed);
        }
    }
    return quorumValue(std::move(values), membership.quorum());
}

bool ProgressTable::hasQuorumSince(const Membership &membership, Instant since) const
{
    const auto count = std::count_if(membership.members.begin(), membership.members.end(), [&](const Member &member) {
        return member.isVoter && (member.id == m_self || m_rows.at(member.id).lastContactAt >= since);
    });
    return static_cast<std::size_t>(count) >= membership.quorum();
}

}
