#include "control/rafttypes.h"

#include <algorithm>

namespace Galenabarrow::Control
{

const Member *Membership::find(const ReplicaId &id) const
{
    const auto it = std::find_if(members.begin(), members.end(), [&id](const Member &member) { return member.id == id; });
    return it == members.end() ? nullptr : &*it;
}

const Member *Membership::findInstance(const InstanceId &instance) const
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const Member &member) { return member.id.instance == instance; });
    return it == members.end() ? nullptr : &*it;
}

bool Membership::isVoter(const ReplicaId &id) const
{
    const Member *member = find(id);
    return member != nullptr && member->isVoter;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [](const Member &member) { return member.isVoter; }));
}

std::size_t Membership::quorum() const
{
    return voterCount() / 2 + 1;
}

}
