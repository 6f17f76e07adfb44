#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Galenabarrow
{

/// A strongly typed identifier: ids with different tags are distinct types, even if their representations are equal.
template<typename Tag, typename Rep>
class Id
{
public:
    using Representation = Rep;

    constexpr Id() = default;
    constexpr explicit Id(Rep value)
        : m_value(std::move(value))
    {
    }

    /// The underlying value, for codecs and output.
    constexpr const Rep &value() const
    {
        return m_value;
    }

    auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
    bool operator==(const Id &) const = default;

private:
    Rep m_value {};
};

template<typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &out, const Id<Tag, Rep> &id)
{
    return out << id.value();
}

/// A customer with a contract.
using CustomerId = Id<struct CustomerTag, std::string>;
/// A client account of a routing configuration.
using AccountId = Id<struct AccountTag, std::string>;
/// A service that servers offer.
using ServiceId = Id<struct ServiceTag, std::string>;
/// A backend server.
using ServerId = Id<struct ServerTag, std::string>;
/// A machine that runs a process of this system.
using InstanceId = Id<struct InstanceTag, std::string>;
/// A data centre.
using DataCentreId = Id<struct DataCentreTag, std::string>;
/// A contract change, identified by the operator; requests with the same id are resends of one change.
using ChangeId = Id<struct ChangeTag, std::string>;
/// A call, unique within one incarnation of an entry.
using CallId = Id<struct CallTag, std::uint64_t>;
/// One attempt of a call at one server.
using AttemptId = Id<struct AttemptTag, std::uint64_t>;
/// One run of a process, or one creation of a disk store; random, never 0.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
/// The version of a contract; 0 means that the contract does not exist yet.
using Version = Id<struct VersionTag, std::uint64_t>;
/// A Raft term.
using Term = Id<struct TermTag, std::uint64_t>;
/// An index in the replicated log; the first entry has index 1.
using LogIndex = Id<struct LogIndexTag, std::uint64_t>;
/// Orders the records that one incarnation announces; a higher number is newer.
using SequenceNumber = Id<struct SequenceTag, std::uint64_t>;

/// The successor of \p id.
template<typename Tag, typename Rep>
constexpr Id<Tag, Rep> next(const Id<Tag, Rep> &id)
{
    return Id<Tag, Rep>(id.value() + 1);
}

}

template<typename Tag, typename Rep>
struct std::hash<Galenabarrow::Id<Tag, Rep>> {
    std::size_t operator()(const Galenabarrow::Id<Tag, Rep> &id) const
    {
        return std::hash<Rep>()(id.value());
    }
};
