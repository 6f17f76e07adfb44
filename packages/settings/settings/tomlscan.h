#pragma once

#include <string_view>
#include <vector>

#include "settings/tomlreader.h"

namespace Galenabarrow::Settings
{

/// Finds input that toml++ 3.3 cannot parse safely: a character other than ASCII outside of comments and strings causes
/// undefined behaviour in its check for white space. Multi-line strings are rejected as well, since no setting needs one
/// and without them each line can be scanned on its own.
std::vector<Fault> scanToml(std::string_view text);

}
