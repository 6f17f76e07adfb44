#pragma once

#include <string_view>

namespace Galenabarrow::Settings
{

/// What an address may be used for.
enum class AddressUse {
    /// Port 0 and the wildcard address are allowed.
    Listen,
    /// Others connect to it.
    Connect,
};

/// Whether \p text is "address:port" with an IPv4 address or an IPv6 address in brackets, fit for \p use.
bool isAddress(std::string_view text, AddressUse use);

/// Whether \p text has the wildcard address, which listens on every address of the machine but cannot be connected to.
bool isWildcard(std::string_view text);

}
