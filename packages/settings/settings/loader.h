#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/resultcode.h"
#include "settings/daemonsettings.h"

namespace Galenabarrow::Settings
{

/// Largest settings file in bytes.
constexpr std::size_t MaxSettingsBytes = std::size_t { 1 } << 20U;

/// Reads the settings of a process from the TOML file \p path. Relative file names in it start at the folder of the
/// file. Fails with SettingsUnreadable, or with SettingsInvalid and all faults, one per line, as "file:line: key: fault".
/// A file that is not TOML has one fault, where parsing ended.
Result<DaemonSettings> loadSettings(const std::string &path);

/// The same for the text of a file, called \p name in messages. Relative file names in it are not resolved.
Result<DaemonSettings> parseSettings(std::string_view text, std::string_view name);

/// A setting as docs/operators.md lists it.
struct SettingDescription {
    std::string key;
    /// Type and bounds.
    std::string type;
    /// Default value; "required" or "none" when there is none.
    std::string defaultValue;
    std::string meaning;
};

/// All settings in the order of the documentation.
std::vector<SettingDescription> describeSettings();

}
