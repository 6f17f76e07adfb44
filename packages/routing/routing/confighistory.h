#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "routing/model.h"

namespace Galenabarrow::Routing
{

/// Records the names of the items that recent changes of the configuration affected. A receiver with an older configuration is
/// sent only these items, so that the update for a small change to a large configuration stays small.
class ConfigHistory
{
public:
    /// Limit of the recorded names over all changes; about 100 KB. A receiver that missed more is sent the whole configuration.
    static constexpr std::size_t MaxNames = 4096;

    /// Records that \p change, accepted at the log entry \p at, turned \p before into \p after.
    void record(LogIndex at, const ConfigChange &change, const RoutingConfig &before, const RoutingConfig &after);
    /// Clears the history. It begins with the configuration of the log entry \p at.
    void restart(LogIndex at);
    /// The change that turns the configuration in force at the log entry \p known, or at any later one, into \p current.
    ConfigChange changeSince(LogIndex known, const RoutingConfig &current) const;

private:
    struct Edit {
        LogIndex at;
        std::vector<std::string> routes;
        std::vector<std::string> services;
        std::vector<std::string> accounts;

        std::size_t nameCount() const
        {
            return routes.size() + services.size() + accounts.size();
        }
    };

    void prune();

    /// Oldest first.
    std::deque<Edit> m_edits;
    std::size_t m_nameCount = 0;
    /// Changes up to this entry may be missing.
    LogIndex m_missingUpTo;
};

}
