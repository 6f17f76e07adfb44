#pragma once

#include <string_view>

namespace Galenabarrow
{

/// Maximum length in bytes of the name of a customer, service, server, instance, data centre, cluster or change.
constexpr std::size_t MaxNameLength = 64;

/// Whether \p text is 1 to MaxNameLength letters, digits, '.', '_' or '-'. Such a name needs no escaping in a path, a
/// header, JSON or a log line. The names "." and ".." are invalid.
bool isName(std::string_view text);

}
