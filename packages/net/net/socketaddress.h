#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <netinet/in.h>

namespace Galenabarrow::Net
{

/// An IPv4 address and a port.
struct SocketAddress {
    std::string host;
    std::uint16_t port = 0;

    auto
    operator<=>(const SocketAddress &) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 reports the rewritten comparison
    /// "host:port".
    std::string text() const;
    /// The address for the socket calls; absent when the host is not an IPv4 address.
    std::optional<sockaddr_in> toNative() const;
};

/// Reads "host:port"; absent when \p text has another form.
std::optional<SocketAddress> parseSocketAddress(std::string_view text);

}
