#pragma once

#include <string_view>
#include <vector>

#include "settings/tomlreader.h"

namespace Galenabarrow::Settings
{

/// Finds what toml++ 3.3 cannot be given safely: a character other than ASCII outside of comments and strings takes it to
/// undefined behaviour when it looks for white space. Multi-line strings are refused as well, since no setting needs one
/// and without them each line can be scanned by itself.
std::vector<Fault> scanToml(std::string_view text);

}
