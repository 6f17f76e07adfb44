#include "base/name.h"

#include <algorithm>

namespace Galenabarrow
{

namespace
{

bool isNameCharacter(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') || it == '.' || it == '_' || it == '-';
}

}

bool isName(std::string_view text)
{
    // "." and ".." have a special meaning in paths.
    return !text.empty() && text.size() <= MaxNameLength && text != "." && text != ".."
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

}
