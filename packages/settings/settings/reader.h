#pragma once

#include <set>
#include <string>
#include <string_view>

#include "settings/faults.h"
#include "settings/rules.h"

namespace Galenabarrow::Settings
{

/// Checks assignments against the table of rules and stores their values in the settings.
class Reader
{
public:
    Reader(DaemonSettings &settings, Faults &faults);

    void read(const Assignment &assignment);
    /// Adds a fault for each required key that was not read. Called after the last read().
    void checkRequired();
    bool isSet(std::string_view key) const;

private:
    void rejectUnknown(const Assignment &assignment);
    void require(const std::string &key, std::string_view reason);

    DaemonSettings &m_settings;
    Faults &m_faults;
    std::set<std::string, std::less<>> m_keys;
};

/// The type and bounds of \p body as readable text.
std::string typeText(const RuleBody &body);
/// The default value of \p body as readable text; "none" for texts and lists.
std::string defaultText(const RuleBody &body);

}
