#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "routing/model.h"

namespace Galenabarrow::Routing
{

/// Names the items that recent changes of the configuration touched. A receiver that knows an older configuration is sent
/// only these items, so that a small change to a large configuration stays small.
class ConfigHistory
{
public:
    /// Names that are kept, over all changes; about 100 KB. A receiver that missed more is sent the whole configuration.
    static constexpr std::size_t MaxNames = 4096;

    /// Notes that \p change, accepted at \p at, made \p after of \p before.
    void record(LogIndex at, const ConfigChange &change, const RoutingConfig &before, const RoutingConfig &after);
    /// Forgets everything before the configuration that was made at \p at.
    void restart(LogIndex at);
    /// The change that makes \p current of the configuration in force at \p known, or at any later entry.
    ConfigChange changeSince(LogIndex known, const RoutingConfig &current) const;

private:
    struct Edit {
        LogIndex at;
        std::vector<std::string> routes;
        std::vector<std::string> services;
    };

    void prune();

    /// Oldest first.
    std::deque<Edit> m_edits;
    std::size_t m_nameCount = 0;
    /// Changes up to this entry may be missing.
    LogIndex m_missingUpTo;
};

}
