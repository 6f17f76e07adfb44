#pragma once

#include <string_view>

namespace Galenabarrow
{

/// Longest name of a customer, service, server, instance, data centre, cluster or change, in bytes.
constexpr std::size_t MaxNameLength = 64;

/// Whether \p text is 1 to MaxNameLength letters, digits, '.', '_' or '-'. Such a name needs no escape in a path, a
/// header, JSON or a log line.
bool isName(std::string_view text);

}
