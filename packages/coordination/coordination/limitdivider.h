#pragma once

#include <map>
#include <set>
#include <vector>

#include "coordination/entrydirectory.h"
#include "coordination/serverlimit.h"
#include "routing/model.h"

namespace Galenabarrow::Coordination
{

/// Divides the limits that servers state among the entries. Has no sockets; core instances that know the same limits and entries divide
/// alike, so no instance decides for the others.
///
/// A limit is small beside the number of entries. An equal part would allow an entry one request in minutes, and buckets that hold one
/// request at each of hundreds of entries would add up to a multiple of the limit. Therefore only as many entries get a share as leaves
/// each of them MinShare, those of the server's data centre first; the others send nothing. They are chosen by a hash of entry and server,
/// so an entry that comes or goes moves few shares, and the shares of many limited servers are spread over all entries.
class LimitDivider
{
public:
    /// Requests a second of the smallest share of a larger limit.
    static constexpr double MinShare = 0.5;
    /// A lower limit counts as this. Only a response shows that a server takes more again, so a request in 10 s is sent there.
    static constexpr double MinLimit = 0.1;

    using Servers = std::map<ServerId, Routing::BackendServer>;

    /// Records a limit that a server has stated, unless a newer statement is known. True when it differs from the one known before.
    bool record(const ServerLimit &limit, Instant now);
    /// Divides all limits among \p entries, and forgets those of servers that have left. Does nothing without entries. True when a
    /// limit or a share has changed since the last call.
    bool divide(const std::vector<EntryInfo> &entries, const Servers &servers, Instant now);
    /// All limits that have been divided, with the share of \p entry; and those that have ended recently.
    std::map<ServerId, LimitShare> shares(const InstanceId &entry, Instant now) const;
    /// All statements, including recent ones that a limit has ended.
    std::vector<ServerLimit> limits(Instant now) const;
    bool isEmpty() const;
    /// Number of limits in force.
    std::size_t size() const;

private:
    struct Row {
        std::uint64_t born = 0;
        std::optional<double> perSecond;
        Instant statedAt {};
        bool isDivided = false;
        std::set<InstanceId> holders;
        double share = 0;
    };

    bool divide(const ServerId &server, Row &row, const std::vector<EntryInfo> &entries, const DataCentreId &dataCentre) const;
    void eraseOutdated(const Servers &servers, Instant now);

    std::map<ServerId, Row> m_rows;
    bool m_isChanged = false;
};

}
