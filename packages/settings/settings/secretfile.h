#pragma once

#include <string>

#include "base/resultcode.h"

namespace Galenabarrow::Settings
{

/// Shortest and longest secret in bytes.
constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxSecretBytes = 1024;

/// Reads a frame key or a bearer token from \p path, without the white space around it. Fails with SettingsUnreadable,
/// or with SettingsInvalid when the length is out of bounds or a byte is not printable ASCII.
Result<std::string> readSecretFile(const std::string &path);

}
